package reserver

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"cowsliphinge/allotter"
	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
	"cowsliphinge/messenger"
)

const (
	// keepPause is the time between two looks at the declared budgets, in
	// milliseconds.
	keepPause = clocker.Second
	// unknownPause is the time between two reads of the object of a declared
	// budget that the platform has not told of, in milliseconds.
	unknownPause = 3 * clocker.Second
)

// view is the fleet as seen at one moment.
type view struct {
	now    clocker.Millis
	policy *messenger.Policy
	// peers are the hosts to ask; none while this host is cut off from all.
	peers []heartbeater.Peer
	// live are the incarnations that were heard of lately, this one included.
	live map[string]bool
	// hosts are the hosts of the live incarnations.
	hosts map[string]bool
	// zone are the hosts of the own availability zone that may hold budgets.
	zone []string
	// zoneHash changes with zone.
	zoneHash uint64
	// settled is true once the fleet is known.
	settled bool
}

// look returns the present view.
func (r *Reserver) look() *view {
	v := &view{
		now:    r.cfg.Clock.Now(),
		policy: r.cfg.Policy(),
		live:   map[string]bool{r.cfg.Incarnation: true},
		hosts:  map[string]bool{r.cfg.Host: true},
		zone:   []string{r.cfg.Host},
	}
	for _, p := range r.cfg.Peers() {
		if p.Suspect || p.Incarnation == "" || p.Incarnation == r.cfg.Incarnation {
			continue
		}
		v.peers = append(v.peers, p)
		v.live[p.Incarnation] = true
		v.hosts[p.Host] = true
		if p.AvailabilityZone == r.cfg.AvailabilityZone && !p.Draining {
			v.zone = append(v.zone, p.Host)
		}
	}
	for _, host := range v.zone {
		v.zoneHash += xxhash.Sum64String(host)
	}
	var hosts uint64
	for host := range v.hosts {
		hosts += xxhash.Sum64String(host)
	}
	v.settled = r.fleet.note(hosts, len(v.peers) == 0, v.now, r.cfg.SettleFor, r.cfg.SettleMost)
	if r.cfg.Alone() {
		v.peers = nil
	}
	return v
}

func (v *view) isLive(incarnation string) bool {
	return v.live[incarnation]
}

// isReplaced reports whether an incarnation's host lives as another one.
func (v *view) isReplaced(incarnation string) bool {
	return !v.live[incarnation] && v.hosts[heartbeater.HostOf(incarnation)]
}

// holdersOf returns the hosts of the own availability zone that hold the shard.
func (v *view) holdersOf(s *shard) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holders == nil || s.holdersView != v.zoneHash {
		s.holders = allotter.Holders(s.number, v.zone)
		s.holdersView = v.zoneHash
	}
	return s.holders
}

// isHolder reports whether this host is one of those that go to the platform for the
// shard's budgets.
func (r *Reserver) isHolder(s *shard, v *view) bool {
	return slices.Contains(v.holdersOf(s), r.cfg.Host)
}

// holds reports whether this host holds the shard's budgets ahead of demand: a holder,
// once the fleet is known.
func (r *Reserver) holds(s *shard, v *view) bool {
	return v.settled && r.isHolder(s, v)
}

func (r *Reserver) circumstances(s *shard, v *view) allotter.Conditions {
	return allotter.Conditions{
		Now:        r.cfg.Clock.Now(),
		Policy:     v.policy,
		Holder:     r.holds(s, v),
		IsLive:     v.isLive,
		IsReplaced: v.isReplaced,

		ChangeInterval:   r.cfg.ChangePause,
		ExtendShare:      r.cfg.ExtendShare,
		BatchExtendShare: r.cfg.BatchShare,
		HostCount:        len(v.hosts),
		PrefetchShare:    r.cfg.AheadShare,
	}
}

// inspect looks at requests that wait at every tick, and at all budgets in use
// every inspectPause.
func (r *Reserver) inspect(ctx context.Context) {
	// Hosts that start together look at different moments behind the first look, so that
	// their writes seldom meet.
	phase := clocker.Millis(rand.Int64N(int64(inspectPause)))
	var inspected, synced, kept clocker.Millis
	for r.cfg.Clock.Sleep(ctx, tickPause) == nil {
		now := r.cfg.Clock.Now()
		r.inspectWaiting(now)
		if now-inspected >= inspectPause {
			inspected = now - phase
			r.inspectAll()
		}
		if now-kept >= keepPause {
			kept = now - phase
			phase = 0
			r.keepDeclared()
		}
		if now-synced >= syncPause {
			synced = now
			r.syncDoubts(ctx)
		}
	}
}

func (r *Reserver) inspectWaiting(now clocker.Millis) {
	for _, s := range r.usedShards() {
		s.mu.Lock()
		due := len(s.waiters) > 0 && now >= s.again
		s.mu.Unlock()
		if due {
			r.wantRefill(s)
		}
	}
}

// keepDeclared makes the holders of declared budgets keep a floor of them, and
// reads the objects of those that the platform has not told of yet.
func (r *Reserver) keepDeclared() {
	if r.cfg.Declared == nil {
		return
	}
	v := r.look()
	for _, budget := range r.cfg.Declared() {
		s := r.shard(budget)
		if !r.holds(s, v) && r.cfg.Granted == nil {
			continue
		}
		s.mu.Lock()
		if r.cfg.Granted != nil {
			s.allotter.SetDeclaredGrant(budget, r.cfg.Granted(budget))
		}
		known := s.allotter.KeepFloor(budget)
		readAt := s.allotter.ReadAt()
		s.mu.Unlock()
		if !known && (readAt == 0 || v.now-readAt >= unknownPause) {
			r.wantRefill(s)
		}
	}
}

// inspectAll queues the shards whose budgets are not as the policy wants, and
// sets the gauges.
func (r *Reserver) inspectAll() {
	v := r.look()
	var held, stranded int64
	for _, s := range r.usedShards() {
		c := r.circumstances(s, v)
		s.mu.Lock()
		s.allotter.SetUnreachable(r.isAway())
		due := s.allotter.CallDue(c)
		held += s.allotter.Held()
		stranded += s.allotter.Stranded(v.isLive)
		s.mu.Unlock()
		if due {
			r.wantRefill(s)
		}
	}
	r.gauge("held").Set(float64(held))
	r.gauge("stranded").Set(float64(stranded))
}

func (r *Reserver) gauge(name string) *metrics.Gauge {
	return metrics.GetOrCreateGauge(fmt.Sprintf(`cowsliphinge_budget_%s_tokens{host=%q}`, name, r.cfg.Host), nil)
}
