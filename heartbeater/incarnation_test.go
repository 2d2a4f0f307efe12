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

// Guards against: the clock of a host stepped back before a restart, and its beats are
// ignored as outdated for as long as the new incarnation runs.
func TestHostIsAcceptedAfterItsClockSteppedBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock, behindClock := clocker.NewManual(clocker.Hour), clocker.NewManual(clocker.Hour-5*clocker.Second)
		n := &network{hosts: map[string]*heartbeater.Heartbeater{}, disconnected: map[string]bool{}}
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
		isLivePeer := func(host, observer, incarnation string) bool {
			for _, p := range n.hosts[observer].Peers() {
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
		advanceUntil(t, clock, func() bool { return isLivePeer("a", "b", first) && isLivePeer("a", "c", first) })
		stop()
		second, stop := start("a", behindClock)
		defer stop()
		// Both other hosts must accept the new incarnation within four rounds of beats.
		for range 16 {
			synctest.Wait()
			clock.Advance(250)
			behindClock.Advance(250)
		}
		synctest.Wait()
		assert.Assert(t, isLivePeer("a", "b", second) && isLivePeer("a", "c", second), "beats of the second incarnation are ignored")
	})
}

// Guards against: two hosts disagree on the current incarnation of a third one, or delayed
// beats of an earlier incarnation restore it.
func TestIncarnationThatSentLaterReplaces(t *testing.T) {
	sentFirst, sentLast := beat("a", "a-1f-0", 5), beat("a", "a-b-1", 7) // the start times in the names have the opposite order
	for _, order := range [][]*messenger.Beat{{sentFirst, sentLast}, {sentLast, sentFirst}} {
		m := newMembers()
		for i, b := range order {
			assert.Equal(t, m.Receive(b, clocker.Millis(i)), i == 0 || b == sentLast)
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

// Guards against: the beats of a host are ignored because its clock is behind that of its
// earlier incarnation, or its timestamps overflow because a peer reports an invalid one.
func TestTimestampsPassThoseOfEarlierIncarnations(t *testing.T) {
	own := beat("a", "a-5-0", 0)
	for _, reported := range []int64{-1 << 63, 5, 1000, 1 << 62} {
		peer := newMembers()
		peer.Receive(beat("a", "a-b-1", clocker.Millis(reported)), 1)
		a := heartbeater.NewMembers(heartbeater.MembersConfig{Host: "a", Incarnation: own.Incarnation, AvailabilityZone: "akl-a", BeatInterval: clocker.Second})
		conflicting := peer.ConflictingBeat(own, 1)
		assert.Equal(t, conflicting.Incarnation, "a-b-1")
		assert.Assert(t, !a.Receive(conflicting, 10))
		assert.Assert(t, a.BeatTimestamp(10) >= 10 && int64(a.BeatTimestamp(10)) > reported)
		next := beat("a", own.Incarnation, a.BeatTimestamp(10))
		assert.Assert(t, peer.Receive(next, 10))
		assert.Assert(t, peer.ConflictingBeat(next, 10) == nil)
		sent := a.BeatTimestamp(10)
		a.Receive(next, 10) // its own beat does not change the offset
		assert.Equal(t, a.BeatTimestamp(10), sent)
	}
	a := heartbeater.NewMembers(heartbeater.MembersConfig{Host: "a", Incarnation: own.Incarnation, AvailabilityZone: "akl-a", BeatInterval: clocker.Second})
	a.Receive(beat("a", "a-b-1", 1<<63-1), 10)
	assert.Equal(t, a.BeatTimestamp(10), clocker.Millis(10))
}
