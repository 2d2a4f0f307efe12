package allotter_test

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"cowsliphinge/allotter"
	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// FuzzShard merges an arbitrary object, as another writer may have stored it. No
// content may cause a panic, and an incarnation without an entry must have no
// headroom.
func FuzzShard(f *testing.F) {
	for _, value := range []*messenger.BudgetShard{
		{Budgets: []*messenger.Budget{{Name: modelBudget, Granted: 5, Holders: []*messenger.Holder{{Incarnation: "h0", Limit: 3}, {Incarnation: "h1", Closed: true, Charge: 1}}}}},
		{Budgets: []*messenger.Budget{{Name: modelBudget, Granted: -1 << 63, FoldedCharge: 1 << 62, Holders: []*messenger.Holder{{Incarnation: "h0", Limit: -5}, {}, {}}}}},
		{Budgets: []*messenger.Budget{{Name: modelBudget}, {Name: modelBudget, Granted: 1<<63 - 1, TopUps: []*messenger.TopUpRecord{{}, {OperationId: "op"}}}, {}}},
	} {
		content, err := proto.Marshal(value)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(content)
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		value := &messenger.BudgetShard{}
		if proto.Unmarshal(content, value) != nil {
			return
		}
		named := false
		for _, b := range value.Budgets {
			for _, h := range b.Holders {
				named = named || h.Incarnation == "h0"
			}
			allotter.Report(b, func(string) bool { return false })
		}
		c := allotter.Conditions{
			Now: modelNow, Policy: tightPolicy, KeepsHeadroom: true, IsLive: func(string) bool { return false }, IsReplaced: func(string) bool { return true },
		}
		a := allotter.New(allotter.Config{Incarnation: "h0", UrgentReserveHorizon: clocker.Second})
		a.KeepFloor(modelBudget)
		for version := range int64(3) {
			a.Merge(version, value, modelNow)
			assert.Assert(t, named || a.Headroom(modelBudget) == 0)
			id, ok := a.Reserve(modelBudget, 1, 1, modelNow)
			if w, ok := a.Plan(c); ok {
				assert.Assert(t, w.Value != nil)
				a.OutcomeUnknown(w)
			}
			a.PlanTopUp(&messenger.TopUpRequest{OperationId: "op", Budget: modelBudget, Tokens: 1}, modelNow)
			a.TransferAsks(c, true)
			a.ReturnSurplus(c)
			a.Stranded(c.IsLive)
			if ok {
				a.Settle(modelBudget, id, 1, modelNow)
			}
		}
		a.StartClosing()
		a.Plan(c)
		a.Closed()
	})
}
