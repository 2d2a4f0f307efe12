package reserver

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

const (
	// watchInterval is the time between two looks of a holder at those that it watches, in milliseconds. Guarded tokens
	// of a process that ended right after a look must not count as open.
	watchInterval = 500 * clocker.Millis(1)
	// watchTimeout bounds the wait for the answer, in milliseconds.
	watchTimeout = 400 * clocker.Millis(1)
	// watchersPerHolder is how many holders watch each other one: what it guards is returned unless all of them are
	// lost with it.
	watchersPerHolder = 3
)

var (
	holdersEnded = metrics.NewCounter("cowsliphinge_budget_holders_ended_total")
	// holdersHeardAgain counts processes that were found to have ended and sent heartbeats afterwards.
	holdersHeardAgain = metrics.NewCounter("cowsliphinge_budget_holders_heard_again_total")
)

// holderWatch is what this host knows of the holders that it watches. Any host may close the entry of a process that
// has ended, charged with what that can have spent. It needs an upper bound of the time for which guarded tokens can
// have opened. Each answer of a holder tells the age of its lease and was sent after the question, so that the lease
// started no earlier than the question less the age. A refused connection shows that the process has ended. A host that
// does not answer at all may still run.
type holderWatch struct {
	mu sync.Mutex
	// leaseStarts are the earliest times, since the boot of this machine, at which the leases of incarnations can have
	// started.
	leaseStarts map[heldLease]clocker.Millis
	asking      bool
	// ended is when processes were found to have ended, by incarnation.
	ended map[string]clocker.Millis
}

// heldLease identifies the lease of an incarnation in the object of a shard.
type heldLease struct {
	shard       int
	incarnation string
}

// guardAge returns the age of the lease of this host for a question of another one, plus 1; 0 without a lease.
func (r *Reserver) guardAge(budget string) int64 {
	s := r.shard(budget)
	s.mu.Lock()
	defer s.mu.Unlock()
	age, ok := s.allotter.GuardAge(r.cfg.Clock.Now())
	if !ok {
		return 0
	}
	return int64(age) + 1
}

// watchHolders asks the holders that this host watches for the ages of their leases, and returns what those have
// guarded whose processes have ended.
func (r *Reserver) watchHolders(ctx context.Context) {
	if r.cfg.Guard == nil || r.cfg.Exchange == nil || r.cfg.Refuses == nil || r.cfg.SinceBoot == nil || r.closing.Load() {
		return
	}
	r.logHeardAgain()
	r.holders.mu.Lock()
	busy := r.holders.asking
	r.holders.asking = true
	r.holders.mu.Unlock()
	if busy {
		return
	}
	r.tasks.Go(func() error {
		var calls sync.WaitGroup
		for _, s := range r.activeShards() {
			watched := r.watched(s)
			r.holders.forget(s.number, watched)
			for incarnation, address := range watched {
				calls.Go(func() { r.watchHolder(ctx, s, incarnation, address) })
			}
		}
		calls.Wait()
		r.holders.mu.Lock()
		defer r.holders.mu.Unlock()
		r.holders.asking = false
		return nil
	})
}

// forget removes what is known of the leases of a shard whose incarnations are not watched any more.
func (h *holderWatch) forget(shard int, watched map[string]string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	maps.DeleteFunc(h.leaseStarts, func(l heldLease, _ clocker.Millis) bool {
		_, known := watched[l.incarnation]
		return l.shard == shard && !known
	})
}

// watched returns the addresses of the holders of a shard that this host watches, by incarnation: those before it in
// the order of their names.
func (r *Reserver) watched(s *shard) map[string]string {
	s.mu.Lock()
	holders := s.allotter.LeaseHolders()
	s.mu.Unlock()
	if _, holds := holders[r.cfg.Incarnation]; !holds {
		return nil
	}
	names := make([]string, 0, len(holders))
	for incarnation := range holders {
		names = append(names, incarnation)
	}
	slices.Sort(names)
	own := slices.Index(names, r.cfg.Incarnation)
	watched := map[string]string{}
	for i := 1; i <= min(watchersPerHolder, len(names)-1); i++ {
		name := names[(own-i+len(names))%len(names)]
		watched[name] = holders[name]
	}
	return watched
}

// watchHolder asks one holder. If its process has ended, the shard is queued for the write that closes its entries.
func (r *Reserver) watchHolder(ctx context.Context, s *shard, incarnation, address string) {
	s.mu.Lock()
	budget := s.allotter.AnyBudget()
	s.mu.Unlock()
	lease := heldLease{s.number, incarnation}
	ctx, cancel := r.cfg.Clock.WithTimeout(ctx, watchTimeout)
	defer cancel()
	asked := r.cfg.SinceBoot()
	reply, err := r.cfg.Exchange.Transfer(ctx, address, &messenger.TransferRequest{From: r.cfg.Incarnation, To: incarnation, GuardAgeOf: budget})
	if err == nil {
		if reply.GuardAgeMs > 0 && asked > 0 {
			r.holders.mu.Lock()
			defer r.holders.mu.Unlock()
			r.holders.leaseStarts[lease] = asked - clocker.Millis(reply.GuardAgeMs-1)
		}
		return
	}
	r.holders.mu.Lock()
	start, known := r.holders.leaseStarts[lease]
	r.holders.mu.Unlock()
	if !known || !r.cfg.Refuses(ctx, address) {
		return
	}
	elapsed := r.cfg.SinceBoot() - start
	now := r.cfg.Clock.Now()
	slog.Info("the process of a holder has ended", "incarnation", incarnation, "address", address, "since_lease_ms", elapsed,
		"evidence", "connection refused", "cause", err.Error(), "heard_ms_ago", r.heardAgo(incarnation, now))
	holdersEnded.Inc()
	r.holders.mu.Lock()
	delete(r.holders.leaseStarts, lease)
	r.holders.ended[incarnation] = now
	r.holders.mu.Unlock()
	s.mu.Lock()
	s.allotter.ObserveEnded(incarnation, elapsed)
	s.mu.Unlock()
	r.queueRefill(s)
}

// heardAgo returns the time since the last heartbeat of an incarnation, -1 if none is known.
func (r *Reserver) heardAgo(incarnation string, now clocker.Millis) clocker.Millis {
	for _, p := range r.cfg.Peers() {
		if p.Incarnation == incarnation && p.LastHeard > 0 {
			return now - p.LastHeard
		}
	}
	return -1
}

// logHeardAgain logs incarnations that have sent a heartbeat after they were found to have ended.
func (r *Reserver) logHeardAgain() {
	r.holders.mu.Lock()
	defer r.holders.mu.Unlock()
	if len(r.holders.ended) == 0 {
		return
	}
	for _, p := range r.cfg.Peers() {
		if at, ended := r.holders.ended[p.Incarnation]; ended && p.LastHeard > at {
			slog.Warn("a holder whose process was found to have ended is heard again", "incarnation", p.Incarnation, "after_ms", p.LastHeard-at)
			holdersHeardAgain.Inc()
			delete(r.holders.ended, p.Incarnation)
		}
	}
}
