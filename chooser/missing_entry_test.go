package chooser

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a server that gets nothing any more: a request that ended while the entry was missing, as in
// an outage of the store, counted as in flight for ever, so that no request probed the server after a failure.
func TestRequestThatEndsWithoutAnEntryIsNotInFlightForEver(t *testing.T) {
	c := newChooser("one", "two")
	c.Start("one", request)
	c.Remove("one", 10)
	c.Finish("one", NoFailure, 20)
	c.Set(newServer("one", 1))
	c.Start("one", request)
	c.Finish("one", Unreachable, 30)
	assert.Assert(t, c.Ejected("one", 30))
	assert.Assert(t, !c.Ejected("one", 30+maxEjection), "no probe of the server is possible")
}

// Guards against a brittle server that gets more requests than its share once its entry was missing: the
// requests that ended meanwhile took room for ever, and those in flight none.
func TestRoomOfABrittleServerSurvivesAMissingEntry(t *testing.T) {
	c := newChooser("one")
	c.RecordActivity("one", StatusReport{Brittleness: &Brittleness{Brittle: true, RejectionsPerSecond: 1}}, 1)
	for range newServer("one", 1).Slots {
		c.Start("one", request)
	}
	c.Remove("one", 10)
	for range newServer("one", 1).Slots {
		c.Finish("one", NoFailure, 20)
	}
	c.Set(newServer("one", 1))
	_, ok := choose(c, request, 30)
	assert.Assert(t, ok, "no request is in flight")
}
