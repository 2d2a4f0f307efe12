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
	// hostKind is the kind of the objects by which hosts find each other.
	hostKind = "hosts"
	// beatEvery and listEvery are the times between heartbeats and between looks at
	// the host list, in milliseconds.
	beatEvery = 500 * clocker.Millis(1)
	listEvery = 3 * clocker.Second
	// announcePause is the wait between two tries to write the own entry, in
	// milliseconds.
	announcePause = 300 * clocker.Millis(1)
	// budgetPatience is the longest wait of a request for tokens, in milliseconds.
	budgetPatience = 150 * clocker.Millis(1)
	// changePause is the least time between two extensions of a budget ahead of
	// demand, in milliseconds.
	changePause = 1500 * clocker.Millis(1)
	// settleFor is how long the known hosts have to stay the same after a start before
	// a host holds budgets, in milliseconds: three heartbeats. settleMost is the longest
	// wait for that: two looks at the host list and the heartbeats behind them.
	settleFor  = 3 * beatEvery
	settleMost = 2*listEvery + settleFor
	// conflictPause spreads the writers that met at the budgets' object, in
	// milliseconds: two answers of the store.
	conflictPause = 8 * clocker.Millis(1)
	// budgetShards is how many objects hold the budgets: calls to the store are
	// paid each, and one write raises all budgets of an object.
	budgetShards = 1
	// budgetLogPause is the time between two log lines of a budget, in milliseconds.
	budgetLogPause = 5 * clocker.Second
)

const (
	// heldShare is the part of what is left of a budget that all holders together
	// keep: it lasts an outage of the store, and is lost if all hosts die at once.
	heldShare = 0.3
	// busyAhead is the demand that a holder keeps beyond its even part, in
	// milliseconds, within busyShare of what is left: the time between two writes.
	busyAhead = changePause
	busyShare = 0.1
	// extendShare of a holder's part is left when it is filled up, batchShare if a
	// write for another budget carries it along.
	extendShare = 0.8
	batchShare  = 0.95
	// aheadShare is the part of a budget that all hosts together ask their holders for
	// beyond their demand of a second: a third of what holders keep.
	aheadShare = heldShare / 3
	// demandSpan is the time constant that follows demand, in milliseconds: hosts
	// that are no holders keep the demand of a second.
	demandSpan = 4 * clocker.Second
	// keepAhead is how much of the demand of more urgent requests is kept for them
	// while the store is away or a budget ends, in milliseconds: longer than outages
	// that are to be borne, and the time in which service has to be back after the
	// death of all hosts.
	keepAhead = 12 * clocker.Second
)

// policy returns the policy of all budgets: each holder keeps its part of
// heldShare, whatever its demand; peers lend to each other.
func (r *Runner) policy() *messenger.Policy {
	zones := map[string]bool{r.cfg.Settings.AvailabilityZone: true}
	for _, p := range r.heartbeater.Peers() {
		zones[p.AvailabilityZone] = true
	}
	holders := float64(allotter.HoldersPerZone * len(zones))
	// Each of n holders that keeps a share s of the rest and its own headroom holds
	// s/(1-s) of the rest.
	each := heldShare / (1 - heldShare) / holders
	return &messenger.Policy{
		HeadroomMs:          int64(busyAhead),
		FloorTokens:         allotter.MaxGranted, // bounded by the share
		MaxShareOfRestMilli: int64(1000 * each / (1 + each)),

		BusyShareOfRestMilli: int64(1000 * busyShare),
		PatienceMs:           int64(budgetPatience),
	}
}

// hostList reads the entries that hosts write of themselves.
type hostList struct {
	platform Platform
	log      *slog.Logger
}

// Hosts implements heartbeater.HostList. Entries that can't be read are left out.
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
	value, err := l.platform.Value(o)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	host := &messenger.Host{}
	return host, trace.Wrap(proto.Unmarshal(value, host))
}

func (r *Runner) startMembership(ctx context.Context) {
	r.heartbeater = heartbeater.New(ctx, heartbeater.Config{
		OwnBeat:          r.beat,
		Clock:            r.cfg.Clock,
		HostList:         hostList{platform: r.cfg.Platform, log: r.cfg.Log},
		Exchange:         r.exchange,
		BeatInterval:     beatEvery,
		HostListInterval: listEvery,
	})
	r.group.Go(func() error {
		for r.announce(ctx) != nil {
			if r.cfg.Clock.Sleep(ctx, announcePause) != nil {
				return nil
			}
		}
		return nil
	})
}

// announce writes the own entry of the host list, if it is not there already.
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
	old, err := r.cfg.Platform.Store.Get(ctx, key)
	if err != nil || string(old.Value) == string(value) {
		return err
	}
	_, err = r.cfg.Platform.Store.Update(ctx, key, old.Version, value)
	return err
}

func (r *Runner) startBudgets(ctx context.Context) {
	r.reserver.Store(reserver.New(ctx, reserver.Config{
		Incarnation:         r.incarnation,
		Host:                r.cfg.Settings.Host,
		AvailabilityZone:    r.cfg.Settings.AvailabilityZone,
		Clock:               r.cfg.Clock,
		Store:               r.cfg.Platform.Store,
		ReadStale:           r.cfg.Platform.Store.Peek,
		Exchange:            r.exchange,
		Peers:               r.heartbeater.Peers,
		Policy:              r.policy,
		Shards:              budgetShards,
		ExtendInterval:      changePause,
		DemandTimeConstant:  demandSpan,
		UrgentReserve:       keepAhead,
		HoldersFirst:        true,
		PlatformReachable:   r.health.Reachable,
		Isolated:            r.isolated.Load,
		ConflictBackoff:     conflictPause,
		MembershipStableFor: settleFor,
		MembershipTimeout:   settleMost,
		ExtendThreshold:     extendShare,
		BatchThreshold:      batchShare,
		MaxAheadShare:       aheadShare,
		DeclaredBudgets:     r.declaredBudgets,
		DeclaredGrant:       r.grantedTokens,
	}))
	r.group.Go(func() error {
		r.logBudgets(ctx)
		return nil
	})
}

// logBudgets tells now and then what this host believes of each budget.
func (r *Runner) logBudgets(ctx context.Context) {
	for r.cfg.Clock.Sleep(ctx, budgetLogPause) == nil {
		now := r.cfg.Clock.Now()
		for _, s := range r.reserver.Load().Snapshots(r.declaredBudgets()) {
			r.cfg.Log.Info("budget", "account", s.Budget, "granted", s.Granted, "rest", s.Unassigned, "stranded", s.Stranded,
				"headroom", s.Headroom, "reserved", s.Reserved, "age_ms", now-s.ReadAt)
		}
	}
}

// declaredBudgets returns the names of the client accounts that have paid ahead.
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

func (r *Runner) grantedTokens(budget string) int64 {
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
