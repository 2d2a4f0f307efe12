package reserver_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
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

// stormLoad is the load of a stormFleet: accounts whose demand falls with their number, of which the
// first sends half of all requests.
type stormLoad struct {
	zones, hostsPerZone, accounts int
	perSecond                     float64
	// grantFactor is what is granted, as a multiple of the expected use.
	grantFactor float64
	// phases are the lengths of the phases: with the store, without it while the guards' leases run, without
	// it once they have ended, and with it again.
	phases [4]clocker.Millis
	// hearsWithin is the time within which a host hears the first heartbeats of the others; 0 means at once.
	hearsWithin clocker.Millis
	warmUp      clocker.Millis
	// callerHosts is the number of hosts that serve the callers of an account; 0 means all hosts.
	callerHosts int
	// evenAccounts is true if all accounts send the same number of requests.
	evenAccounts bool
	// opens is true if guarded tokens open by the rates of the deployment's settings (runner/budgets.go), and not
	// all at once.
	opens bool
	// cut is true if the hosts don't reach each other either while the store is away.
	cut bool
}

// stormPhase are the figures of one phase.
type stormPhase struct {
	requests, refused, owed, zoneAsks, loanAsks, writes, conflicts int
	// heldAtStart are the tokens that hosts other than holders held when the phase began, in thousandths of the
	// grants. They are lost if all hosts die.
	heldAtStart int64
}

// asksPerRequest returns the mean number of asks.
func (p stormPhase) asksPerRequest() float64 {
	return float64(p.zoneAsks+p.loanAsks) / float64(p.requests)
}

func (p stormPhase) String() string {
	return fmt.Sprintf("%d requests, %d refused (%d of them although a holder had the tokens), %d asks of holders, %d asks for loans, %d writes, %d of them conflicts, %.1f%% of the grants held by other hosts than holders", p.requests, p.refused, p.owed, p.zoneAsks, p.loanAsks, p.writes, p.conflicts, float64(p.heldAtStart)/10)
}

const (
	// A slow host needs slowAnswer for an ask, a fast one fastAnswer; each answers one at a time.
	// Every third host is slow. All are in milliseconds.
	slowAnswer = 6 * clocker.Millis(1)
	fastAnswer = clocker.Millis(1)
	// stormIsolationTime is the silence after which a host knows that it is cut off, in milliseconds.
	stormIsolationTime = 2 * clocker.Second
	// stormUsed is the mean use of a request.
	stormUsed = worstCase * 2 / 3
)

// stormFleet is a pricedFleet whose hosts take time to answer asks, and whose store can be away.
type stormFleet struct {
	*pricedFleet
	away atomic.Bool
	// cutAt is when the hosts were cut off from each other, 0 while they are not.
	cutAt atomic.Int64
	mu    sync.Mutex
	phase stormPhase
	hosts []*stormHost
}

type stormHost struct {
	*pricedHost
	storm      *stormFleet
	answerTime clocker.Millis
	holder     bool
	// hearsAt is when this host hears the first heartbeat of another one.
	hearsAt map[string]clocker.Millis
	// turn is held while the host works on an ask.
	turn chan struct{}
}

func (f *stormFleet) count(update func(*stormPhase)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	update(&f.phase)
}

// nextPhase returns the figures since the last call.
func (f *stormFleet) nextPhase() stormPhase {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.phase
	f.phase = stormPhase{}
	return p
}

var errAway = errors.New("the store is away")

func (h *stormHost) Get(ctx context.Context, key string) (storer.Object, error) {
	if h.storm.away.Load() {
		return storer.Object{}, errAway
	}
	return h.pricedHost.Get(ctx, key)
}

func (h *stormHost) GetStale(ctx context.Context, key string) (storer.Object, error) {
	if h.storm.away.Load() {
		return storer.Object{}, errAway
	}
	return h.pricedHost.GetStale(ctx, key)
}

func (h *stormHost) Create(ctx context.Context, key string, value []byte) (storer.Object, error) {
	return h.stormWrite(func() (storer.Object, error) { return h.pricedHost.Create(ctx, key, value) })
}

func (h *stormHost) Update(ctx context.Context, key string, version int64, value []byte) (storer.Object, error) {
	return h.stormWrite(func() (storer.Object, error) { return h.pricedHost.Update(ctx, key, version, value) })
}

func (h *stormHost) stormWrite(write func() (storer.Object, error)) (storer.Object, error) {
	if h.storm.away.Load() {
		return storer.Object{}, errAway
	}
	o, err := write()
	h.storm.count(func(p *stormPhase) {
		p.writes++
		if storer.IsErrConflict(err) {
			p.conflicts++
		}
	})
	return o, err
}

// Transfer implements reserver.Exchange.
func (h *stormHost) Transfer(ctx context.Context, address string, request *messenger.TransferRequest) (*messenger.TransferReply, error) {
	if len(request.Asks) > 0 {
		h.storm.count(func(p *stormPhase) {
			if request.Asks[0].Loan {
				p.loanAsks++
			} else {
				p.zoneAsks++
			}
		})
	}
	if h.storm.cutAt.Load() > 0 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if err := h.storm.clock.Sleep(ctx, h.storm.roundTrip); err != nil {
		return nil, err
	}
	for _, other := range h.storm.hosts {
		if other.name != address {
			continue
		}
		select {
		case other.turn <- struct{}{}:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		err := h.storm.clock.Sleep(ctx, other.answerTime)
		<-other.turn
		if err != nil {
			return nil, err
		}
		return other.reserver.Transfer(ctx, request)
	}
	return nil, storer.ErrNotFound{Key: address}
}

// peers returns the other hosts. Those that this host has not heard yet are listed without an incarnation.
func (h *stormHost) peers() []heartbeater.Peer {
	peers := h.pricedHost.peers()
	now := h.storm.clock.Now()
	for i := range peers {
		p := &peers[i]
		p.LastHeard = now
		if now < h.hearsAt[p.Host] {
			p.Suspect, p.LastHeard, p.Incarnation = true, 0, ""
		}
		p.Suspect = p.Suspect || h.isolated()
	}
	return peers
}

// isolated reports whether this host has noticed that it is cut off from all others.
func (h *stormHost) isolated() bool {
	cutAt := clocker.Millis(h.storm.cutAt.Load())
	return cutAt > 0 && h.storm.clock.Now()-cutAt >= stormIsolationTime
}

func (h *stormHost) startStorm(ctx context.Context, load stormLoad, grants map[string]int64, random *rand.Rand) {
	f := h.storm
	holders := float64(min(load.hostsPerZone, allotter.HoldersPerZone) * load.zones)
	headroom := 0.3 / 0.7 / holders
	policy := &messenger.Policy{
		HeadroomMs: 1500, FloorTokens: allotter.MaxGranted, MaxShareOfRestMilli: int64(1000 * headroom / (1 + headroom)),
		BusyShareOfRestMilli: 100, PatienceMs: 150,
	}
	var accounts []string
	for i := range load.accounts {
		accounts = append(accounts, budgetName(i))
	}
	guard := &allotter.GuardConfig{
		LeaseTime: 3200, RenewInterval: 900 + clocker.Millis(random.IntN(300)), DrawHorizon: 3200,
		Address: h.name, SameHost: func(string) bool { return false }, StartedAt: f.clock.Now(), BootAt: clocker.Hour,
	}
	demandShare := 0.0
	if load.opens {
		guard.LeaseTime, guard.OpenFactor, guard.OpenShare = 2000, 1, 1
		guard.FastAfter, guard.FastFactor, guard.OpenTime = 3200, 7.5, 3000
		demandShare = 0.75
	}
	h.reserver = reserver.New(ctx, reserver.Config{
		Incarnation: h.incarnation, Host: h.name, AvailabilityZone: h.zone, Clock: f.clock, Store: h, GetStale: h.GetStale,
		Exchange: h, Peers: h.peers, Policy: func() *messenger.Policy { return policy }, Shards: 1, ChangeInterval: 1500,
		DemandTimeConstant: 4000, UrgentReserveHorizon: 12 * clocker.Second, HoldersFirst: true, ConflictBackoff: 8,
		MembershipStableFor: min(1500, load.hearsWithin), MembershipTimeout: min(7500, 5*load.hearsWithin),
		RaiseThreshold: 0.8, BatchRaiseThreshold: 0.95, PrefetchShare: 0.1, DrawShare: 0.04,
		PlatformReachable: func() bool { return !f.away.Load() },
		DeclaredBudgets:   func() []string { return accounts },
		DeclaredGrant:     func(budget string) int64 { return grants[budget] },
		Isolated:          h.isolated,
		Guard:             guard, DemandShare: demandShare,
	})
}

// usable returns the most tokens of a budget that one holder could give away at the moment, guarded ones left out.
// While the store answers, its unassigned tokens count too.
func (f *stormFleet) usable(budget string) int64 {
	var most, unassigned int64
	for _, h := range f.hosts {
		if !h.holder {
			continue
		}
		for _, s := range h.reserver.Snapshots([]string{budget}) {
			most = max(most, s.Headroom)
			unassigned = max(unassigned, s.Unassigned)
		}
	}
	if !f.away.Load() {
		most = max(most, unassigned)
	}
	return most
}

// heldOutside returns what hosts other than holders hold, in thousandths of the grants.
func (f *stormFleet) heldOutside(grants map[string]int64) int64 {
	var granted, held int64
	for _, g := range grants {
		granted += g
	}
	for _, h := range f.hosts {
		if !h.holder {
			held += h.reserver.HeldTokens()
		}
	}
	return held * 1000 / granted
}

// share returns an account's share of the requests.
func (l stormLoad) share(account int) float64 {
	switch {
	case l.evenAccounts:
		return 1 / float64(l.accounts)
	case account == 0:
		return 0.5
	default:
		return 0.5 / float64(l.accounts-1)
	}
}

// account draws the account of a request.
func (l stormLoad) account(random *rand.Rand) int {
	if random.Float64() < l.share(0) {
		return 0
	}
	return 1 + random.IntN(l.accounts-1)
}

// host draws the host that gets a request of an account.
func (f *stormFleet) host(account int, load stormLoad, random *rand.Rand) *stormHost {
	if load.callerHosts == 0 {
		return f.hosts[random.IntN(len(f.hosts))]
	}
	return f.hosts[(account*31+random.IntN(load.callerHosts)*len(f.hosts)/load.callerHosts)%len(f.hosts)]
}

// runStorm returns the figures of the phases of a load.
func runStorm(t *testing.T, load stormLoad) (phases [4]stormPhase) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(11, 0))
		f := &stormFleet{pricedFleet: &pricedFleet{clock: clocker.NewWall(), roundTrip: pricedRoundTrip}}
		f.store = platform.New(f.clock)
		total := load.warmUp
		for _, d := range load.phases {
			total += d
		}
		grants := map[string]int64{}
		for i := range load.accounts {
			requests := load.share(i) * load.perSecond * float64(total) / 1000
			grants[budgetName(i)] = int64(load.grantFactor * requests * stormUsed)
		}
		for z := range load.zones {
			for n := range load.hostsPerZone {
				name := fmt.Sprintf("host-%d-%02d", z, n)
				h := &stormHost{storm: f, answerTime: fastAnswer, turn: make(chan struct{}, 1), pricedHost: &pricedHost{fleet: f.pricedFleet, name: name, zone: fmt.Sprint("zone-", z), incarnation: name + "-1-00000000"}}
				if n%3 == 0 {
					h.answerTime = slowAnswer
				}
				f.pricedFleet.hosts = append(f.pricedFleet.hosts, h.pricedHost)
				f.hosts = append(f.hosts, h)
			}
		}
		for z := range load.zones {
			zone := f.hosts[z*load.hostsPerZone : (z+1)*load.hostsPerZone]
			var names []string
			for _, h := range zone {
				names = append(names, h.name)
			}
			for _, h := range zone {
				h.holder = slices.Contains(allotter.Holders(0, names), h.name)
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		for _, h := range f.hosts {
			h.hearsAt = map[string]clocker.Millis{}
			for _, other := range f.hosts {
				if load.hearsWithin > 0 {
					h.hearsAt[other.name] = f.clock.Now() + clocker.Millis(random.Int64N(int64(load.hearsWithin)))
				}
			}
		}
		for _, h := range f.hosts {
			h.startStorm(ctx, load, grants, random)
			f.sleep(clocker.Millis(random.IntN(10)))
		}
		var requests sync.WaitGroup
		f.sendFor(ctx, load.warmUp, load, random, &requests)
		f.nextPhase()
		for i, d := range load.phases {
			away := i == 1 || i == 2
			f.away.Store(away)
			switch {
			case !away || !load.cut:
				f.cutAt.Store(0)
			case f.cutAt.Load() == 0:
				f.cutAt.Store(int64(f.clock.Now()))
			}
			held := f.heldOutside(grants)
			f.sendFor(ctx, d, load, random, &requests)
			phases[i] = f.nextPhase()
			phases[i].heldAtStart = held
		}
		requests.Wait()
		cancel()
		f.sleep(clocker.Second) // calls in flight end
		synctest.Wait()
	})
	return phases
}

// sendFor sends requests to random hosts for some time.
func (f *stormFleet) sendFor(ctx context.Context, d clocker.Millis, load stormLoad, random *rand.Rand, requests *sync.WaitGroup) {
	for end := f.clock.Now() + d; f.clock.Now() < end; {
		for range int(load.perSecond / 100) { // each 10 ms
			account := load.account(random)
			h, used := f.host(account, load, random), int64(stormUsed/2+random.IntN(stormUsed))
			requests.Go(func() {
				reservation, err := h.reserver.Reserve(ctx, budgetName(account), worstCase, 0, f.clock.Now()+clocker.Second)
				owed := err != nil && f.usable(budgetName(account)) >= worstCase
				f.count(func(p *stormPhase) {
					p.requests++
					if err != nil {
						p.refused++
					}
					if owed {
						p.owed++
					}
				})
				if err == nil {
					f.sleep(clocker.Second)
					h.reserver.Settle(reservation, used)
				}
			})
		}
		f.sleep(10)
	}
}

// Guards against a storm of asks, and against refusals for lack of tokens that exist: 60 hosts in 3 zones,
// every third slow to answer, and 24 accounts of which one sends half of 400 requests a second. 1.3 times what they
// need is granted. The store is away for 7 seconds.
func TestTokensOfTheFleetServeRequestsWithFewAsks(t *testing.T) {
	t.Parallel()
	const (
		maxAsksPerRequest = 2.5
		maxRefusedPercent = 3
		// maxWrites is two thirds of what was tried before, in the first phase.
		maxWrites = 300
	)
	load := stormLoad{zones: 3, hostsPerZone: 20, accounts: 24, perSecond: 400, grantFactor: 1.3, warmUp: pricedWarmUp, phases: [4]clocker.Millis{5000, 4000, 3000, 5000}}
	phases := runStorm(t, load)
	for i, p := range phases {
		t.Logf("phase %d: %v", i, p)
		assert.Check(t, p.asksPerRequest() <= maxAsksPerRequest, "phase %d: %.1f asks a request", i, p.asksPerRequest())
	}
	assert.Check(t, phases[0].refused <= phases[0].requests*maxRefusedPercent/100, "%d of %d refused with the store", phases[0].refused, phases[0].requests)
	assert.Check(t, phases[0].writes <= maxWrites, "%d writes with the store", phases[0].writes)
}

// Guards against refusals after the start of all hosts at once: each heard the others only within some seconds, took
// itself for a holder until then, and wrote for each request. 60 hosts that hear each other within 2 s, 400 requests a
// second.
func TestStartOfAllHostsServesRequests(t *testing.T) {
	t.Parallel()
	const maxRefusedPercent = 10
	load := stormLoad{zones: 3, hostsPerZone: 20, accounts: 24, perSecond: 400, grantFactor: 3, phases: [4]clocker.Millis{3000, 0, 0, 1000}, hearsWithin: 2000}
	phases := runStorm(t, load)
	t.Logf("at the start: %v", phases[0])
	t.Logf("then: %v", phases[3])
	assert.Check(t, phases[0].refused <= phases[0].requests*maxRefusedPercent/100, "%d of %d refused", phases[0].refused, phases[0].requests)
	assert.Check(t, phases[3].refused <= phases[3].requests*maxRefusedPercent/100, "%d of %d refused", phases[3].refused, phases[3].requests)
}

// Guards against refusals for lack of tokens that exist, with the settings of the deployment: guarded tokens open by
// rates. The fleet and its load are otherwise those of TestTokensOfTheFleetServeRequestsWithFewAsks.
func TestOpeningTokensServeRequestsWithoutStore(t *testing.T) {
	t.Parallel()
	const (
		maxAsksPerRequest = 4
		// maxRefusedPercent is a quarter less than what was refused without the store when each request needed a loan.
		maxRefusedPercent = 27
	)
	load := stormLoad{zones: 3, hostsPerZone: 20, accounts: 24, perSecond: 400, grantFactor: 1.3, warmUp: pricedWarmUp, phases: [4]clocker.Millis{5000, 4000, 3000, 5000}, opens: true}
	phases := runStorm(t, load)
	for i, p := range phases {
		t.Logf("phase %d: %v", i, p)
		assert.Check(t, p.asksPerRequest() <= maxAsksPerRequest, "phase %d: %.1f asks a request", i, p.asksPerRequest())
	}
	requests, refused := phases[1].requests+phases[2].requests, phases[1].refused+phases[2].refused
	assert.Check(t, refused <= requests*maxRefusedPercent/100, "%d of %d refused without the store", refused, requests)
}

// Guards against refusals by hosts that have only what they hold: 195 hosts are cut off from the store and from each
// other for 7 seconds. 24 accounts have budgets of some 200 requests, and the callers of each reach 16 hosts.
func TestHostsServeWhatTheyHoldWhileCutOff(t *testing.T) {
	t.Parallel()
	const (
		maxAsksPerRequest = 4
		// maxHeldPercent bounds what is lost beyond the holders' part if all hosts die.
		maxHeldPercent = 10
	)
	load := stormLoad{
		zones: 5, hostsPerZone: 39, accounts: 24, perSecond: 200, grantFactor: 1.7, warmUp: pricedWarmUp,
		phases: [4]clocker.Millis{1000, 4000, 3000, 2000}, evenAccounts: true, callerHosts: 16, opens: true, cut: true,
	}
	for i, p := range runStorm(t, load) {
		t.Logf("phase %d: %v", i, p)
		if i == 1 || i == 2 { // without the store
			assert.Check(t, p.asksPerRequest() <= maxAsksPerRequest, "phase %d: %.1f asks a request", i, p.asksPerRequest())
		}
		assert.Check(t, p.heldAtStart <= 10*maxHeldPercent, "phase %d: %.1f%% held", i, float64(p.heldAtStart)/10)
	}
}
