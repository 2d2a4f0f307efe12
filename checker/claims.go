package checker

import (
	"github.com/anishathalye/porcupine"
)

// checkClaims checks that the attempts of each non-idempotent call are
// linearizable: the call runs once, each later attempt gets the same answer.
func checkClaims(v *Verdict, j joined) {
	for _, c := range j.calls {
		if !c.nonIdempotent() || len(c.attempts) < 2 {
			continue
		}
		if !porcupine.CheckOperations(claimModel.ToModel(), operations(c)) {
			v.violate(&v.DoubleRuns, "attempts of %s fit no order in which it ran once", c.key)
		}
	}
}

func operations(c *call) []porcupine.Operation {
	list := make([]porcupine.Operation, 0, len(c.attempts))
	end := int64(0)
	for _, r := range c.attempts {
		end = max(end, int64(r.FinishedAt))
	}
	for i, r := range c.attempts {
		o := porcupine.Operation{ClientId: i, Call: int64(r.SentAt), Return: int64(r.FinishedAt), Output: r}
		if r.Outcome == OutcomeUnknown || r.Outcome == Broken || r.Outcome == Left {
			o.Return = end + 1
		}
		list = append(list, o)
	}
	return list
}

// claimState is what a key stands for: nothing yet, or the answer of its run.
type claimState struct {
	ran bool
	// answer is empty while nobody was told it.
	answer string
}

var claimModel = porcupine.NondeterministicModel{
	Init:  func() []any { return []any{claimState{}} },
	Step:  func(state, _, output any) []any { return claimSteps(state.(claimState), output.(Request)) },
	Equal: func(a, b any) bool { return a == b },
}

// claimSteps returns the states that an attempt with this outcome can leave.
func claimSteps(s claimState, r Request) []any {
	switch r.Outcome {
	case Answered:
		if s.ran && s.answer != "" && s.answer != r.AnswerID {
			return nil
		}
		return []any{claimState{ran: true, answer: r.AnswerID}}
	case RefusedNotRun:
		if s.ran {
			return nil
		}
		return []any{s}
	case InProgress:
		return []any{s, claimState{ran: true, answer: s.answer}}
	default:
		return []any{s, claimState{ran: true, answer: s.answer}}
	}
}
