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

// faultNames are the faults that are injected at each step, one per run. "late" delays a
// write; with "crash, arrives" the call of the crashed host takes effect.
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
		sim := newSimulation(noMutation, 2)
		defer sim.shutdown()
		key := "k"
		if kind == "ticket" {
			key = sim.hosts[0].claimer.IssueTicket("mason")
		}
		sim.sendRequest(sim.hosts[0], key, "urn")
		call := sim.runUntil(step)
		during := sim.applyFault(call, fault, key)
		sim.releaseDelayed()
		sim.runUntilIdle()
		after := sim.retryRequest(key, deliverAll)
		assert.NilError(t, sim.violation())
		assert.NilError(t, sim.checkHistory())
		result = fmt.Sprintf("%d %s %s", sim.runCount(key), during, after)
	})
	return result
}

// runUntil resumes calls until the first request reaches a step and returns the
// parked call.
func (sim *simulation) runUntil(kind string) *parkedCall {
	for {
		for _, call := range sim.waiting() {
			if call.kind == kind && call.worker == "w001" {
				return call
			}
		}
		sim.resume(sim.waiting()[0], deliver)
	}
}

// applyFault injects a fault at a parked call and returns the verdict on a retry
// while the fault lasts.
func (sim *simulation) applyFault(call *parkedCall, fault, key string) string {
	switch fault {
	case "lost answer":
		sim.resume(call, loseAnswer)
	case "dropped":
		sim.resume(call, drop)
	case "late":
		sim.resume(call, delay)
	case "crash":
		sim.crash(call.host)
	case "crash, arrives":
		sim.crash(call.host)
		sim.resume(call, loseAnswer)
	case "pause 2 h":
		return sim.retryDuringPause(call, key)
	case "outage":
		during := sim.retryRequest(key, func(call *parkedCall) callEffect {
			if call.kind == "run" || call.kind == "dispatch" || call.kind == "finish" {
				return deliver
			}
			return drop
		})
		return during
	default:
		sim.resume(call, deliver)
	}
	return sim.retryRequest(key, deliverAll)
}

// retryDuringPause retries the request while the host of a parked call is paused,
// resumes the host two hours later, and returns the verdict on the retry.
func (sim *simulation) retryDuringPause(call *parkedCall, key string) string {
	sim.mu.Lock()
	call.host.paused = true
	sim.mu.Unlock()
	during := sim.retryRequest(key, deliverAll)
	sim.clock.Advance(2 * clocker.Hour)
	sim.mu.Lock()
	call.host.paused = false
	sim.mu.Unlock()
	sim.resume(call, deliver)
	return during
}

// deliverAll lets every call succeed.
func deliverAll(*parkedCall) callEffect {
	return deliver
}

// retryRequest sends the request to the other host and returns the verdict. All
// parked calls are resumed with the given effects.
func (sim *simulation) retryRequest(key string, outcomeOf func(*parkedCall) callEffect) string {
	sim.sendRequest(sim.hosts[1], key, "urn")
	sim.runUntilIdleFor(40, outcomeOf)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for i := len(sim.history.ops) - 1; ; i-- {
		op := sim.history.ops[i]
		if in := op.Input.(operation); in.finalState == 0 && in.body != "" {
			return op.Output.(result).verdict.String()
		}
	}
}
