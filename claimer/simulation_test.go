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

// outcome is what happens to a parked call when it is resumed.
type outcome int

const (
	deliver outcome = iota
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
	resume chan outcome
}

// workerKey is the context key of the worker's name.
type workerKey struct{}

// simulation consists of several hosts, the platform, and an application server that
// counts runs. Goroutines park at each call until the scheduler resumes them, so a
// list of choices determines the whole run.
type simulation struct {
	clock  *clocker.Clock
	store  *platform.Store
	fault  injectedFault
	ctx    context.Context
	cancel context.CancelFunc

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

// injectedFault is a fault that the simulation must detect.
type injectedFault string

const (
	noFault               injectedFault = ""
	unknownIsSuccess      injectedFault = "unknown outcome read as success"
	unconditionalCreate   injectedFault = "claim without condition"
	reclaimDead           injectedFault = "claim of a dead owner taken over"
	foreignTicketAccepted injectedFault = "ticket accepted elsewhere"
	releaseAfterSilence   injectedFault = "silence after dispatch released"
	failedReadIsFree      injectedFault = "failed read taken for a free key"
)

func newSimulation(fault injectedFault, hosts int) *simulation {
	clock := clocker.NewManual(clocker.Hour)
	w := &simulation{clock: clock, store: platform.New(clock), fault: fault, runs: map[string]int{}, verdicts: map[claimer.Verdict]int{}}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	for i := range hosts {
		w.start(fmt.Sprintf("h%d-%x-0", i, i+1))
	}
	return w
}

// start adds a host with a new claimer.
func (w *simulation) start(name string) *host {
	h := &host{name: name, simulation: w}
	h.claimer = claimer.New(context.WithValue(w.ctx, workerKey{}, "duty"), claimer.Config{
		Incarnation: name, Clock: w.clock, Store: hostStore{h}, Alive: w.alive,
	})
	switch {
	case w.fault == reclaimDead:
		h.claimer.SetResolve(claimer.ResolveReclaimingDead)
	case w.fault == foreignTicketAccepted && len(w.hosts) > 0:
		h.claimer.ImpersonateTickets(w.hosts[0].claimer)
	}
	w.hosts = append(w.hosts, h)
	return h
}

// alive reports whether hosts believe that an incarnation runs. With aliveInverted it
// is wrong for every incarnation.
func (w *simulation) alive(incarnation string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range w.hosts {
		if h.name == incarnation {
			return h.crashed == w.aliveInverted
		}
	}
	return false
}

// park blocks the calling goroutine until the scheduler resumes it, and returns the
// outcome of the call.
func (w *simulation) park(ctx context.Context, h *host, kind string) outcome {
	w.mu.Lock()
	if w.closing {
		w.mu.Unlock()
		return shutdown
	}
	if w.unscheduled {
		w.mu.Unlock()
		return deliver
	}
	worker, _ := ctx.Value(workerKey{}).(string)
	s := &parkedCall{host: h, worker: worker, kind: kind, resume: make(chan outcome)}
	w.parked = append(w.parked, s)
	w.mu.Unlock()
	return <-s.resume
}

// waiting returns the parked calls of hosts that run, in an order that does not
// depend on the scheduling of goroutines.
func (w *simulation) waiting() []*parkedCall {
	synctest.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	var calls []*parkedCall
	for _, s := range w.parked {
		if !s.host.crashed && !s.host.paused {
			calls = append(calls, s)
		}
	}
	slices.SortFunc(calls, func(a, b *parkedCall) int {
		return cmp.Or(cmp.Compare(a.host.name, b.host.name), cmp.Compare(a.worker, b.worker), cmp.Compare(a.kind, b.kind))
	})
	return calls
}

// resume resumes a parked call with an outcome.
func (w *simulation) resume(s *parkedCall, o outcome) {
	w.mu.Lock()
	w.parked = slices.DeleteFunc(w.parked, func(p *parkedCall) bool { return p == s })
	w.mu.Unlock()
	s.resume <- o
	synctest.Wait()
}

// releaseDelayed lets the delayed writes take effect.
func (w *simulation) releaseDelayed() {
	w.mu.Lock()
	delayed := w.delayed
	w.delayed = nil
	w.mu.Unlock()
	for _, write := range delayed {
		write()
	}
}

// sendRequest starts a worker that sends a request to a host and, if the verdict
// names another incarnation, forwards it once.
func (w *simulation) sendRequest(h *host, key, body string) {
	w.workers++
	w.requests.Add(1)
	worker := fmt.Sprintf("w%03d", w.workers)
	ctx := context.WithValue(w.ctx, workerKey{}, worker)
	req := claimer.Request{
		ClientAccount: "mason", IdempotencyKey: key, RequestHash: sha256.Sum256([]byte(body)),
		Deadline: w.clock.Now() + 5*clocker.Second,
	}
	go func() {
		defer w.requests.Done()
		for range 2 {
			ran := w.runCount(key)
			op := w.recordClaim(key, body)
			d := h.claimer.Claim(ctx, req)
			w.recordClaimReturn(op, d)
			w.checkVerdict(key, ran, d)
			if d.Verdict == claimer.Owned {
				w.run(ctx, h, key, body, d.Claim, op)
			}
			if h = w.runningHost(d.Incarnation); h == nil {
				return
			}
		}
	}()
}

// runningHost returns the host of an incarnation, or nil if it crashed or does not
// exist.
func (w *simulation) runningHost(incarnation string) *host {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range w.hosts {
		if h.name == incarnation && !h.crashed {
			return h
		}
	}
	return nil
}

// run dispatches a claimed request to the application server.
func (w *simulation) run(ctx context.Context, h *host, key, body string, claim *messenger.Claim, op int) {
	if w.park(ctx, h, "dispatch") == shutdown {
		return
	}
	if !h.claimer.MarkDispatched(claim) {
		w.finish(ctx, h, claim, nil, op, true)
		return
	}
	o := w.park(ctx, h, "run")
	if o == deliver || o == loseAnswer || o == delay {
		w.recordRun(key)
	}
	var answer *messenger.StoredAnswer
	if o == deliver {
		answer = &messenger.StoredAnswer{Status: 201, Body: []byte(key + body)}
	}
	if o == shutdown || w.park(ctx, h, "finish") == shutdown {
		return
	}
	w.finish(ctx, h, claim, answer, op, o == refuse || answer == nil && w.fault == releaseAfterSilence)
}

// finish releases or finishes a claim and records the operation.
func (w *simulation) finish(ctx context.Context, h *host, claim *messenger.Claim, answer *messenger.StoredAnswer, op int, release bool) {
	end := w.recordFinish(claim.IdempotencyKey, op, answer, release)
	if release {
		h.claimer.Release(ctx, claim)
	} else {
		h.claimer.Finish(ctx, claim, answer)
	}
	w.recordFinishReturn(end)
}

// recordRun counts a run at the application server. A second run is a violation.
func (w *simulation) recordRun(key string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[key]++
	if w.runs[key] > 1 {
		w.violations = append(w.violations, fmt.Errorf("key %s ran %d times", key, w.runs[key]))
	}
}

// runCount returns how often the request of a key ran.
func (w *simulation) runCount(key string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[key]
}

// checkVerdict checks a verdict against the runs that the application server counted.
// ran is the number of runs before the request was sent.
func (w *simulation) checkVerdict(key string, ran int, d claimer.Decision) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.verdicts[d.Verdict]++
	switch {
	case (d.Verdict == claimer.NotClaimed || d.Verdict == claimer.Owned) && ran > 0 && !w.closing:
		w.violations = append(w.violations, fmt.Errorf("key %s: %s though it ran", key, d.Verdict))
	case d.Verdict == claimer.Answered && w.runs[key] == 0:
		w.violations = append(w.violations, fmt.Errorf("key %s: answered though it never ran", key))
	}
}

// shutdown ends all goroutines of the simulation.
func (w *simulation) shutdown() {
	w.mu.Lock()
	w.closing = true
	parked := w.parked
	w.parked = nil
	w.mu.Unlock()
	w.cancel()
	for _, s := range parked {
		s.resume <- shutdown
	}
	synctest.Wait()
}

// violation returns the violations found so far as one error, or nil.
func (w *simulation) violation() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return errors.Join(w.violations...)
}

// hostStore is the Object API as used by one host. Each call parks before it takes
// effect.
type hostStore struct {
	host *host
}

func (g hostStore) outcomeUnknown(key string) error {
	return storer.ErrOutcomeUnknown{Key: key, Cause: "gate"}
}

// Get implements claimer.Store.
func (g hostStore) Get(ctx context.Context, key string) (storer.Object, error) {
	w := g.host.simulation
	if w.park(ctx, g.host, "get") != deliver {
		if w.fault == failedReadIsFree {
			return storer.Object{}, storer.ErrNotFound{Key: key}
		}
		return storer.Object{}, g.outcomeUnknown(key)
	}
	return w.store.Get(context.Background(), key)
}

// List implements claimer.Store.
func (g hostStore) List(ctx context.Context, prefix, after string, limit int) ([]storer.Object, error) {
	if g.host.simulation.park(ctx, g.host, "list") != deliver {
		return nil, g.outcomeUnknown(prefix)
	}
	return g.host.simulation.store.List(context.Background(), prefix, after, limit)
}

// Create implements claimer.Store.
func (g hostStore) Create(ctx context.Context, key string, value []byte) (storer.Object, error) {
	return g.write(ctx, key, "create", func() (storer.Object, error) {
		w := g.host.simulation
		if w.fault == unconditionalCreate {
			if o, err := w.store.Get(context.Background(), key); err == nil {
				return w.store.Update(context.Background(), key, o.Version, value)
			}
		}
		return w.store.Create(context.Background(), key, value)
	})
}

// Update implements claimer.Store.
func (g hostStore) Update(ctx context.Context, key string, version int64, value []byte) (storer.Object, error) {
	return g.write(ctx, key, "update", func() (storer.Object, error) {
		return g.host.simulation.store.Update(context.Background(), key, version, value)
	})
}

// Delete implements claimer.Store.
func (g hostStore) Delete(ctx context.Context, key string, version int64) error {
	_, err := g.write(ctx, key, "delete", func() (storer.Object, error) {
		return storer.Object{}, g.host.simulation.store.Delete(context.Background(), key, version)
	})
	return err
}

// write parks a write and lets it take effect, fail or be delayed as the scheduler
// decides.
func (g hostStore) write(ctx context.Context, key, kind string, write func() (storer.Object, error)) (storer.Object, error) {
	w := g.host.simulation
	o := w.park(ctx, g.host, kind)
	switch o {
	case deliver:
		return write()
	case loseAnswer:
		_, _ = write()
	case delay:
		w.mu.Lock()
		w.delayed = append(w.delayed, func() { _, _ = write() })
		w.mu.Unlock()
	case refuse:
		return storer.Object{}, storer.ErrRateLimited{Key: key}
	}
	if w.fault == unknownIsSuccess && o != shutdown {
		return storer.Object{Key: key, Version: 1}, nil
	}
	return storer.Object{}, g.outcomeUnknown(key)
}
