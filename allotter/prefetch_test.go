package allotter_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/allotter"
	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// Load: 70 hosts, each of which gets a request of an account every few seconds. Guards against hosts that keep parts
// of requests, which no request can use and which are lost with the hosts.
func TestHostsKeepNoPartsOfRequests(t *testing.T) {
	const granted, request = 1_500_000, 8000
	for _, hosts := range []int{2, 70} {
		a := allotter.New(allotter.Config{Incarnation: "h-1-a", DemandTimeConstant: 4 * clocker.Second})
		a.Merge(1, &messenger.BudgetShard{Budgets: []*messenger.Budget{{Name: "mason", Granted: granted}}}, clocker.Hour)
		a.SetDeclaredGrant("mason", granted)
		c := allotter.Conditions{
			Policy: &messenger.Policy{HeadroomMs: 1000, MaxShareOfRestMilli: 50}, HostCount: hosts, PrefetchShare: 0.1,
			IsLive: func(string) bool { return true },
		}
		given, most := int64(0), int64(0)
		for c.Now = clocker.Hour; c.Now < clocker.Hour+clocker.Minute; c.Now += 4 * clocker.Second {
			a.AddWaiting("mason", request, 0)
			for _, ask := range a.TransferAsks(c, false) {
				given += ask.Tokens
				a.Receive("h-2-a", &messenger.TransferTotal{Budget: "mason", Given: given})
			}
			a.AddWaiting("mason", -request, 0)
			id, ok := a.Reserve("mason", request, 0, c.Now)
			assert.Assert(t, ok, "%d hosts", hosts)
			a.Settle("mason", id, request-100, c.Now)
			for _, returned := range a.ReturnSurplus(c) {
				assert.Equal(t, returned.To, "h-2-a")
			}
			most = max(most, a.Headroom("mason"))
		}
		if hosts == 2 {
			assert.Assert(t, most >= request, "%d tokens kept by one of 2 hosts", most)
		} else {
			assert.Assert(t, most*int64(hosts) < granted/50, "%d tokens kept by one of 70 hosts", most)
		}
	}
}
