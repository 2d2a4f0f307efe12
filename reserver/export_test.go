package reserver

import (
	"context"

	"cowsliphinge/clocker"
)

// NewUnstarted returns a Reserver without background tasks; the test runs them.
func NewUnstarted(cfg Config) *Reserver {
	return newUnstarted(cfg)
}

// SetHoldersFirst sets Config.HoldersFirst.
func (r *Reserver) SetHoldersFirst() {
	r.cfg.HoldersFirst = true
}

// RunTasks inspects all budgets and serves the waiting requests once.
func (r *Reserver) RunTasks(ctx context.Context) {
	r.inspectAll()
	r.ServeWaiting(ctx)
}

// ServeWaiting queues the due refills for waiting requests and runs all queued refills.
func (r *Reserver) ServeWaiting(ctx context.Context) {
	r.inspectWaiting(r.cfg.Clock.Now())
	for r.refillQueue.Len() > 0 {
		r.refill(ctx, <-r.refillQueue.Items())
	}
}

// RetryUnknownTransfers repeats transfers of unknown outcome.
func (r *Reserver) RetryUnknownTransfers(ctx context.Context) {
	r.retryUnknownTransfers(ctx)
}

// Pending is a request that may still wait for its reservation.
type Pending struct {
	Reservation Reservation
	Err         error
	Ended       bool

	shard *shard
	w     *waiter
}

// StartReserve reserves as Reserve does, without blocking.
func (r *Reserver) StartReserve(budget string, tokens int64, remaining clocker.Millis) *Pending {
	return r.StartReserveRanked(budget, tokens, 0, remaining)
}

// StartReserveRanked is StartReserve for a request of the given rank.
func (r *Reserver) StartReserveRanked(budget string, tokens int64, rank int, remaining clocker.Millis) *Pending {
	s := r.shard(budget)
	w := &waiter{budget: budget, tokens: tokens, rank: rank, result: make(chan waitResult, 1)}
	if id, ok := s.reserve(budget, tokens, rank, r.cfg.Clock.Now()); ok {
		return &Pending{Ended: true, Reservation: Reservation{Budget: budget, Tokens: tokens, ID: id}}
	}
	if err := r.refuseImmediately(s, w, remaining); err != nil {
		return &Pending{Ended: true, Err: err}
	}
	p := &Pending{shard: s, w: w}
	s.addWaiter(p.w)
	r.queueRefill(s)
	return p
}

// Poll stores the result of p if its wait has ended.
func (p *Pending) Poll() {
	if p.Ended {
		return
	}
	select {
	case result := <-p.w.result:
		p.Reservation, p.Err = result.reservation(p.w)
		p.Ended = true
	default:
	}
}

// TimeOut ends the wait of p as its timeout does.
func (p *Pending) TimeOut() {
	p.Reservation, p.Err = p.shard.timeOut(p.w, 0)
	p.Ended = true
}

// LateTokens returns the tokens that arrived after their entry was closed.
func (r *Reserver) LateTokens() int64 {
	var sum int64
	for _, s := range r.activeShards() {
		s.mu.Lock()
		sum += s.allotter.LateTokens()
		s.mu.Unlock()
	}
	return sum
}

// SetExchange sets Config.Exchange.
func (r *Reserver) SetExchange(e Exchange) {
	r.cfg.Exchange = e
}

// Balance sends the balancing asks that are due and waits for their replies.
func (r *Reserver) Balance() {
	r.balance()
	_ = r.tasks.Wait()
}

// RunGuardTasks runs the tasks of one tick of a holder that guards what it holds.
func (r *Reserver) RunGuardTasks(ctx context.Context) {
	r.askWitnesses(ctx)
	_ = r.tasks.Wait()
	r.maintainDeclared()
	r.RunTasks(ctx)
}
