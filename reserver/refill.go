package reserver

import (
	"context"

	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/allotter"
	"cowsliphinge/clocker"
)

const (
	// retryPause is the first pause between refills for requests that keep
	// waiting; it doubles up to maxRetryPause.
	retryPause    = 100 * clocker.Millis(1)
	maxRetryPause = clocker.Second
	// manyHosts is how many hosts of an availability zone are too many for each of them
	// to go to the platform for what its holders lack.
	manyHosts = 2 * allotter.HoldersPerZone
	// verdictAge is how long a refusal's reason holds for the next requests.
	verdictAge = clocker.Second
)

// verdict is why requests of a budget were refused.
type verdict struct {
	at     clocker.Millis
	tokens int64
	rank   int
	// answered is true if the platform itself said that nothing is left.
	answered bool
}

// round is the progress of one refill.
type round struct {
	// number is that of the refill.
	number int64
	// answered is true once the platform's last word was taken in.
	answered bool
	// contended is true if the platform was reached, but calls were held back by
	// a rate bound or met conflicts.
	contended bool
	// heard is true if a holder of the own availability zone answered.
	heard bool
	// exhausted are budgets of which a holder knows from the platform that
	// nothing is left.
	exhausted map[string]bool
	// busy are budgets of which requests in flight at peers may free tokens.
	busy map[string]bool
}

func refuse(err error, reason string) error {
	metrics.GetOrCreateCounter(`cowsliphinge_budget_refusals_total{reason="` + reason + `"}`).Inc()
	return err
}

func (v verdict) err(budget string, tokens int64) error {
	if v.answered {
		return refuse(ErrBudgetExhausted{Budget: budget, Tokens: tokens}, "exhausted")
	}
	return refuse(ErrBudgetUnreachable{Budget: budget, Tokens: tokens}, "unreachable")
}

// refuseAtOnce returns an error if waiting cannot help a request.
func (r *Reserver) refuseAtOnce(s *shard, w *waiter, left clocker.Millis) error {
	if r.closing.Load() {
		return refuse(ErrBudgetUnreachable{Budget: w.budget, Tokens: w.tokens}, "closing")
	}
	if left <= 0 {
		return refuse(ErrBudgetUnreachable{Budget: w.budget, Tokens: w.tokens}, "late")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.verdicts[w.budget]
	fresh := ok && r.cfg.Clock.Now()-v.at < verdictAge
	if fresh && w.tokens >= v.tokens && w.rank >= v.rank && !s.mayBeFreed(w) {
		return v.err(w.budget, w.tokens)
	}
	return nil
}

// await waits for headroom.
func (r *Reserver) await(ctx context.Context, s *shard, w *waiter, deadline clocker.Millis) (Reservation, error) {
	s.join(w)
	r.wantRefill(s)
	patience := min(deadline-r.cfg.Clock.Now(), clocker.Millis(r.cfg.Policy().PatienceMs))
	ctx, cancel := r.cfg.Clock.WithTimeout(ctx, patience)
	defer cancel()
	select {
	case g := <-w.done:
		return g.reservation(w)
	case <-ctx.Done():
		return s.giveUp(w)
	}
}

// mayBeFreed reports whether requests in flight here are expected to free what a
// request lacks. The caller holds mu.
func (s *shard) mayBeFreed(w *waiter) bool {
	free := s.allotter.ExpectedUnused(w.budget)
	return free > 0 && s.allotter.Headroom(w.budget)+free >= w.tokens
}

// giveUp ends the wait of a request whose patience is over.
func (s *shard) giveUp(w *waiter) (Reservation, error) {
	if g, ok := s.leave(w); ok {
		return g.reservation(w)
	}
	return Reservation{}, refuse(ErrBudgetUnreachable{Budget: w.budget, Tokens: w.tokens}, "patience")
}

func (g grant) reservation(w *waiter) (Reservation, error) {
	if g.err != nil {
		return Reservation{}, g.err
	}
	return Reservation{Budget: w.budget, Tokens: w.tokens, ID: g.id}, nil
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

// refill gets headroom for the budgets of a shard that lack it: from the holders
// of the own availability zone, from the platform, then as a loan from peers.
// While the platform does not answer, peers are asked first.
func (r *Reserver) refill(ctx context.Context, s *shard) {
	number := s.startRefill(r.isAway())
	v := r.look()
	rd := round{number: number, exhausted: map[string]bool{}, busy: map[string]bool{}}
	r.askHolders(ctx, s, v, &rd)
	if r.isAway() {
		r.askForLoans(ctx, s, v, &rd)
	}
	switch {
	case !r.platformDue(s, v):
	case r.cfg.HoldersFirst && rd.heard && !s.lacks(rd.exhausted):
	case r.cfg.HoldersFirst && rd.heard && len(v.zone) > manyHosts:
		rd.contended = true // the holders go to the platform for all
	default:
		b := r.balance(ctx, s, v)
		rd.answered = b.answered
		rd.contended = b.contended
	}
	r.askForLoans(ctx, s, v, &rd)
	r.giveBack(ctx, s, v)
	s.endRefill(rd, r.cfg.Clock.Now())
}

// lacks reports whether requests wait for tokens that may be left at the platform.
func (s *shard) lacks(exhausted map[string]bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.waiters {
		if !exhausted[w.budget] && s.allotter.Headroom(w.budget) < w.tokens {
			return true
		}
	}
	return false
}

func (r *Reserver) platformDue(s *shard, v *view) bool {
	c := r.circumstances(s, v)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allotter.PlatformCallDue(c)
}

// isAway reports whether the platform is out of reach, as far as is known.
func (r *Reserver) isAway() bool {
	return r.platform.isFailed() || !r.cfg.Reachable()
}

// startRefill returns the number of the refill that starts.
func (s *shard) startRefill(away bool) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allotter.SetUnreachable(away)
	s.queued = false
	s.refills++
	for _, w := range s.waiters {
		if w.seenBy == 0 {
			w.seenBy = s.refills
		}
	}
	return s.refills
}

// endRefill refuses the requests that the refill could not serve, unless
// something in flight may still help them. Those that came after it had started are
// left to a later one.
func (s *shard) endRefill(rd round, now clocker.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wake(now)
	s.dismiss(func(w *waiter) (grant, bool) {
		if w.seenBy == 0 || w.seenBy > rd.number || rd.contended || rd.busy[w.budget] || s.mayBeFreed(w) {
			return grant{}, false
		}
		left := allotter.Unassigned(s.allotter.KnownBudget(w.budget)) >= w.tokens // but kept for urgent requests
		v := verdict{at: now, tokens: w.tokens, rank: w.rank, answered: rd.answered && !left || rd.exhausted[w.budget]}
		s.verdicts[w.budget] = v
		return grant{err: v.err(w.budget, w.tokens)}, true
	})
	s.again = now + s.pause
	s.pause = min(2*s.pause, maxRetryPause)
}
