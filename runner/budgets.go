package runner

import (
	"context"
	"log/slog"
	"math/rand/v2"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"cowsliphinge/allotter"
	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
	"cowsliphinge/logger"
	"cowsliphinge/messenger"
	"cowsliphinge/reserver"
	"cowsliphinge/storer"
)

const (
	// hostKind is the kind of the store objects that hosts use to discover each other.
	hostKind = "hosts"
	// heartbeatInterval and hostListInterval are the intervals of heartbeats and of
	// reads of the host list, in milliseconds.
	heartbeatInterval = 500 * clocker.Millis(1)
	hostListInterval  = 3 * clocker.Second
	// announceRetryInterval is the delay between two attempts to write this host's
	// entry, and between two looks at the era of the store, in milliseconds.
	announceRetryInterval = 300 * clocker.Millis(1)
	// budgetWaitTimeout is the longest wait of a request for tokens, in milliseconds.
	budgetWaitTimeout = 150 * clocker.Millis(1)
	// changeInterval is the minimum time between two raises of a budget's limit ahead
	// of demand, or between two returns, in milliseconds.
	changeInterval = 1500 * clocker.Millis(1)
	// membershipStableFor is how long the set of known hosts must stay unchanged after a
	// start before this host holds budgets, in milliseconds: three heartbeats.
	// membershipTimeout bounds the wait for that: two reads of the host list and the
	// heartbeats after them.
	membershipStableFor = 3 * heartbeatInterval
	membershipTimeout   = 2*hostListInterval + membershipStableFor
	// conflictBackoff spreads writers whose writes to the budgets' object conflicted, in
	// milliseconds: two response times of the store.
	conflictBackoff = 8 * clocker.Millis(1)
	// budgetShards is the number of objects that hold the budgets. The platform bills
	// each call to the store, and one write raises the limits of all budgets of an
	// object.
	budgetShards = 1
	// budgetLogInterval is the least time between two log lines of a budget, in milliseconds.
	budgetLogInterval = 5 * clocker.Second
)

const (
	// heldShare is the fraction of a budget's remaining tokens (those unassigned plus
	// the holders' headroom) that all holders together hold. It must last through an
	// outage of the store. Most of it is guarded, see guardLeaseTime.
	heldShare = 0.3
	// demandShare is the part of each holder's share of heldShare that goes by its share of the demand. The
	// rest is even, for callers that move to another availability zone.
	demandShare = 0.75
	// busyHeadroom is the headroom of a holder whose demand exceeds its even share of
	// heldShare, in milliseconds of its demand: the time between two writes. It is
	// limited to busyHeadroomShare of the sum of the unassigned tokens and the holder's
	// own headroom.
	busyHeadroom      = changeInterval
	busyHeadroomShare = 0.1
	// raiseThreshold is the fraction of a holder's target headroom below which its limit
	// is raised. batchRaiseThreshold is the same for a budget whose object is written
	// anyway for another budget.
	raiseThreshold      = 0.8
	batchRaiseThreshold = 0.95
	// prefetchShare is the fraction of a declared budget that all hosts together may
	// request from their holders beyond one second of demand: a third of what the
	// holders hold.
	prefetchShare = heldShare / 3
	// demandTimeConstant is the time constant of the demand average, in milliseconds.
	// Hosts that are not holders keep one second of demand.
	demandTimeConstant = 4 * clocker.Second
	// urgentReserveHorizon is the time span whose expected demand of more urgent
	// requests is reserved for them while the store is unreachable or few tokens are
	// unassigned, in milliseconds. It is longer than the outages that must be
	// tolerated, and equals the time within which service must be back after the death
	// of all hosts (12 s).
	urgentReserveHorizon = 12 * clocker.Second
)

const (
	// guardLeaseTime is how long a holder does not spend its guarded tokens after a write, in
	// milliseconds. An incarnation that starts within it returns all of those of the one before. Later
	// ones return what was not open yet. Until guardFastAfter, which covers guardRenewInterval and a restart
	// of two seconds, tokens open for guardOpenFactor times the demand, at most guardOpenShare of what holders
	// leave unguarded. Then they open for guardFastFactor times the demand, as a busy account needs, and all of
	// them within guardOpenTime. docs/design/guard-schedule.md has what other values lose.
	guardLeaseTime  = 2000 * clocker.Millis(1)
	guardOpenFactor = 1
	guardOpenShare  = 1
	guardFastAfter  = 3200 * clocker.Millis(1)
	guardFastFactor = 7.5
	guardOpenTime   = 3 * clocker.Second
	// guardRenewInterval is the least time between two renewals of the leases, in milliseconds.
	guardRenewInterval = 900 * clocker.Millis(1)
	// guardRenewSpread is the time by which the renewal intervals of holders differ at most, in
	// milliseconds: one renews the leases of all before those of the others are due.
	guardRenewSpread = 300 * clocker.Millis(1)
	// drawHorizon is the time whose demand a holder does not guard, in milliseconds: it serves for
	// so long without the store until many guarded tokens open. drawShare bounds this part, as a fraction of a
	// budget for all holders together: it is lost if all hosts die at once.
	drawHorizon = guardFastAfter
	drawShare   = 0.04
)

// guard returns what bounds the tokens that are lost if this host dies. The listener at the exchange
// address, which is open already, proves that no earlier incarnation runs.
func (r *Runner) guard() *allotter.GuardConfig {
	return &allotter.GuardConfig{
		LeaseTime:     guardLeaseTime,
		OpenFactor:    guardOpenFactor,
		OpenShare:     guardOpenShare,
		FastAfter:     guardFastAfter,
		FastFactor:    guardFastFactor,
		OpenTime:      guardOpenTime,
		RenewInterval: guardRenewInterval + clocker.Millis(rand.Int64N(int64(guardRenewSpread))),
		DrawHorizon:   drawHorizon,
		Address:       r.exchangeAddress,
		SameHost:      func(incarnation string) bool { return heartbeater.HostOf(incarnation) == r.cfg.Settings.Host },
		StartedAt:     r.startedAt,
		BootAt:        r.startedSinceBoot,
	}
}

// policy returns the policy of all budgets. Each holder holds its part of heldShare,
// whatever its demand; peers transfer tokens to each other.
func (r *Runner) policy() *messenger.Policy {
	zones := map[string]bool{r.cfg.Settings.AvailabilityZone: true}
	for _, p := range r.heartbeater.Peers() {
		zones[p.AvailabilityZone] = true
	}
	holders := float64(allotter.HoldersPerZone * len(zones))
	// The policy's share is the holder's part of the sum of the unassigned tokens and its
	// own headroom. With h for headroomPerUnassigned, the headroom divided by the
	// unassigned tokens, that share is h/(1+h).
	headroomPerUnassigned := heldShare / (1 - heldShare) / holders
	return &messenger.Policy{
		HeadroomMs:          int64(busyHeadroom),
		FloorTokens:         allotter.MaxGranted, // MaxShareOfRestMilli alone decides, whatever the demand
		MaxShareOfRestMilli: int64(1000 * headroomPerUnassigned / (1 + headroomPerUnassigned)),

		BusyShareOfRestMilli: int64(1000 * busyHeadroomShare),
		PatienceMs:           int64(budgetWaitTimeout),
	}
}

// hostList reads the entries that hosts write about themselves.
type hostList struct {
	platform Platform
	log      *slog.Logger
	// unreadable limits the log lines about entries that can't be decoded.
	unreadable logger.RevisionFilter
}

// Hosts implements heartbeater.HostList. Malformed entries are skipped.
func (l *hostList) Hosts(ctx context.Context) ([]storer.ListedHost, error) {
	objects, _, err := l.platform.Store.List(ctx, hostKind, true)
	if err != nil {
		return nil, err
	}
	hosts := make([]storer.ListedHost, 0, len(objects))
	for _, o := range objects {
		host, err := l.decode(o)
		if err != nil {
			if l.unreadable.First(o.Key, o.Version) {
				l.log.Warn("entry of a host can't be read", "key", o.Key, "cause", err.Error())
			}
			continue
		}
		hosts = append(hosts, storer.ListedHost{Name: host.Name, Address: host.ExchangeAddress})
	}
	return hosts, nil
}

func (l *hostList) decode(o storer.Object) (*messenger.Host, error) {
	value, err := l.platform.DecodeValue(o)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	host := &messenger.Host{}
	return host, trace.Wrap(proto.Unmarshal(value, host))
}

// membershipConfig returns the configuration of the heartbeats of this host.
func (r *Runner) membershipConfig(exchange heartbeater.Exchange) heartbeater.Config {
	return heartbeater.Config{
		OwnBeat:          r.heartbeat,
		OwnConfirmations: r.confirmations,
		BeatReceived:     r.applyBeat,
		Clock:            r.cfg.Clock,
		HostList:         &hostList{platform: r.cfg.Platform, log: r.cfg.Log},
		Exchange:         exchange,
		BeatInterval:     heartbeatInterval,
		HostListInterval: hostListInterval,
	}
}

// applyBeat applies what a heartbeat of another host tells of backend servers.
func (r *Runner) applyBeat(beat *messenger.Beat) {
	r.backends.applyLimitsOfBeat(beat)
	r.backends.applyBrittlenessOfBeat(beat)
	r.backends.applySpeedsOfBeat(beat)
	r.withholder.ApplyBeat(beat)
}

func (r *Runner) startMembership(ctx context.Context) {
	r.heartbeater = heartbeater.New(ctx, r.membershipConfig(r.exchange))
	r.group.Go(func() error {
		r.announceInEachEra(ctx)
		return nil
	})
}

// announceInEachEra writes this host's entry of the host list at the start, and again when the store
// has come back from a copy, which may lack it.
func (r *Runner) announceInEachEra(ctx context.Context) {
	written, era := false, int64(0)
	for {
		current := r.storeEra()
		if !written || current != era {
			written = r.announce(ctx) == nil
			if current == 0 { // the first answer of the store names its era
				current = r.storeEra()
			}
			era = current
		}
		if r.cfg.Clock.Sleep(ctx, announceRetryInterval) != nil {
			return
		}
	}
}

// storeEra returns the latest era that the store named, 0 for a store without eras.
func (r *Runner) storeEra() int64 {
	if r.cfg.Platform.StoreEra == nil {
		return 0
	}
	return r.cfg.Platform.StoreEra()
}

// announce writes this host's entry of the host list unless it is already up to date.
func (r *Runner) announce(ctx context.Context) error {
	s := r.cfg.Settings
	value, err := proto.Marshal(&messenger.Host{
		Name:             s.Host,
		AvailabilityZone: s.AvailabilityZone,
		CallerAddress:    s.CallerAddress,
		ExchangeAddress:  s.ExchangeAddress,
	})
	if err != nil {
		return err
	}
	key := hostKind + "/" + s.Host
	_, err = r.cfg.Platform.Store.Create(ctx, key, value)
	if !storer.IsErrConflict(err) {
		return err
	}
	existing, err := r.cfg.Platform.Store.Get(ctx, key)
	if err != nil || string(existing.Value) == string(value) {
		return err
	}
	_, err = r.cfg.Platform.Store.Update(ctx, key, existing.Version, value)
	return err
}

func (r *Runner) startBudgets(ctx context.Context) {
	r.reserver.Store(reserver.New(ctx, reserver.Config{
		Incarnation:          r.incarnation,
		Host:                 r.cfg.Settings.Host,
		AvailabilityZone:     r.cfg.Settings.AvailabilityZone,
		CapacityMilli:        r.cfg.Settings.capacityMilli(),
		Clock:                r.cfg.Clock,
		Store:                r.cfg.Platform.Store,
		GetStale:             r.cfg.Platform.Store.GetStale,
		StoreEra:             r.cfg.Platform.StoreEra,
		Exchange:             r.exchange,
		Peers:                r.heartbeater.Peers,
		Policy:               r.policy,
		Shards:               budgetShards,
		ChangeInterval:       changeInterval,
		DemandTimeConstant:   demandTimeConstant,
		UrgentReserveHorizon: urgentReserveHorizon,
		HoldersFirst:         true,
		PlatformReachable:    r.storeHealth.Reachable,
		Isolated:             r.isolated.Load,
		ConflictBackoff:      conflictBackoff,
		MembershipStableFor:  membershipStableFor,
		MembershipTimeout:    membershipTimeout,
		RaiseThreshold:       raiseThreshold,
		BatchRaiseThreshold:  batchRaiseThreshold,
		PrefetchShare:        prefetchShare,
		DeclaredBudgets:      r.declaredBudgets,
		DeclaredGrant:        r.declaredGrant,
		Guard:                r.guard(),
		DrawShare:            drawShare,
		DemandShare:          demandShare,
	}))
	r.group.Go(func() error {
		r.logBudgets(ctx)
		return nil
	})
}

// logBudgets periodically logs this host's view of the budgets that changed. The log key "rest"
// holds the unassigned tokens, "refused" the requests that this host refused so far.
func (r *Runner) logBudgets(ctx context.Context) {
	var lines budgetLog
	for r.cfg.Clock.Sleep(ctx, budgetLogInterval) == nil {
		now := r.cfg.Clock.Now()
		for _, s := range r.reserver.Load().Snapshots(r.declaredBudgets()) {
			if !lines.due(s, now) {
				continue
			}
			r.cfg.Log.Info("budget", "account", s.Budget, "granted", s.Granted, "rest", s.Unassigned, "stranded", s.Stranded,
				"headroom", s.Headroom, "reserved", s.Reserved, "refused", s.Refused, "age_ms", now-s.ContentAt)
		}
	}
}

// declaredBudgets returns the names of the client accounts with a prepaid budget.
func (r *Runner) declaredBudgets() []string {
	t := r.table.Load()
	if t == nil {
		return nil
	}
	var names []string
	for _, a := range t.Accounts {
		if a.HasPrepaid {
			names = append(names, a.Name)
		}
	}
	return names
}

func (r *Runner) declaredGrant(budget string) int64 {
	t := r.table.Load()
	if t == nil {
		return 0
	}
	for _, a := range t.Accounts {
		if a.Name == budget {
			return a.Prepaid
		}
	}
	return 0
}
