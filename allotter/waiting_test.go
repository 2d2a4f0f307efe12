package allotter

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/messenger"
)

// entry returns the entry of a host in the object of its fleet.
func (h *guardHost) entry() *messenger.Holder {
	return findEntry(h.fleet.object.Budgets[0], h.allotter.cfg.Incarnation)
}

// Guards against tokens that are drawn for a request which they do not cover: all that was left became the limit of one
// host, unguarded, and was lost with its process.
func TestRequestThatDoesNotFitDrawsNothing(t *testing.T) {
	f := newGuardFleet(4, NoFault)
	for _, h := range f.hosts {
		assert.Assert(t, h.spendOrWrite(300))
		h.write()
	}
	h := f.hosts[0]
	before := h.entry().Limit
	rest := Unassigned(f.object.Budgets[0])
	for _, tooLarge := range []int64{2 * guardGrant, rest + h.allotter.Held() + 1} {
		assert.Assert(t, !h.spendOrWrite(tooLarge))
		assert.Assert(t, h.entry().Limit <= before+300, "%d tokens drawn", h.entry().Limit-before)
		assert.Assert(t, h.entry().Limit-h.entry().Guarded <= 300+guardGrant*4/100, "%d tokens unguarded", h.entry().Limit-h.entry().Guarded)
	}
	assert.Assert(t, h.spendOrWrite(rest), "a request that fits gets all that is left")
}

// Guards against small requests that are refused while larger ones wait in vain beside them, at their host and at others.
func TestRequestThatDoesNotFitKeepsNoTokensFromOthers(t *testing.T) {
	f := newGuardFleet(2, NoFault)
	for _, h := range f.hosts {
		assert.Assert(t, h.spendOrWrite(300))
		h.write()
	}
	h := f.hosts[0]
	h.allotter.AddWaiting(guardBudget, 2*guardGrant, 1)
	assert.Assert(t, h.spendOrWrite(300))
	ask := &messenger.TransferAsk{Budget: guardBudget, Tokens: 200, Needed: 200}
	assert.Equal(t, h.allotter.TransferTo("other", ask, f.now).Given, int64(200))
	for _, loan := range []bool{false, true} {
		for _, ask := range h.allotter.TransferAsks(h.conditions(), loan) {
			assert.Equal(t, ask.Needed, int64(0), "nothing is asked of others for it")
		}
	}
	assert.Assert(t, h.allotter.UnassignedCovers(guardBudget, 300, 1))
}

// Requests that fit one by one and not together: the more urgent and earlier ones are covered.
func TestOnlyWaitingRequestsThatFitTogetherCount(t *testing.T) {
	a := New(Config{Incarnation: "one"})
	a.Merge(1, &messenger.BudgetShard{Budgets: []*messenger.Budget{{Name: guardBudget, Granted: 1000}}}, 1)
	for _, w := range []wait{{600, 1}, {500, 1}, {300, 0}, {2000, 0}, {100, 1}} {
		a.AddWaiting(guardBudget, w.tokens, w.rank)
	}
	b := a.getOrAddBudget(guardBudget)
	total, leastUrgent := a.coverable(b)
	assert.Equal(t, total, int64(300+600+100))
	assert.Equal(t, leastUrgent, int64(600+100))
	a.AddWaiting(guardBudget, -600, 1)
	assert.Equal(t, a.coverableTokens(b), int64(300+500+100))
	a.Merge(2, &messenger.BudgetShard{Budgets: []*messenger.Budget{{Name: guardBudget, Granted: 5000}}}, 2) // a top-up
	assert.Equal(t, a.coverableTokens(b), int64(300+500+2000+100))
}

// What other incarnations hold may be unspent; what was charged is not.
func TestMostUnspentTokens(t *testing.T) {
	a := New(Config{Incarnation: "one"})
	assert.Equal(t, a.MostUnspent(guardBudget), int64(MaxGranted), "the budget was not read")
	a.Merge(1, &messenger.BudgetShard{Budgets: []*messenger.Budget{{Name: guardBudget, Granted: 1000, FoldedCharge: 50, Holders: []*messenger.Holder{
		{Incarnation: "one", Limit: 200}, {Incarnation: "two", Limit: 300}, {Incarnation: "three", Closed: true, Charge: 100},
	}}}}, 1)
	assert.Equal(t, a.MostUnspent(guardBudget), int64(850))
	id, ok := a.Reserve(guardBudget, 80, 0, 1)
	assert.Assert(t, ok)
	assert.Equal(t, a.MostUnspent(guardBudget), int64(850), "a reservation may be unused")
	assert.Assert(t, a.Settle(guardBudget, id, 80, 1))
	assert.Equal(t, a.MostUnspent(guardBudget), int64(770))
	a.Receive("three", &messenger.TransferTotal{Budget: guardBudget, Given: 50})
	assert.Equal(t, a.MostUnspent(guardBudget), int64(820), "what was received may have been spent, and is in the charge of its sender")
	a.SetDeclaredGrant(guardBudget, 3000) // a top-up that the store does not have yet
	assert.Equal(t, a.MostUnspent(guardBudget), int64(2820))
}
