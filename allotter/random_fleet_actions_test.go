package allotter_test

import (
	"pgregory.net/rapid"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/standin/platform"
)

// balancingActions returns those of actions, and transfers by which hosts balance their tokens.
func (f *randomFleet) balancingActions() map[string]func(*rapid.T) {
	drawHost := func(t *rapid.T) *host { return rapid.SampledFrom(f.hosts).Draw(t, "host") }
	actions := f.actions()
	actions["balance"] = func(t *rapid.T) { f.balance(drawHost(t), drawHost(t)) }
	actions["returnFragments"] = func(t *rapid.T) { f.returnFragments(drawHost(t), drawHost(t)) }
	return actions
}

// planWithRandomDemand plans a write while a drawn number of tokens is waited for.
func (f *randomFleet) planWithRandomDemand(t *rapid.T, h *host, budget string) {
	waiting := int64(rapid.IntRange(0, 200).Draw(t, "need"))
	rank := rapid.IntRange(0, 2).Draw(t, "rank")
	h.allotter.AddWaiting(budget, waiting, rank)
	f.plan(h, rapid.Bool().Draw(t, "holder"))
	h.allotter.AddWaiting(budget, -waiting, rank)
}

// actions returns the actions that rapid chooses from at each step. Some keys differ
// from the methods' names: rapid sorts the keys, so a renamed key changes the runs of
// a given seed.
func (f *randomFleet) actions() map[string]func(*rapid.T) {
	drawHost := func(t *rapid.T) *host { return rapid.SampledFrom(f.hosts).Draw(t, "host") }
	drawBudget := func(t *rapid.T) string { return rapid.SampledFrom(budgetNames).Draw(t, "budget") }
	return map[string]func(*rapid.T){
		"read": func(t *rapid.T) { f.read(drawHost(t)) },
		"readStale": func(t *rapid.T) {
			if len(f.history) == 0 {
				t.Skip("nothing read")
			}
			f.readStale(drawHost(t), rapid.IntRange(0, len(f.history)-1).Draw(t, "read"))
		},
		"topUp": func(t *rapid.T) {
			f.planTopUp(drawHost(t), drawBudget(t), rapid.IntRange(0, 5).Draw(t, "op"))
		},
		"plan": func(t *rapid.T) { f.planWithRandomDemand(t, drawHost(t), drawBudget(t)) },
		"readPlan": func(t *rapid.T) {
			h := drawHost(t)
			f.read(h)
			f.planWithRandomDemand(t, h, drawBudget(t))
		},
		"extend": func(t *rapid.T) {
			h := drawHost(t)
			f.deliverAnswer(h, false)
			f.read(h)
			f.planWithRandomDemand(t, h, drawBudget(t))
			f.send(h, platform.Faults{})
			f.deliverAnswer(h, false)
		},
		"send": func(t *rapid.T) {
			f.send(drawHost(t), rapid.SampledFrom([]platform.Faults{
				{}, {}, {}, {LoseAnswers: 1}, {DropWrites: 1}, {DelayWrites: 1}, {Outage: true},
			}).Draw(t, "fault"))
		},
		"tell":           func(t *rapid.T) { f.deliverAnswer(drawHost(t), rapid.IntRange(0, 4).Draw(t, "lost") == 0) },
		"releaseDelayed": func(*rapid.T) { f.store.ReleaseDelayed() },
		"reserve": func(t *rapid.T) {
			f.reserve(drawHost(t), drawBudget(t), int64(rapid.IntRange(1, 150).Draw(t, "tokens")), rapid.IntRange(0, 2).Draw(t, "rank"))
		},
		"settle": func(t *rapid.T) {
			h := drawHost(t)
			if len(h.open) == 0 {
				t.Skip("nothing open")
			}
			f.settle(h, rapid.IntRange(0, len(h.open)-1).Draw(t, "open"), int64(rapid.IntRange(0, 150).Draw(t, "used")))
		},
		"settleAgain": func(t *rapid.T) {
			h := drawHost(t)
			if len(h.settled) == 0 {
				t.Skip("nothing settled")
			}
			r := rapid.SampledFrom(h.settled).Draw(t, "done")
			h.allotter.Settle(r.budget, r.id, 0, f.clock.Now())
		},
		"give": func(t *rapid.T) {
			ask := &messenger.TransferAsk{Budget: drawBudget(t), Tokens: int64(rapid.IntRange(1, 200).Draw(t, "tokens"))}
			ask.Needed = int64(rapid.IntRange(0, int(ask.Tokens)).Draw(t, "needed"))
			f.transfer(drawHost(t), drawHost(t), ask)
		},
		"setAway":  func(t *rapid.T) { drawHost(t).allotter.SetPlatformUnreachable(rapid.Bool().Draw(t, "away")) },
		"giveBack": func(t *rapid.T) { f.returnSurplus(drawHost(t)) },
		"deliver": func(t *rapid.T) {
			if len(f.messages) == 0 {
				t.Skip("no message")
			}
			f.deliver(rapid.IntRange(0, len(f.messages)-1).Draw(t, "message"), rapid.Bool().Draw(t, "again"))
		},
		"startClosing": func(t *rapid.T) {
			if rapid.IntRange(0, 5).Draw(t, "close") == 0 {
				drawHost(t).allotter.StartClosing()
				f.mayLoseTokens = true
			}
		},
		"crash": func(t *rapid.T) {
			if rapid.IntRange(0, 5).Draw(t, "crash") == 0 {
				f.crash(rapid.IntRange(0, len(f.hosts)-1).Draw(t, "host"))
			}
		},
		"pass": func(t *rapid.T) {
			f.clock.Advance(rapid.SampledFrom([]clocker.Millis{1, 6000, clocker.Minute, 5 * clocker.Hour}).Draw(t, "time"))
		},
		"": func(t *rapid.T) {
			if err := f.check(); err != nil {
				t.Fatal(err)
			}
		},
	}
}
