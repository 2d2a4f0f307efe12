package heartbeater_test

import (
	"context"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
	"cowsliphinge/messenger"
)

// Guards against: a host whose time of day stepped back before it started again is
// taken for its earlier life, so that its beats are refused for as long as it lives.
func TestHostIsHeardAfterItsTimeOfDaySteppedBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock, behind := clocker.NewManual(clocker.Hour), clocker.NewManual(clocker.Hour-5*clocker.Second)
		n := &network{hosts: map[string]*heartbeater.Heartbeater{}, cut: map[string]bool{}}
		start := func(name string, clock *clocker.Clock) (string, func()) {
			incarnation := heartbeater.NewIncarnation(name, clock.Now())
			h := heartbeater.New(t.Context(), heartbeater.Config{
				OwnBeat: func() *messenger.Beat {
					return &messenger.Beat{Host: name, Incarnation: incarnation, AvailabilityZone: "a", ExchangeAddress: name}
				},
				Clock: clock, Exchange: n, SeedAddresses: []string{"a", "b", "c"},
			})
			n.mu.Lock()
			defer n.mu.Unlock()
			n.hosts[name] = h
			return incarnation, func() { assert.NilError(t, h.Close(context.Background())) }
		}
		seen := func(host, by, incarnation string) bool {
			for _, p := range n.hosts[by].Peers() {
				if p.Host == host {
					return p.Incarnation == incarnation && !p.Suspect
				}
			}
			return false
		}
		for _, name := range []string{"b", "c"} {
			_, stop := start(name, clock)
			defer stop()
		}
		first, stop := start("a", clock)
		until(t, clock, func() bool { return seen("a", "b", first) && seen("a", "c", first) })
		stop()
		second, stop := start("a", behind)
		defer stop()
		// Both sides know each other within four rounds of beats.
		for range 16 {
			synctest.Wait()
			clock.Advance(250)
			behind.Advance(250)
		}
		synctest.Wait()
		assert.Assert(t, seen("a", "b", second) && seen("a", "c", second), "the second life is refused")
	})
}

// Guards against: two hosts disagree on which life of a third one is the present one,
// or beats of an earlier life that come late bring it back.
func TestLaterSentLifeReplaces(t *testing.T) {
	late, early := beat("a", "a-1f-0", 5), beat("a", "a-b-1", 7) // by name the first is the later one
	for _, order := range [][]*messenger.Beat{{late, early}, {early, late}} {
		m := newMembers()
		for i, b := range order {
			assert.Equal(t, m.Receive(b, clocker.Millis(i)), i == 0 || b == early)
		}
		assert.Equal(t, m.Peers(9)[0].Incarnation, "a-b-1")
	}
	m := newMembers()
	assert.Assert(t, m.Receive(beat("a", "a-b-1", 5), 5))
	assert.Assert(t, m.Receive(beat("a", "a-1f-0", 6), 6))
	assert.Assert(t, !m.Receive(beat("a", "a-b-1", 5), 9))
	assert.Assert(t, !m.Receive(beat("a", "a-1f-0", 6), 9))
	assert.Equal(t, m.Peers(9)[0].Incarnation, "a-1f-0")
	assert.Equal(t, m.Peers(9)[0].LastHeard, clocker.Millis(6))
	assert.Assert(t, m.Receive(beat("a", "a-1f-1", 6), 9), "equal times are ordered by incarnation")
	assert.Assert(t, !m.Receive(beat("a", "a-1f-0", 6), 9))
}

// Guards against: a host can't be told from its earlier life because its clock is behind
// that one's, or overflows because a peer tells nonsense of that one.
func TestLifeSendsLaterThanEarlierOnes(t *testing.T) {
	own := beat("a", "a-5-0", 0)
	for _, told := range []int64{-1 << 63, 5, 1000, 1 << 62} {
		peer := newMembers()
		peer.Receive(beat("a", "a-b-1", clocker.Millis(told)), 1)
		a := heartbeater.NewMembers(heartbeater.MembersConfig{Host: "a", Incarnation: own.Incarnation, AvailabilityZone: "akl-a", BeatInterval: clocker.Second})
		earlier := peer.ConflictingBeat(own, 1)
		assert.Equal(t, earlier.Incarnation, "a-b-1")
		assert.Assert(t, !a.Receive(earlier, 10))
		assert.Assert(t, a.BeatTimestamp(10) >= 10 && int64(a.BeatTimestamp(10)) > told)
		again := beat("a", own.Incarnation, a.BeatTimestamp(10))
		assert.Assert(t, peer.Receive(again, 10))
		assert.Assert(t, peer.ConflictingBeat(again, 10) == nil)
		sent := a.BeatTimestamp(10)
		a.Receive(again, 10) // its own news leaves it as it is
		assert.Equal(t, a.BeatTimestamp(10), sent)
	}
	a := heartbeater.NewMembers(heartbeater.MembersConfig{Host: "a", Incarnation: own.Incarnation, AvailabilityZone: "akl-a", BeatInterval: clocker.Second})
	a.Receive(beat("a", "a-b-1", 1<<63-1), 10)
	assert.Equal(t, a.BeatTimestamp(10), clocker.Millis(10))
}
