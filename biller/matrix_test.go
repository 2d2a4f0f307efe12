package biller_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

// matrix holds, for each step of a bill and each fault there: whether Record
// returned nil by the time of the fault's end, and how many bills of one are
// written in the end.
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
			fmt.Fprintf(&got, "%-6s | %-13s | %s\n", step, fault, meet(t, step, fault))
		})
	}
	assert.Equal(t, strings.TrimSpace(got.String()), strings.TrimSpace(matrix))
}

// meet takes one bill of the first of three hosts into a fault.
func meet(t *testing.T, step, fault string) string {
	w := newWorld(none, "akl-a", "akl-a", "akl-b")
	defer w.shutdown()
	w.record(w.hosts[0], "r", 40)
	s := w.reach(w.hosts[0], step)
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
	w.settleCalls()
	w.clock.Advance(clocker.Second)
	w.settleCalls()
	if w.isSafe("r") {
		safe = "safe"
	}
	w.drain()
	w.wakeUp(w.hosts[0])
	w.drain()
	w.releaseDelayed()
	sum, err := w.sum()
	assert.NilError(t, err)
	assert.Assert(t, sum.Tokens == 40*sum.Requests)
	return fmt.Sprintf("%s %d", safe, sum.Requests)
}

func (w *world) reach(h *host, kind string) *step {
	for range 100 {
		for _, s := range w.waiting() {
			if s.host == h && s.kind == kind {
				return s
			}
		}
		w.settleCalls()
		w.clock.Advance(clocker.Second)
	}
	return nil
}

// pause lets a host stand still: the others hold it for suspect.
func (w *world) pause(h *host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h.crashed = true
	h.paused = true
}

func (w *world) wakeUp(h *host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if h.paused {
		h.crashed = false
	}
}

func (w *world) isSafe(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.safe[id]
}
