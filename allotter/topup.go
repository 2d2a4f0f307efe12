package allotter

import (
	"google.golang.org/protobuf/proto"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// PlanTopUp returns the write that counts a top-up. The reply says Repeated, and
// no write is due, if the operation was counted before. The object must have
// been read just before.
func (a *Allotter) PlanTopUp(request *messenger.TopUpRequest, now clocker.Millis) (Write, *messenger.TopUpReply) {
	known := a.index[request.Budget]
	for _, record := range known.GetTopUps() {
		if record.OperationId == request.OperationId {
			return Write{}, &messenger.TopUpReply{Granted: known.Granted, Repeated: true}
		}
	}
	value := &messenger.BudgetShard{}
	if a.object != nil {
		value = proto.CloneOf(a.object)
	}
	b := findBudget(value, request.Budget)
	b.Granted += request.Tokens
	b.TopUps = append(b.TopUps, &messenger.TopUpRecord{OperationId: request.OperationId, Tokens: request.Tokens, AtMs: int64(now)})
	return Write{Version: a.version, Value: value}, &messenger.TopUpReply{Granted: b.Granted}
}

// findBudget returns the budget of a name, added if it is new.
func findBudget(value *messenger.BudgetShard, name string) *messenger.Budget {
	for _, b := range value.Budgets {
		if b.Name == name {
			return b
		}
	}
	b := &messenger.Budget{Name: name}
	value.Budgets = append(value.Budgets, b)
	return b
}
