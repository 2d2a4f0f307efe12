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
	// declaredInterval is the time between two runs of maintainDeclared, in
	// milliseconds.
	declaredInterval = clocker.Second
	// unknownReadInterval is the time between two reads of the object of a declared
	// budget that is not known from the platform yet, in milliseconds.
	unknownReadInterval = 3 * clocker.Second
)

// fleetView is the known state of the fleet at one moment.
type fleetView struct {
	now    clocker.Millis
	policy *messenger.Policy
	// peers are the hosts to send transfer requests to; none while this host is isolated.
	peers []heartbeater.Peer
	// live are the incarnations that are not suspected dead, this one included.
	live map[string]bool
	// liveHosts are the hosts of the live incarnations.
	liveHosts map[string]bool
	// zoneHosts are the hosts of the own availability zone that may hold budgets.
	zoneHosts []allotter.Candidate
	// zoneHash is a hash of zoneHosts.
	zoneHash uint64
	// otherZones are the hosts of each other availability zone that may hold budgets, and
	// otherZonesHash is a hash of them.
	otherZones     map[string][]allotter.Candidate
	otherZonesHash uint64
	// stable is true once the membership of the fleet is stable.
	stable bool
}

// viewFleet returns the current state of the fleet.
func (r *Reserver) viewFleet() *fleetView {
	v := &fleetView{
		now:       r.cfg.Clock.Now(),
		policy:    r.cfg.Policy(),
		live:      map[string]bool{r.cfg.Incarnation: true},
		liveHosts: map[string]bool{r.cfg.Host: true},
		zoneHosts: []allotter.Candidate{{Host: r.cfg.Host, CapacityMilli: r.cfg.CapacityMilli}},

		otherZones: map[string][]allotter.Candidate{},
	}
	for _, p := range r.cfg.Peers() {
		if p.Suspect || p.Incarnation == "" || p.Incarnation == r.cfg.Incarnation {
			continue
		}
		v.peers = append(v.peers, p)
		v.live[p.Incarnation] = true
		v.liveHosts[p.Host] = true
		candidate := allotter.Candidate{Host: p.Host, CapacityMilli: p.CapacityMilli}
		switch {
		case p.Draining:
		case p.AvailabilityZone == r.cfg.AvailabilityZone:
			v.zoneHosts = append(v.zoneHosts, candidate)
		default:
			v.otherZones[p.AvailabilityZone] = append(v.otherZones[p.AvailabilityZone], candidate)
			v.otherZonesHash += xxhash.Sum64String(p.AvailabilityZone+"/"+p.Host) ^ uint64(p.CapacityMilli)
		}
	}
	for _, c := range v.zoneHosts {
		v.zoneHash += xxhash.Sum64String(c.Host) ^ uint64(c.CapacityMilli)
	}
	var hostsHash uint64
	for host := range v.liveHosts {
		hostsHash += xxhash.Sum64String(host)
	}
	v.stable = r.membership.observe(hostsHash, len(v.peers) == 0, v.now, r.cfg.MembershipStableFor, r.cfg.MembershipTimeout)
	r.observeLive(v)
	if r.cfg.Isolated() {
		v.peers = nil
	}
	return v
}

func (v *fleetView) isLive(incarnation string) bool {
	return v.live[incarnation]
}

// isReplaced reports whether the host of a dead incarnation runs as another one.
func (v *fleetView) isReplaced(incarnation string) bool {
	return !v.live[incarnation] && v.liveHosts[heartbeater.HostOf(incarnation)]
}

// zoneHolders returns the hosts of the own availability zone that are holders of the shard.
func (v *fleetView) zoneHolders(s *shard) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holders == nil || s.holdersZoneHash != v.zoneHash {
		s.holders = allotter.HoldersByCapacity(s.number, v.zoneHosts)
		s.holdersZoneHash = v.zoneHash
	}
	return s.holders
}

// allHolders returns the hosts that are holders of the shard, in any availability zone, as far as this host
// knows the live hosts of the zones.
func (v *fleetView) allHolders(s *shard) map[string]bool {
	holders := map[string]bool{}
	for _, host := range v.zoneHolders(s) {
		holders[host] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.otherHolders == nil || s.otherZonesHash != v.otherZonesHash {
		s.otherHolders, s.otherZonesHash = []string{}, v.otherZonesHash
		for _, hosts := range v.otherZones {
			s.otherHolders = append(s.otherHolders, allotter.HoldersByCapacity(s.number, hosts)...)
		}
	}
	for _, host := range s.otherHolders {
		holders[host] = true
	}
	return holders
}

// isHolder reports whether this host is one of those that get tokens of the shard's
// budgets from the platform for the availability zone.
func (r *Reserver) isHolder(s *shard, v *fleetView) bool {
	return slices.Contains(v.zoneHolders(s), r.cfg.Host)
}

// keepsHeadroom reports whether this host obtains headroom of the shard's budgets from
// the platform before requests need it. A holder does so once membership is stable.
func (r *Reserver) keepsHeadroom(s *shard, v *fleetView) bool {
	return v.stable && r.isHolder(s, v)
}

func (r *Reserver) conditions(s *shard, v *fleetView) allotter.Conditions {
	var mustSpeak []string
	if s.unsettled() {
		mustSpeak = r.mustSpeak(s, v)
	}
	return allotter.Conditions{
		MustSpeak:     mustSpeak,
		LongDead:      r.longDead,
		Now:           r.cfg.Clock.Now(),
		Policy:        v.policy,
		KeepsHeadroom: r.keepsHeadroom(s, v),
		Witness:       r.witnessOf(s, v),
		IsLive:        v.isLive,
		IsReplaced:    v.isReplaced,

		ChangeInterval:      r.cfg.ChangeInterval,
		RaiseThreshold:      r.cfg.RaiseThreshold,
		BatchRaiseThreshold: r.cfg.BatchRaiseThreshold,
		HostCount:           len(v.liveHosts),
		PrefetchShare:       r.cfg.PrefetchShare,
		DrawShare:           r.cfg.DrawShare,
		DemandShare:         r.cfg.DemandShare,
	}
}

// inspectLoop checks waiting requests and the guards at every tick, all budgets in use every
// inspectInterval and the declared budgets every declaredInterval. It retries
// transfers of unknown outcome every transferRetryInterval.
func (r *Reserver) inspectLoop(ctx context.Context) {
	// phase shifts only the times after the first run: hosts that started together then
	// inspect at different times, which makes conflicts between their writes rare.
	phase := clocker.Millis(rand.Int64N(int64(inspectInterval)))
	var lastInspect, lastTransferRetry, lastDeclared, lastBalance clocker.Millis
	for r.cfg.Clock.Sleep(ctx, tickInterval) == nil {
		now := r.cfg.Clock.Now()
		r.inspectWaiting(now)
		r.askWitnesses(ctx)
		if now-lastBalance >= balanceInterval {
			lastBalance = now
			r.balance()
		}
		if now-lastInspect >= inspectInterval {
			lastInspect = now - phase
			r.inspectAll()
		}
		if now-lastDeclared >= declaredInterval {
			lastDeclared = now - phase
			phase = 0
			r.maintainDeclared()
		}
		if now-lastTransferRetry >= transferRetryInterval {
			lastTransferRetry = now
			r.retryUnknownTransfers(ctx)
		}
	}
}

func (r *Reserver) inspectWaiting(now clocker.Millis) {
	for _, s := range r.activeShards() {
		s.mu.Lock()
		due := len(s.waiters) > 0 && now >= s.nextRefillAt || s.allotter.Unsettled() || s.allotter.GuardDue(now)
		s.mu.Unlock()
		due = due || s.behindStore(r.cfg.StoreEra())
		if due {
			r.queueRefill(s)
		}
	}
}

// maintainDeclared makes the holders of declared budgets keep a minimum headroom of
// them, and queues reads of declared budgets that are not known from the platform yet.
func (r *Reserver) maintainDeclared() {
	if r.cfg.DeclaredBudgets == nil {
		return
	}
	v := r.viewFleet()
	for _, budget := range r.cfg.DeclaredBudgets() {
		s := r.shard(budget)
		if !r.keepsHeadroom(s, v) && r.cfg.DeclaredGrant == nil {
			continue
		}
		s.mu.Lock()
		if r.cfg.DeclaredGrant != nil {
			s.allotter.SetDeclaredGrant(budget, r.cfg.DeclaredGrant(budget))
		}
		known := s.allotter.KeepFloor(budget)
		contentAt := s.allotter.ContentAt()
		s.mu.Unlock()
		if !known && (contentAt == 0 || v.now-contentAt >= unknownReadInterval) {
			r.queueRefill(s)
		}
	}
}

// inspectAll queues a refill of the shards whose budgets do not match the policy, and
// sets the gauges.
func (r *Reserver) inspectAll() {
	v := r.viewFleet()
	var held, opened, stranded int64
	for _, s := range r.activeShards() {
		c := r.conditions(s, v)
		s.mu.Lock()
		s.allotter.SetPlatformUnreachable(r.platformUnreachable())
		due := s.allotter.CallDue(c) || s.allotter.Version() > 0 && r.cfg.StoreEra() > s.allotter.Era()
		held += s.allotter.Held()
		opened += s.allotter.Opened()
		stranded += s.allotter.Stranded(v.isLive)
		s.logClosedByOthers()
		s.mu.Unlock()
		if due {
			r.queueRefill(s)
		}
	}
	r.gauge("held").Set(float64(held))
	r.gauge("opened").Set(float64(opened))
	r.gauge("stranded").Set(float64(stranded))
}

func (r *Reserver) gauge(name string) *metrics.Gauge {
	return metrics.GetOrCreateGauge(fmt.Sprintf(`cowsliphinge_budget_%s_tokens{host=%q}`, name, r.cfg.Host), nil)
}
