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
	requestMs      = 300
	stepIntervalMs = 250
	drainGraceMs   = 3 * clocker.Second // time for hosts to stop sending to leaving engines
	startInMs      = 30 * clocker.Second
	drainInMs      = 150 * clocker.Second
	dueInMs        = 400 * clocker.Second
)

// deployment is a small simulated deployment in one synctest bubble: zone a leaves,
// zone b stays.
type deployment struct {
	t       *testing.T
	clock   *clocker.Clock
	store   *platform.Store
	hosts   []*host
	engines map[string]*engine.Engine
	drainAt clocker.Millis
	// peersFrozen stops updates of the peer list.
	peersFrozen atomic.Bool

	mu            sync.Mutex
	peers         []heartbeater.Peer
	inFlight      map[string]int64
	lastRequestAt map[string]clocker.Millis // start of the latest request per leaving engine
	// writerByFencing holds the incarnation that wrote progress under each fencing
	// token; highestFencing is the latest token.
	writerByFencing map[int64]string
	highestFencing  int64
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

func newDeployment(t *testing.T) *deployment {
	clock := clocker.NewWall()
	w := &deployment{
		t: t, clock: clock, store: platform.New(clock), engines: map[string]*engine.Engine{},
		inFlight: map[string]int64{}, lastRequestAt: map[string]clocker.Millis{}, writerByFencing: map[int64]string{},
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
		w.hosts = append(w.hosts, &host{deployment: w, name: h.Name, zone: h.AvailabilityZone})
	}
	for _, h := range w.hosts {
		h.start()
	}
	w.refreshPeers()
	w.writeLimits(false)
	_, err := w.hosts[0].spreader.Apply(context.Background(), &messenger.ApplyRequest{OperationId: "first", Declarations: d, By: "ann"})
	assert.NilError(t, err)
	// The first configuration reaches the other hosts in the background. Without it they know no move.
	w.waitFor("first configuration", 5*clocker.Second, func() bool {
		return !slices.ContainsFunc(w.hosts, func(h *host) bool { return h.spreader.Index().Version() == 0 })
	})
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	for _, h := range w.hosts {
		tasks.Go(func() { h.run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		tasks.Wait()
		for _, h := range w.hosts {
			_ = h.spreader.Close(context.Background())
		}
	})
	return w
}

func (h *host) start() {
	w := h.deployment
	discard := slog.New(slog.DiscardHandler)
	h.spreader = spreader.New(context.Background(), spreader.Config{
		Host: h.name, AvailabilityZone: h.zone, Clock: w.clock, Store: hostStore{w.store, h}, Exchange: h, Peers: h.observedPeers, Log: discard,
	})
	h.lease = leaser.New(leaser.Config{Name: "mover", Incarnation: h.name + "-1-1", Clock: w.clock, Store: hostStore{w.store, h}})
	h.orderer = orderer.NewStepped(orderer.Config{Clock: w.clock, Index: h.spreader.Index, Lease: h.lease, Engines: serversByName{h}})
	h.mover = mover.NewStepped(mover.Config{
		Incarnation: h.name + "-1-1", Clock: w.clock, Store: hostStore{w.store, h}, Spreader: h.spreader, Lease: h.lease,
		Servers: serversByName{h}, Self: h.heartbeat, Peers: h.observedPeers, Log: discard,
	})
}

func (w *deployment) refreshPeers() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.peersFrozen.Load() {
		return
	}
	w.peers = nil
	for _, h := range w.hosts {
		w.peers = append(w.peers, h.peer())
	}
}

// run steps the orderer and mover of a host and sends requests to leaving engines
// as long as the host's own configuration allows it.
func (h *host) run(ctx context.Context) {
	for i := 0; h.clock.Sleep(ctx, stepIntervalMs) == nil; i++ {
		if h.name == "b-1" && i%4 == 0 {
			h.deployment.refreshPeers()
		}
		if h.paused.Load() {
			continue
		}
		for _, name := range []string{"a-engine-1", "a-engine-2"} {
			if h.canReach(name) && !h.spreader.Index().ServerLeaving(name, h.clock.Now()) {
				h.sendRequest(name)
			}
		}
		h.orderer.Step(ctx)
		if i%8 == 0 {
			h.mover.Step(ctx)
		}
	}
}

func (h *host) sendRequest(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inFlight[name]++
	h.lastRequestAt[name] = h.clock.Now()
	go func() {
		_ = h.clock.Sleep(context.Background(), requestMs)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.inFlight[name]--
	}()
}

// writeLimits writes the limits of the leaving hosts as unreturned or returned.
func (w *deployment) writeLimits(closed bool) {
	shard := &messenger.BudgetShard{Budgets: []*messenger.Budget{{Name: "mason", Granted: 1000, Holders: []*messenger.Holder{
		{Incarnation: "a-1-19b-00000001", Limit: 100, Closed: closed},
		{Incarnation: "a-2-19b-00000002", Limit: 100, Closed: closed},
		{Incarnation: "b-1-19b-00000003", Limit: 100},
	}}}}
	value, err := proto.Marshal(shard)
	assert.NilError(w.t, err)
	// A fault injected for the mover may affect this write, so it is read back.
	for range maxWriteAttempts {
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

// maxWriteAttempts bounds the retries of writeLimits under injected faults.
const maxWriteAttempts = 10

// checkProgressWrite checks that only one holder writes progress under a fencing
// token, and that the token never decreases.
func (w *deployment) checkProgressWrite(key string, value []byte, err error) {
	if err != nil || key != "move/weekend" {
		return
	}
	progress := &messenger.MoveProgress{}
	assert.Check(w.t, proto.Unmarshal(value, progress))
	w.mu.Lock()
	defer w.mu.Unlock()
	assert.Check(w.t, progress.Fencing > 0 && progress.Fencing >= w.highestFencing, "fencing token went from %d to %d", w.highestFencing, progress.Fencing)
	if other, ok := w.writerByFencing[progress.Fencing]; ok {
		assert.Check(w.t, other == progress.WrittenBy, "%s and %s wrote under fencing token %d", other, progress.WrittenBy, progress.Fencing)
	}
	w.highestFencing, w.writerByFencing[progress.Fencing] = progress.Fencing, progress.WrittenBy
}

// publishState sets the state of the move at a host, as an operator would.
func (h *host) publishState(operation string, state messenger.MoveState) error {
	for range 20 {
		_, err := h.spreader.Publish(context.Background(), spreader.PublishRequest{
			OperationID: operation, ExpectedVersion: h.spreader.Index().Version(), AppliedBy: operation,
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
	return h.spreader.Index().Configuration.Declarations.Moves[0].State
}

// holder returns the host that holds the lease, or nil.
func (w *deployment) holder() *host {
	for _, h := range w.hosts {
		if _, held := h.lease.Held(); held && !h.paused.Load() {
			return h
		}
	}
	return nil
}

// steps returns the recorded steps.
func (w *deployment) steps() []*messenger.MoveStep {
	o, err := w.store.Get(context.Background(), "move/weekend")
	if err != nil {
		return nil
	}
	progress := &messenger.MoveProgress{}
	assert.NilError(w.t, proto.Unmarshal(o.Value, progress))
	return progress.Steps
}

// stepStarted reports whether a step of the kind is running or done.
func (w *deployment) stepStarted(kind string) bool {
	return slices.ContainsFunc(w.steps(), func(s *messenger.MoveStep) bool { return s.Kind == kind && s.State != mover.Pending })
}

// waitFor sleeps until done returns true, and fails the test after limit.
func (w *deployment) waitFor(what string, limit clocker.Millis, done func() bool) {
	w.t.Helper()
	for end := w.clock.Now() + limit; !done(); {
		if w.clock.Now() > end {
			w.t.Fatalf("%s: not within %d ms, steps %v", what, limit, w.steps())
		}
		_ = w.clock.Sleep(context.Background(), 50)
	}
}

// assertNoRequestsAfter checks that leaving engines got no requests after the drain.
func (w *deployment) assertNoRequestsAfter(drainAt clocker.Millis) {
	w.t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, at := range w.lastRequestAt {
		assert.Assert(w.t, at <= drainAt+drainGraceMs, "%s got a request %d ms after the drain began", name, at-drainAt)
	}
}

// checkFinish lets the leaving hosts return their limits and checks that the move
// is not finished before that.
func (w *deployment) checkFinish() {
	w.t.Helper()
	w.waitFor("drain", 20*clocker.Minute, func() bool { return w.stepStarted(mover.Return) })
	_ = w.clock.Sleep(context.Background(), 20*clocker.Second)
	assert.Equal(w.t, w.host("b-2").state(), messenger.MoveState_STARTED, "finished before limits were returned")
	w.writeLimits(true)
	w.waitFor("finish", 5*clocker.Minute, func() bool { return w.host("b-2").state() == messenger.MoveState_FINISHED })
	w.mu.Lock()
	assert.Equal(w.t, w.inFlight["a-engine-1"]+w.inFlight["a-engine-2"], int64(0))
	w.mu.Unlock()
	for _, s := range w.steps() {
		assert.Equal(w.t, s.State, mover.Done, "%s %s", s.Kind, s.Target)
	}
}

func (w *deployment) currentDrainAt() clocker.Millis {
	return clocker.Millis(w.host("b-2").spreader.Index().Configuration.Declarations.Moves[0].DrainAtMs)
}
