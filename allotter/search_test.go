package allotter_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var (
	searchDepth  = flag.Int("search.depth", 0, "steps that the search of the model goes, 0 for the size of CI")
	searchHosts  = flag.Int("search.hosts", 2, "hosts of the searched model, with -search.depth")
	searchStates = flag.Int("search.states", 5_000_000, "most states that the search visits, with -search.depth")
)

// wholeDepth is deeper than a model that is visited whole.
const wholeDepth = 100

// found is the outcome of a search.
type found struct {
	states, depth int
	// whole is true if every state within the bounds was visited, whatever the depth.
	whole bool
	err   error
	trace []string
}

// search visits all states of a model within a depth, each once, shortest way first.
func search(b bounds, depth, most int) found {
	start := newModel(b)
	seen := map[[2]uint64]bool{start.key(): true}
	layer := [][]uint8{{}}
	var out found
	for ; len(layer) > 0 && out.depth < depth; out.depth++ {
		var next [][]uint8
		for _, path := range layer {
			m := replay(b, path)
			for n, a := range m.actions() {
				child := m.clone()
				child.step(a)
				key := child.key()
				if seen[key] {
					continue
				}
				seen[key] = true
				way := append(path[:len(path):len(path)], uint8(n))
				if err := child.verify(); err != nil {
					return found{states: len(seen), depth: out.depth + 1, err: err, trace: names(b, way)}
				}
				next = append(next, way)
				if len(seen) >= most {
					return found{states: len(seen), depth: out.depth}
				}
			}
		}
		layer = next
	}
	out.states, out.whole = len(seen), len(layer) == 0
	return out
}

func (m *model) step(a action) {
	a.do(m)
	for _, l := range m.lives {
		l.allotter.Forget()
	}
}

func (m *model) verify() error {
	if err := m.check(); err != nil {
		return err
	}
	for _, arrive := range []bool{true, false} {
		c := m.clone()
		if err := c.calm(arrive); err != nil {
			return err
		}
		if err := c.check(); err != nil {
			return fmt.Errorf("once all is calm: %w", err)
		}
		if err := c.lost(); err != nil {
			return err
		}
	}
	return nil
}

// replay returns the state at the end of a path of actions by their numbers.
func replay(b bounds, path []uint8) *model {
	m := newModel(b)
	for _, n := range path {
		m.step(m.actions()[n])
	}
	return m
}

func names(b bounds, path []uint8) []string {
	m := newModel(b)
	var all []string
	for _, n := range path {
		a := m.actions()[n]
		all = append(all, a.String())
		m.step(a)
	}
	return all
}

// Guards against: an interleaving of writes, lost answers, late writes, transfers,
// top-ups, closes and deaths that spends past a budget, uses a token twice, or loses
// one without a death. Visits every state within the bounds and the depth.
func TestEveryInterleavingOfASmallFleet(t *testing.T) {
	type size struct {
		name  string
		model bounds
		depth int
	}
	sizes := []size{
		{"all kinds", bounds{hosts: 2, tokens: 2, deaths: 1, restarts: 1, lost: 1, writes: 3, gives: 1, uses: 1, tops: 1, closes: 1}, 5},
		{"writes and a death", bounds{hosts: 2, tokens: 1, deaths: 1, lost: 1, writes: 2, uses: 1}, wholeDepth},
		{"loans and a death", bounds{hosts: 2, tokens: 1, deaths: 1, writes: 1, gives: 2, uses: 1}, wholeDepth},
		{"a top-up and a close", bounds{hosts: 2, tokens: 1, lost: 1, writes: 2, gives: 1, tops: 1, closes: 1}, wholeDepth},
	}
	most := 1 << 30
	if *searchDepth > 0 {
		most = *searchStates
		sizes = []size{{"by hand", bounds{hosts: *searchHosts, tokens: 2, deaths: 1, restarts: 1, lost: 2, writes: 4, gives: 2, uses: 2, tops: 1, closes: 1}, *searchDepth}}
	}
	for _, s := range sizes {
		t.Run(s.name, func(t *testing.T) {
			f := search(s.model, s.depth, most)
			t.Logf("%d hosts: depth %d, %d distinct states, whole: %v", s.model.hosts, f.depth, f.states, f.whole)
			assert.NilError(t, f.err, strings.Join(f.trace, "\n"))
			assert.Equal(t, f.whole, s.depth == wholeDepth)
			assert.Assert(t, f.states < most, "not all states of the depth were visited")
		})
	}
}

// Guards against: the search overlooks faults. Each plant is one of what surrounds the
// allotters.
func TestSearchFindsPlantedFaults(t *testing.T) {
	for _, p := range []plant{lostAnswerIsSuccess, writesIgnoreVersions, totalsAreAdded, deadAreReclaimed, topUpsAreRenamed, totalsAreDropped} {
		t.Run(string(p), func(t *testing.T) {
			f := search(bounds{hosts: 2, tokens: 2, deaths: 1, lost: 1, writes: 3, gives: 2, uses: 1, tops: 1, plant: p}, 9, 1<<30)
			assert.Assert(t, f.err != nil, "not found in %d states", f.states)
			t.Logf("depth %d, %d states: %v\n%s", f.depth, f.states, f.err, strings.Join(f.trace, "\n"))
		})
	}
}
