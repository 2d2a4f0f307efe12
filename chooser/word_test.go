package chooser

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

var lookup = Request{Service: "desk"}

// desk returns a chooser with the given servers of one service.
func desk(ids ...string) *Chooser {
	c := New(Config{AvailabilityZone: "a"})
	for _, id := range ids {
		c.Set(deskServer(id, 1))
	}
	return c
}

func deskServer(id string, startedAt clocker.Millis) Server {
	return Server{ID: id, Service: "desk", Address: "10.0.0.1:1", AvailabilityZone: "a", Slots: 6, StartedAt: startedAt}
}

// Pattern: a server says in an answer that it leaves, while its entry still says
// that it is ready, is written again, or lapses and comes back in an outage.
func TestServerThatToldItLeavesGetsNothingNew(t *testing.T) {
	c := desk("one", "two")
	assert.Assert(t, c.RecordActivity("one", StatusReport{Leaving: true}, 10))
	assert.Assert(t, !c.RecordActivity("one", StatusReport{}, 20), "said once only")
	again := func() { c.Set(deskServer("one", 1)) }
	lapse := func() {
		c.Remove("one", 30)
		again()
	}
	for _, step := range []func(){func() {}, again, lapse, lapse} {
		step()
		for range 20 {
			s, ok := choose(c, lookup, 40)
			assert.Assert(t, ok)
			assert.Equal(t, s.ID, "two")
			c.Start(s.ID, lookup)
		}
	}
	c.Remove("two", 40)
	assert.DeepEqual(t, c.Choose(lookup, 50), Choice{})
}

// Pattern: a server starts again under the ID that it had; its next life takes work.
func TestNextLifeOfALeavingServerTakesWork(t *testing.T) {
	c := desk("one")
	c.RecordActivity("one", StatusReport{Leaving: true}, 10)
	c.RecordActivity("one", StatusReport{BackOff: clocker.Minute}, 10)
	c.Remove("one", 20)
	c.Set(deskServer("one", 2))
	_, ok := choose(c, lookup, 30)
	assert.Assert(t, ok)
}

// Pattern: a word of a server comes after its entry lapsed in an outage of the store.
func TestWordOfAServerWithoutAnEntryIsKept(t *testing.T) {
	c := desk("one")
	c.Remove("one", 10)
	c.RecordActivity("one", StatusReport{Leaving: true}, 20)
	c.Set(deskServer("one", 1))
	_, ok := choose(c, lookup, 30)
	assert.Assert(t, !ok)
}

// Pattern: an overloaded server asks for a pause; others take its work meanwhile, and
// it gets some again afterwards.
func TestPauseOfAServerIsKept(t *testing.T) {
	c := desk("one", "two")
	assert.Assert(t, c.RecordActivity("one", StatusReport{BackOff: 500}, 100))
	c.RecordActivity("one", StatusReport{BackOff: 100}, 200) // a shorter one does not end it
	for now := clocker.Millis(100); now < 600; now += 10 {
		s, ok := choose(c, lookup, now)
		assert.Assert(t, ok)
		assert.Equal(t, s.ID, "two")
		c.Start("two", lookup)
	}
	s, _ := choose(c, lookup, 600)
	assert.Equal(t, s.ID, "one")
}

// Pattern: all servers of a service ask for a pause at once; that nobody serves is
// known at once, and when the first one does again.
func TestAllServersPaused(t *testing.T) {
	c := desk("one", "two", "three")
	c.RecordActivity("one", StatusReport{BackOff: 900}, 100)
	c.RecordActivity("two", StatusReport{BackOff: 500}, 100)
	c.RecordActivity("three", StatusReport{Leaving: true}, 100)
	assert.DeepEqual(t, c.Choose(lookup, 200), Choice{RetryAt: 600})
	choice := c.Choose(lookup, 600)
	assert.Equal(t, choice.Server.ID, "two")
	// A request that was refused by the only one that is back knows of the other.
	assert.DeepEqual(t, c.Choose(Request{Service: "desk", Avoid: []string{"two"}}, 700), Choice{RetryAt: 1000})
}

// Servers that are removed do not fill the memory.
func TestRemovedServersAreForgotten(t *testing.T) {
	c := desk("one")
	c.Remove("one", 10)
	c.Expire(10 + rememberFor)
	assert.Equal(t, len(c.removed), 1)
	c.Expire(11 + rememberFor)
	assert.Equal(t, len(c.removed), 0)
}
