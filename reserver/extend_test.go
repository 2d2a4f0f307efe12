package reserver_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/reserver"
)

// Pattern: a zone of many hosts whose holders have less than its requests want at once.
// The holders go to the platform for all; the other hosts do not meet there.
func TestHoldersExtendForTheHostsOfTheirZone(t *testing.T) {
	f := newFleet(&messenger.Policy{HeadroomMs: 1000, MaxShareOfRestMilli: 2, PatienceMs: 2000}, 1, 12)
	f.topUp(t, f.nodes[0], "first", "mason", 10_000_000)
	f.run(5 * clocker.Second)
	before := map[*node]int64{}
	for _, n := range f.nodes {
		n.reserver.SetHoldersFirst()
		before[n] = n.calls
	}
	for range 5 {
		for _, n := range f.nodes {
			assert.NilError(t, n.take("mason", 40_000), n.name)
			n.settle(40_000)
		}
	}
	callers := 0
	for _, n := range f.nodes {
		if n.calls > before[n] {
			callers++
		}
	}
	assert.Assert(t, callers <= 2, "%d hosts called the platform", callers)
	f.check(t, "mason")
}

// A budget that is used up is refused for good, whoever asks the platform.
func TestHoldersTellThatNothingIsLeft(t *testing.T) {
	f := newFleet(&messenger.Policy{HeadroomMs: 1000, MaxShareOfRestMilli: 2, PatienceMs: 2000}, 1, 12)
	f.topUp(t, f.nodes[0], "first", "mason", 100_000)
	f.run(5 * clocker.Second)
	for _, n := range f.nodes {
		n.reserver.SetHoldersFirst()
	}
	served := 0
	for _, n := range f.nodes {
		err := n.take("mason", 20_000)
		if err == nil {
			n.settle(20_000)
			served++
			continue
		}
		assert.Assert(t, reserver.IsErrBudgetExhausted(err) || reserver.IsErrBudgetUnreachable(err), "%v", err)
	}
	assert.Equal(t, served, 5)
	f.check(t, "mason")
}
