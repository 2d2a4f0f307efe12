package runner

import (
	"context"
	"log/slog"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"cowsliphinge/allotter"
	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
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
	// entry, in milliseconds.
	announceRetryInterval = 300 * clocker.Millis(1)
	// budgetWaitTimeout is the longest wait of a request for tokens, in milliseconds.
	budgetWaitTimeout = 150 * clocker.Millis(1)
	// extendInterval is the minimum time between two extensions of a budget ahead of
	// demand, in milliseconds.
	extendInterval = 1500 * clocker.Millis(1)
	// membershipStableFor is how long the set of known hosts must stay unchanged after a
	// start before this host holds budgets, in milliseconds: three heartbeats.
	// membershipTimeout bounds the wait for that: two reads of the host list and the
	// heartbeats after them.
	membershipStableFor = 3 * heartbeatInterval
	membershipTimeout   = 2*hostListInterval + membershipStableFor
	// conflictBackoff spreads writers whose writes to the budgets' object conflicted, in
	// milliseconds: two responses of the store.
	conflictBackoff = 8 * clocker.Millis(1)
	// budgetShards is the number of objects that hold the budgets. Each call to the
	// store is paid, and one write extends all budgets of an object.
	budgetShards = 1
	// budgetLogInterval is the time between two log lines of a budget, in milliseconds.
	budgetLogInterval = 5 * clocker.Second
)

const (
	// heldShare is the fraction of a budget's remaining tokens that all holders together
	// hold. It must last through an outage of the store, and it is lost if all hosts die
	// at once.
	heldShare = 0.3
	// busyHeadroom is the demand that a holder holds beyond its even share, in
	// milliseconds of demand: the time between two writes. It is limited to
	// busyHeadroomShare of the remaining tokens.
	busyHeadroom      = extendInterval
	busyHeadroomShare = 0.1
	// extendThreshold is the fraction of a holder's share below which it is extended.
	// batchThreshold is the same for a budget whose object is written anyway for another
	// budget.
	extendThreshold = 0.8
	batchThreshold  = 0.95
	// maxAheadShare is the fraction of a budget that all hosts together request from
	// their holders beyond one second of demand: a third of what the holders hold.
	maxAheadShare = heldShare / 3
	// demandTimeConstant is the time constant of the demand average, in milliseconds.
	// Hosts that are not holders keep one second of demand.
	demandTimeConstant = 4 * clocker.Second
	// urgentReserve is how much of the demand of more urgent requests is reserved for
	// them while the store is unreachable or a budget runs out, in milliseconds of
	// demand. It is longer than the outages that must be tolerated, and than the time
	// within which service must be back after the death of all hosts.
	urgentReserve = 12 * clocker.Second
)

// policy returns the policy of all budgets. Each holder holds its part of heldShare,
// whatever its demand; peers transfer tokens to each other.
func (r *Runner) policy() *messenger.Policy {
	zones := map[string]bool{r.cfg.Settings.AvailabilityZone: true}
	for _, p := range r.heartbeater.Peers() {
		zones[p.AvailabilityZone] = true
	}
	holders := float64(allotter.HoldersPerZone * len(zones))
	// Each of n holders that holds a share s of the sum of the unassigned tokens and its
	// own headroom holds s/(1-s) of the unassigned tokens.
	perHolder := heldShare / (1 - heldShare) / holders
	return &messenger.Policy{
		HeadroomMs:          int64(busyHeadroom),
		FloorTokens:         allotter.MaxGranted, // limited by the share
		MaxShareOfRestMilli: int64(1000 * perHolder / (1 + perHolder)),

		BusyShareOfRestMilli: int64(1000 * busyHeadroomShare),
		PatienceMs:           int64(budgetWaitTimeout),
	}
}

// hostList reads the entries that hosts write about themselves.
type hostList struct {
	platform Platform
	log      *slog.Logger
}

// Hosts implements heartbeater.HostList. Malformed entries are skipped.
func (l hostList) Hosts(ctx context.Context) ([]storer.ListedHost, error) {
	objects, _, err := l.platform.Store.List(ctx, hostKind, true)
	if err != nil {
		return nil, err
	}
	hosts := make([]storer.ListedHost, 0, len(objects))
	for _, o := range objects {
		host, err := l.decode(o)
		if err != nil {
			l.log.Warn("entry of a host can't be read", "key", o.Key, "cause", err.Error())
			continue
		}
		hosts = append(hosts, storer.ListedHost{Name: host.Name, Address: host.ExchangeAddress})
	}
	return hosts, nil
}

func (l hostList) decode(o storer.Object) (*messenger.Host, error) {
	value, err := l.platform.DecodeValue(o)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	host := &messenger.Host{}
	return host, trace.Wrap(proto.Unmarshal(value, host))
}

func (r *Runner) startMembership(ctx context.Context) {
	r.heartbeater = heartbeater.New(ctx, heartbeater.Config{
		OwnBeat:          r.heartbeat,
		Clock:            r.cfg.Clock,
		HostList:         hostList{platform: r.cfg.Platform, log: r.cfg.Log},
		Exchange:         r.exchange,
		BeatInterval:     heartbeatInterval,
		HostListInterval: hostListInterval,
	})
	r.group.Go(func() error {
		for r.announce(ctx) != nil {
			if r.cfg.Clock.Sleep(ctx, announceRetryInterval) != nil {
				return nil
			}
		}
		return nil
	})
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
		Clock:                r.cfg.Clock,
		Store:                r.cfg.Platform.Store,
		GetStale:             r.cfg.Platform.Store.Peek,
		Exchange:             r.exchange,
		Peers:                r.heartbeater.Peers,
		Policy:               r.policy,
		Shards:               budgetShards,
		ChangeInterval:       extendInterval,
		DemandTimeConstant:   demandTimeConstant,
		UrgentReserveHorizon: urgentReserve,
		HoldersFirst:         true,
		PlatformReachable:    r.storeHealth.Reachable,
		Isolated:             r.isolated.Load,
		ConflictBackoff:      conflictBackoff,
		MembershipStableFor:  membershipStableFor,
		MembershipTimeout:    membershipTimeout,
		RaiseThreshold:       extendThreshold,
		BatchRaiseThreshold:  batchThreshold,
		PrefetchShare:        maxAheadShare,
		DeclaredBudgets:      r.declaredBudgets,
		DeclaredGrant:        r.declaredGrant,
	}))
	r.group.Go(func() error {
		r.logBudgets(ctx)
		return nil
	})
}

// logBudgets periodically logs this host's view of each budget.
func (r *Runner) logBudgets(ctx context.Context) {
	for r.cfg.Clock.Sleep(ctx, budgetLogInterval) == nil {
		now := r.cfg.Clock.Now()
		for _, s := range r.reserver.Load().Snapshots(r.declaredBudgets()) {
			r.cfg.Log.Info("budget", "account", s.Budget, "granted", s.Granted, "rest", s.Unassigned, "stranded", s.Stranded,
				"headroom", s.Headroom, "reserved", s.Reserved, "age_ms", now-s.ContentAt)
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
