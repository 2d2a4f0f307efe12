package claimer_test

import (
	"fmt"
	"slices"

	"github.com/anishathalye/porcupine"

	"cowsliphinge/claimer"
	"cowsliphinge/messenger"
)

// history is the sequence of operations on all keys, with logical times.
type history struct {
	now int64
	ops []porcupine.Operation
}

// operation is the input of one operation: a claim, or the end of a claim.
type operation struct {
	key  string
	body string
	// claimOp is the index of the claim's operation. finalState is set if the
	// operation ends the claim.
	claimOp    int
	finalState messenger.ClaimState
	answer     string
}

// result is the output of one operation.
type result struct {
	// verdict is 0 until the operation returns, and for operations that end a claim.
	verdict claimer.Verdict
	answer  string
}

// recordClaim records the start of a claim and returns the operation's index.
func (sim *simulation) recordClaim(key, body string) int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	op := len(sim.history.ops)
	sim.appendOperation(operation{key: key, body: body, claimOp: op})
	return op
}

// recordFinish records the start of the call that ends a claim and returns the
// operation's index.
func (sim *simulation) recordFinish(key string, claimOp int, answer *messenger.StoredAnswer, release bool) int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	in := operation{key: key, claimOp: claimOp, finalState: messenger.ClaimState_LOST, answer: string(answer.GetBody())}
	if answer != nil {
		in.finalState = messenger.ClaimState_ANSWERED
	}
	if release {
		in.finalState = messenger.ClaimState_RELEASED
	}
	sim.appendOperation(in)
	return len(sim.history.ops) - 1
}

// appendOperation appends an operation that has not returned. The caller must hold
// mu.
func (sim *simulation) appendOperation(in operation) {
	sim.history.now++
	sim.history.ops = append(sim.history.ops, porcupine.Operation{
		ClientId: len(sim.history.ops), Input: in, Call: sim.history.now, Output: result{}, Return: 1 << 40,
	})
}

// recordClaimReturn records the decision that a claim returned.
func (sim *simulation) recordClaimReturn(op int, d claimer.Decision) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.closing {
		return
	}
	sim.history.now++
	sim.history.ops[op].Return = sim.history.now
	sim.history.ops[op].Output = result{verdict: d.Verdict, answer: string(d.Answer.GetBody())}
}

// recordFinishReturn records that the call that ends a claim returned.
func (sim *simulation) recordFinishReturn(op int) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.closing {
		return
	}
	sim.history.now++
	sim.history.ops[op].Return = sim.history.now
}

// keyModel is the specified state of one key: at most one claim owns it.
type keyModel struct {
	state  messenger.ClaimState
	owner  int
	body   string
	answer string
}

// model is the specification that histories are checked against, key by key.
var model = porcupine.NondeterministicModel{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		var keys []string
		for _, op := range ops {
			key := op.Input.(operation).key
			if byKey[key] == nil {
				keys = append(keys, key)
			}
			byKey[key] = append(byKey[key], op)
		}
		slices.Sort(keys)
		var parts [][]porcupine.Operation
		for _, key := range keys {
			parts = append(parts, byKey[key])
		}
		return parts
	},
	Init: func() []any { return []any{keyModel{state: messenger.ClaimState_RELEASED}} },
	Step: func(state, in, out any) []any {
		return nextStates(state.(keyModel), in.(operation), out.(result))
	},
	Equal: func(a, b any) bool { return a == b },
	DescribeOperation: func(in, out any) string {
		return fmt.Sprintf("%+v -> %+v", in, out)
	},
}

// nextStates returns the states that an operation may lead to. It returns none if
// the operation's result contradicts the specification.
func nextStates(r keyModel, in operation, out result) []any {
	free := r.state == messenger.ClaimState_RELEASED
	if in.finalState != messenger.ClaimState_CLAIM_STATE_UNSPECIFIED {
		if r.state != messenger.ClaimState_CLAIMED || r.owner != in.claimOp {
			return nil
		}
		return []any{keyModel{state: in.finalState, owner: in.claimOp, body: r.body, answer: in.answer}}
	}
	owned := keyModel{state: messenger.ClaimState_CLAIMED, owner: in.claimOp, body: in.body}
	legal := true
	switch out.verdict {
	case claimer.Owned:
		if !free {
			return nil
		}
		return []any{owned}
	case claimer.Answered:
		legal = r.state == messenger.ClaimState_ANSWERED && r.answer == out.answer && r.body == in.body
	case claimer.NotClaimed:
		legal = free
	}
	if !legal {
		return nil
	}
	return []any{r}
}

// checkHistory returns an error if the history is not linearizable with respect to
// the specification.
func (sim *simulation) checkHistory() error {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if !porcupine.CheckOperations(model.ToModel(), sim.history.ops) {
		return fmt.Errorf("history of %d operations is not linearizable", len(sim.history.ops))
	}
	return nil
}
