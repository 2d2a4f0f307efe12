package capacity_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/indexer"
	"cowsliphinge/messenger"
	"cowsliphinge/mover"
	"cowsliphinge/orderer"
)

// zoneMove is a move of a tenth of all backend servers, as one zone is.
func zoneMove(d *messenger.Declarations) *messenger.Move {
	move := &messenger.Move{Name: "zone", State: messenger.MoveState_STARTED, StartAtMs: 1, DrainAtMs: int64(clocker.Hour), DueAtMs: int64(2 * clocker.Hour)}
	for i, b := range d.BackendServers {
		switch i % 10 {
		case 0:
			move.LeavingBackendServers = append(move.LeavingBackendServers, b.Name)
		case 1:
			move.ArrivingBackendServers = append(move.ArrivingBackendServers, b.Name)
		}
	}
	return move
}

// BenchmarkMovePlan plans the move of a tenth of the backend servers.
func BenchmarkMovePlan(b *testing.B) {
	sizes(b, func(b *testing.B, servers int) {
		d := declarations(500, servers, servers/5)
		move := zoneMove(d)
		for b.Loop() {
			mover.Plan(d, move, 0)
		}
	}, 16, 580, 5800)
}

// BenchmarkMoveAdvance looks at all steps of such a move once.
func BenchmarkMoveAdvance(b *testing.B) {
	sizes(b, func(b *testing.B, servers int) {
		d := declarations(500, servers, servers/5)
		move := zoneMove(d)
		steps := mover.Steps(d, move)
		for b.Loop() {
			mover.Advance(move, steps, mover.Observation{}, clocker.Minute)
		}
	}, 16, 580, 5800)
}

// settled is a lease that is held and engines that have what they should.
type settled struct {
	state orderer.State
}

// Held implements orderer.Lease.
func (settled) Held() (int64, bool) { return 1, true }

// State implements orderer.EngineClient.
func (s settled) State(context.Context, string) (orderer.State, error) { return s.state, nil }

// Order implements orderer.EngineClient.
func (settled) Order(context.Context, string, orderer.Order) error { return nil }

// BenchmarkOrderStep looks at one engine of the fleet, as the holder of the
// lease does 20 times a second.
func BenchmarkOrderStep(b *testing.B) {
	sizes(b, func(b *testing.B, servers int) {
		index := indexer.New(&messenger.Configuration{Version: 1, Declarations: declarations(500, servers, servers/5)})
		clock := clocker.NewManual(clocker.Hour)
		engines := settled{state: orderer.State{Models: []orderer.Model{{Name: "draft-1", Version: "1"}}}}
		o := orderer.NewStepped(orderer.Config{Clock: clock, Index: func() *indexer.Index { return index }, Lease: engines, Engines: engines})
		assert.Assert(b, len(index.Configuration.Declarations.BackendServers) == servers)
		for b.Loop() {
			o.Step(context.Background())
			clock.Advance(clocker.Second / 20)
		}
	}, 16, 580, 5800)
}
