package mover_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

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
	late     []string
}

type host struct {
	*world
	name, zone string
	cut        atomic.Bool // from the platform and the other zone
	paused     atomic.Bool
	s          *spreader.Spreader
	lease      *leaser.Lease
	m          *mover.Mover
	o          *orderer.Orderer
}

// gate is the platform as one host reaches it.
type gate struct {
	*platform.Store
	h *host
}

var errCut = storer.ErrOutcomeUnknown{Cause: "partition"}

func (g gate) Get(ctx context.Context, key string) (storer.Object, error) {
	if g.h.cut.Load() {
		return storer.Object{}, errCut
	}
	return g.Store.Get(ctx, key)
}

func (g gate) Create(ctx context.Context, key string, value []byte) (storer.Object, error) {
	if g.h.cut.Load() {
		return storer.Object{}, errCut
	}
	return g.Store.Create(ctx, key, value)
}

func (g gate) Update(ctx context.Context, key string, version int64, value []byte) (storer.Object, error) {
	if g.h.cut.Load() {
		return storer.Object{}, errCut
	}
	return g.Store.Update(ctx, key, version, value)
}

func (g gate) Watch(ctx context.Context, prefix string, since int64) ([]storer.Object, error) {
	if g.h.cut.Load() {
		return nil, errCut
	}
	return g.Store.Watch(ctx, prefix, since)
}

func (w *world) host(name string) *host {
	return w.hosts[slices.IndexFunc(w.hosts, func(h *host) bool { return h.name == name })]
}

// PullConfiguration carries a pull between hosts.
func (h *host) PullConfiguration(ctx context.Context, address string, req *messenger.PullRequest) (*messenger.PullReply, error) {
	other := h.host(address)
	if other.zone != h.zone && (other.cut.Load() || h.cut.Load()) {
		return nil, errCut
	}
	return other.s.PullConfiguration(ctx, req)
}

func (h *host) reaches(address string) bool {
	zone := address[:1]
	return zone == h.zone || !h.cut.Load() && !h.host(zone+"-1").cut.Load()
}

// State, Order, InFlight and Warm reach the engines, which are named by their address.
func (h *host) State(_ context.Context, address string) (orderer.State, error) {
	if !h.reaches(address) {
		return orderer.State{}, errCut
	}
	s := h.engines[address].State()
	state := orderer.State{Fencing: s.Fencing, Role: s.Role}
	for _, m := range s.Models {
		state.Models = append(state.Models, orderer.Model(m))
	}
	for _, m := range s.Loading {
		state.Loading = append(state.Loading, orderer.Model(m))
	}
	return state, nil
}

func (h *host) Order(_ context.Context, address string, order orderer.Order) error {
	if !h.reaches(address) {
		return errCut
	}
	out := engine.Order{Fencing: order.Fencing, Role: order.Role}
	for _, m := range order.Models {
		out.Models = append(out.Models, engine.Model(m))
	}
	if !h.engines[address].Order(out) {
		return orderer.ErrOldFencing{Address: address}
	}
	return nil
}

func (h *host) InFlight(_ context.Context, address string) (int64, clocker.Millis, error) {
	if !h.reaches(address) {
		return 0, 0, errCut
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.inFlight[address], h.clock.Now(), nil
}

func (h *host) Warm(_ context.Context, from, to string) (int, error) {
	if !h.reaches(from) || !h.reaches(to) {
		return 0, errCut
	}
	return 1, nil
}

func (h *host) beat() *messenger.Beat {
	p := h.peer()
	return &messenger.Beat{Host: p.Host, Draining: p.Draining, InFlight: p.InFlight, LeavingInFlight: p.LeavingInFlight}
}

func (h *host) peer() heartbeater.Peer {
	leaving := h.s.Index().HostLeaving(h.name, h.clock.Now())
	return heartbeater.Peer{
		Host: h.name, AvailabilityZone: h.zone, ExchangeAddress: h.name, LastHeard: h.clock.Now(), PlatformReachable: !h.cut.Load(),
		ConfigurationVersion: h.s.Index().Version(), Draining: leaving,
	}
}

func (h *host) peersSeen() []heartbeater.Peer {
	h.mu.Lock()
	defer h.mu.Unlock()
	peers := slices.Clone(h.peers)
	for i := range peers {
		other := h.host(peers[i].Host)
		peers[i].Suspect = other.paused.Load() || other.zone != h.zone && (other.cut.Load() || h.cut.Load())
	}
	return peers
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

// byName lets the fakes be called by the names of backend servers.
type byName struct {
	*host
}

func (b byName) name(address string) string {
	for _, s := range b.s.Index().Configuration.Declarations.BackendServers {
		if s.Address == address {
			return s.Name
		}
	}
	return address
}

func (b byName) State(ctx context.Context, address string) (orderer.State, error) {
	return b.host.State(ctx, b.name(address))
}

func (b byName) Order(ctx context.Context, address string, order orderer.Order) error {
	return b.host.Order(ctx, b.name(address), order)
}

func (b byName) InFlight(ctx context.Context, address string) (int64, clocker.Millis, error) {
	return b.host.InFlight(ctx, b.name(address))
}

func (b byName) Warm(ctx context.Context, from, to string) (int, error) {
	return b.host.Warm(ctx, b.name(from), b.name(to))
}

func newWorld(t *testing.T) *world {
	clock := clocker.NewWall()
	w := &world{
		t: t, clock: clock, store: platform.New(clock), engines: map[string]*engine.Engine{},
		inFlight: map[string]int64{}, lastWork: map[string]clocker.Millis{},
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
	h.lease = leaser.New(leaser.Config{Name: "mover", Holder: h.name + "-1-1", Clock: w.clock, Store: gate{w.store, h}})
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
	o, err := w.store.Get(context.Background(), "budget/0")
	if storer.IsErrNotFound(err) {
		_, err = w.store.Create(context.Background(), "budget/0", value)
	} else {
		_, err = w.store.Update(context.Background(), "budget/0", o.Version, value)
	}
	assert.NilError(w.t, err)
}

// put brings the move into a state at a host, as an operator would.
func (h *host) put(operation string, state messenger.MoveState) error {
	for range 20 {
		_, err := h.s.Publish(context.Background(), spreader.Change{
			OperationID: operation, ExpectedVersion: h.s.Index().Version(), By: operation,
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

// TestMoveUnderFaults strikes each fault when each kind of step has begun.
func TestMoveUnderFaults(t *testing.T) {
	faults := map[string]func(w *world){
		"none": func(*world) {},
		"holder crashes": func(w *world) {
			if h := w.holder(); h != nil {
				h.paused.Store(true)
			}
		},
		"holder is paused past its lease": func(w *world) {
			h := w.holder()
			if h == nil {
				return
			}
			h.paused.Store(true)
			_ = w.clock.Sleep(context.Background(), 25*clocker.Second)
			h.paused.Store(false)
		},
		"answers are lost":   func(w *world) { w.store.SetFaults(platform.Faults{LoseAnswers: 6}) },
		"writes are dropped": func(w *world) { w.store.SetFaults(platform.Faults{DropWrites: 6}) },
		"writes are late": func(w *world) {
			w.store.SetFaults(platform.Faults{DelayWrites: 6})
			_ = w.clock.Sleep(context.Background(), 30*clocker.Second)
			w.store.ReleaseDelayed()
		},
		"platform outage": func(w *world) {
			w.store.SetFaults(platform.Faults{Outage: true})
			_ = w.clock.Sleep(context.Background(), clocker.Minute)
			w.store.SetFaults(platform.Faults{})
		},
		"peer list lags": func(w *world) {
			w.frozen.Store(true)
			_ = w.clock.Sleep(context.Background(), clocker.Minute)
			w.frozen.Store(false)
		},
	}
	for name, strike := range faults {
		for _, kind := range []string{mover.Load, mover.Warm, mover.Drain, mover.Return} {
			t.Run(name+" at "+kind, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newWorld(t)
					assert.NilError(t, w.host("b-1").put("start", messenger.MoveState_STARTED))
					w.until(kind, 20*clocker.Minute, func() bool { return w.reached(kind) })
					strike(w)
					w.finish()
					w.assertNoLateWork(w.drainInForce())
				})
			})
		}
	}
}

// TestLeavingZoneIsCutOffDuringTheMove cuts the leaving zone off once it knows
// the move: it drains by itself, and the move ends only after it is back.
func TestLeavingZoneIsCutOffDuringTheMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		assert.NilError(t, w.host("b-1").put("start", messenger.MoveState_STARTED))
		w.until("spread", 5*clocker.Second, func() bool {
			return !slices.ContainsFunc(w.hosts, func(h *host) bool { return h.state() != messenger.MoveState_STARTED })
		})
		w.host("a-1").cut.Store(true)
		w.host("a-2").cut.Store(true)
		_ = w.clock.Sleep(context.Background(), drainInMs+clocker.Minute)
		w.assertNoLateWork(w.drainAt)
		w.writeLimits(true)
		_ = w.clock.Sleep(context.Background(), clocker.Minute)
		assert.Equal(t, w.host("b-1").state(), messenger.MoveState_STARTED, "finished without a word from the leavings")
		w.host("a-1").cut.Store(false)
		w.host("a-2").cut.Store(false)
		w.until("finish", 5*clocker.Minute, func() bool { return w.host("b-1").state() == messenger.MoveState_FINISHED })
	})
}

// TestRacingOperators cancels at one host while the move goes on at another,
// resumes, and cancels again from two hosts at once.
func TestRacingOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		assert.NilError(t, w.host("b-1").put("start", messenger.MoveState_STARTED))
		w.until("drain", 20*clocker.Minute, func() bool { return w.reached(mover.Drain) })
		var operators sync.WaitGroup
		operators.Go(func() { assert.Check(t, w.host("a-1").put("ann", messenger.MoveState_CANCELLED)) })
		operators.Go(func() { assert.Check(t, w.host("b-2").put("bob", messenger.MoveState_CANCELLED)) })
		operators.Wait()
		w.until("cancel", 5*clocker.Second, func() bool { return w.host("b-1").state() == messenger.MoveState_CANCELLED })
		_ = w.clock.Sleep(context.Background(), 10*clocker.Second)
		w.mu.Lock()
		resumed := w.clock.Now() - w.lastWork["a-engine-1"]
		w.mu.Unlock()
		assert.Assert(t, resumed < clocker.Second, "leavings take no work after the cancel")

		assert.NilError(t, w.host("b-1").put("resume", messenger.MoveState_STARTED))
		again := w.clock.Now()
		w.finish()
		w.assertNoLateWork(again)
	})
}
