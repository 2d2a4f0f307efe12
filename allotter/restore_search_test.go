package allotter_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/allotter"
)

// restoreSearchDepth is the number of steps after the start of the search.
const restoreSearchDepth = 5

// searchedFleet is a restoredFleet whose writes may be in flight while others act.
type searchedFleet struct {
	*restoredFleet
	writes map[*restoredHost]allotter.Write
}

// newSearchedFleet returns two hosts of which each has taken part of the budget.
func newSearchedFleet(fault allotter.Fault) *searchedFleet {
	f := &searchedFleet{restoredFleet: newRestoredFleet(2), writes: map[*restoredHost]allotter.Write{}}
	for _, h := range f.hosts {
		h.allotter.InjectFault(fault)
		f.plan(h)
		f.send(h)
		f.reserve(h, 1000)
	}
	return f
}

// plan plans a write for a request that waits for many tokens.
func (f *searchedFleet) plan(h *restoredHost) {
	if _, waits := f.writes[h]; waits {
		return
	}
	h.allotter.AddWaiting("b", 2500, 0)
	w, due := h.allotter.Plan(f.conditions())
	h.allotter.AddWaiting("b", -2500, 0)
	if due {
		f.writes[h] = w
	}
}

// send makes a planned write reach the store.
func (f *searchedFleet) send(h *restoredHost) {
	w, waits := f.writes[h]
	if !waits {
		return
	}
	delete(f.writes, h)
	if w.Version != f.version() {
		h.allotter.Rejected(w)
		return
	}
	f.write(w.Value)
	h.allotter.Confirm(w, f.version(), f.now)
}

// steps returns the names of all steps.
func (f *searchedFleet) steps() []string {
	steps := []string{"restore 1", "restore 3"}
	for i := range f.hosts {
		for _, name := range []string{"refresh", "plan", "send", "reserve"} {
			steps = append(steps, fmt.Sprint(name, " ", i))
		}
	}
	return steps
}

func (f *searchedFleet) apply(step string) {
	name, n := "", 0
	_, _ = fmt.Sscanf(step, "%s %d", &name, &n)
	switch name {
	case "restore":
		f.restore(n)
	case "refresh":
		f.extend(f.hosts[n])
	case "plan":
		f.plan(f.hosts[n])
	case "send":
		f.send(f.hosts[n])
	case "reserve":
		f.reserve(f.hosts[n], 1000)
	}
}

// searchRestores runs all sequences of steps up to a depth, and returns the first that promises more
// than was granted.
func searchRestores(fault allotter.Fault, depth int) (sequences int, found []string) {
	var extend func(path []string) bool
	extend = func(path []string) bool {
		f := newSearchedFleet(fault)
		for _, step := range path {
			f.apply(step)
		}
		sequences++
		if f.promised() > restoredGrant {
			found = append([]string{fmt.Sprint(f.promised(), " promised: ")}, path...)
			return true
		}
		if len(path) == depth {
			return false
		}
		for _, step := range f.steps() {
			if extend(append(path[:len(path):len(path)], step)) {
				return true
			}
		}
		return false
	}
	extend(nil)
	return sequences, found
}

// Guards against an order of reads, writes in flight and restores in which tokens are given out twice.
func TestEveryInterleavingWithRestores(t *testing.T) {
	sequences, found := searchRestores(allotter.NoFault, restoreSearchDepth)
	t.Logf("%d sequences", sequences)
	assert.Equal(t, len(found), 0, strings.Join(found, ", "))
}

// Guards against a search that misses faults.
func TestSearchWithRestoresFindsInjectedFaults(t *testing.T) {
	for _, fault := range []allotter.Fault{allotter.AdoptsRestoredLimits, allotter.DrawsUnsettled} {
		sequences, found := searchRestores(fault, restoreSearchDepth)
		t.Logf("%v: %d sequences, %v", fault, sequences, found)
		assert.Assert(t, len(found) > 0)
	}
}
