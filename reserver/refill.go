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
	refillRetryDelay    = 100 * clocker.Millis(1)
	maxRefillRetryDelay = clocker.Second
	// manyHosts is how many hosts of an availability zone are too many for each of them
	// to go to the platform for what its holders lack.
	maxDirectHosts = 2 * allotter.HoldersPerZone
	// verdictAge is how long a refusal's reason holds for the next requests.
	freshAge = clocker.Second
)

// verdict is why requests of a budget were refused.
type refusal struct {
	at     clocker.Millis
	tokens int64
	rank   int
	// answered is true if the platform itself said that nothing is left.
	exhausted bool
}

// round is the progress of one refill.
type refillProgress struct {
	// number is that of the refill.
	number int64
	// answered is true once the platform's last word was taken in.
	platformAnswered bool
	// contended is true if the platform was reached, but calls were held back by
	// a rate bound or met conflicts.
	contended bool
	// heard is true if a holder of the own availability zone answered.
	holderAnswered bool
	// exhausted are budgets of which a holder knows from the platform that
	// nothing is left.
	exhausted map[string]bool
	// busy are budgets of which requests in flight at peers may free tokens.
	busy map[string]bool
}

func countRefusal(err error, reason string) error {
	metrics.GetOrCreateCounter(`cowsliphinge_budget_refusals_total{reason="` + reason + `"}`).Inc()
	return err
}

func (v refusal) err(budget string, tokens int64) error {
	if v.exhausted {
		return countRefusal(ErrBudgetExhausted{Budget: budget, Tokens: tokens}, "exhausted")
	}
	return countRefusal(ErrBudgetUnreachable{Budget: budget, Tokens: tokens}, "unreachable")
}

// refuseAtOnce returns an error if waiting cannot help a request.
func (r *Reserver) refuseImmediately(s *shard, w *waiter, remaining clocker.Millis) error {
	if r.closing.Load() {
		return countRefusal(ErrBudgetUnreachable{Budget: w.budget, Tokens: w.tokens}, "closing")
	}
	if remaining <= 0 {
		return countRefusal(ErrBudgetUnreachable{Budget: w.budget, Tokens: w.tokens}, "late")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.refusals[w.budget]
	fresh := ok && r.cfg.Clock.Now()-v.at < freshAge
	if fresh && w.tokens >= v.tokens && w.rank >= v.rank && !s.inFlightMayCover(w) {
		return v.err(w.budget, w.tokens)
	}
	return nil
}

// await waits for headroom.
func (r *Reserver) waitForHeadroom(ctx context.Context, s *shard, w *waiter, deadline clocker.Millis) (Reservation, error) {
	s.addWaiter(w)
	r.queueRefill(s)
	patience := min(deadline-r.cfg.Clock.Now(), clocker.Millis(r.cfg.Policy().PatienceMs))
	ctx, cancel := r.cfg.Clock.WithTimeout(ctx, patience)
	defer cancel()
	select {
	case g := <-w.done:
		return g.reservation(w)
	case <-ctx.Done():
		return s.timeOut(w)
	}
}

// mayBeFreed reports whether requests in flight here are expected to free what a
// request lacks. The caller holds mu.
func (s *shard) inFlightMayCover(w *waiter) bool {
	expectedFree := s.allotter.MayFree(w.budget)
	return expectedFree > 0 && s.allotter.Headroom(w.budget)+expectedFree >= w.tokens
}

// giveUp ends the wait of a request whose patience is over.
func (s *shard) timeOut(w *waiter) (Reservation, error) {
	if g, ok := s.removeWaiter(w); ok {
		return g.reservation(w)
	}
	return Reservation{}, countRefusal(ErrBudgetUnreachable{Budget: w.budget, Tokens: w.tokens}, "patience")
}

func (g waitResult) reservation(w *waiter) (Reservation, error) {
	if g.err != nil {
		return Reservation{}, g.err
	}
	return Reservation{Budget: w.budget, Tokens: w.tokens, ID: g.id}, nil
}

// wantRefill queues the shard for a refill.
func (r *Reserver) queueRefill(s *shard) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.refillQueued {
		s.refillQueued = r.refillQueue.Offer(s)
	}
}

func (r *Reserver) refillLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-r.refillQueue.Items():
			r.refill(ctx, s)
		}
	}
}

// refill gets headroom for the budgets of a shard that lack it: from the holders
// of the own availability zone, from the platform, then as a loan from peers.
// While the platform does not answer, peers are asked first.
func (r *Reserver) refill(ctx context.Context, s *shard) {
	number := s.startRefill(r.platformUnreachable())
	v := r.viewFleet()
	progress := refillProgress{number: number, exhausted: map[string]bool{}, busy: map[string]bool{}}
	r.requestFromHolders(ctx, s, v, &progress)
	if r.platformUnreachable() {
		r.requestLoans(ctx, s, v, &progress)
	}
	switch {
	case !r.platformDue(s, v):
	case r.cfg.HoldersFirst && progress.holderAnswered && !s.platformMayHelp(progress.exhausted):
	case r.cfg.HoldersFirst && progress.holderAnswered && len(v.zoneHosts) > maxDirectHosts:
		progress.contended = true // the holders go to the platform for all
	default:
		b := r.balance(ctx, s, v)
		progress.platformAnswered = b.answered
		progress.contended = b.contended
	}
	r.requestLoans(ctx, s, v, &progress)
	r.returnToPeers(ctx, s, v)
	s.endRefill(progress, r.cfg.Clock.Now())
}

// lacks reports whether requests wait for tokens that may be left at the platform.
func (s *shard) platformMayHelp(exhausted map[string]bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.waiters {
		if !exhausted[w.budget] && s.allotter.Headroom(w.budget) < w.tokens {
			return true
		}
	}
	return false
}

func (r *Reserver) platformDue(s *shard, v *fleetView) bool {
	c := r.circumstances(s, v)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allotter.PlatformDue(c)
}

// isAway reports whether the platform is out of reach, as far as is known.
func (r *Reserver) platformUnreachable() bool {
	return r.platform.lastCallFailed() || !r.cfg.PlatformReachable()
}

// startRefill returns the number of the refill that starts.
func (s *shard) startRefill(unreachable bool) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allotter.SetAway(unreachable)
	s.refillQueued = false
	s.refillsStarted++
	for _, w := range s.waiters {
		if w.firstRefill == 0 {
			w.firstRefill = s.refillsStarted
		}
	}
	return s.refillsStarted
}

// endRefill refuses the requests that the refill could not serve, unless
// something in flight may still help them. Those that came after it had started are
// left to a later one.
func (s *shard) endRefill(progress refillProgress, now clocker.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grantWaiters(now)
	s.endWaits(func(w *waiter) (waitResult, bool) {
		if w.firstRefill == 0 || w.firstRefill > progress.number || progress.contended || progress.busy[w.budget] || s.inFlightMayCover(w) {
			return waitResult{}, false
		}
		keptForUrgent := allotter.Rest(s.allotter.Object(w.budget)) >= w.tokens // but kept for urgent requests
		v := refusal{at: now, tokens: w.tokens, rank: w.rank, exhausted: progress.platformAnswered && !keptForUrgent || progress.exhausted[w.budget]}
		s.refusals[w.budget] = v
		return waitResult{err: v.err(w.budget, w.tokens)}, true
	})
	s.nextRefillAt = now + s.refillDelay
	s.refillDelay = min(2*s.refillDelay, maxRefillRetryDelay)
}
