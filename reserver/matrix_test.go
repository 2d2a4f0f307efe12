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

const grantedTokens = 100_000

// matrixCase is one cell of the matrix: the fault hits host a at the step. Host b is in
// the same zone, host c in another one.
type matrixCase struct {
	*fleet
	a, b, c *node
}

var injectedFaults = map[string]func(*matrixCase){
	"none":  func(*matrixCase) {},
	"crash": func(x *matrixCase) { x.a.crash() },
	"crash of the peer": func(x *matrixCase) {
		x.b.crash()
	},
	"pause past any lease": func(x *matrixCase) {
		x.a.paused = true
		x.run(5 * clocker.Hour)
		x.a.paused = false
	},
	"lost answer":             func(x *matrixCase) { x.store.SetFaults(platform.Faults{LoseAnswers: 2}) },
	"dropped write":           func(x *matrixCase) { x.store.SetFaults(platform.Faults{DropWrites: 2}) },
	"late write":              func(x *matrixCase) { x.store.SetFaults(platform.Faults{DelayWrites: 2}) },
	"platform down":           func(x *matrixCase) { x.store.SetFaults(platform.Faults{Outage: true}) },
	"cut off":                 func(x *matrixCase) { x.a.partition = 1 },
	"zone cut off":            func(x *matrixCase) { x.a.partition, x.b.partition = 1, 1 },
	"peer cut off":            func(x *matrixCase) { x.b.partition = 1 },
	"transfer's reply lost":   func(x *matrixCase) { x.a.loseReplies = 2 },
	"transfer arrives twice":  func(x *matrixCase) { x.a.duplicates = 2 },
	"racing top-up":           func(x *matrixCase) { x.a.beforeUpdate = x.topUpFromPeer },
	"racing extension":        func(x *matrixCase) { x.a.beforeUpdate = func() { _ = x.c.reserve("mason", 3000) } },
	"lost answer and cut off": func(x *matrixCase) { x.a.beforeUpdate = x.loseAnswerAndPartition },
}

func (x *matrixCase) topUpFromPeer() {
	_, _ = x.c.reserver.TopUp(context.Background(), &messenger.TopUpRequest{OperationId: "race", Budget: "mason", Tokens: 5000})
}

// loseAnswerAndPartition makes the write of host a take effect without an answer and
// partitions host a.
func (x *matrixCase) loseAnswerAndPartition() {
	x.store.SetFaults(platform.Faults{LoseAnswers: 1})
	x.a.partition = 1
}

// steps are the actions of host a during the fault; before runs ahead of the fault.
var steps = map[string]struct{ before, act func(*matrixCase) }{
	"reserve": {act: func(x *matrixCase) { _ = x.a.reserve("mason", 2000) }},
	"extend":  {act: func(x *matrixCase) { _ = x.a.reserve("mason", 30_000) }},
	"settle": {
		before: func(x *matrixCase) { _ = x.a.reserve("mason", 2000) },
		act: func(x *matrixCase) {
			if len(x.a.reservations) > 0 {
				x.a.settle(700)
			}
		},
	},
	"return": {
		before: func(x *matrixCase) {
			_ = x.a.reserve("mason", 30_000)
			x.a.settle(0)
		},
		act: func(x *matrixCase) { x.run(20 * clocker.Second) },
	},
	"transfer": {
		before: func(x *matrixCase) {
			_ = x.b.reserve("mason", grantedTokens/2)
			_ = x.c.reserve("mason", grantedTokens/2-10_000)
			x.b.settle(0)
			x.a.partition, x.b.partition = 1, 1
		},
		act: func(x *matrixCase) { _ = x.a.reserve("mason", 15_000) },
	},
	"close": {
		before: func(x *matrixCase) { _ = x.a.reserve("mason", 30_000); x.a.settle(100) },
		act: func(x *matrixCase) {
			ctx, cancel := context.WithCancel(context.Background())
			cancel() // one attempt, no wait
			_ = x.a.reserver.Close(ctx)
		},
	},
}

// TestFaultMatrix injects every fault at every step. It checks that no budget can be
// overspent, and that all tokens are accounted for after the fault has ended.
func TestFaultMatrix(t *testing.T) {
	policy := &messenger.Policy{HeadroomMs: 5000, OfflineReserveMs: 60000, MaxShareOfRestMilli: 125, PatienceMs: 2000}
	for fault, inject := range injectedFaults {
		for step, do := range steps {
			t.Run(fault+" at "+step, func(t *testing.T) {
				x := &matrixCase{fleet: newFleet(policy, 2, 2)}
				x.a, x.b, x.c = x.nodes[0], x.nodes[1], x.nodes[2]
				x.topUp(t, x.c, "first", "mason", grantedTokens)
				if do.before != nil {
					do.before(x)
				}
				inject(x)
				do.act(x)
				x.checkAccounting(t, "mason")
				x.heal()
				x.checkAccounting(t, "mason")
				x.closeAndCheck(t)
			})
		}
	}
}

// closeAndCheck settles all reservations and closes all hosts. Afterwards, the charged
// tokens equal the served ones; after a crash they may be more.
func (x *matrixCase) closeAndCheck(t *testing.T) {
	t.Helper()
	assert.NilError(t, x.c.reserve("mason", 500), "tokens were left")
	for _, n := range x.nodes {
		for len(n.reservations) > 0 {
			n.settle(n.reservations[0].Tokens / 2)
		}
	}
	for _, n := range x.nodes {
		assert.NilError(t, n.reserver.Close(context.Background()))
	}
	b := x.storedBudget(t, "mason")
	charged := allotter.Assigned(b)
	if x.mayOvercharge {
		assert.Assert(t, charged >= x.servedWorstCase["mason"], "charged %d, served %d", charged, x.servedWorstCase["mason"])
		return
	}
	assert.Equal(t, charged, x.servedWorstCase["mason"])
}
