package reserver

import (
	"context"

	"cowsliphinge/clocker"
)

// Prepare returns a Reserver without duties; the test carries them out.
func NewUnstarted(cfg Config) *Reserver {
	return newUnstarted(cfg)
}

// SetHoldersFirst makes the Reserver ask holders before the platform.
func (r *Reserver) SetHoldersFirst() {
	r.cfg.HoldersFirst = true
}

// CarryOut does what the duties would do now.
func (r *Reserver) RunTasks(ctx context.Context) {
	r.inspectAll()
	r.ServeWaiting(ctx)
}

// CarryOutWaiting serves the requests that wait.
func (r *Reserver) ServeWaiting(ctx context.Context) {
	r.inspectWaiting(r.cfg.Clock.Now())
	for r.refillQueue.Len() > 0 {
		r.refill(ctx, <-r.refillQueue.Items())
	}
}

// SyncDoubts follows up transfers of unknown outcome.
func (r *Reserver) SyncUncertain(ctx context.Context) {
	r.syncUncertain(ctx)
}

// Pending is a request that asked for budget.
type Pending struct {
	Reservation Reservation
	Err         error
	Ended       bool

	shard *shard
	w     *waiter
}

// Begin reserves as Reserve does, without blocking.
func (r *Reserver) StartReserve(budget string, tokens int64, remaining clocker.Millis) *Pending {
	return r.StartReserveRanked(budget, tokens, 0, remaining)
}

// BeginRanked is Begin for a request of a rank.
func (r *Reserver) StartReserveRanked(budget string, tokens int64, rank int, remaining clocker.Millis) *Pending {
	s := r.shard(budget)
	w := &waiter{budget: budget, tokens: tokens, rank: rank, done: make(chan waitResult, 1)}
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

// Poll takes in how the wait of p ended, if it did.
func (p *Pending) Poll() {
	if p.Ended {
		return
	}
	select {
	case g := <-p.w.done:
		p.Reservation, p.Err = g.reservation(p.w)
		p.Ended = true
	default:
	}
}

// GiveUp ends the wait of p.
func (p *Pending) TimeOut() {
	p.Reservation, p.Err = p.shard.timeOut(p.w)
	p.Ended = true
}

// LateTokens returns the tokens that arrived after closing.
func (r *Reserver) LateTokens() int64 {
	var sum int64
	for _, s := range r.activeShards() {
		s.mu.Lock()
		sum += s.allotter.Strand()
		s.mu.Unlock()
	}
	return sum
}
