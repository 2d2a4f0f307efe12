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

// policies are the compared policies, by deployment.
var policies = map[string]*messenger.Policy{
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
	// partition and outage are the start and end of a partition and of a platform outage.
	partition, outage [2]clocker.Millis
	crashEvery        clocker.Millis
	topUpAt           clocker.Millis
}

var scenarios = []scenario{
	{name: "no fault", zones: 4, duration: 6 * clocker.Hour, initialHours: 72},
	{name: "platform down 2 h", zones: 4, duration: 6 * clocker.Hour, initialHours: 72, outage: [2]clocker.Millis{clocker.Hour, 3 * clocker.Hour}},
	{name: "zone cut off 4 h", zones: 4, duration: 6 * clocker.Hour, initialHours: 72, partition: [2]clocker.Millis{clocker.Hour, 5 * clocker.Hour}},
	{name: "crash each 10 min", zones: 4, duration: 6 * clocker.Hour, initialHours: 72, crashEvery: 10 * clocker.Minute},
	{name: "cut off + crashes", zones: 4, duration: 6 * clocker.Hour, initialHours: 72, partition: [2]clocker.Millis{clocker.Hour, 5 * clocker.Hour}, crashEvery: 10 * clocker.Minute},
	{name: "top-up during a cut", zones: 4, duration: 6 * clocker.Hour, initialHours: 4, partition: [2]clocker.Millis{clocker.Hour, 5 * clocker.Hour}, topUpAt: 3 * clocker.Hour},
	{name: "running out on 10 hosts", zones: 5, duration: clocker.Hour, initialHours: 0.5},
}

// budgetMethod is one method of enforcing budgets.
type budgetMethod interface {
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

// request is one reservation of a budgetMethod.
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

// simulation runs one scenario with one budgetMethod.
type simulation struct {
	*fleet
	scenario scenario
	method   budgetMethod
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

func (s *simulation) run() result {
	for i := range demandShares {
		s.grant(i, s.scenario.initialHours)
	}
	start := s.clock.Now()
	for s.clock.Now()-start < s.scenario.duration {
		s.clock.Advance(tick)
		s.applyFaults(s.clock.Now() - start)
		s.startArrivals()
		s.method.step((s.clock.Now()-start)%clocker.Second == 0)
		s.advanceRequests()
	}
	s.result.callsPerSec = float64(s.method.calls()) / float64(s.scenario.duration/clocker.Second)
	ended := -int64(len(s.running)) * worstCase
	for name, served := range s.served {
		ended += served
		s.result.overspent += max(0, served-s.granted[name])
	}
	s.result.stranded = s.method.stranded(ended)
	return s.result
}

func (s *simulation) grant(i int, hours float64) {
	s.granted[budgetName(i)] += demandTokens(i, hours)
	s.method.topUp(budgetName(i), demandTokens(i, hours))
}

func within(at clocker.Millis, span [2]clocker.Millis) bool {
	return at >= span[0] && at < span[1]
}

func (s *simulation) applyFaults(at clocker.Millis) {
	s.store.SetFaults(platform.Faults{Outage: within(at, s.scenario.outage)})
	for _, n := range s.nodes[:2] {
		n.partition = 0
		if within(at, s.scenario.partition) {
			n.partition = 1
		}
	}
	if s.scenario.crashEvery > 0 && at%s.scenario.crashEvery == 0 {
		s.crashHost(s.rng.IntN(len(s.nodes)))
	}
	if s.scenario.topUpAt > 0 && at == s.scenario.topUpAt {
		for i := range demandShares {
			s.grant(i, 24)
		}
	}
}

// crashHost crashes a host and drops its requests. Running requests count as served
// with their worst case.
func (s *simulation) crashHost(host int) {
	s.method.crash(host)
	s.nodes[host].start()
	onOtherHosts := func(flights []inFlightRequest) []inFlightRequest {
		var kept []inFlightRequest
		for _, f := range flights {
			if f.host != host {
				kept = append(kept, f)
			}
		}
		return kept
	}
	s.pending = onOtherHosts(s.pending)
	s.running = onOtherHosts(s.running)
}

func (s *simulation) startArrivals() {
	perTick := requestsPerSec * float64(tick) / 1000
	for n := s.rng.Float64() * 2 * perTick; n > 0; n-- {
		if n < 1 && s.rng.Float64() > n {
			break
		}
		host, budget := s.rng.IntN(len(s.nodes)), budgetName(s.drawBudget())
		s.result.requests++
		f := inFlightRequest{host: host, budget: budget, due: s.clock.Now() + clocker.Millis(s.policy.PatienceMs)}
		f.request = s.method.start(host, budget)
		s.pending = append(s.pending, f)
	}
}

func (s *simulation) drawBudget() int {
	x := s.rng.Float64()
	for i, share := range demandShares {
		if x -= share; x < 0 {
			return i
		}
	}
	return 0
}

// advanceRequests starts accepted requests and settles those that have finished.
func (s *simulation) advanceRequests() {
	waiting := s.pending
	s.pending = nil
	for _, f := range waiting {
		ended, ok := f.poll()
		if !ended && s.clock.Now() >= f.due {
			ended, ok = true, f.timeOut()
		}
		switch {
		case !ended:
			s.pending = append(s.pending, f)
		case ok:
			s.served[f.budget] += worstCase
			f.due = s.clock.Now() + requestTime
			s.running = append(s.running, f)
		default:
			s.countRefusal(f)
		}
	}
	running := s.running
	s.running = nil
	for _, f := range running {
		if s.clock.Now() < f.due {
			s.running = append(s.running, f)
			continue
		}
		used := int64(meanUsed/2 + s.rng.IntN(meanUsed))
		s.served[f.budget] -= worstCase - used
		f.settle(used)
	}
}

// countRefusal counts a refusal, as a false one if the fleet still has enough tokens of
// the budget.
func (s *simulation) countRefusal(f inFlightRequest) {
	s.result.refused++
	if s.granted[f.budget]-s.served[f.budget] >= worstCase {
		s.result.falselyRefused++
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
			runOne(sc, "escrow, "+name, policies[name], func(f *fleet) budgetMethod { return &escrow{fleet: f} })
		}
		runOne(sc, "central counter", policies["Kauri Lane"], func(f *fleet) budgetMethod { return &centralCounter{fleet: f, remaining: map[string]int64{}} })
		runOne(sc, "static equal split", policies["Kauri Lane"], newStatic)
	}
}

func runOne(sc scenario, name string, policy *messenger.Policy, build func(*fleet) budgetMethod) {
	f := newFleet(policy, sc.zones, 2)
	s := &simulation{fleet: f, scenario: sc, method: build(f), rng: rand.New(rand.NewPCG(experimentSeed, 1)), granted: map[string]int64{}, served: map[string]int64{}}
	r := s.run()
	var granted int64
	for _, tokens := range s.granted {
		granted += tokens
	}
	percent := func(n, of int64) float64 { return 100 * float64(n) / float64(max(1, of)) }
	fmt.Printf("| %s | %s | %d | %.3f | %.3f | %d | %.2f | %.2f |\n", sc.name, name, r.requests,
		percent(r.refused, r.requests), percent(r.falselyRefused, r.requests), r.overspent, percent(r.stranded, granted), r.callsPerSec)
}

// escrow is the method of this package: tokens are assigned to hosts in advance.
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
