package allotter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/allotter"
	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// Load: 60 hosts that each get one small urgent request of an account every ten seconds, and a large one every five,
// and ask a holder for the tokens of each. Guards against a reserve for urgent requests that is several
// times what they use: at the end of a budget large requests were refused although enough was left.
func TestToldUrgentDemandIsNotOverestimated(t *testing.T) {
	const (
		hosts, seconds, step = 60, 60, 100 * clocker.Millis(1)
		urgentEvery          = 10 * clocker.Second
		largeEvery           = 5 * clocker.Second
		wantPerSecond        = hosts * urgentTokens * float64(clocker.Second) / float64(urgentEvery) / allotter.HoldersPerZone
	)
	random := rand.New(rand.NewPCG(1, 2))
	policy := &messenger.Policy{HeadroomMs: 1000, MaxShareOfRestMilli: 50}
	object := &messenger.BudgetShard{Budgets: []*messenger.Budget{{Name: "mason", Granted: 1 << 40}}}
	cfg := allotter.Config{DemandTimeConstant: 4 * clocker.Second, UrgentReserveHorizon: 12 * clocker.Second}
	cfg.Incarnation = "holder-1-a"
	holder := allotter.New(cfg)
	holder.Merge(1, object, clocker.Hour)
	asking := make([]*allotter.Allotter, hosts)
	for i := range asking {
		cfg.Incarnation = fmt.Sprintf("host-%d-1-a", i)
		asking[i] = allotter.New(cfg)
		asking[i].Receive("holder-1-a", &messenger.TransferTotal{Budget: "mason", Given: 1 << 30})
		for rank := range 2 {
			id, ok := asking[i].Reserve("mason", 1, rank, clocker.Hour-clocker.Minute)
			assert.Assert(t, ok)
			asking[i].Settle("mason", id, 1, clocker.Hour-clocker.Minute)
		}
	}
	request := func(a *allotter.Allotter, from string, tokens int64, rank int, now clocker.Millis) {
		id, ok := a.Reserve("mason", tokens, rank, now)
		assert.Assert(t, ok)
		a.Settle("mason", id, tokens, now)
		waiting := int64(1 << 31) // more than the host holds, so that it asks
		a.AddWaiting("mason", waiting, rank)
		for _, ask := range a.TransferAsks(allotter.Conditions{Now: now, Policy: policy}, false) {
			holder.TransferTo(from, &messenger.TransferAsk{Budget: ask.Budget, UrgentPerSecond: ask.UrgentPerSecond}, now)
		}
		a.AddWaiting("mason", -waiting, rank)
	}
	sum, samples, written := 0.0, 0.0, int64(1)
	for now := clocker.Hour; now < clocker.Hour+seconds*clocker.Second; now += step {
		for i, a := range asking {
			if random.Int64N(int64(urgentEvery/step)) == 0 {
				request(a, fmt.Sprintf("host-%d-1-a", i), urgentTokens, urgent, now)
			}
			if random.Int64N(int64(largeEvery/step)) == 0 {
				request(a, fmt.Sprintf("host-%d-1-a", i), largeTokens, large, now)
			}
		}
		if now < clocker.Hour+20*clocker.Second || now%clocker.Second != 0 {
			continue
		}
		waiting := holder.Headroom("mason") + 1000
		holder.AddWaiting("mason", waiting, urgent)
		w, due := holder.Plan(allotter.Conditions{Now: now, Policy: policy, KeepsHeadroom: true})
		holder.AddWaiting("mason", -waiting, urgent)
		assert.Assert(t, due)
		written++
		holder.Confirm(w, written, now)
		sum += float64(w.Value.Budgets[0].Holders[0].UrgentPerSecond)
		samples++
	}
	mean := sum / samples
	t.Logf("%.0f tokens a second told, %.0f used", mean, wantPerSecond)
	assert.Assert(t, mean > 0.6*wantPerSecond && mean < 1.4*wantPerSecond, "%.0f tokens a second, %.0f used", mean, wantPerSecond)
}
