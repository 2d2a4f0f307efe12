package reserver

import (
	"context"
	"log/slog"
	"slices"

	"github.com/VictoriaMetrics/metrics"
)

// ownEntriesClosed counts the entries of this host that another host has closed.
var ownEntriesClosed = metrics.NewCounter("cowsliphinge_budget_own_entries_closed_total")

// Close returns surplus tokens to peers, then all other unspent tokens to the platform
// by closing the entries of this incarnation, and stops the background tasks. Open
// reservations are charged in full. If ctx ends before the entries are closed, Close
// returns its error, and tokens that were not returned stay charged. Close waits for
// the tasks until ctx ends, and returns no error if only they take longer. A further
// call returns nil immediately.
func (r *Reserver) Close(ctx context.Context) error {
	if r.closing.Swap(true) {
		return nil
	}
	err := r.closeShards(ctx)
	r.stop()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = r.tasks.Wait()
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
	return err
}

func (r *Reserver) closeShards(ctx context.Context) error {
	shards := r.activeShards()
	for _, s := range shards {
		s.startClosing()
	}
	for _, s := range shards {
		r.returnToPeers(ctx, s, r.viewFleet())
	}
	for _, s := range shards {
		for !s.isClosed() {
			if r.updateEntries(ctx, s, r.viewFleet()).answered {
				continue
			}
			if err := r.cfg.Clock.Sleep(ctx, rateLimitDelay); err != nil {
				return err
			}
		}
	}
	return nil
}

// startClosing stops new reservations and refuses the waiting requests.
func (s *shard) startClosing() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	s.allotter.StartClosing()
	s.endWaits(func(w *waiter) (waitResult, bool) {
		return waitResult{err: countRefusal(ErrBudgetUnreachable{Budget: w.budget, Tokens: w.tokens}, "closing")}, true
	})
}

func (s *shard) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allotter.Closed()
}

// logClosedByOthers logs the budgets whose entry of this host another host has closed since the last call. The
// caller holds mu.
func (s *shard) logClosedByOthers() {
	closed := s.allotter.ClosedByOthers()
	for _, budget := range closed {
		if !slices.Contains(s.closedByOthers, budget) {
			slog.Warn("another host has closed the entry of this one", "key", s.key, "account", budget)
			ownEntriesClosed.Inc()
		}
	}
	s.closedByOthers = closed
}
