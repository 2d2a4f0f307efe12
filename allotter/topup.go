package allotter

import (
	"math"

	"google.golang.org/protobuf/proto"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

const (
	// KeptTopUps is how many top-ups of a budget its object remembers.
	MaxTopUpRecords = 32
	// MaxGranted bounds the sum of all top-ups of a budget, in tokens.
	MaxGranted = math.MaxInt64 / 4
)

// TopUp is the plan of a top-up.
type TopUp struct {
	Write Write
	Reply *messenger.TopUpReply
	// Forgotten are records that the write drops. Before it is sent they must be
	// remembered elsewhere, so that a repeat is known.
	Evicted []*messenger.TopUpRecord
	// MayBeForgotten is true if the operation may have been counted and dropped
	// from the object since.
	MayBeEvicted bool
}

// PlanTopUp returns the write that counts a top-up. The reply says Repeated, and
// no write is due, if the operation was counted before. The object must have
// been read just before.
func (a *Allotter) PlanTopUp(request *messenger.TopUpRequest, now clocker.Millis) TopUp {
	known := a.index[request.Budget]
	for _, record := range known.GetTopUps() {
		if record.OperationId == request.OperationId {
			return TopUp{Reply: &messenger.TopUpReply{Granted: known.Granted, Repeated: true}}
		}
	}
	value := &messenger.BudgetShard{}
	if a.object != nil {
		value = proto.CloneOf(a.object)
	}
	b := findBudget(value, request.Budget)
	plan := TopUp{MayBeEvicted: len(b.TopUps) >= MaxTopUpRecords}
	b.Granted += request.Tokens
	b.TopUps = append(b.TopUps, &messenger.TopUpRecord{OperationId: request.OperationId, Tokens: request.Tokens, AtMs: int64(now)})
	excess := max(0, len(b.TopUps)-MaxTopUpRecords)
	plan.Evicted = b.TopUps[:excess]
	b.TopUps = b.TopUps[excess:]
	plan.Write = Write{Version: a.version, Value: value}
	plan.Reply = &messenger.TopUpReply{Granted: b.Granted}
	return plan
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
