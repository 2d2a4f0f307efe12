package reserver_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"cowsliphinge/allotter"
	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
	"cowsliphinge/messenger"
	"cowsliphinge/reserver"
	"cowsliphinge/standin/platform"
	"cowsliphinge/storer"
)

const (
	// pricedResponseTime and pricedRoundTrip are the response time of the store and the round trip
	// between two hosts; a stale read returns what was stored pricedStaleLag before. All are in
	// milliseconds.
	pricedResponseTime = 4 * clocker.Millis(1)
	pricedRoundTrip    = 2 * clocker.Millis(1)
	pricedStaleLag     = 200 * clocker.Millis(1)
	// staleReadPrice is the price of a stale read, in calls.
	staleReadPrice = 0.1
	// otherCallsPerSecond are the calls that a host makes for other purposes than budgets.
	otherCallsPerSecond = 1.8
	pricedWarmUp        = 5 * clocker.Second
	pricedTime          = 40 * clocker.Second
)

// pricedLoad is the load of a pricedFleet.
type pricedLoad struct {
	zones, hostsPerZone, accounts int
	// perSecond are the requests of the whole fleet; each reserves worstCase tokens.
	perSecond float64
	// grantRequests is the grant of an account, in requests.
	grantRequests int64
	guard         bool
	// roundTrip is the round trip between two hosts, in milliseconds; 0 means pricedRoundTrip.
	roundTrip clocker.Millis
}

// pricedCalls are the calls of the store, by kind.
type pricedCalls struct {
	reads, staleReads, writes, conflicts int
	requests, refused                    int
}

// perSecond returns the price of the calls, in calls per second.
func (c pricedCalls) perSecond() float64 {
	return (float64(c.reads+c.writes) + staleReadPrice*float64(c.staleReads)) * 1000 / float64(pricedTime)
}

// pricedFleet runs reservers with the background tasks and the settings of a deployment in simulated time.
type pricedFleet struct {
	clock     *clocker.Clock
	store     *platform.Store
	hosts     []*pricedHost
	roundTrip clocker.Millis

	mu      sync.Mutex
	calls   pricedCalls
	counted bool
	// history are the versions of the budgets' object and when they were written.
	history []pricedVersion
}

type pricedVersion struct {
	object storer.Object
	at     clocker.Millis
}

type pricedHost struct {
	fleet       *pricedFleet
	name, zone  string
	incarnation string
	reserver    *reserver.Reserver
}

func (f *pricedFleet) count(update func(*pricedCalls)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.counted {
		update(&f.calls)
	}
}

func (f *pricedFleet) sleep(d clocker.Millis) {
	_ = f.clock.Sleep(context.Background(), d)
}

func (h *pricedHost) Get(ctx context.Context, key string) (storer.Object, error) {
	h.fleet.count(func(c *pricedCalls) { c.reads++ })
	h.fleet.sleep(pricedResponseTime)
	return h.fleet.store.Get(ctx, key)
}

func (h *pricedHost) GetStale(_ context.Context, key string) (storer.Object, error) {
	f := h.fleet
	f.count(func(c *pricedCalls) { c.staleReads++ })
	f.sleep(pricedResponseTime)
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := len(f.history) - 1; i >= 0; i-- {
		if f.history[i].at <= f.clock.Now()-pricedStaleLag {
			return f.history[i].object, nil
		}
	}
	return storer.Object{}, storer.ErrNotFound{Key: key}
}

func (h *pricedHost) Create(ctx context.Context, key string, value []byte) (storer.Object, error) {
	return h.write(func() (storer.Object, error) { return h.fleet.store.Create(ctx, key, value) })
}

func (h *pricedHost) Update(ctx context.Context, key string, version int64, value []byte) (storer.Object, error) {
	return h.write(func() (storer.Object, error) { return h.fleet.store.Update(ctx, key, version, value) })
}

func (h *pricedHost) write(write func() (storer.Object, error)) (storer.Object, error) {
	f := h.fleet
	f.sleep(pricedResponseTime / 2)
	o, err := write()
	if conflict := (storer.ErrConflict{}); errors.As(err, &conflict) { // with the object, as the operators' store answers
		if o, getErr := f.store.Get(context.Background(), conflict.Key); getErr == nil {
			conflict.Version, conflict.Value = o.Version, o.Value
		}
		err = conflict
	}
	f.count(func(c *pricedCalls) {
		c.writes++
		if storer.IsErrConflict(err) {
			c.conflicts++
		}
	})
	if err == nil {
		f.mu.Lock()
		f.history = append(f.history, pricedVersion{object: o, at: f.clock.Now()})
		f.mu.Unlock()
	}
	f.sleep(pricedResponseTime / 2)
	return o, err
}

func (h *pricedHost) Transfer(ctx context.Context, address string, request *messenger.TransferRequest) (*messenger.TransferReply, error) {
	if err := h.fleet.clock.Sleep(ctx, h.fleet.roundTrip); err != nil {
		return nil, err
	}
	for _, other := range h.fleet.hosts {
		if other.name == address {
			return other.reserver.Transfer(ctx, request)
		}
	}
	return nil, storer.ErrNotFound{Key: address}
}

func (h *pricedHost) peers() []heartbeater.Peer {
	var peers []heartbeater.Peer
	for _, p := range h.fleet.hosts {
		if p != h {
			peers = append(peers, heartbeater.Peer{Host: p.name, Incarnation: p.incarnation, AvailabilityZone: p.zone, ExchangeAddress: p.name})
		}
	}
	return peers
}

// start starts the reserver with the settings of package runner.
func (h *pricedHost) start(ctx context.Context, load pricedLoad, accounts []string, random *rand.Rand) {
	f := h.fleet
	holders := float64(min(load.hostsPerZone, allotter.HoldersPerZone) * load.zones)
	headroom := 0.3 / 0.7 / holders
	policy := &messenger.Policy{
		HeadroomMs: 1500, FloorTokens: allotter.MaxGranted, MaxShareOfRestMilli: int64(1000 * headroom / (1 + headroom)),
		BusyShareOfRestMilli: 100, PatienceMs: 150,
	}
	var guard *allotter.GuardConfig
	if load.guard {
		guard = &allotter.GuardConfig{
			LeaseTime: 2000, RenewInterval: 900 + clocker.Millis(random.IntN(300)), DrawHorizon: 3200,
			OpenFactor: 1, OpenShare: 1, FastAfter: 3200, FastFactor: 7.5, OpenTime: 3000,
			Address: h.name, SameHost: func(string) bool { return false }, StartedAt: f.clock.Now(), BootAt: clocker.Hour,
		}
	}
	h.reserver = reserver.New(ctx, reserver.Config{
		Incarnation: h.incarnation, Host: h.name, AvailabilityZone: h.zone, Clock: f.clock, Store: h, GetStale: h.GetStale,
		Exchange: h, Peers: h.peers, Policy: func() *messenger.Policy { return policy }, Shards: 1, ChangeInterval: 1500,
		DemandTimeConstant: 4000, UrgentReserveHorizon: 12 * clocker.Second, HoldersFirst: true, ConflictBackoff: 8,
		RaiseThreshold: 0.8, BatchRaiseThreshold: 0.95, PrefetchShare: 0.1, DrawShare: 0.04, Guard: guard,
		DeclaredBudgets: func() []string { return accounts },
		DeclaredGrant:   func(string) int64 { return load.grantRequests * worstCase },
	})
}

// priceOf returns the calls of the store that a load causes.
func priceOf(t *testing.T, load pricedLoad) pricedCalls {
	var calls pricedCalls
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(7, 0))
		f := &pricedFleet{clock: clocker.NewWall(), roundTrip: cmp.Or(load.roundTrip, pricedRoundTrip)}
		f.store = platform.New(f.clock)
		var accounts []string
		for i := range load.accounts {
			accounts = append(accounts, budgetName(i))
		}
		for z := range load.zones {
			for n := range load.hostsPerZone {
				name := fmt.Sprintf("host-%d-%02d", z, n)
				f.hosts = append(f.hosts, &pricedHost{fleet: f, name: name, zone: fmt.Sprint("zone-", z), incarnation: name + "-1-00000000"})
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		for _, h := range f.hosts {
			h.start(ctx, load, accounts, random)
			f.sleep(clocker.Millis(random.IntN(30))) // so that their ticks differ
		}
		f.serve(ctx, load, accounts, random)
		calls = f.calls
		cancel()
		f.sleep(clocker.Second) // calls in flight end
		synctest.Wait()
	})
	return calls
}

// serve sends requests to random hosts until the calls were counted for pricedTime.
func (f *pricedFleet) serve(ctx context.Context, load pricedLoad, accounts []string, random *rand.Rand) {
	var requests sync.WaitGroup
	start := f.clock.Now()
	for f.clock.Now() < start+pricedWarmUp+pricedTime {
		f.mu.Lock()
		f.counted = f.clock.Now() >= start+pricedWarmUp
		f.mu.Unlock()
		f.sleep(max(1, clocker.Millis(2000*random.Float64()/load.perSecond)))
		h, account, used := f.hosts[random.IntN(len(f.hosts))], accounts[random.IntN(len(accounts))], int64(meanUsed/2+random.IntN(meanUsed))
		requests.Go(func() {
			reservation, err := h.reserver.Reserve(ctx, account, worstCase, 0, f.clock.Now()+clocker.Second)
			f.count(func(c *pricedCalls) {
				c.requests++
				if err != nil {
					c.refused++
				}
			})
			if err == nil {
				f.sleep(clocker.Second)
				h.reserver.Settle(reservation, used)
			}
		})
	}
	f.mu.Lock()
	f.counted = false
	f.mu.Unlock()
	requests.Wait()
}

// Guards against the price of the guard: with it the store is called at most a tenth more often than
// without it, by all that a host calls it for. Before one write renewed the leases of all holders, 8 hosts made
// 12.8 to 19.5 calls a second for the budgets of these loads, 24 hosts 27.4 to 34.5.
func TestGuardCostsFewStoreCalls(t *testing.T) {
	for _, load := range []pricedLoad{
		{zones: 4, hostsPerZone: 2, perSecond: 10, grantRequests: 2000},
		{zones: 4, hostsPerZone: 2, perSecond: 60, grantRequests: 400},
		{zones: 6, hostsPerZone: 4, perSecond: 10, grantRequests: 2000},
		{zones: 6, hostsPerZone: 4, perSecond: 60, grantRequests: 400},
	} {
		hosts := load.zones * load.hostsPerZone
		load.accounts = 6
		without := priceOf(t, load)
		load.guard = true
		with := priceOf(t, load)
		t.Logf("%d hosts, %v requests a second: %.2f calls a second without the guard %+v, %.2f with it %+v", hosts, load.perSecond, without.perSecond(), without, with.perSecond(), with)
		assert.Check(t, with.perSecond()-without.perSecond() <= 0.1*(without.perSecond()+otherCallsPerSecond*float64(hosts)))
	}
}

// TestGuardPriceExperiment prints the calls over hosts, demand and grants.
func TestGuardPriceExperiment(t *testing.T) {
	if *experiment != "guard price" {
		t.Skip("run with -experiment='guard price'")
	}
	for _, hosts := range [][2]int{{1, 2}, {4, 2}, {6, 4}, {6, 33}} {
		for _, perSecond := range []float64{10, 60} {
			for _, grantRequests := range []int64{100, 200, 400, 2000} {
				load := pricedLoad{zones: hosts[0], hostsPerZone: hosts[1], accounts: 6, perSecond: perSecond, grantRequests: grantRequests}
				without := priceOf(t, load)
				load.guard = true
				with := priceOf(t, load)
				t.Logf("%d hosts, %v requests a second, grants of %d requests: %.2f calls a second without the guard %+v, %.2f with it %+v",
					hosts[0]*hosts[1], perSecond, grantRequests, without.perSecond(), without, with.perSecond(), with)
			}
		}
	}
}

// Guards against holders that refuse requests while they hold enough tokens under their guard: they asked slow
// peers for loans first, and the requests had given up when the write for the guarded tokens was due.
func TestSlowPeersDoNotKeepRequestsFromGuardedTokens(t *testing.T) {
	for _, load := range []pricedLoad{
		{zones: 2, hostsPerZone: 2, accounts: 1, perSecond: 12, grantRequests: 400},
		{zones: 2, hostsPerZone: 2, accounts: 1, perSecond: 30, grantRequests: 800},
	} {
		for _, roundTrip := range []clocker.Millis{20, 60, 160, 700} {
			load.guard, load.roundTrip = false, roundTrip
			without := priceOf(t, load)
			load.guard = true
			with := priceOf(t, load)
			t.Logf("%v requests a second, round trip of %d ms: without the guard %+v, with it %+v", load.perSecond, roundTrip, without, with)
			assert.Check(t, with.refused <= without.refused, "%v requests a second, round trip of %d ms: %d refused, %d without the guard", load.perSecond, roundTrip, with.refused, without.refused)
		}
	}
}
