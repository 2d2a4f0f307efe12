package allotter

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// Load: an account whose callers all arrive in one of three availability zones with two holders each, while
// holders keep 30% of what is left. Guards against four of the six holders that keep two thirds of it where nobody
// asks for it.
func TestHoldersKeepSharesByDemand(t *testing.T) {
	const unassigned = 700_000
	perSecond := map[string]int64{"a1": 0, "a2": 0, "b1": 0, "b2": 0, "c1": 12_000, "c2": 8_000}
	even := 0.3 / 0.7 / 6
	c := Conditions{
		Now:         clocker.Second,
		Policy:      &messenger.Policy{HeadroomMs: 1500, FloorTokens: MaxGranted, MaxShareOfRestMilli: int64(1000 * even / (1 + even))},
		DemandShare: 0.75,
	}
	stored := &messenger.Budget{Granted: 1_000_000}
	for incarnation, rate := range perSecond {
		stored.Holders = append(stored.Holders, &messenger.Holder{Incarnation: incarnation, PerSecond: rate})
	}
	target := func(incarnation string) int64 {
		b := &budgetState{incarnation: incarnation, keepsFloor: true}
		b.demand.observeUse(int64(b.demand.fastTimeConstant()/float64(clocker.Second)*float64(perSecond[incarnation])), c.Now)
		return b.targetHeadroom(c, stored, unassigned)
	}
	withDemand := target("c1") + target("c2")
	without := target("a1") + target("a2") + target("b1") + target("b2")
	assert.Assert(t, withDemand >= 3*without, "%d with demand, %d without", withDemand, without)
	assert.Assert(t, target("a1") > 0)
	assert.Assert(t, withDemand+without <= unassigned*3/7, "%d of %d", withDemand+without, unassigned)

	c.DemandShare = 0
	assert.Equal(t, target("c1"), target("a1"))
	c.DemandShare = 0.75
	for _, h := range stored.Holders { // entries of builds that tell no demand
		h.PerSecond = 0
	}
	assert.Assert(t, target("a1") > 0)
}
