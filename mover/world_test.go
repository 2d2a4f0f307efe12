package mover_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
	"cowsliphinge/leaser"
	"cowsliphinge/messenger"
	"cowsliphinge/mover"
	"cowsliphinge/orderer"
	"cowsliphinge/spreader"
	"cowsliphinge/standin/engine"
	"cowsliphinge/standin/platform"
	"cowsliphinge/storer"
)

const (
	workMs    = 300
	stepMs    = 250
	noWorkMs  = 3 * clocker.Second // leavings get no new work after this
	startInMs = 30 * clocker.Second
	drainInMs = 150 * clocker.Second
	dueInMs   = 400 * clocker.Second
)

// world is a small deployment in one synctest bubble: zone a leaves, zone b stays.
type world struct {
	t       *testing.T
	clock   *clocker.Clock
	store   *platform.Store
	hosts   []*host
	engines map[string]*engine.Engine
	drainAt clocker.Millis
	// frozen keeps the peer list as it is.
	frozen atomic.Bool

	mu       sync.Mutex
	peers    []heartbeater.Peer
	inFlight map[string]int64
	lastWork map[string]clocker.Millis // start of the latest work on a leaving server
	// writers holds who wrote progress under each fencing number, highest the
	// latest number.
	writers map[int64]string
	highest int64
}

func declarations(now clocker.Millis) *messenger.Declarations {
	d := &messenger.Declarations{
		Deployment: "test",
		Services:   []*messenger.Service{{Name: "drafts", Kind: messenger.ServiceKind_LANGUAGE, ChecksFencing: true, DefaultDeadlineMs: 10000}},
		Models:     []*messenger.Model{{Name: "draft", Version: "1", SizeMb: 2000}},
		Moves: []*messenger.Move{{
			Name: "weekend", State: messenger.MoveState_PLANNED,
			LeavingHosts: []string{"a-1", "a-2"}, LeavingBackendServers: []string{"a-engine-1", "a-engine-2"},
			ArrivingBackendServers: []string{"b-engine-1", "b-engine-2"},
			StartAtMs:              int64(now + startInMs), DrainAtMs: int64(now + drainInMs), DueAtMs: int64(now + dueInMs),
		}},
	}
	for i, name := range []string{"a-1", "a-2", "b-1", "b-2"} {
		d.Hosts = append(d.Hosts, &messenger.Host{
			Name: name, AvailabilityZone: name[:1], CallerAddress: fmt.Sprint("127.0.0.1:", 8101+i), ExchangeAddress: fmt.Sprint("127.0.0.1:", 8201+i),
		})
	}
	for i, name := range []string{"a-engine-1", "a-engine-2", "b-engine-1", "b-engine-2"} {
		d.BackendServers = append(d.BackendServers, &messenger.BackendServer{
			Name: name, Address: fmt.Sprint("127.0.0.1:", 9101+i), AvailabilityZone: name[:1], Service: "drafts", Models: []string{"draft"},
		})
	}
	return d
}

func newWorld(t *testing.T) *world {
	clock := clocker.NewWall()
	w := &world{
		t: t, clock: clock, store: platform.New(clock), engines: map[string]*engine.Engine{},
		inFlight: map[string]int64{}, lastWork: map[string]clocker.Millis{}, writers: map[int64]string{},
	}
	d := declarations(clock.Now())
	w.drainAt = clocker.Millis(d.Moves[0].DrainAtMs)
	for _, b := range d.BackendServers {
		models := []string{"draft"}
		if b.AvailabilityZone == "b" {
			models = []string{"none"}
		}
		e := engine.New(engine.Config{Clock: clock, Models: models, LoadMsPerModel: 10000, ChecksFencing: true})
		t.Cleanup(e.Close)
		w.engines[b.Name] = e
	}
	for _, h := range d.Hosts {
		w.hosts = append(w.hosts, &host{world: w, name: h.Name, zone: h.AvailabilityZone})
	}
	for _, h := range w.hosts {
		h.start()
	}
	w.beat()
	w.writeLimits(false)
	_, err := w.hosts[0].s.Apply(context.Background(), &messenger.ApplyRequest{OperationId: "first", Declarations: d, By: "ann"})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var duties sync.WaitGroup
	for _, h := range w.hosts {
		duties.Go(func() { h.serve(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		duties.Wait()
		for _, h := range w.hosts {
			_ = h.s.Close(context.Background())
		}
	})
	return w
}

func (h *host) start() {
	w := h.world
	quiet := slog.New(slog.DiscardHandler)
	h.s = spreader.New(context.Background(), spreader.Config{
		Host: h.name, AvailabilityZone: h.zone, Clock: w.clock, Store: gate{w.store, h}, Exchange: h, Peers: h.peersSeen, Log: quiet,
	})
	h.lease = leaser.New(leaser.Config{Name: "mover", Incarnation: h.name + "-1-1", Clock: w.clock, Store: gate{w.store, h}})
	h.o = orderer.NewStepped(orderer.Config{Clock: w.clock, Index: h.s.Index, Lease: h.lease, Engines: byName{h}})
	h.m = mover.NewStepped(mover.Config{
		Incarnation: h.name + "-1-1", Clock: w.clock, Store: gate{w.store, h}, Spreader: h.s, Lease: h.lease,
		Servers: byName{h}, Self: h.beat, Peers: h.peersSeen, Log: quiet,
	})
}

func (w *world) beat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.frozen.Load() {
		return
	}
	w.peers = nil
	for _, h := range w.hosts {
		w.peers = append(w.peers, h.peer())
	}
}

// serve steps the mover of a host and sends work to leaving engines as long as
// the host's own configuration lets it.
func (h *host) serve(ctx context.Context) {
	for i := 0; h.clock.Sleep(ctx, stepMs) == nil; i++ {
		if h.name == "b-1" && i%4 == 0 {
			h.world.beat()
		}
		if h.paused.Load() {
			continue
		}
		for _, name := range []string{"a-engine-1", "a-engine-2"} {
			if h.reaches(name) && !h.s.Index().ServerLeaving(name, h.clock.Now()) {
				h.work(name)
			}
		}
		h.o.Step(ctx)
		if i%8 == 0 {
			h.m.Step(ctx)
		}
	}
}

func (h *host) work(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inFlight[name]++
	h.lastWork[name] = h.clock.Now()
	go func() {
		_ = h.clock.Sleep(context.Background(), workMs)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.inFlight[name]--
	}()
}

// writeLimits writes the limits of the leaving hosts, open or returned.
func (w *world) writeLimits(closed bool) {
	shard := &messenger.BudgetShard{Budgets: []*messenger.Budget{{Name: "mason", Granted: 1000, Holders: []*messenger.Holder{
		{Incarnation: "a-1-19b-00000001", Limit: 100, Closed: closed},
		{Incarnation: "a-2-19b-00000002", Limit: 100, Closed: closed},
		{Incarnation: "b-1-19b-00000003", Limit: 100},
	}}}}
	value, err := proto.Marshal(shard)
	assert.NilError(w.t, err)
	// A fault that is meant for the mover may strike here: hosts read back too.
	for range writeTries {
		o, err := w.store.Get(context.Background(), "budget/0")
		if err == nil && bytes.Equal(o.Value, value) {
			return
		}
		switch {
		case storer.IsErrNotFound(err):
			_, err = w.store.Create(context.Background(), "budget/0", value)
		case err == nil:
			_, err = w.store.Update(context.Background(), "budget/0", o.Version, value)
		}
		assert.Assert(w.t, err == nil || storer.IsErrOutcomeUnknown(err), "%v", err)
	}
	w.t.Fatal("limits were not written")
}

// writeTries bounds the writes of limits that faults strike.
const writeTries = 10

// noteProgress checks that progress is written by one holder for each fencing
// number, and never under a lower one than before.
func (w *world) noteProgress(key string, value []byte, err error) {
	if err != nil || key != "move/weekend" {
		return
	}
	progress := &messenger.MoveProgress{}
	assert.Check(w.t, proto.Unmarshal(value, progress))
	w.mu.Lock()
	defer w.mu.Unlock()
	assert.Check(w.t, progress.Fencing > 0 && progress.Fencing >= w.highest, "fencing went from %d to %d", w.highest, progress.Fencing)
	if other, ok := w.writers[progress.Fencing]; ok {
		assert.Check(w.t, other == progress.WrittenBy, "%s and %s wrote under number %d", other, progress.WrittenBy, progress.Fencing)
	}
	w.highest, w.writers[progress.Fencing] = progress.Fencing, progress.WrittenBy
}

// put brings the move into a state at a host, as an operator would.
func (h *host) put(operation string, state messenger.MoveState) error {
	for range 20 {
		_, err := h.s.Publish(context.Background(), spreader.PublishRequest{
			OperationID: operation, ExpectedVersion: h.s.Index().Version(), AppliedBy: operation,
			Edit: func(before *messenger.Declarations) (*messenger.Declarations, []*messenger.Finding) {
				after := proto.CloneOf(before)
				after.Moves[0].State = state
				return after, nil
			},
		})
		if err == nil {
			return nil
		}
		_ = h.clock.Sleep(context.Background(), clocker.Second)
	}
	return errors.New("not accepted")
}

func (h *host) state() messenger.MoveState {
	return h.s.Index().Configuration.Declarations.Moves[0].State
}

// holder returns the host that holds the lease, or nil.
func (w *world) holder() *host {
	for _, h := range w.hosts {
		if _, held := h.lease.Held(); held && !h.paused.Load() {
			return h
		}
	}
	return nil
}

// steps returns the recorded steps.
func (w *world) steps() []*messenger.MoveStep {
	o, err := w.store.Get(context.Background(), "move/weekend")
	if err != nil {
		return nil
	}
	progress := &messenger.MoveProgress{}
	assert.NilError(w.t, proto.Unmarshal(o.Value, progress))
	return progress.Steps
}

// reached reports whether a step of the kind is running or done.
func (w *world) reached(kind string) bool {
	return slices.ContainsFunc(w.steps(), func(s *messenger.MoveStep) bool { return s.Kind == kind && s.State != mover.Pending })
}

// until sleeps until done returns true, and fails the test after limit.
func (w *world) until(what string, limit clocker.Millis, done func() bool) {
	w.t.Helper()
	for end := w.clock.Now() + limit; !done(); {
		if w.clock.Now() > end {
			w.t.Fatalf("%s: not within %d ms, steps %v", what, limit, w.steps())
		}
		_ = w.clock.Sleep(context.Background(), 50)
	}
}

// assertNoLateWork checks that leavings got no work after the drain.
func (w *world) assertNoLateWork(drainAt clocker.Millis) {
	w.t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, at := range w.lastWork {
		assert.Assert(w.t, at <= drainAt+noWorkMs, "%s got work %d ms after the drain began", name, at-drainAt)
	}
}

// finish lets the leaving hosts return their limits and checks that the move is
// finished only then.
func (w *world) finish() {
	w.t.Helper()
	w.until("drain", 20*clocker.Minute, func() bool { return w.reached(mover.Return) })
	_ = w.clock.Sleep(context.Background(), 20*clocker.Second)
	assert.Equal(w.t, w.host("b-2").state(), messenger.MoveState_STARTED, "finished with open limits")
	w.writeLimits(true)
	w.until("finish", 5*clocker.Minute, func() bool { return w.host("b-2").state() == messenger.MoveState_FINISHED })
	w.mu.Lock()
	assert.Equal(w.t, w.inFlight["a-engine-1"]+w.inFlight["a-engine-2"], int64(0))
	w.mu.Unlock()
	for _, s := range w.steps() {
		assert.Equal(w.t, s.State, mover.Done, "%s %s", s.Kind, s.Target)
	}
}

func (w *world) drainInForce() clocker.Millis {
	return clocker.Millis(w.host("b-2").s.Index().Configuration.Declarations.Moves[0].DrainAtMs)
}
