package allotter_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var (
	searchDepth  = flag.Int("search.depth", 0, "depth of the search in steps; 0 runs the models of CI")
	searchHosts  = flag.Int("search.hosts", 2, "number of hosts in the model, with -search.depth")
	searchStates = flag.Int("search.states", 5_000_000, "maximum number of states to visit, with -search.depth")
)

// exhaustiveDepth is deeper than any model that is searched exhaustively.
const exhaustiveDepth = 100

// searchResult is the result of a search.
type searchResult struct {
	states, depth int
	// exhaustive is true if every state within the bounds was visited, at any depth.
	exhaustive bool
	err        error
	trace      []string
}

// search visits all states of a model up to a depth once, breadth first.
func search(b bounds, depth, maxStates int) searchResult {
	start := newModel(b)
	seen := map[[2]uint64]bool{start.stateKey(): true}
	layer := [][]uint8{{}}
	var result searchResult
	for ; len(layer) > 0 && result.depth < depth; result.depth++ {
		var next [][]uint8
		for _, path := range layer {
			m := replay(b, path)
			for n, a := range m.actions() {
				child := m.clone()
				child.apply(a)
				key := child.stateKey()
				if seen[key] {
					continue
				}
				seen[key] = true
				childPath := append(path[:len(path):len(path)], uint8(n))
				if err := child.verify(); err != nil {
					return searchResult{states: len(seen), depth: result.depth + 1, err: err, trace: describePath(b, childPath)}
				}
				next = append(next, childPath)
				if len(seen) >= maxStates {
					return searchResult{states: len(seen), depth: result.depth}
				}
			}
		}
		layer = next
	}
	result.states, result.exhaustive = len(seen), len(layer) == 0
	return result
}

func (m *model) apply(a action) {
	a.do(m)
	for _, p := range m.processes {
		p.allotter.ResetMeasurements()
	}
}

func (m *model) verify() error {
	if err := m.check(); err != nil {
		return err
	}
	for _, applyPending := range []bool{true, false} {
		c := m.clone()
		if err := c.quiesce(applyPending); err != nil {
			return err
		}
		if err := c.check(); err != nil {
			return fmt.Errorf("after quiescing: %w", err)
		}
		if err := c.checkConservation(); err != nil {
			return err
		}
	}
	return nil
}

// replay returns the state at the end of a path of action numbers.
func replay(b bounds, path []uint8) *model {
	m := newModel(b)
	for _, n := range path {
		m.apply(m.actions()[n])
	}
	return m
}

func describePath(b bounds, path []uint8) []string {
	m := newModel(b)
	var descriptions []string
	for _, n := range path {
		a := m.actions()[n]
		descriptions = append(descriptions, a.String())
		m.apply(a)
	}
	return descriptions
}

// Guards against interleavings of writes, lost answers, late writes, transfers,
// top-ups, closes and crashes that overspend a budget, use a token twice, or lose a
// token without a crash. Visits every state within the bounds and the depth.
func TestEveryInterleavingOfASmallFleet(t *testing.T) {
	type size struct {
		name  string
		model bounds
		depth int
	}
	sizes := []size{
		{"all kinds", bounds{hosts: 2, tokens: 2, crashes: 1, restarts: 1, lostAnswers: 1, writes: 3, transfers: 1, reservations: 1, topUps: 1, closes: 1}, 5},
		{"writes and a crash", bounds{hosts: 2, tokens: 1, crashes: 1, lostAnswers: 1, writes: 2, reservations: 1}, exhaustiveDepth},
		{"transfers and a crash", bounds{hosts: 2, tokens: 1, crashes: 1, writes: 1, transfers: 2, reservations: 1}, exhaustiveDepth},
		{"a top-up and a close", bounds{hosts: 2, tokens: 1, lostAnswers: 1, writes: 2, transfers: 1, topUps: 1, closes: 1}, exhaustiveDepth},
	}
	maxStates := 1 << 30
	if *searchDepth > 0 {
		maxStates = *searchStates
		sizes = []size{{"from flags", bounds{hosts: *searchHosts, tokens: 2, crashes: 1, restarts: 1, lostAnswers: 2, writes: 4, transfers: 2, reservations: 2, topUps: 1, closes: 1}, *searchDepth}}
	}
	for _, s := range sizes {
		t.Run(s.name, func(t *testing.T) {
			f := search(s.model, s.depth, maxStates)
			t.Logf("%d hosts: depth %d, %d distinct states, exhaustive: %v", s.model.hosts, f.depth, f.states, f.exhaustive)
			assert.NilError(t, f.err, strings.Join(f.trace, "\n"))
			assert.Equal(t, f.exhaustive, s.depth == exhaustiveDepth)
			assert.Assert(t, f.states < maxStates, "not all states up to the depth were visited")
		})
	}
}

// Guards against a search that misses faults. Each injected fault is one in the
// environment of the allotters.
func TestSearchFindsInjectedFaults(t *testing.T) {
	for _, p := range []injectedFault{lostAnswerIsSuccess, writesIgnoreVersions, totalsAreAdded, deadEntriesAreReclaimed, topUpsAreRenamed, totalsAreDropped} {
		t.Run(string(p), func(t *testing.T) {
			f := search(bounds{hosts: 2, tokens: 2, crashes: 1, lostAnswers: 1, writes: 3, transfers: 2, reservations: 1, topUps: 1, fault: p}, 9, 1<<30)
			assert.Assert(t, f.err != nil, "not found in %d states", f.states)
			t.Logf("depth %d, %d states: %v\n%s", f.depth, f.states, f.err, strings.Join(f.trace, "\n"))
		})
	}
}
