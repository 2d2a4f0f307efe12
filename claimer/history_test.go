package claimer_test

import (
	"fmt"
	"slices"

	"github.com/anishathalye/porcupine"

	"cowsliphinge/claimer"
	"cowsliphinge/messenger"
)

// history holds the operations on each key, with logical times.
type history struct {
	now int64
	ops []porcupine.Operation
}

type operation struct {
	key  string
	body string
	// op is the number of the claim; ending is set when it ends.
	claimOp    int
	finalState messenger.ClaimState
	answer     string
}

type result struct {
	// verdict is 0 while the operation has not returned.
	verdict claimer.Verdict
	answer  string
}

func (w *simulation) recordClaim(key, body string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	op := len(w.history.ops)
	w.appendOperation(operation{key: key, body: body, claimOp: op})
	return op
}

func (w *simulation) recordFinish(key string, claimOp int, answer *messenger.StoredAnswer, release bool) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	in := operation{key: key, claimOp: claimOp, finalState: messenger.ClaimState_LOST, answer: string(answer.GetBody())}
	if answer != nil {
		in.finalState = messenger.ClaimState_ANSWERED
	}
	if release {
		in.finalState = messenger.ClaimState_RELEASED
	}
	w.appendOperation(in)
	return len(w.history.ops) - 1
}

// add appends an operation that has not returned. The caller holds mu.
func (w *simulation) appendOperation(in operation) {
	w.history.now++
	w.history.ops = append(w.history.ops, porcupine.Operation{
		ClientId: len(w.history.ops), Input: in, Call: w.history.now, Output: result{}, Return: 1 << 40,
	})
}

func (w *simulation) recordClaimReturn(op int, d claimer.Decision) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closing {
		return
	}
	w.history.now++
	w.history.ops[op].Return = w.history.now
	w.history.ops[op].Output = result{verdict: d.Verdict, answer: string(d.Answer.GetBody())}
}

func (w *simulation) recordFinishReturn(op int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closing {
		return
	}
	w.history.now++
	w.history.ops[op].Return = w.history.now
}

// register is the specification: one key, owned by at most one claim.
type keyModel struct {
	state  messenger.ClaimState
	owner  int
	body   string
	answer string
}

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

// next returns the states that an operation may lead to; none if its answer
// contradicts the specification.
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
	case claimer.Unreachable:
		legal = free
	}
	if !legal {
		return nil
	}
	return []any{r}
}

// check returns an error if the history contradicts the specification.
func (w *simulation) checkHistory() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !porcupine.CheckOperations(model.ToModel(), w.history.ops) {
		return fmt.Errorf("history of %d operations is not linearizable", len(w.history.ops))
	}
	return nil
}
