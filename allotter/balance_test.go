package allotter

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// balancingAllotter returns an allotter that received tokens of a budget and used some of them in one second.
func balancingAllotter(incarnation string, received int64, uses int) *Allotter {
	a := New(Config{Incarnation: incarnation, DemandTimeConstant: 4 * clocker.Second})
	a.Receive("donor", &messenger.TransferTotal{Budget: "mason", Given: received + int64(100*uses)})
	for range uses {
		id, _ := a.Reserve("mason", 100, 0, clocker.Hour)
		a.Settle("mason", id, 100, clocker.Hour)
	}
	return a
}

// Guards against tokens that stay in an availability zone without callers for them while others refuse requests:
// after an exchange, the headroom of both holders lasts for the same time.
func TestHoldersBalanceHeadroomByDemand(t *testing.T) {
	rich, busy := balancingAllotter("rich", 4000, 10), balancingAllotter("busy", 0, 30)
	asks := busy.BalanceAsks(clocker.Hour)
	assert.Equal(t, len(asks), 1)
	total := rich.BalanceTo("busy", asks[0], clocker.Hour)
	assert.Assert(t, total.Given >= 2990 && total.Given <= 3010, "%d for three quarters of the demand", total.Given) // rates are told in whole tokens
	busy.Receive("rich", total)
	assert.Equal(t, rich.Headroom("mason"), 4000-total.Given)
	assert.Equal(t, busy.Headroom("mason"), total.Given)

	poor := busy.BalanceTo("rich", rich.BalanceAsks(clocker.Hour)[0], clocker.Hour)
	assert.Equal(t, poor.Given, int64(0), "balanced holders send nothing")
	repeated := rich.BalanceTo("busy", busy.BalanceAsks(clocker.Hour)[0], clocker.Hour)
	assert.Equal(t, repeated.Given, total.Given, "balanced holders send nothing")
}

// Guards against a holder that gives away what its own waiting requests need, or that answers a malformed ask.
func TestBalanceKeepsWhatWaitingRequestsNeed(t *testing.T) {
	a := balancingAllotter("rich", 1000, 10)
	a.AddWaiting("mason", 1000, 0)
	ask := &messenger.TransferAsk{Budget: "mason", PerSecond: 1 << 60, Headroom: -1 << 60}
	assert.Equal(t, a.BalanceTo("busy", ask, clocker.Hour).Given, int64(0))
	a.AddWaiting("mason", -400, 0)
	assert.Equal(t, a.BalanceTo("busy", ask, clocker.Hour).Given, int64(400))
	assert.Equal(t, a.Headroom("mason"), int64(600))
	ask = &messenger.TransferAsk{Budget: "mason", PerSecond: -5, Headroom: 1 << 60}
	assert.Equal(t, a.BalanceTo("other", ask, clocker.Hour).Given, int64(0))
}

// Guards against tokens that serve nobody: headroom of less than a request goes to a holder, which has enough for one
// together with that of other hosts. Larger headroom, and what requests wait for, stays.
func TestHeadroomBelowARequestIsReturned(t *testing.T) {
	a := balancingAllotter("host", 60, 10)
	totals := a.ReturnFragments("holder")
	assert.Equal(t, len(totals), 1)
	assert.Equal(t, totals[0].Given, int64(60))
	assert.Equal(t, a.Headroom("mason"), int64(0))
	assert.Equal(t, len(a.ReturnFragments("holder")), 0)

	assert.Equal(t, len(balancingAllotter("host", 100, 10).ReturnFragments("holder")), 0, "covers a request")
	waiting := balancingAllotter("host", 60, 10)
	waiting.AddWaiting("mason", 100, 0)
	assert.Equal(t, len(waiting.ReturnFragments("holder")), 0, "a request waits for the rest")
}
