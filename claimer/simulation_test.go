package claimer_test

import (
	"cmp"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing/synctest"

	"cowsliphinge/claimer"
	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/standin/platform"
	"cowsliphinge/storer"
)

// callEffect is what happens to a parked call when it is resumed.
type callEffect int

const (
	deliver callEffect = iota
	loseAnswer
	drop
	delay
	refuse
	shutdown
)

// parkedCall is a call of a host that waits for the scheduler.
type parkedCall struct {
	host   *host
	worker string
	kind   string
	resume chan callEffect
}

// workerKey is the context key of the worker's name.
type workerKey struct{}

// simulation consists of several hosts, the platform, and an application server that
// counts runs. Goroutines park at each call until the scheduler resumes them, so a
// list of choices determines the whole run.
type simulation struct {
	clock    *clocker.Clock
	store    *platform.Store
	mutation mutation
	ctx      context.Context
	cancel   context.CancelFunc

	mu            sync.Mutex
	parked        []*parkedCall
	delayed       []func()
	hosts         []*host
	aliveInverted bool
	unscheduled   bool
	runs          map[string]int
	workers       int
	requests      sync.WaitGroup
	history       history
	violations    []error
	closing       bool
	verdicts      map[claimer.Verdict]int
}

// host is one incarnation.
type host struct {
	name       string
	simulation *simulation
	claimer    *claimer.Claimer
	crashed    bool
	paused     bool
	stopped    bool
}

// mutation is a fault put into the code that the simulation must detect.
type mutation string

const (
	noMutation            mutation = ""
	unknownIsSuccess      mutation = "unknown outcome read as success"
	unconditionalCreate   mutation = "claim without condition"
	reclaimDead           mutation = "claim of a dead owner taken over"
	foreignTicketAccepted mutation = "ticket accepted elsewhere"
	releaseAfterSilence   mutation = "silence after dispatch released"
	failedReadIsFree      mutation = "failed read taken for a free key"
)

func newSimulation(mutation mutation, hosts int) *simulation {
	clock := clocker.NewManual(clocker.Hour)
	sim := &simulation{clock: clock, store: platform.New(clock), mutation: mutation, runs: map[string]int{}, verdicts: map[claimer.Verdict]int{}}
	sim.ctx, sim.cancel = context.WithCancel(context.Background())
	for i := range hosts {
		sim.start(fmt.Sprintf("h%d-%x-0", i, i+1))
	}
	return sim
}

// start adds a host with a new claimer.
func (sim *simulation) start(name string) *host {
	h := &host{name: name, simulation: sim}
	h.claimer = claimer.New(context.WithValue(sim.ctx, workerKey{}, "duty"), claimer.Config{
		Incarnation: name, Clock: sim.clock, Store: hostStore{h}, Alive: sim.alive,
	})
	switch {
	case sim.mutation == reclaimDead:
		h.claimer.SetResolve(claimer.ResolveReclaimingDead)
	case sim.mutation == foreignTicketAccepted && len(sim.hosts) > 0:
		h.claimer.ImpersonateTickets(sim.hosts[0].claimer)
	}
	sim.hosts = append(sim.hosts, h)
	return h
}

// alive reports whether hosts believe that an incarnation runs. With aliveInverted it
// is wrong for every incarnation.
func (sim *simulation) alive(incarnation string) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, h := range sim.hosts {
		if h.name == incarnation {
			return h.crashed == sim.aliveInverted
		}
	}
	return false
}

// park blocks the calling goroutine until the scheduler resumes it, and returns the
// effect of the call.
func (sim *simulation) park(ctx context.Context, h *host, kind string) callEffect {
	sim.mu.Lock()
	if sim.closing {
		sim.mu.Unlock()
		return shutdown
	}
	if sim.unscheduled {
		sim.mu.Unlock()
		return deliver
	}
	worker, _ := ctx.Value(workerKey{}).(string)
	call := &parkedCall{host: h, worker: worker, kind: kind, resume: make(chan callEffect)}
	sim.parked = append(sim.parked, call)
	sim.mu.Unlock()
	return <-call.resume
}

// waiting returns the parked calls of hosts that run, in an order that does not
// depend on the scheduling of goroutines.
func (sim *simulation) waiting() []*parkedCall {
	synctest.Wait()
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var calls []*parkedCall
	for _, call := range sim.parked {
		if !call.host.crashed && !call.host.paused {
			calls = append(calls, call)
		}
	}
	slices.SortFunc(calls, func(a, b *parkedCall) int {
		return cmp.Or(cmp.Compare(a.host.name, b.host.name), cmp.Compare(a.worker, b.worker), cmp.Compare(a.kind, b.kind))
	})
	return calls
}

// resume resumes a parked call with an effect.
func (sim *simulation) resume(call *parkedCall, o callEffect) {
	sim.mu.Lock()
	sim.parked = slices.DeleteFunc(sim.parked, func(p *parkedCall) bool { return p == call })
	sim.mu.Unlock()
	call.resume <- o
	synctest.Wait()
}

// releaseDelayed lets the delayed writes take effect.
func (sim *simulation) releaseDelayed() {
	sim.mu.Lock()
	delayed := sim.delayed
	sim.delayed = nil
	sim.mu.Unlock()
	for _, write := range delayed {
		write()
	}
}

// sendRequest starts a worker that sends a request to a host and, if the verdict
// names another incarnation, forwards it once.
func (sim *simulation) sendRequest(h *host, key, body string) {
	sim.workers++
	sim.requests.Add(1)
	worker := fmt.Sprintf("w%03d", sim.workers)
	ctx := context.WithValue(sim.ctx, workerKey{}, worker)
	req := claimer.Request{
		ClientAccount: "mason", IdempotencyKey: key, RequestHash: sha256.Sum256([]byte(body)),
		Deadline: sim.clock.Now() + 5*clocker.Second,
	}
	go func() {
		defer sim.requests.Done()
		for range 2 {
			ran := sim.runCount(key)
			op := sim.recordClaim(key, body)
			d := h.claimer.Claim(ctx, req)
			sim.recordClaimReturn(op, d)
			sim.checkVerdict(key, ran, d)
			if d.Verdict == claimer.Owned {
				sim.run(ctx, h, key, body, d.Claim, op)
			}
			if h = sim.runningHost(d.Incarnation); h == nil {
				return
			}
		}
	}()
}

// runningHost returns the host of an incarnation, or nil if it crashed or does not
// exist.
func (sim *simulation) runningHost(incarnation string) *host {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, h := range sim.hosts {
		if h.name == incarnation && !h.crashed {
			return h
		}
	}
	return nil
}

// run dispatches a claimed request to the application server.
func (sim *simulation) run(ctx context.Context, h *host, key, body string, claim *messenger.Claim, op int) {
	if sim.park(ctx, h, "dispatch") == shutdown {
		return
	}
	if !h.claimer.MarkDispatched(claim) {
		sim.finish(ctx, h, claim, nil, op, true)
		return
	}
	o := sim.park(ctx, h, "run")
	if o == deliver || o == loseAnswer || o == delay {
		sim.recordRun(key)
	}
	var answer *messenger.StoredAnswer
	if o == deliver {
		answer = &messenger.StoredAnswer{Status: 201, Body: []byte(key + body)}
	}
	if o == shutdown || sim.park(ctx, h, "finish") == shutdown {
		return
	}
	sim.finish(ctx, h, claim, answer, op, o == refuse || answer == nil && sim.mutation == releaseAfterSilence)
}

// finish releases or finishes a claim and records the operation.
func (sim *simulation) finish(ctx context.Context, h *host, claim *messenger.Claim, answer *messenger.StoredAnswer, op int, release bool) {
	end := sim.recordFinish(claim.IdempotencyKey, op, answer, release)
	if release {
		h.claimer.Release(ctx, claim)
	} else {
		h.claimer.Finish(ctx, claim, answer)
	}
	sim.recordFinishReturn(end)
}

// recordRun counts a run at the application server. A second run is a violation.
func (sim *simulation) recordRun(key string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.runs[key]++
	if sim.runs[key] > 1 {
		sim.violations = append(sim.violations, fmt.Errorf("key %s ran %d times", key, sim.runs[key]))
	}
}

// runCount returns how often the request of a key ran.
func (sim *simulation) runCount(key string) int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.runs[key]
}

// checkVerdict checks a verdict against the runs that the application server counted.
// ran is the number of runs before the request was sent.
func (sim *simulation) checkVerdict(key string, ran int, d claimer.Decision) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.verdicts[d.Verdict]++
	switch {
	case (d.Verdict == claimer.NotClaimed || d.Verdict == claimer.Owned) && ran > 0 && !sim.closing:
		sim.violations = append(sim.violations, fmt.Errorf("key %s: %s though it ran", key, d.Verdict))
	case d.Verdict == claimer.Answered && sim.runs[key] == 0:
		sim.violations = append(sim.violations, fmt.Errorf("key %s: answered though it never ran", key))
	}
}

// shutdown ends all goroutines of the simulation.
func (sim *simulation) shutdown() {
	sim.mu.Lock()
	sim.closing = true
	parked := sim.parked
	sim.parked = nil
	sim.mu.Unlock()
	sim.cancel()
	for _, call := range parked {
		call.resume <- shutdown
	}
	synctest.Wait()
}

// violation returns the violations found so far as one error, or nil.
func (sim *simulation) violation() error {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return errors.Join(sim.violations...)
}

// hostStore is the Object API as used by one host. Each call parks before it takes
// effect.
type hostStore struct {
	host *host
}

func (s hostStore) unknownOutcome(key string) error {
	return storer.ErrOutcomeUnknown{Key: key, Cause: "simulated"}
}

// Get implements claimer.Store.
func (s hostStore) Get(ctx context.Context, key string) (storer.Object, error) {
	sim := s.host.simulation
	if sim.park(ctx, s.host, "get") != deliver {
		if sim.mutation == failedReadIsFree {
			return storer.Object{}, storer.ErrNotFound{Key: key}
		}
		return storer.Object{}, s.unknownOutcome(key)
	}
	return sim.store.Get(context.Background(), key)
}

// List implements claimer.Store.
func (s hostStore) List(ctx context.Context, prefix, after string, limit int) ([]storer.Object, error) {
	if s.host.simulation.park(ctx, s.host, "list") != deliver {
		return nil, s.unknownOutcome(prefix)
	}
	return s.host.simulation.store.List(context.Background(), prefix, after, limit)
}

// Create implements claimer.Store.
func (s hostStore) Create(ctx context.Context, key string, value []byte) (storer.Object, error) {
	return s.write(ctx, key, "create", func() (storer.Object, error) {
		sim := s.host.simulation
		if sim.mutation == unconditionalCreate {
			if o, err := sim.store.Get(context.Background(), key); err == nil {
				return sim.store.Update(context.Background(), key, o.Version, value)
			}
		}
		return sim.store.Create(context.Background(), key, value)
	})
}

// Update implements claimer.Store.
func (s hostStore) Update(ctx context.Context, key string, version int64, value []byte) (storer.Object, error) {
	return s.write(ctx, key, "update", func() (storer.Object, error) {
		return s.host.simulation.store.Update(context.Background(), key, version, value)
	})
}

// Delete implements claimer.Store.
func (s hostStore) Delete(ctx context.Context, key string, version int64) error {
	_, err := s.write(ctx, key, "delete", func() (storer.Object, error) {
		return storer.Object{}, s.host.simulation.store.Delete(context.Background(), key, version)
	})
	return err
}

// write parks a write and lets it take effect, fail or be delayed as the scheduler
// decides.
func (s hostStore) write(ctx context.Context, key, kind string, write func() (storer.Object, error)) (storer.Object, error) {
	sim := s.host.simulation
	o := sim.park(ctx, s.host, kind)
	switch o {
	case deliver:
		return write()
	case loseAnswer:
		_, _ = write()
	case delay:
		sim.mu.Lock()
		sim.delayed = append(sim.delayed, func() { _, _ = write() })
		sim.mu.Unlock()
	case refuse:
		return storer.Object{}, storer.ErrRateLimited{Key: key}
	}
	if sim.mutation == unknownIsSuccess && o != shutdown {
		return storer.Object{Key: key, Version: 1}, nil
	}
	return storer.Object{}, s.unknownOutcome(key)
}
