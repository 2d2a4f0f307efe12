package reserver_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"

	"cowsliphinge/allotter"
	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/standin/platform"
)

var experiment = flag.String("experiment", "", "run the experiment of docs/BUDGETS.md: all, or the name of a scenario")

const (
	experimentSeed = 41
	tick           = 250 * clocker.Millis(1)
	worstCase      = 1500 // tokens that a request reserves
	requestTime    = 3 * clocker.Second
	requestsPerSec = 8.0 // of the whole fleet
	meanUsed       = 500
)

// demandShares is the share of each budget in the demand; a few accounts are large.
var demandShares = []float64{0.30, 0.25, 0.15, 0.10, 0.06, 0.05, 0.04, 0.03, 0.01, 0.01}

// deployments are the compared policies.
var deployments = map[string]*messenger.Policy{
	"Kauri Lane":       {HeadroomMs: 10_000, OfflineReserveMs: 6 * 3600_000, MaxShareOfRestMilli: 200, PatienceMs: 5000},
	"Tastatur Samlet":  {HeadroomMs: 5_000, OfflineReserveMs: 9 * 1800_000, MaxShareOfRestMilli: 60, PatienceMs: 2000},
	"Tastatur, 10 min": {HeadroomMs: 5_000, OfflineReserveMs: 600_000, MaxShareOfRestMilli: 60, PatienceMs: 2000},
}

// scenario is a workload and its faults. Times are relative to its start.
type scenario struct {
	name     string
	zones    int
	duration clocker.Millis
	// initialHours is the initial size of each budget, in hours of its demand.
	initialHours float64
	// cut and outage are the start and end of a partition and of a platform outage.
	cut, outage [2]clocker.Millis
	crashEvery  clocker.Millis
	topUpAt     clocker.Millis
}

var scenarios = []scenario{
	{name: "no fault", zones: 4, duration: 6 * clocker.Hour, initialHours: 72},
	{name: "platform down 2 h", zones: 4, duration: 6 * clocker.Hour, initialHours: 72, outage: [2]clocker.Millis{clocker.Hour, 3 * clocker.Hour}},
	{name: "zone cut off 4 h", zones: 4, duration: 6 * clocker.Hour, initialHours: 72, cut: [2]clocker.Millis{clocker.Hour, 5 * clocker.Hour}},
	{name: "crash each 10 min", zones: 4, duration: 6 * clocker.Hour, initialHours: 72, crashEvery: 10 * clocker.Minute},
	{name: "cut off + crashes", zones: 4, duration: 6 * clocker.Hour, initialHours: 72, cut: [2]clocker.Millis{clocker.Hour, 5 * clocker.Hour}, crashEvery: 10 * clocker.Minute},
	{name: "top-up during a cut", zones: 4, duration: 6 * clocker.Hour, initialHours: 4, cut: [2]clocker.Millis{clocker.Hour, 5 * clocker.Hour}, topUpAt: 3 * clocker.Hour},
	{name: "running out on 10 hosts", zones: 5, duration: clocker.Hour, initialHours: 0.5},
}

// system is one method of enforcing budgets.
type system interface {
	start(host int, budget string) request
	crash(host int)
	topUp(budget string, tokens int64)
	// step runs the background tasks; fullSecond is true once a second.
	step(fullSecond bool)
	// stranded returns the tokens that were not served and cannot be served any more.
	// ended is the token use of all ended requests.
	stranded(ended int64) int64
	calls() int64
}

// request is one reservation in a system.
type request interface {
	// poll reports whether the request was decided, and whether it was accepted.
	poll() (ended, ok bool)
	timeOut() bool
	settle(used int64)
}

// result holds the counts of one simulation.
type result struct {
	requests, refused, falselyRefused int64
	overspent, stranded               int64
	callsPerSec                       float64
}

// simulation runs one scenario on one system.
type simulation struct {
	*fleet
	scenario scenario
	system   system
	rng      *rand.Rand
	granted  map[string]int64
	served   map[string]int64
	result   result

	pending []inFlightRequest
	running []inFlightRequest
}

type inFlightRequest struct {
	request
	host, start int
	budget      string
	due         clocker.Millis
}

func budgetName(i int) string { return fmt.Sprintf("budget-%d", i) }

func demandTokens(i int, hours float64) int64 {
	return int64(demandShares[i] * requestsPerSec * meanUsed * 3600 * hours)
}

func (b *simulation) run() result {
	for i := range demandShares {
		b.grant(i, b.scenario.initialHours)
	}
	start := b.clock.Now()
	for b.clock.Now()-start < b.scenario.duration {
		b.clock.Advance(tick)
		b.applyFaults(b.clock.Now() - start)
		b.startArrivals()
		b.system.step((b.clock.Now()-start)%clocker.Second == 0)
		b.advanceRequests()
	}
	b.result.callsPerSec = float64(b.system.calls()) / float64(b.scenario.duration/clocker.Second)
	ended := -int64(len(b.running)) * worstCase
	for name, served := range b.served {
		ended += served
		b.result.overspent += max(0, served-b.granted[name])
	}
	b.result.stranded = b.system.stranded(ended)
	return b.result
}

func (b *simulation) grant(i int, hours float64) {
	b.granted[budgetName(i)] += demandTokens(i, hours)
	b.system.topUp(budgetName(i), demandTokens(i, hours))
}

func within(at clocker.Millis, span [2]clocker.Millis) bool {
	return at >= span[0] && at < span[1]
}

func (b *simulation) applyFaults(at clocker.Millis) {
	b.store.SetFaults(platform.Faults{Outage: within(at, b.scenario.outage)})
	for _, n := range b.nodes[:2] {
		n.partition = 0
		if within(at, b.scenario.cut) {
			n.partition = 1
		}
	}
	if b.scenario.crashEvery > 0 && at%b.scenario.crashEvery == 0 {
		b.crashHost(b.rng.IntN(len(b.nodes)))
	}
	if b.scenario.topUpAt > 0 && at == b.scenario.topUpAt {
		for i := range demandShares {
			b.grant(i, 24)
		}
	}
}

// crashHost crashes a host and drops its requests. Running requests count as served
// with their worst case.
func (b *simulation) crashHost(host int) {
	b.system.crash(host)
	b.nodes[host].start()
	onOtherHosts := func(flights []inFlightRequest) []inFlightRequest {
		var kept []inFlightRequest
		for _, f := range flights {
			if f.host != host {
				kept = append(kept, f)
			}
		}
		return kept
	}
	b.pending = onOtherHosts(b.pending)
	b.running = onOtherHosts(b.running)
}

func (b *simulation) startArrivals() {
	perTick := requestsPerSec * float64(tick) / 1000
	for n := b.rng.Float64() * 2 * perTick; n > 0; n-- {
		if n < 1 && b.rng.Float64() > n {
			break
		}
		host, budget := b.rng.IntN(len(b.nodes)), budgetName(b.drawBudget())
		b.result.requests++
		f := inFlightRequest{host: host, budget: budget, due: b.clock.Now() + clocker.Millis(b.policy.PatienceMs)}
		f.request = b.system.start(host, budget)
		b.pending = append(b.pending, f)
	}
}

func (b *simulation) drawBudget() int {
	x := b.rng.Float64()
	for i, share := range demandShares {
		if x -= share; x < 0 {
			return i
		}
	}
	return 0
}

// advanceRequests starts accepted requests and settles those that have finished.
func (b *simulation) advanceRequests() {
	waiting := b.pending
	b.pending = nil
	for _, f := range waiting {
		ended, ok := f.poll()
		if !ended && b.clock.Now() >= f.due {
			ended, ok = true, f.timeOut()
		}
		switch {
		case !ended:
			b.pending = append(b.pending, f)
		case ok:
			b.served[f.budget] += worstCase
			f.due = b.clock.Now() + requestTime
			b.running = append(b.running, f)
		default:
			b.countRefusal(f)
		}
	}
	running := b.running
	b.running = nil
	for _, f := range running {
		if b.clock.Now() < f.due {
			b.running = append(b.running, f)
			continue
		}
		used := int64(meanUsed/2 + b.rng.IntN(meanUsed))
		b.served[f.budget] -= worstCase - used
		f.settle(used)
	}
}

// countRefusal counts a refusal, as a false one if the fleet still has enough tokens of
// the budget.
func (b *simulation) countRefusal(f inFlightRequest) {
	b.result.refused++
	if b.granted[f.budget]-b.served[f.budget] >= worstCase {
		b.result.falselyRefused++
	}
}

func TestExperiment(t *testing.T) {
	if *experiment == "" {
		t.Skip("run with -experiment=all")
	}
	fmt.Println("| scenario | way | requests | refused % | falsely refused % | overspent | stranded % of granted | calls/s |")
	fmt.Println("|---|---|---|---|---|---|---|---|")
	for _, sc := range scenarios {
		if *experiment != "all" && *experiment != sc.name {
			continue
		}
		for _, name := range []string{"Kauri Lane", "Tastatur Samlet", "Tastatur, 10 min"} {
			runOne(sc, "escrow, "+name, deployments[name], func(f *fleet) system { return &escrow{fleet: f} })
		}
		runOne(sc, "central counter", deployments["Kauri Lane"], func(f *fleet) system { return &centralCounter{fleet: f, remaining: map[string]int64{}} })
		runOne(sc, "static equal split", deployments["Kauri Lane"], newStatic)
	}
}

func runOne(sc scenario, name string, policy *messenger.Policy, build func(*fleet) system) {
	f := newFleet(policy, sc.zones, 2)
	b := &simulation{fleet: f, scenario: sc, system: build(f), rng: rand.New(rand.NewPCG(experimentSeed, 1)), granted: map[string]int64{}, served: map[string]int64{}}
	r := b.run()
	var granted int64
	for _, tokens := range b.granted {
		granted += tokens
	}
	percent := func(n, of int64) float64 { return 100 * float64(n) / float64(max(1, of)) }
	fmt.Printf("| %s | %s | %d | %.3f | %.3f | %d | %.2f | %.2f |\n", sc.name, name, r.requests,
		percent(r.refused, r.requests), percent(r.falselyRefused, r.requests), r.overspent, percent(r.stranded, granted), r.callsPerSec)
}

// escrow is the system of this package: tokens are assigned to hosts in advance.
type escrow struct {
	*fleet
	topUps int
}

func (e *escrow) start(host int, budget string) request {
	n := e.nodes[host]
	return &escrowRequest{Pending: n.reserver.StartReserve(budget, worstCase, clocker.Minute), reserver: n.reserver}
}

func (e *escrow) crash(int) {}

func (e *escrow) topUp(budget string, tokens int64) {
	e.topUps++
	n := e.nodes[len(e.nodes)-1]
	_, err := n.reserver.TopUp(context.Background(), &messenger.TopUpRequest{OperationId: fmt.Sprint(e.topUps), Budget: budget, Tokens: tokens})
	if err != nil {
		panic(err)
	}
}

func (e *escrow) step(fullSecond bool) {
	for _, n := range e.nodes {
		if fullSecond {
			n.reserver.RunTasks(context.Background())
			n.reserver.RetryUnknownTransfers(context.Background())
			continue
		}
		n.reserver.ServeWaiting(context.Background())
	}
}

// stranded returns the assigned tokens that were not served and that no live host holds.
func (e *escrow) stranded(ended int64) int64 {
	e.store.SetFaults(platform.Faults{})
	objects, err := e.store.List(context.Background(), "budget/", "", 1000)
	if err != nil {
		panic(err)
	}
	sum := -ended
	for _, o := range objects {
		for _, b := range decodeShard(o).Budgets {
			sum += allotter.Assigned(b)
		}
	}
	for _, n := range e.nodes {
		sum -= n.reserver.HeldTokens()
	}
	return sum
}

func (e *escrow) calls() int64 {
	var sum int64
	for _, n := range e.nodes {
		sum += n.calls
	}
	return sum
}
