package reserver

import (
	"context"

	"cowsliphinge/clocker"
)

// retryPause is the time between two refills for requests that keep waiting.
const retryPause = 100 * clocker.Millis(1)

// await waits for headroom.
func (r *Reserver) await(ctx context.Context, s *shard, budget string, tokens int64, deadline clocker.Millis) (Reservation, error) {
	w := &waiter{budget: budget, tokens: tokens, done: make(chan grant, 1)}
	s.join(w)
	r.wantRefill(s)
	patience := min(deadline-r.cfg.Clock.Now(), clocker.Millis(r.cfg.Policy().PatienceMs))
	ctx, cancel := r.cfg.Clock.WithTimeout(ctx, patience)
	defer cancel()
	var g grant
	select {
	case g = <-w.done:
	case <-ctx.Done():
		var ok bool
		if g, ok = s.leave(w); !ok {
			return Reservation{}, refuse(ErrBudgetUnreachable{Budget: budget, Tokens: tokens}, "patience")
		}
	}
	if g.err != nil {
		return Reservation{}, g.err
	}
	return Reservation{Budget: budget, Tokens: tokens, ID: g.id}, nil
}

// wantRefill queues the shard for a refill.
func (r *Reserver) wantRefill(s *shard) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.queued {
		s.queued = r.refills.Offer(s)
	}
}

func (r *Reserver) serveRefills(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-r.refills.Items():
			r.refill(ctx, s)
		}
	}
}

// refill gets headroom for the budgets of a shard that lack it.
func (r *Reserver) refill(ctx context.Context, s *shard) {
	s.startRefill()
	reached := r.balance(ctx, s)
	s.endRefill(reached)
}

func (s *shard) startRefill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queued = false
	for _, w := range s.waiters {
		w.seen = true
	}
}

// endRefill refuses the waiters that the refill could not serve, unless
// requests in flight may free tokens.
func (s *shard) endRefill(reached bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.waiters[:0]
	for _, w := range s.waiters {
		if !w.seen || s.allotter.Reserved(w.budget) > 0 {
			kept = append(kept, w)
			continue
		}
		w.done <- grant{err: verdict(w, reached)}
	}
	clear(s.waiters[len(kept):])
	s.waiters = kept
	s.tellNeeds()
}

func verdict(w *waiter, reached bool) error {
	if reached {
		return refuse(ErrBudgetExhausted{Budget: w.budget, Tokens: w.tokens}, "exhausted")
	}
	return refuse(ErrBudgetUnreachable{Budget: w.budget, Tokens: w.tokens}, "unreachable")
}

// inspect looks at the budgets in use and queues refills.
func (r *Reserver) inspect(ctx context.Context) {
	for r.cfg.Clock.Sleep(ctx, inspectPause) == nil {
		for _, s := range r.usedShards() {
			r.wantRefill(s)
		}
	}
}
