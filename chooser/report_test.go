package chooser

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

var request = Request{Service: "desk"}

// newChooser returns a chooser with the given servers of one service.
func newChooser(ids ...string) *Chooser {
	c := New(Config{AvailabilityZone: "a"})
	for _, id := range ids {
		c.Set(newServer(id, 1))
	}
	return c
}

func newServer(id string, startedAt clocker.Millis) Server {
	return Server{ID: id, Service: "desk", Address: "10.0.0.1:1", AvailabilityZone: "a", Slots: 6, StartedAt: startedAt}
}

// A server reports in a response that it is leaving. It must get no requests even if its
// entry still says ready, is written again, or expires and reappears in a store outage.
func TestServerThatReportsLeavingGetsNoRequests(t *testing.T) {
	c := newChooser("one", "two")
	assert.Assert(t, c.RecordActivity("one", StatusReport{Leaving: true}, 10))
	assert.Assert(t, !c.RecordActivity("one", StatusReport{}, 20), "only the first report is new")
	again := func() { c.Set(newServer("one", 1)) }
	lapse := func() {
		c.Remove("one", 30)
		again()
	}
	for _, step := range []func(){func() {}, again, lapse, lapse} {
		step()
		for range 20 {
			s, ok := choose(c, request, 40)
			assert.Assert(t, ok)
			assert.Equal(t, s.ID, "two")
			c.Start(s.ID, request)
		}
	}
	c.Remove("two", 40)
	assert.DeepEqual(t, c.Choose(request, 50), Choice{})
}

// A server restarts under the same ID after it reported that it is leaving. The new
// incarnation must get requests.
func TestNewIncarnationOfALeavingServerTakesRequests(t *testing.T) {
	c := newChooser("one")
	c.RecordActivity("one", StatusReport{Leaving: true}, 10)
	c.RecordActivity("one", StatusReport{BackOff: clocker.Minute}, 10)
	c.Remove("one", 20)
	c.Set(newServer("one", 2))
	_, ok := choose(c, request, 30)
	assert.Assert(t, ok)
}

// A status report arrives after the entry of the server expired in a store outage. It
// must still apply when the entry reappears.
func TestReportOfAServerWithoutAnEntryIsKept(t *testing.T) {
	c := newChooser("one")
	c.Remove("one", 10)
	c.RecordActivity("one", StatusReport{Leaving: true}, 20)
	c.Set(newServer("one", 1))
	_, ok := choose(c, request, 30)
	assert.Assert(t, !ok)
}

// An overloaded server requests a back-off. Other servers get its requests until the
// back-off ends.
func TestBackOffOfAServerIsHonored(t *testing.T) {
	c := newChooser("one", "two")
	assert.Assert(t, c.RecordActivity("one", StatusReport{BackOff: 500}, 100))
	c.RecordActivity("one", StatusReport{BackOff: 100}, 200) // a shorter back-off does not end the first one
	for now := clocker.Millis(100); now < 600; now += 10 {
		s, ok := choose(c, request, now)
		assert.Assert(t, ok)
		assert.Equal(t, s.ID, "two")
		c.Start("two", request)
	}
	s, _ := choose(c, request, 600)
	assert.Equal(t, s.ID, "one")
}

// All servers of a service back off or are leaving. Choose must report at once that no
// server is available, and when the first back-off ends.
func TestAllServersBackOff(t *testing.T) {
	c := newChooser("one", "two", "three")
	c.RecordActivity("one", StatusReport{BackOff: 900}, 100)
	c.RecordActivity("two", StatusReport{BackOff: 500}, 100)
	c.RecordActivity("three", StatusReport{Leaving: true}, 100)
	assert.DeepEqual(t, c.Choose(request, 200), Choice{RetryAt: 600})
	choice := c.Choose(request, 600)
	assert.Equal(t, choice.Server.ID, "two")
	// The only available server rejected the request before: RetryAt is the end of the
	// back-off of the other one.
	assert.DeepEqual(t, c.Choose(Request{Service: "desk", Avoid: []string{"two"}}, 700), Choice{RetryAt: 1000})
}

// The state of removed servers must be discarded, or it would accumulate in memory.
func TestRemovedServersAreForgotten(t *testing.T) {
	c := newChooser("one")
	c.Remove("one", 10)
	c.Expire(10 + removedRetention)
	assert.Equal(t, len(c.removed), 1)
	c.Expire(11 + removedRetention)
	assert.Equal(t, len(c.removed), 0)
}

// A request that is pinned to a version of the software goes to no other one, and servers of a version that
// is not admitted get no request.
func TestVersionsOfTheSoftwareAreRespected(t *testing.T) {
	admitted := map[string]bool{"v1": true, "v2": true}
	c := New(Config{AvailabilityZone: "a", Admits: func(_, software string) bool { return admitted[software] }})
	for _, software := range []string{"v1", "v2", "v3"} {
		c.Set(Server{ID: software, Service: "s", Slots: 1, AvailabilityZone: "a", Software: software})
	}
	for _, pinned := range []string{"v1", "v2"} {
		for range 20 {
			choice := c.Choose(Request{Service: "s", Pinned: true, Software: pinned}, 1)
			assert.Assert(t, choice.Found && choice.Server.ID == pinned)
		}
	}
	assert.Assert(t, !c.Choose(Request{Service: "s", Pinned: true, Software: "v3"}, 1).Found)
	assert.Assert(t, !c.Choose(Request{Service: "s", Pinned: true}, 1).Found)
	assert.Assert(t, !c.Choose(Request{Service: "s", Avoid: []string{"v1", "v2"}}, 1).Found)
	admitted["v3"] = true
	assert.Assert(t, c.Choose(Request{Service: "s", Avoid: []string{"v1", "v2"}}, 1).Found)
}

// A server that went down counts as perhaps restarted until its entry could have told so.
func TestServerThatWentDownMayHaveRestarted(t *testing.T) {
	c := New(Config{AvailabilityZone: "a"})
	s := Server{ID: "i", Service: "s", Slots: 1, AvailabilityZone: "a", Software: "v1", StartedAt: 1}
	c.Set(s)
	pinned := Request{Service: "s", Pinned: true, Software: "v1"}
	assert.Assert(t, c.Choose(pinned, 1).Found)
	c.MarkDown("i", 10)
	c.Set(s)
	assert.Assert(t, !c.Choose(pinned, 11).Found && c.Choose(Request{Service: "s"}, 11).Restarted)
	assert.Assert(t, c.Choose(pinned, 10+entryDelay).Found && !c.Choose(pinned, 10+entryDelay).Restarted)
	c.MarkDown("i", 20)
	s.StartedAt = 2
	c.Set(s)
	assert.Assert(t, c.Choose(pinned, 21).Found)
}
