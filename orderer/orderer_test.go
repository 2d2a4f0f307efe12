package orderer_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/indexer"
	"cowsliphinge/messenger"
	"cowsliphinge/orderer"
	"cowsliphinge/standin/engine"
)

// fakeEngines calls stand-in engines without a network.
type fakeEngines struct {
	byAddress map[string]*engine.Engine
	// afterState is called after a state was read; nil for none.
	afterState func()
	// loseAnswers drops the answers to orders, dropOrders the orders themselves.
	loseAnswers, dropOrders bool
	maxLoading              int // largest number of engines that loaded at the same time
}

func (e *fakeEngines) State(_ context.Context, address string) (orderer.State, error) {
	s := e.byAddress[address].State()
	if e.afterState != nil {
		e.afterState()
	}
	return orderer.State{Fencing: s.Fencing, Role: s.Role, Models: toModels(s.Models), Loading: toModels(s.Loading)}, nil
}

func toModels(list []engine.Model) []orderer.Model {
	var all []orderer.Model
	for _, m := range list {
		all = append(all, orderer.Model(m))
	}
	return all
}

func (e *fakeEngines) Order(_ context.Context, address string, order orderer.Order) error {
	if e.dropOrders {
		return errors.New("dropped")
	}
	out := engine.Order{Fencing: order.Fencing, Role: order.Role}
	for _, m := range order.Models {
		out.Models = append(out.Models, engine.Model(m))
	}
	if !e.byAddress[address].Order(out) {
		return orderer.ErrStaleFencing{Address: address}
	}
	loading := 0
	for _, other := range e.byAddress {
		if len(other.State().Loading) > 0 {
			loading++
		}
	}
	e.maxLoading = max(e.maxLoading, loading)
	if e.loseAnswers {
		return errors.New("answer lost")
	}
	return nil
}

// fakeLease is held with a fixed fencing token until lost is set.
type fakeLease struct {
	fencing int64
	lost    bool
}

func (l *fakeLease) Held() (int64, bool) { return l.fencing, !l.lost }

type fixture struct {
	clock   *clocker.Clock
	engines *fakeEngines
	d       *messenger.Declarations
}

// newFixture declares two models on two engines that have loaded neither.
func newFixture(t *testing.T, checks bool) *fixture {
	clock := clocker.NewManual(1000)
	b := &fixture{clock: clock, engines: &fakeEngines{byAddress: map[string]*engine.Engine{}}, d: &messenger.Declarations{
		Services: []*messenger.Service{{Name: "drafts", Kind: messenger.ServiceKind_LANGUAGE, ChecksFencing: checks}},
		Models:   []*messenger.Model{{Name: "one", Version: "1", SizeMb: 200}, {Name: "two", Version: "1", SizeMb: 200}},
	}}
	for i := range 2 {
		address := fmt.Sprint("engine-", i)
		e := engine.New(engine.Config{Clock: clock, Models: []string{"none"}, LoadMsPerModel: 1000, ChecksFencing: checks})
		t.Cleanup(e.Close)
		b.engines.byAddress[address] = e
		b.d.BackendServers = append(b.d.BackendServers, &messenger.BackendServer{
			Name: address, Address: address, Service: "drafts", Models: []string{"one", "two"},
		})
	}
	return b
}

func (b *fixture) orderer(l *fakeLease, d *messenger.Declarations) *orderer.Orderer {
	index := indexer.New(&messenger.Configuration{Declarations: d})
	return orderer.NewStepped(orderer.Config{Clock: b.clock, Index: func() *indexer.Index { return index }, Lease: l, Engines: b.engines})
}

// run calls Step every 50 ms for a duration of d.
func (b *fixture) run(o *orderer.Orderer, d clocker.Millis) {
	for end := b.clock.Now() + d; b.clock.Now() < end; b.clock.Advance(50) {
		o.Step(context.Background())
	}
}

// assertDesired checks that each engine serves exactly what is declared.
func (b *fixture) assertDesired(t *testing.T, d *messenger.Declarations) {
	t.Helper()
	for _, s := range d.BackendServers {
		state, _ := b.engines.State(context.Background(), s.Address)
		order := orderer.DesiredOrder(d, s)
		assert.Assert(t, orderer.Fulfilled(order, state), "%s: %+v", s.Name, state)
		assert.Equal(t, len(state.Models), len(order.Models))
	}
}

// Guards against: a fault leaves engines short of their desired state, or makes engines
// load at the same time. Runs with engines that check fencing tokens and that don't.
func TestEnginesReachDesiredStateDespiteFaults(t *testing.T) {
	for _, checks := range []bool{true, false} {
		for _, fault := range []string{"none", "lost answers", "dropped orders", "late order of a paused holder", "engine restarts"} {
			t.Run(fmt.Sprintf("%s, checks %v", fault, checks), func(t *testing.T) {
				b := newFixture(t, checks)
				held := &fakeLease{fencing: 2}
				o := b.orderer(held, b.d)
				b.engines.loseAnswers = fault == "lost answers"
				b.engines.dropOrders = fault == "dropped orders"
				b.run(o, 20*clocker.Second)
				b.engines.loseAnswers, b.engines.dropOrders = false, false
				switch fault {
				case "late order of a paused holder":
					err := b.engines.Order(context.Background(), "engine-0", orderer.Order{
						Fencing: 1, Models: []orderer.Model{{Name: "one", Version: "1"}, {Name: "two", Version: "1"}, {Name: "old"}},
					})
					assert.Equal(t, orderer.IsErrStaleFencing(err), checks)
				case "engine restarts":
					_ = b.engines.byAddress["engine-1"].Order(engine.Order{Fencing: 2})
				}
				b.run(o, 20*clocker.Second)
				b.assertDesired(t, b.d)
				assert.Equal(t, b.engines.maxLoading, 1, "engines that loaded at the same time")
			})
		}
	}
}

// Guards against: a holder sends an order after its lease was lost between reading the
// state of an engine and sending.
func TestHolderWithoutLeaseSendsNoOrder(t *testing.T) {
	for _, checks := range []bool{true, false} {
		b := newFixture(t, checks)
		old := &fakeLease{fencing: 1}
		b.engines.afterState = func() { old.lost = true }
		stale := &messenger.Declarations{Services: b.d.Services, Models: b.d.Models, BackendServers: []*messenger.BackendServer{
			{Name: "engine-0", Address: "engine-0", Service: "drafts", Models: []string{"one"}},
		}}
		b.run(b.orderer(old, stale), clocker.Second)
		state, _ := b.engines.State(context.Background(), "engine-0")
		assert.Equal(t, state.Fencing, int64(0))
		b.engines.afterState = nil

		b.run(b.orderer(&fakeLease{fencing: 2}, b.d), 20*clocker.Second)
		b.assertDesired(t, b.d)
		b.run(b.orderer(old, stale), 20*clocker.Second)
		b.assertDesired(t, b.d)
	}
}

func TestArrivingServersWaitForTheirMove(t *testing.T) {
	b := newFixture(t, true)
	b.d.Moves = []*messenger.Move{{
		Name: "weekend", State: messenger.MoveState_STARTED, ArrivingBackendServers: []string{"engine-1"},
		StartAtMs: int64(b.clock.Now() + 30*clocker.Second),
	}}
	o := b.orderer(&fakeLease{fencing: 1}, b.d)
	b.run(o, 29*clocker.Second)
	state, _ := b.engines.State(context.Background(), "engine-1")
	assert.Equal(t, state.Fencing, int64(0))
	b.run(o, 20*clocker.Second)
	b.assertDesired(t, b.d)
}
