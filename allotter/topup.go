package allotter

import (
	"math"

	"google.golang.org/protobuf/proto"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

const (
	// MaxTopUpRecords is how many top-ups of a budget stay recorded in the object.
	MaxTopUpRecords = 32
	// MaxGranted bounds the sum of all top-ups of a budget, in tokens.
	MaxGranted = math.MaxInt64 / 4
)

// TopUp is a planned top-up.
type TopUp struct {
	Write Write
	Reply *messenger.TopUpReply
	// Evicted are the records that the write removes from the object. They must be
	// stored elsewhere before the write is sent, so that a repeated operation is
	// recognized.
	Evicted []*messenger.TopUpRecord
	// MayBeEvicted is true if the operation may already be counted and its record
	// evicted from the object.
	MayBeEvicted bool
}

// PlanTopUp returns the write that counts a top-up. If the operation is already
// counted, the reply has Repeated set and no write is due. The object must have
// been read immediately before.
func (a *Allotter) PlanTopUp(request *messenger.TopUpRequest, now clocker.Millis) TopUp {
	known := a.knownBudgets[request.Budget]
	for _, record := range known.GetTopUps() {
		if record.OperationId == request.OperationId {
			return TopUp{Reply: &messenger.TopUpReply{Granted: known.Granted, Repeated: true}}
		}
	}
	value := &messenger.BudgetShard{}
	if a.object != nil {
		value = proto.CloneOf(a.object)
	}
	b := findOrAddBudget(value, request.Budget)
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

// findOrAddBudget returns the budget with the given name, which it adds if
// necessary.
func findOrAddBudget(value *messenger.BudgetShard, name string) *messenger.Budget {
	for _, b := range value.Budgets {
		if b.Name == name {
			return b
		}
	}
	b := &messenger.Budget{Name: name}
	value.Budgets = append(value.Budgets, b)
	return b
}
