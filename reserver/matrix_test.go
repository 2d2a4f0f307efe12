package reserver_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/allotter"
	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/standin/platform"
)

const granted = 100_000

// trial is one cell of the matrix: host a meets the fault at the step, b is a
// peer of its zone, c one of another.
type trial struct {
	*fleet
	a, b, c *node
}

var faults = map[string]func(*trial){
	"none":  func(*trial) {},
	"crash": func(x *trial) { x.a.crash() },
	"crash of the peer": func(x *trial) {
		x.b.crash()
	},
	"pause past any lease": func(x *trial) {
		x.a.paused = true
		x.run(5 * clocker.Hour)
		x.a.paused = false
	},
	"lost answer":             func(x *trial) { x.store.SetFaults(platform.Faults{LoseAnswers: 2}) },
	"dropped write":           func(x *trial) { x.store.SetFaults(platform.Faults{DropWrites: 2}) },
	"late write":              func(x *trial) { x.store.SetFaults(platform.Faults{DelayWrites: 2}) },
	"platform down":           func(x *trial) { x.store.SetFaults(platform.Faults{Outage: true}) },
	"cut off":                 func(x *trial) { x.a.side = 1 },
	"zone cut off":            func(x *trial) { x.a.side, x.b.side = 1, 1 },
	"peer cut off":            func(x *trial) { x.b.side = 1 },
	"transfer's reply lost":   func(x *trial) { x.a.loseReplies = 2 },
	"transfer arrives twice":  func(x *trial) { x.a.repeats = 2 },
	"racing top-up":           func(x *trial) { x.a.beforeUpdate = x.raceTopUp },
	"racing extension":        func(x *trial) { x.a.beforeUpdate = func() { _ = x.c.take("mason", 3000) } },
	"lost answer and cut off": func(x *trial) { x.a.beforeUpdate = x.loseAndCut },
}

func (x *trial) raceTopUp() {
	_, _ = x.c.reserver.TopUp(context.Background(), &messenger.TopUpRequest{OperationId: "race", Budget: "mason", Tokens: 5000})
}

// loseAndCut lets a's write take effect without an answer, and cuts a off then.
func (x *trial) loseAndCut() {
	x.store.SetFaults(platform.Faults{LoseAnswers: 1})
	x.a.side = 1
}

// steps are what host a does while the fault is in force; before prepares it.
var steps = map[string]struct{ before, act func(*trial) }{
	"reserve": {act: func(x *trial) { _ = x.a.take("mason", 2000) }},
	"extend":  {act: func(x *trial) { _ = x.a.take("mason", 30_000) }},
	"settle": {
		before: func(x *trial) { _ = x.a.take("mason", 2000) },
		act: func(x *trial) {
			if len(x.a.open) > 0 {
				x.a.settle(700)
			}
		},
	},
	"return": {
		before: func(x *trial) {
			_ = x.a.take("mason", 30_000)
			x.a.settle(0)
		},
		act: func(x *trial) { x.run(20 * clocker.Second) },
	},
	"transfer": {
		before: func(x *trial) {
			_ = x.b.take("mason", granted/2)
			_ = x.c.take("mason", granted/2-10_000)
			x.b.settle(0)
			x.a.side, x.b.side = 1, 1
		},
		act: func(x *trial) { _ = x.a.take("mason", 15_000) },
	},
	"close": {
		before: func(x *trial) { _ = x.a.take("mason", 30_000); x.a.settle(100) },
		act: func(x *trial) {
			ctx, cancel := context.WithCancel(context.Background())
			cancel() // one try, and no wait
			_ = x.a.reserver.Close(ctx)
		},
	},
}

// TestFaultMatrix meets every fault at every step and checks that nothing can
// be overspent, and that all is accounted for after the fault ended.
func TestFaultMatrix(t *testing.T) {
	policy := &messenger.Policy{HeadroomMs: 5000, OfflineReserveMs: 60000, MaxShareOfRestMilli: 125, PatienceMs: 2000}
	for fault, inject := range faults {
		for step, do := range steps {
			t.Run(fault+" at "+step, func(t *testing.T) {
				x := &trial{fleet: newFleet(policy, 2, 2)}
				x.a, x.b, x.c = x.nodes[0], x.nodes[1], x.nodes[2]
				x.topUp(t, x.c, "first", "mason", granted)
				if do.before != nil {
					do.before(x)
				}
				inject(x)
				do.act(x)
				x.check(t, "mason")
				x.heal()
				x.check(t, "mason")
				x.finish(t)
			})
		}
	}
}

// finish settles and closes all hosts; then charges equal what was served, and
// after a crash at least that.
func (x *trial) finish(t *testing.T) {
	t.Helper()
	assert.NilError(t, x.c.take("mason", 500), "tokens were left")
	for _, n := range x.nodes {
		for len(n.open) > 0 {
			n.settle(n.open[0].Tokens / 2)
		}
	}
	for _, n := range x.nodes {
		assert.NilError(t, n.reserver.Close(context.Background()))
	}
	b := x.budget(t, "mason")
	charged := allotter.Assigned(b)
	if x.lossy {
		assert.Assert(t, charged >= x.exposed["mason"], "charged %d, served %d", charged, x.exposed["mason"])
		return
	}
	assert.Equal(t, charged, x.exposed["mason"])
}
