package chooser

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

// newTwoZoneChooser returns a chooser in zone a with n engines in each of zones a and b.
func newTwoZoneChooser(n int) *Chooser {
	c := New(Config{AvailabilityZone: "a", CacheTokens: func(string) int { return 100000 }})
	for _, zone := range []string{"a", "b"} {
		for i := range n {
			c.Set(Server{ID: fmt.Sprintf("%s%d", zone, i), Service: "engine", Address: "10.0.0.1:1", AvailabilityZone: zone, Slots: 8})
		}
	}
	return c
}

func choose(c *Chooser, r Request, now clocker.Millis) (Server, bool) {
	choice := c.Choose(r, now)
	return choice.Server, choice.Found
}

func prompt(session string) []PromptPart {
	return []PromptPart{{ID: "system", Tokens: 2500}, {ID: session, Tokens: 3800}, {ID: session + "-own", Tokens: 2900}}
}

// Many sessions have long prompts with shared parts. All requests of a session must go
// to the same engine, whichever host sends them.
func TestAllHostsSendASessionToTheSameEngine(t *testing.T) {
	first, second := newTwoZoneChooser(4), newTwoZoneChooser(4)
	second.cfg.AvailabilityZone = "b"
	for i := range 50 {
		r := Request{Service: "engine", Prompt: prompt(fmt.Sprint("session", i))}
		one, ok := choose(first, r, 0)
		assert.Assert(t, ok)
		other, _ := choose(second, r, 0)
		assert.Equal(t, one.ID, other.ID)
	}
}

// One session gets most of the traffic. Its engine must not get all of the requests.
func TestHotSessionSpillsToOtherEngines(t *testing.T) {
	c := newTwoZoneChooser(4)
	r := Request{Service: "engine", Prompt: prompt("hot")}
	counts := map[string]int{}
	for range 120 {
		s, ok := choose(c, r, 0)
		assert.Assert(t, ok)
		c.Start(s.ID, r)
		counts[s.ID]++
	}
	for id, n := range counts {
		assert.Assert(t, n <= 60, "%s got %d of 120", id, n)
	}
}

// An engine becomes unreachable. After one failed connection it must get no requests
// until its ejection ends, and the next ejection must be longer.
func TestUnreachableServerIsEjected(t *testing.T) {
	c := newTwoZoneChooser(2)
	r := Request{Service: "engine", Prompt: prompt("x")}
	home, _ := choose(c, r, 0)
	c.Start(home.ID, r)
	assert.Assert(t, c.Finish(home.ID, Unreachable, 0))
	for now := clocker.Millis(0); now < minEjection; now += 10 {
		s, ok := choose(c, r, now)
		assert.Assert(t, ok)
		assert.Assert(t, s.ID != home.ID)
	}
	back, _ := choose(c, r, minEjection)
	assert.Equal(t, back.ID, home.ID)
	c.Start(home.ID, r)
	c.Finish(home.ID, Unreachable, minEjection)
	s, _ := choose(c, r, 2*minEjection)
	assert.Assert(t, s.ID != home.ID)
}

// An availability zone becomes unreachable. Two unreachable servers are enough to avoid
// the other servers of the zone without an attempt on each.
func TestUnreachableZoneIsAvoided(t *testing.T) {
	c := newTwoZoneChooser(6)
	for _, id := range []string{"b0", "b1"} {
		c.Start(id, Request{})
		c.Finish(id, Unreachable, 1000)
	}
	for i := range 50 {
		s, ok := choose(c, Request{Service: "engine", Prompt: prompt(fmt.Sprint(i))}, 1100)
		assert.Assert(t, ok)
		assert.Equal(t, s.AvailabilityZone, "a")
	}
}

// A server responds with errors while its health checks pass. It must be avoided.
func TestServerWithErrorsIsAvoided(t *testing.T) {
	c := newTwoZoneChooser(2)
	for range 20 {
		c.Start("a0", Request{})
		c.Finish("a0", ServerError, 0)
	}
	for range 20 {
		s, _ := choose(c, Request{Service: "engine"}, 0)
		assert.Assert(t, s.ID != "a0")
	}
}

// A server is replaced. Draining and removed servers must get no requests.
func TestDrainingAndRemovedServersGetNoRequests(t *testing.T) {
	c := newTwoZoneChooser(1)
	c.Set(Server{ID: "a0", Service: "engine", AvailabilityZone: "a", Slots: 8, Address: "10.0.0.1:1", Draining: true})
	s, ok := choose(c, Request{Service: "engine"}, 0)
	assert.Assert(t, ok)
	assert.Equal(t, s.ID, "b0")
	c.Remove("b0", 0)
	_, ok = choose(c, Request{Service: "engine"}, 0)
	assert.Assert(t, !ok)
}

// Entries expire during a store outage. Those that reappear in time must stay, the
// others must be removed.
func TestMissingEntriesExpire(t *testing.T) {
	c := newTwoZoneChooser(1)
	c.MarkMissing("a0", 2000)
	c.MarkMissing("b0", 2000)
	assert.Equal(t, len(c.Expire(1999)), 0)
	b0, _ := c.Server("b0")
	c.Set(b0)
	assert.DeepEqual(t, c.Expire(2000), []string{"a0"})
	assert.Assert(t, !c.Knows("a0") && c.Knows("b0"))
}

// Short requests must be spread by load, with preference for the own zone.
func TestShortRequestsSpreadByLoad(t *testing.T) {
	c := newTwoZoneChooser(2)
	counts := map[string]int{}
	for range 40 {
		s, _ := choose(c, Request{Service: "engine"}, 0)
		c.Start(s.ID, Request{Service: "engine"})
		counts[s.AvailabilityZone]++
	}
	assert.Assert(t, counts["a"] >= counts["b"] && counts["b"] >= 15, "%v", counts)
}

func ExampleChooser_Choose() {
	c := New(Config{AvailabilityZone: "a"})
	c.Set(Server{ID: "near", Service: "orders", AvailabilityZone: "a", Slots: 6})
	c.Set(Server{ID: "far", Service: "orders", AvailabilityZone: "b", Slots: 6})
	server, ok := choose(c, Request{Service: "orders"}, 0)
	fmt.Println(server.ID, ok)
	// Output: near true
}

// Guards against requests to a server whose entry stayed missing, between its deadline and
// the next call of Expire, which may be 200 ms later.
func TestMissingServerGetsNoRequestsAfterItsDeadline(t *testing.T) {
	c := New(Config{AvailabilityZone: "a"})
	c.Set(Server{ID: "one", Service: "s", Address: "10.0.0.1:1", AvailabilityZone: "a", Slots: 8})
	c.MarkMissing("one", 1000)
	_, ok := choose(c, Request{Service: "s"}, 999)
	assert.Assert(t, ok, "its entry may reappear")
	_, ok = choose(c, Request{Service: "s"}, 1000)
	assert.Assert(t, !ok)
	c.Set(Server{ID: "one", Service: "s", Address: "10.0.0.1:1", AvailabilityZone: "a", Slots: 8})
	_, ok = choose(c, Request{Service: "s"}, 1000)
	assert.Assert(t, ok, "its entry reappeared before Expire was called")
}
