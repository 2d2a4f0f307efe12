package reserver

import (
	"context"

	"cowsliphinge/clocker"
)

// Prepare returns a Reserver without duties; the test carries them out.
func Prepare(cfg Config) *Reserver {
	return prepare(cfg)
}

// SetHoldersFirst makes the Reserver ask holders before the platform.
func (r *Reserver) SetHoldersFirst() {
	r.cfg.HoldersFirst = true
}

// CarryOut does what the duties would do now.
func (r *Reserver) CarryOut(ctx context.Context) {
	r.inspectAll()
	r.CarryOutWaiting(ctx)
}

// CarryOutWaiting serves the requests that wait.
func (r *Reserver) CarryOutWaiting(ctx context.Context) {
	r.inspectWaiting(r.cfg.Clock.Now())
	for r.refills.Len() > 0 {
		r.refill(ctx, <-r.refills.Items())
	}
}

// SyncDoubts follows up transfers of unknown outcome.
func (r *Reserver) SyncDoubts(ctx context.Context) {
	r.syncDoubts(ctx)
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
func (r *Reserver) Begin(budget string, tokens int64, left clocker.Millis) *Pending {
	return r.BeginRanked(budget, tokens, 0, left)
}

// BeginRanked is Begin for a request of a rank.
func (r *Reserver) BeginRanked(budget string, tokens int64, rank int, left clocker.Millis) *Pending {
	s := r.shard(budget)
	w := &waiter{budget: budget, tokens: tokens, rank: rank, done: make(chan grant, 1)}
	if id, ok := s.reserve(budget, tokens, rank, r.cfg.Clock.Now()); ok {
		return &Pending{Ended: true, Reservation: Reservation{Budget: budget, Tokens: tokens, ID: id}}
	}
	if err := r.refuseAtOnce(s, w, left); err != nil {
		return &Pending{Ended: true, Err: err}
	}
	p := &Pending{shard: s, w: w}
	s.join(p.w)
	r.wantRefill(s)
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
func (p *Pending) GiveUp() {
	p.Reservation, p.Err = p.shard.giveUp(p.w)
	p.Ended = true
}

// LateTokens returns the tokens that arrived after closing.
func (r *Reserver) LateTokens() int64 {
	var sum int64
	for _, s := range r.usedShards() {
		s.mu.Lock()
		sum += s.allotter.LateTokens()
		s.mu.Unlock()
	}
	return sum
}
