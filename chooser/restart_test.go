package chooser

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

// newRestarted returns a Chooser with a server that started at 1 by its entry, and told at time 100 that it
// started at 2.
func newRestarted() (*Chooser, Server) {
	c := New(Config{AvailabilityZone: "a", CacheTokens: func(string) int { return 100 }})
	s := Server{ID: "one", Service: "s", Address: "h:1", AvailabilityZone: "a", Slots: 4, StartedAt: 1, Software: "v1"}
	c.Set(s)
	c.RecordActivity("one", StatusReport{Leaving: true, BackOff: clocker.Hour, Load: &Load{Running: 9, Slots: 4}}, 50)
	c.MarkDown("one", 60)
	if !c.MarkRestarted("one", 2, 100) {
		panic("the restart is no news")
	}
	return c, s
}

// Guards against streams that begin at, or go on at, a server whose entry is that of an earlier incarnation.
func TestRestartedServerGetsNoResumableRequestBeforeItsEntry(t *testing.T) {
	c, s := newRestarted()
	assert.Assert(t, !c.MarkRestarted("one", 2, 110))
	assert.Assert(t, !c.Choose(Request{Service: "s", Resumable: true}, 120).Found)
	assert.Assert(t, !c.Choose(Request{Service: "s", Resumable: true, Pinned: true, Software: "v1"}, 120).Found)
	assert.Assert(t, c.Choose(Request{Service: "s"}, 120).Found)
	c.Set(s) // the old entry once more
	assert.Assert(t, !c.Choose(Request{Service: "s", Resumable: true}, 130).Found)
	s.StartedAt, s.Software = 2, "v2"
	c.Set(s)
	choice := c.Choose(Request{Service: "s", Resumable: true, Pinned: true, Software: "v2"}, 140)
	assert.Assert(t, choice.Found)
	assert.DeepEqual(t, choice.Server, s)
	assert.Assert(t, !c.MarkRestarted("one", 2, 150))
}

// Without the store no new entry comes: the server is used after a while, and what it begins goes on at itself alone.
func TestRestartedServerWithoutItsEntryIsOfAVersionOfItsOwn(t *testing.T) {
	c, s := newRestarted()
	at := 100 + unlistedDelay
	choice := c.Choose(Request{Service: "s", Resumable: true}, at)
	assert.Assert(t, choice.Found)
	assert.Equal(t, choice.Server.StartedAt, clocker.Millis(2))
	assert.Assert(t, choice.Server.Software != s.Software)
	assert.Assert(t, !c.Choose(Request{Service: "s", Resumable: true, Pinned: true, Software: "v1"}, at).Found)
	assert.Assert(t, c.Choose(Request{Service: "s", Resumable: true, Pinned: true, Software: choice.Server.Software}, at).Found)
	assert.Assert(t, c.MarkRestarted("one", 3, at))
	assert.Assert(t, !c.Choose(Request{Service: "s", Resumable: true}, at).Found)
}

// Guards against a server that is judged by what its incarnation before has told: that one was leaving, paused
// requests and was loaded.
func TestRestartedServerIsNotJudgedByItsPast(t *testing.T) {
	c, _ := newRestarted()
	assert.Assert(t, !c.Leaving("one", 110))
	assert.Assert(t, !c.Choose(Request{Service: "s"}, 110).Restarted)
	c.RecordActivity("one", StatusReport{Load: &Load{Running: 1, Slots: 4}}, 120)
	assert.Equal(t, c.servers["one"].load.Running, 1)
	listed := c.servers["one"].Server
	listed.StartedAt = 2
	c.Set(listed) // its first entry discards nothing
	assert.Equal(t, c.servers["one"].load.Running, 1)
}
