package reserver

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"

	"cowsliphinge/allotter"
	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/storer"
)

const (
	// maxWriteAttempts bounds the write attempts of one call of updateEntries.
	maxWriteAttempts = 6
	// maxBackoffDoublings is how often the delay after a conflict doubles. Longer delays than the requests wait
	// keep the shard's platformSlot from them.
	maxBackoffDoublings = 2
	// rateLimitDelay is the delay after a call that was rate limited.
	rateLimitDelay = 50 * clocker.Millis(1)
	// probeInterval is the minimum time between two calls while the platform does not
	// answer.
	probeInterval = clocker.Second
	// staleReadAge is the age from which the known content of an object is refreshed
	// before a write, in milliseconds; it is several response times of the store.
	staleReadAge = 20 * clocker.Millis(1)
	// staleReadLag is how old the result of GetStale may be, in milliseconds. It is not used for
	// so long after a restore of the store.
	staleReadLag = 30 * clocker.Second
)

var (
	writes          = metrics.NewCounter("cowsliphinge_budget_writes_total")
	writeConflicts  = metrics.NewCounter("cowsliphinge_budget_write_conflicts_total")
	unknownOutcomes = metrics.NewCounter("cowsliphinge_budget_unknown_outcomes_total")
	returnedTokens  = metrics.NewCounter("cowsliphinge_budget_returned_tokens_total")
	callsSkipped    = metrics.NewCounter("cowsliphinge_budget_platform_skipped_total")
)

// platformHealth records whether the platform answers, so that not every request
// waits for a platform that is down.
type platformHealth struct {
	mu         sync.Mutex
	lastFailed bool
	probedAt   clocker.Millis
}

// mayCall reports whether a call should be made now. While the platform does not
// answer, it allows one call per probeInterval.
func (h *platformHealth) mayCall(now clocker.Millis) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lastFailed && now-h.probedAt < probeInterval {
		callsSkipped.Inc()
		return false
	}
	h.probedAt = now
	return true
}

// record records the result of a call. A rate limit is not a sign of health or failure.
func (h *platformHealth) record(err error) {
	if storer.IsErrRateLimited(err) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastFailed = storer.IsErrOutcomeUnknown(err)
}

// lastCallFailed reports whether the last call got no answer.
func (h *platformHealth) lastCallFailed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastFailed
}

// updateOutcome is the outcome of updateEntries.
type updateOutcome struct {
	// answered is true if a write was confirmed, or if none is due according to
	// content that was read recently.
	answered bool
	// contended is true if a call was rate limited, or if no write was confirmed in
	// all attempts because of conflicts or unknown outcomes.
	contended bool
}

// updateEntries adjusts the own entries of a shard to the policy, in one write for all its
// budgets.
func (r *Reserver) updateEntries(ctx context.Context, s *shard, v *fleetView) updateOutcome {
	if !r.cfg.PlatformReachable() || !r.platform.mayCall(r.cfg.Clock.Now()) {
		return updateOutcome{}
	}
	promises := r.requestPromises(ctx, s, v)
	if !s.acquirePlatformSlot(ctx) {
		return updateOutcome{}
	}
	defer s.releasePlatformSlot()
	conditions := func() allotter.Conditions {
		c := r.conditions(s, v)
		c.GuardPromises = promises
		return c
	}
	s.forgetIfRestored(conditions(), r.cfg.StoreEra())
	r.refreshBeforeWrite(ctx, s)
	for attempt := range maxWriteAttempts {
		w, due := s.planWithoutRead(conditions())
		if !due {
			if s.nothingDue(conditions()) {
				return updateOutcome{}
			}
			if s.isFresh(r.cfg.Clock.Now()) {
				return updateOutcome{answered: true}
			}
			if err := r.read(ctx, s); err != nil {
				return updateOutcome{contended: storer.IsErrRateLimited(err)}
			}
			w, due = s.plan(conditions())
		}
		if !due {
			return updateOutcome{answered: true}
		}
		err := r.write(ctx, s, w)
		if err == nil {
			return updateOutcome{answered: true}
		}
		if storer.IsErrRateLimited(err) {
			break
		}
		if !storer.IsErrConflict(err) && !storer.IsErrOutcomeUnknown(err) {
			return updateOutcome{}
		}
		if r.cfg.ConflictBackoff > 0 && !s.hasPendingWork() {
			return updateOutcome{} // retried by the next inspection
		}
		// The conflict told the present object, so the next attempt mostly succeeds. A repeated conflict
		// means that there are more writers than the delay spreads out, so it grows.
		if longest := r.cfg.ConflictBackoff << min(attempt, maxBackoffDoublings); longest > 0 && r.cfg.Clock.Sleep(ctx, clocker.Millis(rand.Int64N(int64(longest)))) != nil {
			return updateOutcome{}
		}
	}
	return updateOutcome{contended: true}
}

// refreshBeforeWrite merges the shard's object, as read by GetStale, before a write
// that may conflict with one of another host. The result may be out of date, which is
// safe because the write is conditional.
func (r *Reserver) refreshBeforeWrite(ctx context.Context, s *shard) {
	if r.cfg.GetStale == nil {
		return
	}
	s.mu.Lock()
	due := s.contentKnown && r.cfg.Clock.Now()-s.allotter.ContentAt() >= staleReadAge && !s.restoredWithin(staleReadLag, r.cfg.Clock.Now())
	s.mu.Unlock()
	if !due {
		return
	}
	calledAt := r.cfg.Clock.Now()
	o, err := r.cfg.GetStale(ctx, s.key)
	if err != nil {
		r.platform.record(err)
		return // the write reports the failure
	}
	object := &messenger.BudgetShard{}
	if err := proto.Unmarshal(o.Value, object); err != nil {
		slog.Warn("budgets can't be read", "key", s.key, "version", o.Version, "cause", err.Error())
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allotter.ObserveContact(calledAt)
	if o.Version > s.allotter.Version() {
		s.allotter.Merge(o.Version, object, r.cfg.Clock.Now())
		s.reserveForWaiters(r.cfg.Clock.Now())
	}
}

// read reads and merges the shard's object; a missing one counts as empty.
func (r *Reserver) read(ctx context.Context, s *shard) error {
	o, err := r.cfg.Store.Get(ctx, s.key)
	r.platform.record(err)
	if err != nil && !storer.IsErrNotFound(err) {
		return err
	}
	object := &messenger.BudgetShard{}
	if err := proto.Unmarshal(o.Value, object); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := r.cfg.Clock.Now()
	s.allotter.Merge(o.Version, object, now)
	s.logRestore(false, now)
	s.contentKnown = true
	s.reserveForWaiters(now)
	return nil
}

// write executes a planned write and reports its outcome to the allotter.
func (r *Reserver) write(ctx context.Context, s *shard, w allotter.Write) error {
	value, err := proto.Marshal(w.Value)
	if err != nil {
		return err
	}
	var o storer.Object
	if w.Version == 0 {
		o, err = r.cfg.Store.Create(ctx, s.key, value)
	} else {
		o, err = r.cfg.Store.Update(ctx, s.key, w.Version, value)
	}
	r.platform.record(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contentKnown = err == nil
	switch {
	case err == nil:
		writes.Inc()
		if w.Returned > 0 {
			returnedTokens.AddInt64(w.Returned)
			slog.Info("tokens of an earlier incarnation are returned", "key", s.key, "tokens", w.Returned, "opened", w.Opened)
		}
		r.recordClosed(s, w.Silent)
		clear(s.refusals)
		unsettled := s.allotter.Unsettled()
		s.allotter.Confirm(w, o.Version, r.cfg.Clock.Now())
		s.logRestore(unsettled, r.cfg.Clock.Now())
		s.reserveForWaiters(r.cfg.Clock.Now())
	case storer.IsErrOutcomeUnknown(err):
		unknownOutcomes.Inc()
		s.allotter.OutcomeUnknown(w)
	default:
		writeConflicts.Inc()
		s.allotter.Rejected(w)
		s.contentKnown = r.mergeConflict(s, err)
	}
	return err
}

// hasPendingWork reports whether requests wait, or entries are to be closed or to be written again.
func (s *shard) hasPendingWork() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiters) > 0 || s.closing || s.allotter.Unsettled()
}

// mergeConflict merges the object that a conflict error carries. It reports whether
// there was one. The caller holds the shard's lock.
func (r *Reserver) mergeConflict(s *shard, err error) bool {
	var conflict storer.ErrConflict
	if !errors.As(err, &conflict) || conflict.Value == nil {
		return false
	}
	object := &messenger.BudgetShard{}
	if proto.Unmarshal(conflict.Value, object) != nil {
		return false
	}
	s.allotter.Merge(conflict.Version, object, r.cfg.Clock.Now())
	return true
}

// planWithoutRead plans on the content that the last call left, without another read.
// That is safe: a write on content that has changed meanwhile has no effect.
func (s *shard) planWithoutRead(c allotter.Conditions) (allotter.Write, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.contentKnown {
		return allotter.Write{}, false
	}
	return s.allotter.Plan(c)
}

func (s *shard) plan(c allotter.Conditions) (allotter.Write, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allotter.Plan(c)
}

// nothingDue reports whether nothing is due by the known content, since another host has renewed the leases
// meanwhile, so that no read is needed either. A shard that closes has to read what a write in doubt left.
func (s *shard) nothingDue(c allotter.Conditions) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.contentKnown && !s.closing && !s.allotter.PlatformCallDue(c)
}

// isFresh reports whether the content was read so recently that another read is not
// needed. It is false if requests wait for a budget that the content lacks, because the
// budget's first top-up may have happened since.
func (s *shard) isFresh(now clocker.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	unknown := slices.ContainsFunc(s.waiters, func(w *waiter) bool { return s.allotter.KnownBudget(w.budget) == nil })
	return s.contentKnown && !unknown && now-s.allotter.ContentAt() < freshAge
}

// acquirePlatformSlot waits for the shard's platformSlot.
func (s *shard) acquirePlatformSlot(ctx context.Context) bool {
	select {
	case s.platformSlot <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *shard) releasePlatformSlot() {
	<-s.platformSlot
}
