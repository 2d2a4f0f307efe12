package allotter_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/allotter"
	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// Pattern: hundreds of hosts, each of which sees a request of each client account
// now and then. What lies idle with them stays within its share of the budget, and
// every request is served.
func TestHostsOfALargeFleetKeepLittleAhead(t *testing.T) {
	const (
		hosts   = 195
		granted = 5_000_000
		size    = 9_000
		used    = 6_000
		rounds  = 2
		share   = 0.1
	)
	c := allotter.Conditions{Policy: tightPolicy, HostCount: hosts, PrefetchShare: share, IsLive: func(string) bool { return true }}
	holder := allotter.New(allotter.Config{Incarnation: "holder"})
	holder.Merge(1, &messenger.BudgetShard{Budgets: []*messenger.Budget{{
		Name: "mason", Granted: granted,
		Holders: []*messenger.Holder{{Incarnation: "holder", Limit: granted}},
	}}}, 1)
	fleet := make([]*allotter.Allotter, hosts)
	for i := range fleet {
		fleet[i] = allotter.New(allotter.Config{Incarnation: fmt.Sprint("host-", i), DemandTimeConstant: 4 * clocker.Second})
		fleet[i].SetDeclaredGrant("mason", granted)
	}
	for round := range rounds {
		for i, a := range fleet {
			c.Now = clocker.Millis(round*hosts+i+1) * 100 // each host sees one request in 19.5 s
			a.AddWaiting("mason", size, 0)
			for _, ask := range a.TransferAsks(c, false) {
				a.Receive("holder", holder.TransferTo(fmt.Sprint("host-", i), ask, c.Now))
			}
			a.AddWaiting("mason", -size, 0)
			id, ok := a.Reserve("mason", size, 0, c.Now)
			assert.Assert(t, ok, "round %d, host %d", round, i)
			a.Settle("mason", id, used, c.Now)
			for _, back := range a.ReturnSurplus(c) {
				holder.Receive(fmt.Sprint("host-", i), back.Total)
			}
		}
	}
	var idle int64
	for _, a := range fleet {
		idle += a.Held()
	}
	demand := float64(size) // of a second and more, at each host that has just served one
	assert.Assert(t, float64(idle) <= share*granted+demand, "%d of %d tokens lie idle", idle, granted)
}

// RECOVER after the death of all hosts: hosts that are no holders kept a tenth of the
// declared budget until its end, more than half of what was left, and took it with them.
func TestHostsOfALargeFleetKeepLessOfABudgetThatEnds(t *testing.T) {
	const (
		hosts    = 66
		declared = 9_000_000
		left     = 900_000
		size     = 9_000
		used     = 6_000
		share    = 0.1
	)
	c := allotter.Conditions{Policy: tightPolicy, HostCount: hosts, PrefetchShare: share, IsLive: func(string) bool { return true }}
	holder := allotter.New(allotter.Config{Incarnation: "holder"})
	holder.SetDeclaredGrant("mason", declared)
	holder.Merge(1, &messenger.BudgetShard{Budgets: []*messenger.Budget{{
		Name: "mason", Granted: declared, FoldedCharge: declared - left,
		Holders: []*messenger.Holder{{Incarnation: "holder", Limit: left}},
	}}}, 1)
	var idle int64
	for i := range hosts {
		name := fmt.Sprint("host-", i)
		a := allotter.New(allotter.Config{Incarnation: name, DemandTimeConstant: 4 * clocker.Second})
		a.SetDeclaredGrant("mason", declared)
		c.Now = clocker.Millis(i+1) * 100
		a.AddWaiting("mason", size, 0)
		for _, ask := range a.TransferAsks(c, false) {
			a.Receive("holder", holder.TransferTo(name, holder.CapAsk(ask, c), c.Now))
		}
		a.AddWaiting("mason", -size, 0)
		id, ok := a.Reserve("mason", size, 0, c.Now)
		assert.Assert(t, ok, "host %d", i)
		a.Settle("mason", id, used, c.Now)
		for _, ask := range a.TransferAsks(c, false) { // for the near future alone
			a.Receive("holder", holder.TransferTo(name, holder.CapAsk(ask, c), c.Now))
		}
		idle += a.Held()
	}
	unused := int64(hosts * (size - used))
	assert.Assert(t, float64(idle-unused) <= share*left, "%d of %d tokens lie idle, beside %d that requests left over", idle, left, unused)
}
