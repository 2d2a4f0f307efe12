package claimer_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

// faultNames are the faults that are injected at each step, one per run.
var faultNames = []string{"none", "lost answer", "dropped", "late", "crash", "crash, arrives", "pause 2 h", "outage"}

// expectedMatrix contains for each step and fault: how often the request ran, the
// verdict on a retry at another host while the fault lasts, and the verdict on a
// retry afterwards.
const expectedMatrix = `
key create   | none           | 1 answered answered
key create   | lost answer    | 1 answered answered
key create   | dropped        | 1 owned answered
key create   | late           | 1 owned answered
key create   | crash          | 1 owned answered
key create   | crash, arrives | 0 outcome_unknown outcome_unknown
key create   | pause 2 h      | 1 owned answered
key create   | outage         | 1 undetermined owned
key dispatch | none           | 1 answered answered
key dispatch | crash          | 0 outcome_unknown outcome_unknown
key dispatch | pause 2 h      | 1 in_progress owned
key dispatch | outage         | 1 undetermined answered
key run      | none           | 1 answered answered
key run      | lost answer    | 1 outcome_unknown outcome_unknown
key run      | dropped        | 0 outcome_unknown outcome_unknown
key run      | late           | 1 outcome_unknown outcome_unknown
key run      | crash          | 0 outcome_unknown outcome_unknown
key run      | crash, arrives | 1 outcome_unknown outcome_unknown
key run      | pause 2 h      | 1 in_progress answered
key run      | outage         | 1 undetermined answered
key finish   | none           | 1 answered answered
key finish   | crash          | 1 outcome_unknown outcome_unknown
key finish   | pause 2 h      | 1 in_progress answered
key finish   | outage         | 1 undetermined answered
key update   | none           | 1 answered answered
key update   | lost answer    | 1 answered answered
key update   | dropped        | 1 answered answered
key update   | late           | 1 answered answered
key update   | crash          | 1 outcome_unknown outcome_unknown
key update   | crash, arrives | 1 answered answered
key update   | pause 2 h      | 1 in_progress answered
key update   | outage         | 1 undetermined answered
ticket dispatch | none           | 1 in_progress answered
ticket dispatch | crash          | 0 outcome_unknown outcome_unknown
ticket dispatch | pause 2 h      | 0 in_progress unreachable
ticket dispatch | outage         | 1 in_progress answered
ticket run      | none           | 1 in_progress answered
ticket run      | lost answer    | 1 in_progress outcome_unknown
ticket run      | dropped        | 0 in_progress outcome_unknown
ticket run      | late           | 1 in_progress outcome_unknown
ticket run      | crash          | 0 outcome_unknown outcome_unknown
ticket run      | crash, arrives | 1 outcome_unknown outcome_unknown
ticket run      | pause 2 h      | 1 in_progress answered
ticket run      | outage         | 1 in_progress answered
ticket finish   | none           | 1 answered answered
ticket finish   | crash          | 1 outcome_unknown outcome_unknown
ticket finish   | pause 2 h      | 1 in_progress answered
ticket finish   | outage         | 1 in_progress answered
`

func TestFaultMatrix(t *testing.T) {
	var got strings.Builder
	steps := map[string][]string{"key": {"create", "dispatch", "run", "finish", "update"}, "ticket": {"dispatch", "run", "finish"}}
	for _, kind := range []string{"key", "ticket"} {
		for _, step := range steps[kind] {
			for _, fault := range faultNames {
				if local := step == "dispatch" || step == "finish"; local && slices.Contains([]string{"lost answer", "dropped", "late", "crash, arrives"}, fault) {
					continue
				}
				name := fmt.Sprintf("%-*s", len(kind)+9, kind+" "+step)
				fmt.Fprintf(&got, "%s | %-14s | %s\n", name, fault, runFaultCase(t, kind, step, fault))
			}
		}
	}
	assert.Equal(t, strings.TrimSpace(got.String()), strings.TrimSpace(expectedMatrix))
}

// runFaultCase runs one request, injects a fault at a step, and retries the request
// at another host.
func runFaultCase(t *testing.T, kind, step, fault string) (result string) {
	synctest.Test(t, func(*testing.T) {
		w := newSimulation(noFault, 2)
		defer w.shutdown()
		key := "k"
		if kind == "ticket" {
			key = w.hosts[0].claimer.IssueTicket("mason")
		}
		w.sendRequest(w.hosts[0], key, "urn")
		s := w.runUntil(step)
		during := w.applyFault(s, fault, key)
		w.releaseDelayed()
		w.runUntilIdle()
		after := w.retryRequest(key, deliverAll)
		assert.NilError(t, w.violation())
		assert.NilError(t, w.checkHistory())
		result = fmt.Sprintf("%d %s %s", w.runCount(key), during, after)
	})
	return result
}

// runUntil resumes calls until the first request reaches a step and returns the
// parked call.
func (w *simulation) runUntil(kind string) *parkedCall {
	for {
		for _, s := range w.waiting() {
			if s.kind == kind && s.worker == "w001" {
				return s
			}
		}
		w.resume(w.waiting()[0], deliver)
	}
}

// applyFault injects a fault at a parked call and returns the verdict on a retry
// while the fault lasts.
func (w *simulation) applyFault(s *parkedCall, fault, key string) string {
	switch fault {
	case "lost answer":
		w.resume(s, loseAnswer)
	case "dropped":
		w.resume(s, drop)
	case "late":
		w.resume(s, delay)
	case "crash":
		w.crash(s.host)
	case "crash, arrives":
		w.crash(s.host)
		w.resume(s, loseAnswer)
	case "pause 2 h":
		return w.retryDuringPause(s, key)
	case "outage":
		during := w.retryRequest(key, func(s *parkedCall) outcome {
			if s.kind == "run" || s.kind == "dispatch" || s.kind == "finish" {
				return deliver
			}
			return drop
		})
		return during
	default:
		w.resume(s, deliver)
	}
	return w.retryRequest(key, deliverAll)
}

// retryDuringPause retries the request while the host of a parked call is paused,
// resumes the host two hours later, and returns the verdict on the retry.
func (w *simulation) retryDuringPause(s *parkedCall, key string) string {
	w.mu.Lock()
	s.host.paused = true
	w.mu.Unlock()
	during := w.retryRequest(key, deliverAll)
	w.clock.Advance(2 * clocker.Hour)
	w.mu.Lock()
	s.host.paused = false
	w.mu.Unlock()
	w.resume(s, deliver)
	return during
}

// deliverAll lets every call succeed.
func deliverAll(*parkedCall) outcome {
	return deliver
}

// retryRequest sends the request to the other host and returns the verdict. All
// parked calls are resumed with the given outcomes.
func (w *simulation) retryRequest(key string, outcomeOf func(*parkedCall) outcome) string {
	w.sendRequest(w.hosts[1], key, "urn")
	w.runUntilIdleFor(40, outcomeOf)
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := len(w.history.ops) - 1; ; i-- {
		op := w.history.ops[i]
		if in := op.Input.(operation); in.finalState == 0 && in.body != "" {
			return op.Output.(result).verdict.String()
		}
	}
}
