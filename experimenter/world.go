package experimenter

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"

	"cowsliphinge/clocker"
	"cowsliphinge/indexer"
	"cowsliphinge/messenger"
	"cowsliphinge/retrier"
)

// epoch is when simulated time starts.
const epoch clocker.Millis = 1_000_000

// world is one run: the fakes, the hosts and the events to come.
type world struct {
	Parameters
	random  *rand.Rand
	zipf    *rand.Zipf
	clock   *clocker.Clock
	now     float64
	events  eventHeap
	counter int
	index   *indexer.Index
	engines map[string]*engine
	names   []string
	hosts   []*host
	result  Result
}

// host is one entry host.
type host struct {
	zone    string
	gone    bool
	decider decider
	retrier *retrier.RetryBudget
	// asked is how many cache events were read from each engine.
	asked map[string]int
	next  int
}

// Run drives a policy through one run and returns what was measured.
func Run(p Parameters, policy Policy) Result {
	w := &world{
		Parameters: p,
		random:     rand.New(rand.NewPCG(p.Seed, 1)),
		clock:      clocker.NewManual(epoch),
		engines:    map[string]*engine{},
	}
	w.zipf = rand.NewZipf(w.random, p.Skew, 1, p.Prefixes-1)
	w.result = newResult(p, policy)
	w.build(policy)
	w.start()
	for w.events.Len() > 0 {
		next := heap.Pop(&w.events).(event)
		if next.at > p.Warmup+p.Length {
			break
		}
		w.now = next.at
		w.clock.Advance(epoch + clocker.Millis(next.at) - w.clock.Now())
		next.run()
	}
	w.result.finish()
	return w.result
}

func (w *world) build(policy Policy) {
	declarations := &messenger.Declarations{Services: []*messenger.Service{{
		Name: "draft", Kind: messenger.ServiceKind_LANGUAGE, Idempotent: true,
	}}}
	for zone := range w.Zones {
		for n := range w.EnginesPerZone {
			name := fmt.Sprintf("engine-%d-%d", zone, n)
			w.names = append(w.names, name)
			w.engines[name] = &engine{world: w, name: name, slowness: 1, cache: newPrefixCache()}
			declarations.BackendServers = append(declarations.BackendServers, &messenger.BackendServer{
				Name: name, AvailabilityZone: zoneName(zone), Service: "draft", Models: []string{"m"}, Slots: int64(w.Slots),
			})
		}
	}
	if w.SlowEngine > 0 {
		w.engines[w.names[0]].slowness = w.SlowEngine
	}
	if policy == InZone {
		declarations.Policy = &messenger.Policy{AffinitySpanServers: -1}
	}
	w.index = indexer.New(&messenger.Configuration{Version: 1, Declarations: declarations})
	for zone := range w.Zones {
		for n := range w.HostsPerZone {
			seed := w.Seed*1000 + uint64(zone*w.HostsPerZone+n)
			h := &host{zone: zoneName(zone), asked: map[string]int{}}
			h.retrier = retrier.NewRetryBudget(retrier.RetryBudgetConfig{Percent: func() int64 { return w.RetryPercent }, Seed: seed})
			if policy == Routed || policy == InZone {
				h.decider = newGated(h.zone, seed, w.index)
			} else {
				h.decider = newPlain(policy, seed, declarations.BackendServers)
			}
			w.hosts = append(w.hosts, h)
		}
	}
}

func zoneName(zone int) string {
	return fmt.Sprintf("zone-%d", zone)
}

// start schedules arrivals, load samples, polls, sweeps and the loss of a zone.
func (w *world) start() {
	w.arrivals()
	w.every(w.ReportEvery, func() {
		for _, name := range w.names {
			w.engines[name].sample(w.clock.Now())
		}
	})
	for _, h := range w.hosts {
		w.every(w.PollEvery, func() { w.poll(h) })
		w.every(20, func() { h.decider.advance(w.clock.Now()) })
	}
	if w.ZoneGoneAt > 0 {
		w.after(w.ZoneGoneAt, w.loseZone)
	}
}

func (w *world) loseZone() {
	for i, name := range w.names {
		if i < w.EnginesPerZone {
			w.engines[name].down = true
		}
	}
	for i := range w.HostsPerZone {
		w.hosts[i].gone = true
	}
}

// poll asks the next engine in use for its load and cache events.
func (w *world) poll(h *host) {
	for range w.names {
		name := w.names[h.next%len(w.names)]
		h.next++
		own := w.index.BackendServer(name).AvailabilityZone == h.zone
		if !own && !h.decider.wantsReport(name) {
			continue
		}
		e := w.engines[name]
		if e.down {
			w.after(w.ConnectTimeout, func() { h.decider.reportFailed(w.clock.Now(), name) })
			return
		}
		h.decider.reported(w.clock.Now(), name, e.report)
		for _, event := range e.events[h.asked[name]:] {
			h.decider.cached(w.clock.Now(), name, event)
		}
		h.asked[name] = len(e.events)
		return
	}
}

func (w *world) arrivals() {
	w.after(w.random.ExpFloat64()*1000/w.Rate, func() {
		w.arrive()
		w.arrivals()
	})
}

func (w *world) every(interval float64, f func()) {
	w.after(interval*w.random.Float64(), func() { w.repeat(interval, f) })
}

func (w *world) repeat(interval float64, f func()) {
	f()
	w.after(interval, func() { w.repeat(interval, f) })
}

// after schedules f in d milliseconds.
func (w *world) after(d float64, f func()) {
	w.counter++
	heap.Push(&w.events, event{at: w.now + d, number: w.counter, run: f})
}

// exponential returns a whole number of at least 1 with the given mean.
func (w *world) exponential(mean int) int {
	return 1 + int(math.Round(w.random.ExpFloat64()*float64(mean-1)))
}

type event struct {
	at     float64
	number int
	run    func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].number < h[j].number
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
