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
	// writeAttempts bounds the writes of one exchange that meet conflicts.
	writeAttempts = 6
	// ratePause is the wait after a call that the rate bound held back.
	ratePause = 50 * clocker.Millis(1)
	// probePause is the time between two calls to a platform that left the last
	// one unanswered.
	probePause = clocker.Second
	// peekAge is how old what is known of an object may be for a write to go by it, in
	// milliseconds: several answers of the store.
	peekAge = 20 * clocker.Millis(1)
)

var (
	writes          = metrics.NewCounter("cowsliphinge_budget_writes_total")
	writeConflicts  = metrics.NewCounter("cowsliphinge_budget_write_conflicts_total")
	unknownOutcomes = metrics.NewCounter("cowsliphinge_budget_unknown_outcomes_total")
	callsSkipped    = metrics.NewCounter("cowsliphinge_budget_platform_skipped_total")
)

// health remembers whether the platform answers, so that requests do not each
// wait for a platform that is down.
type health struct {
	mu     sync.Mutex
	failed bool
	probed clocker.Millis
}

// mayCall reports whether a call is worth its wait now.
func (h *health) mayCall(now clocker.Millis) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failed && now-h.probed < probePause {
		callsSkipped.Inc()
		return false
	}
	h.probed = now
	return true
}

// note takes in how a read ended. A rate bound tells nothing.
func (h *health) note(err error) {
	if storer.IsErrRateLimited(err) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failed = storer.IsErrOutcomeUnknown(err)
}

// isFailed reports whether the last call was left unanswered.
func (h *health) isFailed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failed
}

// balanced tells how far balance came.
type balanced struct {
	answered  bool
	contended bool
}

// balance brings the own entries of a shard to what the policy wants, in one
// write for all its budgets.
func (r *Reserver) balance(ctx context.Context, s *shard, v *view) balanced {
	if !r.cfg.Reachable() || !r.platform.mayCall(r.cfg.Clock.Now()) || !s.take(ctx) {
		return balanced{}
	}
	defer s.release()
	r.peek(ctx, s)
	for attempt := range writeAttempts {
		w, due := s.planKnown(r.circumstances(s, v))
		if !due {
			if s.isFresh(r.cfg.Clock.Now()) {
				return balanced{answered: true}
			}
			if err := r.read(ctx, s); err != nil {
				return balanced{contended: storer.IsErrRateLimited(err)}
			}
			w, due = s.plan(r.circumstances(s, v))
		}
		if !due {
			return balanced{answered: true}
		}
		err := r.write(ctx, s, w)
		if err == nil {
			return balanced{answered: true}
		}
		if storer.IsErrRateLimited(err) {
			break
		}
		if !storer.IsErrConflict(err) && !storer.IsErrOutcomeUnknown(err) {
			return balanced{}
		}
		if r.cfg.ConflictPause > 0 && !s.urgent() {
			return balanced{} // the next look tries again
		}
		// Writers that met again are more than the pause spreads.
		if pause := r.cfg.ConflictPause << attempt; pause > 0 && r.cfg.Clock.Sleep(ctx, pause+clocker.Millis(rand.Int64N(int64(pause)))) != nil {
			return balanced{}
		}
	}
	return balanced{contended: true}
}

// peek takes in the shard's object before a write that may meet one of another host.
// What it tells may be old: the write is conditional.
func (r *Reserver) peek(ctx context.Context, s *shard) {
	if r.cfg.Peek == nil {
		return
	}
	s.mu.Lock()
	due := s.known && r.cfg.Clock.Now()-s.allotter.ReadAt() >= peekAge
	s.mu.Unlock()
	if !due {
		return
	}
	o, err := r.cfg.Peek(ctx, s.key)
	if err != nil {
		r.platform.note(err)
		return // the write tells
	}
	object := &messenger.BudgetShard{}
	if err := proto.Unmarshal(o.Value, object); err != nil {
		slog.Warn("budgets can't be read", "key", s.key, "version", o.Version, "cause", err.Error())
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.Version > s.allotter.Version() {
		s.allotter.Merge(o.Version, object, r.cfg.Clock.Now())
		s.wake(r.cfg.Clock.Now())
	}
}

// read takes in the shard's object; a missing one is empty.
func (r *Reserver) read(ctx context.Context, s *shard) error {
	o, err := r.cfg.Store.Get(ctx, s.key)
	r.platform.note(err)
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
	s.known = true
	s.wake(now)
	return nil
}

// write sends a planned write and tells the allotter its outcome.
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
	r.platform.note(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known = err == nil
	switch {
	case err == nil:
		writes.Inc()
		clear(s.verdicts)
		s.allotter.Confirm(w, o.Version, r.cfg.Clock.Now())
		s.wake(r.cfg.Clock.Now())
	case storer.IsErrOutcomeUnknown(err):
		unknownOutcomes.Inc()
		s.allotter.OutcomeUnknown(w)
	default:
		writeConflicts.Inc()
		s.allotter.Conflict(w)
		s.known = r.merge(s, err)
	}
	return err
}

// urgent reports whether requests wait or entries are to be closed.
func (s *shard) urgent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiters) > 0 || s.closing
}

// merge takes in the object that a conflict told of. It reports whether it did.
// The caller holds the shard's lock.
func (r *Reserver) merge(s *shard, err error) bool {
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

// planKnown plans on the content that the last call told, without reading it
// again: a write on content that has changed has no effect.
func (s *shard) planKnown(c allotter.Conditions) (allotter.Write, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.known {
		return allotter.Write{}, false
	}
	return s.allotter.Plan(c)
}

func (s *shard) plan(c allotter.Conditions) (allotter.Write, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allotter.Plan(c)
}

// isFresh reports whether the platform told the content just now, so that a read
// would tell nothing new. Of a budget that is not there this is never taken for granted:
// its first top-up may have just come.
func (s *shard) isFresh(now clocker.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	unknown := slices.ContainsFunc(s.waiters, func(w *waiter) bool { return s.allotter.KnownBudget(w.budget) == nil })
	return s.known && !unknown && now-s.allotter.ReadAt() < verdictAge
}

// take waits for the shard's turn at the platform.
func (s *shard) take(ctx context.Context) bool {
	select {
	case s.turn <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *shard) release() {
	<-s.turn
}
