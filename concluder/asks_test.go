package concluder

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

// leaving is a random server that takes no further connections and closes each one behind its answer. Its answers end one
// after the other; it may be killed before, which ends all of them at once.
type leaving struct {
	ends        []clocker.Millis
	killedAt    clocker.Millis
	connections int
}

func randomLeaving(rng *rand.Rand, mayDie bool) leaving {
	const longest = 12 * clocker.Second
	l := leaving{killedAt: longest + 1}
	within := 1 + clocker.Millis(rng.Int64N(int64(longest)))
	for range 1 + rng.IntN(80) {
		l.ends = append(l.ends, clocker.Millis(rng.Int64N(int64(within))))
	}
	if mayDie {
		l.killedAt = clocker.Millis(rng.Int64N(int64(within)))
	}
	slices.Sort(l.ends)
	l.connections = Wanted(len(l.ends), within)
	return l
}

// play asks by delay and returns how many answers were proven whole that were, and that were cut, and the longest wait of a
// proven one.
func (l leaving) play(delay func(Supply) clocker.Millis) (whole, cut int, longest clocker.Millis) {
	type ended struct {
		at  clocker.Millis
		cut bool
	}
	var waiting []ended
	next, connections := 0, l.connections
	for now := clocker.Millis(0); next < len(l.ends) || len(waiting) > 0; now++ {
		for next < len(l.ends) && min(l.ends[next], l.killedAt) <= now {
			waiting = append(waiting, ended{now, l.ends[next] > l.killedAt})
			next++
		}
		s := Supply{Connections: connections, SingleUse: true, Unended: len(l.ends) - next}
		if len(waiting) == 0 || now-waiting[0].at < delay(s) {
			continue
		}
		if connections > 0 && now < l.killedAt {
			for _, e := range waiting {
				longest = max(longest, now-e.at)
				if e.cut {
					cut++
				} else {
					whole++
				}
			}
		}
		connections--
		waiting = nil
	}
	return whole, cut, longest
}

// Guards against whole answers of a leaving server that nothing is left to ask about: one answer serves all that ended
// before it was asked for.
func TestConnectionsOfALeavingServerLastForAllItsAnswers(t *testing.T) {
	for seed := range uint64(3000) {
		l := randomLeaving(rand.New(rand.NewPCG(seed, 1)), false)
		whole, _, longest := l.play(Supply.Delay)
		assert.Equal(t, whole, len(l.ends), "seed %d: %d connections", seed, l.connections)
		assert.Assert(t, longest <= MaxDelay, "seed %d: %d ms", seed, longest)
	}
}

// Guards against cut answers that look whole: no answer of the server tells of an end behind it, also of a server that is
// killed between two asks.
func TestNoAskProvesAnAnswerThatAKillHasCut(t *testing.T) {
	proven := 0
	for seed := range uint64(3000) {
		l := randomLeaving(rand.New(rand.NewPCG(seed, 2)), true)
		whole, cut, _ := l.play(Supply.Delay)
		assert.Equal(t, cut, 0, "seed %d", seed)
		proven += whole
	}
	assert.Assert(t, proven > 0)
}

// The search finds a delay that is left out.
func TestSearchFindsAsksWithoutDelay(t *testing.T) {
	lost := 0
	for seed := range uint64(300) {
		l := randomLeaving(rand.New(rand.NewPCG(seed, 1)), false)
		whole, _, _ := l.play(func(Supply) clocker.Millis { return 0 })
		lost += len(l.ends) - whole
	}
	assert.Assert(t, lost > 0)
}

func ExampleSupply_Delay() {
	fmt.Println(Supply{Connections: 3, SingleUse: true, Unended: 2}.Delay())
	fmt.Println(Supply{Connections: 2, SingleUse: true, Unended: 2}.Delay())
	fmt.Println(Supply{Connections: 1, Unended: 2}.Delay())
	// Output:
	// 0
	// 500
	// 0
}
