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
	declaredInterval = clocker.Second
	// unknownPause is the time between two reads of the object of a declared
	// budget that the platform has not told of, in milliseconds.
	unknownReadInterval = 3 * clocker.Second
)

// view is the fleet as seen at one moment.
type fleetView struct {
	now    clocker.Millis
	policy *messenger.Policy
	// peers are the hosts to ask; none while this host is cut off from all.
	peers []heartbeater.Peer
	// live are the incarnations that were heard of lately, this one included.
	live map[string]bool
	// hosts are the hosts of the live incarnations.
	liveHosts map[string]bool
	// zone are the hosts of the own availability zone that may hold budgets.
	zoneHosts []string
	// zoneHash changes with zone.
	zoneHash uint64
	// settled is true once the fleet is known.
	stable bool
}

// look returns the present view.
func (r *Reserver) viewFleet() *fleetView {
	v := &fleetView{
		now:       r.cfg.Clock.Now(),
		policy:    r.cfg.Policy(),
		live:      map[string]bool{r.cfg.Incarnation: true},
		liveHosts: map[string]bool{r.cfg.Host: true},
		zoneHosts: []string{r.cfg.Host},
	}
	for _, p := range r.cfg.Peers() {
		if p.Suspect || p.Incarnation == "" || p.Incarnation == r.cfg.Incarnation {
			continue
		}
		v.peers = append(v.peers, p)
		v.live[p.Incarnation] = true
		v.liveHosts[p.Host] = true
		if p.AvailabilityZone == r.cfg.AvailabilityZone && !p.Draining {
			v.zoneHosts = append(v.zoneHosts, p.Host)
		}
	}
	for _, host := range v.zoneHosts {
		v.zoneHash += xxhash.Sum64String(host)
	}
	var hostsHash uint64
	for host := range v.liveHosts {
		hostsHash += xxhash.Sum64String(host)
	}
	v.stable = r.membership.observe(hostsHash, len(v.peers) == 0, v.now, r.cfg.MembershipStableFor, r.cfg.MembershipTimeout)
	if r.cfg.Isolated() {
		v.peers = nil
	}
	return v
}

func (v *fleetView) isLive(incarnation string) bool {
	return v.live[incarnation]
}

// isReplaced reports whether an incarnation's host lives as another one.
func (v *fleetView) isReplaced(incarnation string) bool {
	return !v.live[incarnation] && v.liveHosts[heartbeater.HostOf(incarnation)]
}

// holdersOf returns the hosts of the own availability zone that hold the shard.
func (v *fleetView) zoneHolders(s *shard) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holders == nil || s.holdersZoneHash != v.zoneHash {
		s.holders = allotter.Holders(s.number, v.zoneHosts)
		s.holdersZoneHash = v.zoneHash
	}
	return s.holders
}

// isHolder reports whether this host is one of those that go to the platform for the
// shard's budgets.
func (r *Reserver) isHolder(s *shard, v *fleetView) bool {
	return slices.Contains(v.zoneHolders(s), r.cfg.Host)
}

// holds reports whether this host holds the shard's budgets ahead of demand: a holder,
// once the fleet is known.
func (r *Reserver) holdsAhead(s *shard, v *fleetView) bool {
	return v.stable && r.isHolder(s, v)
}

func (r *Reserver) circumstances(s *shard, v *fleetView) allotter.Circumstances {
	return allotter.Circumstances{
		Now:      r.cfg.Clock.Now(),
		Policy:   v.policy,
		Holder:   r.holdsAhead(s, v),
		Live:     v.isLive,
		Replaced: v.isReplaced,

		ChangePause: r.cfg.ExtendInterval,
		ExtendShare: r.cfg.ExtendThreshold,
		BatchShare:  r.cfg.BatchThreshold,
		Hosts:       len(v.liveHosts),
		AheadShare:  r.cfg.MaxAheadShare,
	}
}

// inspect looks at requests that wait at every tick, and at all budgets in use
// every inspectPause.
func (r *Reserver) inspectLoop(ctx context.Context) {
	// Hosts that start together look at different moments behind the first look, so that
	// their writes seldom meet.
	phase := clocker.Millis(rand.Int64N(int64(inspectInterval)))
	var lastInspect, lastSync, lastDeclared clocker.Millis
	for r.cfg.Clock.Sleep(ctx, tickInterval) == nil {
		now := r.cfg.Clock.Now()
		r.inspectWaiting(now)
		if now-lastInspect >= inspectInterval {
			lastInspect = now - phase
			r.inspectAll()
		}
		if now-lastDeclared >= declaredInterval {
			lastDeclared = now - phase
			phase = 0
			r.maintainDeclared()
		}
		if now-lastSync >= syncInterval {
			lastSync = now
			r.syncUncertain(ctx)
		}
	}
}

func (r *Reserver) inspectWaiting(now clocker.Millis) {
	for _, s := range r.activeShards() {
		s.mu.Lock()
		due := len(s.waiters) > 0 && now >= s.nextRefillAt
		s.mu.Unlock()
		if due {
			r.queueRefill(s)
		}
	}
}

// keepDeclared makes the holders of declared budgets keep a floor of them, and
// reads the objects of those that the platform has not told of yet.
func (r *Reserver) maintainDeclared() {
	if r.cfg.DeclaredBudgets == nil {
		return
	}
	v := r.viewFleet()
	for _, budget := range r.cfg.DeclaredBudgets() {
		s := r.shard(budget)
		if !r.holdsAhead(s, v) && r.cfg.DeclaredGrant == nil {
			continue
		}
		s.mu.Lock()
		if r.cfg.DeclaredGrant != nil {
			s.allotter.Declare(budget, r.cfg.DeclaredGrant(budget))
		}
		known := s.allotter.Keep(budget)
		readAt := s.allotter.ReadAt()
		s.mu.Unlock()
		if !known && (readAt == 0 || v.now-readAt >= unknownReadInterval) {
			r.queueRefill(s)
		}
	}
}

// inspectAll queues the shards whose budgets are not as the policy wants, and
// sets the gauges.
func (r *Reserver) inspectAll() {
	v := r.viewFleet()
	var held, stranded int64
	for _, s := range r.activeShards() {
		c := r.circumstances(s, v)
		s.mu.Lock()
		s.allotter.SetAway(r.platformUnreachable())
		due := s.allotter.Due(c)
		held += s.allotter.Held()
		stranded += s.allotter.Stranded(v.isLive)
		s.mu.Unlock()
		if due {
			r.queueRefill(s)
		}
	}
	r.gauge("held").Set(float64(held))
	r.gauge("stranded").Set(float64(stranded))
}

func (r *Reserver) gauge(name string) *metrics.Gauge {
	return metrics.GetOrCreateGauge(fmt.Sprintf(`cowsliphinge_budget_%s_tokens{host=%q}`, name, r.cfg.Host), nil)
}
