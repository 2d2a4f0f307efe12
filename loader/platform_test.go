package loader_test

import (
	"context"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"cowsliphinge/checker"
	"cowsliphinge/clocker"
	"cowsliphinge/loader"
	"cowsliphinge/messenger"
	"cowsliphinge/standin/platform"
)

func put(t *testing.T, store *platform.Store, key string, m proto.Message) {
	t.Helper()
	value, err := proto.Marshal(m)
	assert.NilError(t, err)
	_, err = store.Create(context.Background(), key, value)
	assert.NilError(t, err)
}

func TestCollectsBillsAndBudgets(t *testing.T) {
	store := platform.New(clocker.NewManual(0))
	bill := &messenger.Bill{ClientAccount: "a", RequestId: "r", Budget: "b", Tokens: 7}
	put(t, store, "bill/i1/1", &messenger.BillBatch{Bills: []*messenger.Bill{bill}})
	put(t, store, "bill/i2/1", &messenger.BillBatch{Bills: []*messenger.Bill{bill}})
	put(t, store, "budget/00001", &messenger.BudgetShard{Budgets: []*messenger.Budget{{
		Name: "b", Granted: 100, FoldedCharge: 1,
		Holders: []*messenger.Holder{{Incarnation: "i1", Limit: 50, Charge: 20, Closed: true}, {Incarnation: "i2", Limit: 30}},
	}}})
	recorder := checker.NewRecorder(nil)
	assert.NilError(t, loader.CollectBills(context.Background(), store, recorder))
	assert.NilError(t, loader.CollectBudgets(context.Background(), store, recorder))
	history, err := recorder.History()
	assert.NilError(t, err)
	assert.DeepEqual(t, history.Bills, []checker.Bill{{ClientAccount: "a", RequestID: "r", Budget: "b", Tokens: 7}})
	assert.DeepEqual(t, history.Budgets, []checker.Budget{{Name: "b", Granted: 100, Assigned: 51}})
}
