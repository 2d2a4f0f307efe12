package reserver

import (
	"context"

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
)

var (
	extensions      = metrics.NewCounter("cowsliphinge_budget_writes_total")
	writeConflicts  = metrics.NewCounter("cowsliphinge_budget_write_conflicts_total")
	unknownOutcomes = metrics.NewCounter("cowsliphinge_budget_unknown_outcomes_total")
)

// balance brings the own entries of a shard to what the policy wants. It
// returns true if the platform answered and its last word was taken in.
func (r *Reserver) balance(ctx context.Context, s *shard) bool {
	if !s.take(ctx) {
		return false
	}
	defer s.release()
	for range writeAttempts {
		if err := r.read(ctx, s); err != nil {
			return false
		}
		w, due := s.plan(r.cfg.Policy(), r.cfg.Clock.Now())
		if !due {
			return true
		}
		err := r.write(ctx, s, w)
		if err == nil {
			return true
		}
		if !storer.IsErrConflict(err) && !storer.IsErrOutcomeUnknown(err) {
			return false
		}
	}
	return false
}

// read takes in the shard's object; a missing one is empty.
func (r *Reserver) read(ctx context.Context, s *shard) error {
	o, err := r.cfg.Store.Get(ctx, s.key)
	if storer.IsErrNotFound(err) {
		return nil
	}
	if err != nil {
		return err
	}
	object := &messenger.BudgetShard{}
	if err := proto.Unmarshal(o.Value, object); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allotter.Merge(o.Version, object)
	s.wake(r.cfg.Clock.Now())
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
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		extensions.Inc()
		s.allotter.Confirm(w, o.Version)
		s.wake(r.cfg.Clock.Now())
	case storer.IsErrOutcomeUnknown(err):
		unknownOutcomes.Inc()
		s.allotter.Unknown(w)
	default:
		writeConflicts.Inc()
		s.allotter.Conflict(w)
	}
	return err
}

func (s *shard) plan(policy *messenger.Policy, now clocker.Millis) (allotter.Write, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allotter.Plan(policy, now)
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

// closeShards closes the entries of all shards.
func (r *Reserver) closeShards(ctx context.Context) error {
	for _, s := range r.usedShards() {
		s.mu.Lock()
		s.allotter.StartClosing()
		s.mu.Unlock()
	}
	for _, s := range r.usedShards() {
		for !s.isClosed() {
			if r.balance(ctx, s) {
				continue
			}
			if err := r.cfg.Clock.Sleep(ctx, ratePause); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *shard) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allotter.Closed()
}
