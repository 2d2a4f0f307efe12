package biller_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

// matrix lists, for each step of a bill and each fault in it, whether Record has
// returned nil (safe) after the fault, and how many bills are written in the end, of
// one that was recorded.
const matrix = `
copy   | none          | safe 1
copy   | lost answer   | safe 1
copy   | dropped       | safe 1
copy   | origin dies   | not safe 0
copy   | holder dies   | safe 1
copy   | origin pauses | not safe 1
copy   | outage        | safe 1
create | none          | safe 1
create | lost answer   | safe 1
create | dropped       | safe 1
create | late          | safe 1
create | origin dies   | safe 1
create | holder dies   | safe 1
create | both die      | safe 0
create | origin pauses | safe 1
create | outage        | safe 1
`

func TestFaultMatrix(t *testing.T) {
	var got strings.Builder
	for _, line := range strings.Split(strings.TrimSpace(matrix), "\n") {
		cells := strings.Split(line, "|")
		step, fault := strings.TrimSpace(cells[0]), strings.TrimSpace(cells[1])
		synctest.Test(t, func(t *testing.T) {
			fmt.Fprintf(&got, "%-6s | %-13s | %s\n", step, fault, runFault(t, step, fault))
		})
	}
	assert.Equal(t, strings.TrimSpace(got.String()), strings.TrimSpace(matrix))
}

// runFault records one bill at the first of three hosts and injects a fault at a step.
func runFault(t *testing.T, step, fault string) string {
	w := newSimulation(noFault, "akl-a", "akl-a", "akl-b")
	defer w.shutdown()
	w.record(w.hosts[0], "r", 40)
	s := w.advanceTo(w.hosts[0], step)
	switch fault {
	case "lost answer":
		w.resume(s, loseAnswer)
	case "dropped":
		w.resume(s, drop)
	case "late":
		w.resume(s, delay)
	case "origin dies":
		w.crash(w.hosts[0])
	case "holder dies":
		w.crash(w.hosts[1])
	case "both die":
		w.crash(w.hosts[0])
		w.crash(w.hosts[1])
	case "origin pauses":
		w.pause(w.hosts[0])
	case "outage":
		w.outage(2 * clocker.Hour)
	}
	safe := "not safe"
	w.deliverAll()
	w.clock.Advance(clocker.Second)
	w.deliverAll()
	if w.isAcknowledged("r") {
		safe = "safe"
	}
	w.runUntilTakenOver()
	w.unpause(w.hosts[0])
	w.runUntilTakenOver()
	w.releaseDelayed()
	sum, err := w.sum()
	assert.NilError(t, err)
	assert.Assert(t, sum.Tokens == 40*sum.Requests)
	return fmt.Sprintf("%s %d", safe, sum.Requests)
}

func (w *simulation) advanceTo(h *host, kind string) *parkedCall {
	for range 100 {
		for _, s := range w.parkedCalls() {
			if s.host == h && s.kind == kind {
				return s
			}
		}
		w.deliverAll()
		w.clock.Advance(clocker.Second)
	}
	return nil
}

// pause stops a host; the others suspect it of having failed.
func (w *simulation) pause(h *host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h.crashed = true
	h.paused = true
}

func (w *simulation) unpause(h *host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if h.paused {
		h.crashed = false
	}
}

func (w *simulation) isAcknowledged(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.acknowledged[id]
}
