package reserver

import (
	"context"

	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/allotter"
	"cowsliphinge/clocker"
)

const (
	// refillRetryDelay is the first delay between refills for requests that still
	// wait; it doubles up to maxRefillRetryDelay.
	refillRetryDelay    = 100 * clocker.Millis(1)
	maxRefillRetryDelay = clocker.Second
	// maxDirectHosts is the number of hosts of an availability zone up to which each host
	// may call the platform itself for tokens that its holders lack. In larger zones the
	// holders call it for all.
	maxDirectHosts = 2 * allotter.HoldersPerZone
	// freshAge is how long the reason of a refusal applies to further requests, and how
	// long content read from the platform counts as fresh.
	freshAge = clocker.Second
)

// refusal is the reason for which a request for a budget was refused. It applies to
// later requests for at least as many tokens at the same or a less urgent (higher)
// rank.
type refusal struct {
	at     clocker.Millis
	tokens int64
	rank   int
	// exhausted is true if the platform reported that not enough is left.
	exhausted bool
	// expectedAt is when tokens are expected, 0 if that is not known.
	expectedAt clocker.Millis
}

// refillProgress is the progress of one refill.
type refillProgress struct {
	// number identifies the refill within its shard.
	number int64
	// platformAnswered is true once the current state at the platform is known.
	platformAnswered bool
	// contended is true if the platform was reachable, but calls were rate limited,
	// met conflicts or were left to the holders.
	contended bool
	// holderAnswered is true if a holder of the own availability zone answered.
	holderAnswered bool
	// exhausted are the budgets that peers reported as used up according to the
	// platform.
	exhausted map[string]bool
	// busy are the budgets for which requests in flight at peers may free tokens.
	busy map[string]bool
}

func countRefusal(err error, reason string) error {
	metrics.GetOrCreateCounter(`cowsliphinge_budget_refusals_total{reason="` + reason + `"}`).Inc()
	return err
}

func (f refusal) err(budget string, tokens int64, now clocker.Millis) error {
	if f.exhausted {
		return countRefusal(ErrBudgetExhausted{Budget: budget, Tokens: tokens}, "exhausted")
	}
	return countRefusal(ErrBudgetUnreachable{Budget: budget, Tokens: tokens, ExpectedIn: max(0, f.expectedAt-now)}, "unreachable")
}

// refuseImmediately returns an error if waiting cannot help a request.
func (r *Reserver) refuseImmediately(s *shard, w *waiter, remaining clocker.Millis) error {
	if r.closing.Load() {
		return countRefusal(ErrBudgetUnreachable{Budget: w.budget, Tokens: w.tokens}, "closing")
	}
	if remaining <= 0 {
		return countRefusal(ErrBudgetUnreachable{Budget: w.budget, Tokens: w.tokens}, "late")
	}
	now := r.cfg.Clock.Now()
	pausedUntil := r.holdersPausedUntil(s, w.budget)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.neverFits(w, now) {
		return refusal{exhausted: true}.err(w.budget, w.tokens, now)
	}
	if s.inFlightMayCover(w) {
		return nil
	}
	f, ok := s.refusals[w.budget]
	if ok && now-f.at < freshAge && w.tokens >= f.tokens && w.rank >= f.rank {
		return f.err(w.budget, w.tokens, now)
	}
	if pausedUntil-now > min(remaining, clocker.Millis(r.cfg.Policy().PatienceMs)) {
		return refusal{expectedAt: pausedUntil}.err(w.budget, w.tokens, now)
	}
	return nil
}

// waitForHeadroom waits for tokens until the deadline, at most for the policy's PatienceMs.
func (r *Reserver) waitForHeadroom(ctx context.Context, s *shard, w *waiter, deadline clocker.Millis) (Reservation, error) {
	s.addWaiter(w)
	r.queueRefill(s)
	maxWait := min(deadline-r.cfg.Clock.Now(), clocker.Millis(r.cfg.Policy().PatienceMs))
	ctx, cancel := r.cfg.Clock.WithTimeout(ctx, maxWait)
	defer cancel()
	select {
	case result := <-w.result:
		return result.reservation(w)
	case <-ctx.Done():
		return s.timeOut(w, r.expectedAt(s, w.budget)[w.budget]-r.cfg.Clock.Now())
	}
}

// neverFits reports whether content from the platform that was read recently shows that a request is larger than all
// that may be unspent. The caller holds mu.
func (s *shard) neverFits(w *waiter, now clocker.Millis) bool {
	return s.contentKnown && now-s.allotter.ContentAt() < freshAge && w.tokens > s.allotter.MostUnspent(w.budget)
}

// inFlightMayCover reports whether requests in flight here are expected to free the
// tokens that a request lacks. The caller holds mu.
func (s *shard) inFlightMayCover(w *waiter) bool {
	expectedFree := s.allotter.ExpectedUnused(w.budget)
	return expectedFree > 0 && s.allotter.Headroom(w.budget)+expectedFree >= w.tokens
}

// timeOut ends the wait of a request that has waited for the longest allowed time. expectedIn is the time until
// tokens are expected.
func (s *shard) timeOut(w *waiter, expectedIn clocker.Millis) (Reservation, error) {
	if result, ok := s.removeWaiter(w); ok {
		return result.reservation(w)
	}
	return Reservation{}, countRefusal(ErrBudgetUnreachable{Budget: w.budget, Tokens: w.tokens, ExpectedIn: max(0, expectedIn)}, "patience")
}

func (result waitResult) reservation(w *waiter) (Reservation, error) {
	if result.err != nil {
		return Reservation{}, result.err
	}
	return Reservation{Budget: w.budget, Tokens: w.tokens, ID: result.reservationID}, nil
}

// queueRefill queues the shard for a refill unless it is queued already.
func (r *Reserver) queueRefill(s *shard) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.refillQueued {
		s.refillQueued = r.refillQueue.TryEnqueue(s)
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

// refill obtains headroom for the budgets of a shard that lack it: from the holders of
// the own availability zone, from the platform, then as loans from peers. While the
// platform is unreachable, loans are requested before it is tried.
func (r *Reserver) refill(ctx context.Context, s *shard) {
	number := s.startRefill(r.platformUnreachable())
	v := r.viewFleet()
	progress := refillProgress{number: number, exhausted: map[string]bool{}, busy: map[string]bool{}}
	r.requestFromHolders(ctx, s, v, &progress)
	if r.platformUnreachable() {
		r.requestLoans(ctx, s, v, &progress)
	} else {
		r.requestUnguarded(ctx, s, v, &progress)
	}
	switch {
	case !r.platformDue(s, v): // nothing is due
	case s.unsettled() || s.behindStore(r.cfg.StoreEra()): // peers can't write the entries of this host
		outcome := r.updateEntries(ctx, s, v)
		progress.platformAnswered = outcome.answered && !s.unsettled()
		progress.contended = outcome.contended
	case r.cfg.HoldersFirst && progress.holderAnswered && !s.platformMayHelp(progress.exhausted):
		// All budgets whose waiting requests lack tokens are used up, as peers reported.
	case r.cfg.HoldersFirst && progress.holderAnswered && len(v.zoneHosts) > maxDirectHosts:
		// The holders call the platform for the whole zone. If it is away and they asked for pauses, waiting
		// can't help.
		progress.contended = progress.contended || r.holdersPausedUntil(s, s.waitedFor()...) == 0
	default:
		outcome := r.updateEntries(ctx, s, v)
		progress.platformAnswered = outcome.answered
		progress.contended = outcome.contended
	}
	r.requestLoans(ctx, s, v, &progress)
	r.returnToPeers(ctx, s, v)
	s.endRefill(progress, r.expectedAt(s, s.waitedFor()...), r.cfg.Clock.Now())
}

// platformMayHelp reports whether requests wait for tokens of a budget that is not in
// exhausted.
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
	c := r.conditions(s, v)
	behind := s.behindStore(r.cfg.StoreEra())
	s.mu.Lock()
	defer s.mu.Unlock()
	return behind || s.allotter.PlatformCallDue(c)
}

// platformUnreachable reports whether the platform is believed to be unreachable.
func (r *Reserver) platformUnreachable() bool {
	return r.platform.lastCallFailed() || !r.cfg.PlatformReachable()
}

// startRefill marks the waiting requests as covered by a new refill and returns its
// number.
func (s *shard) startRefill(platformUnreachable bool) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allotter.SetPlatformUnreachable(platformUnreachable)
	s.refillQueued = false
	s.refillsStarted++
	for _, w := range s.waiters {
		if w.firstRefill == 0 {
			w.firstRefill = s.refillsStarted
		}
	}
	return s.refillsStarted
}

// endRefill refuses the requests that the refill could not serve, unless reservations
// in flight, a retry or the holders may still provide the tokens. Requests that arrived
// after it had started are left to a later refill.
func (s *shard) endRefill(progress refillProgress, expectedAt map[string]clocker.Millis, now clocker.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reserveForWaiters(now)
	s.endWaits(func(w *waiter) (waitResult, bool) {
		if w.firstRefill == 0 || w.firstRefill > progress.number || progress.contended || progress.busy[w.budget] || s.inFlightMayCover(w) {
			return waitResult{}, false
		}
		keptForUrgent := allotter.Unassigned(s.allotter.KnownBudget(w.budget)) >= w.tokens // enough is unassigned, but kept for urgent requests
		f := refusal{at: now, tokens: w.tokens, rank: w.rank, exhausted: progress.platformAnswered && !keptForUrgent || progress.exhausted[w.budget]}
		f.expectedAt = expectedAt[w.budget]
		s.refusals[w.budget] = f
		return waitResult{err: f.err(w.budget, w.tokens, now)}, true
	})
	s.nextRefillAt = now + s.refillDelay
	s.refillDelay = min(2*s.refillDelay, maxRefillRetryDelay)
}
