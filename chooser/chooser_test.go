package chooser

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

// fleet returns a chooser in zone a with n engines in each of zones a and b.
func fleet(n int) *Chooser {
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

// Pattern: many sessions share long prompts; each session's parts stay on one
// engine, whichever host sends its requests.
func TestSessionsKeepTheirEngine(t *testing.T) {
	first, second := fleet(4), fleet(4)
	second.cfg.AvailabilityZone = "b"
	for i := range 50 {
		r := Request{Service: "engine", Prompt: prompt(fmt.Sprint("session", i))}
		one, ok := choose(first, r, 0)
		assert.Assert(t, ok)
		other, _ := choose(second, r, 0)
		assert.Equal(t, one.ID, other.ID)
	}
}

// Pattern: one key gets much of the traffic; its engine does not get all of it.
func TestHotSessionSpills(t *testing.T) {
	c := fleet(4)
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

// Pattern: an engine goes dark; after one failed connection nothing is sent there
// until its pause is over, and the pause grows.
func TestDarkServerIsLeftOut(t *testing.T) {
	c := fleet(2)
	r := Request{Service: "engine", Prompt: prompt("x")}
	home, _ := choose(c, r, 0)
	c.Start(home.ID, r)
	assert.Assert(t, c.Finish(home.ID, Unreachable, 0))
	for now := clocker.Millis(0); now < ejectFirst; now += 10 {
		s, ok := choose(c, r, now)
		assert.Assert(t, ok)
		assert.Assert(t, s.ID != home.ID)
	}
	back, _ := choose(c, r, ejectFirst)
	assert.Equal(t, back.ID, home.ID)
	c.Start(home.ID, r)
	c.Finish(home.ID, Unreachable, ejectFirst)
	s, _ := choose(c, r, 2*ejectFirst)
	assert.Assert(t, s.ID != home.ID)
}

// Pattern: an availability zone is cut off; two servers out of reach are enough
// to leave out the others there without a try each.
func TestCutZoneIsLeftOut(t *testing.T) {
	c := fleet(6)
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

// Pattern: servers fail part of their requests while their health is good.
func TestFailingServerGetsLess(t *testing.T) {
	c := fleet(2)
	for range 20 {
		c.Start("a0", Request{})
		c.Finish("a0", Failed, 0)
	}
	for range 20 {
		s, _ := choose(c, Request{Service: "engine"}, 0)
		assert.Assert(t, s.ID != "a0")
	}
}

// Pattern: a server is replaced; draining and forgotten servers get nothing.
func TestLeavingServersGetNothing(t *testing.T) {
	c := fleet(1)
	c.Set(Server{ID: "a0", Service: "engine", AvailabilityZone: "a", Slots: 8, Address: "10.0.0.1:1", Draining: true})
	s, ok := choose(c, Request{Service: "engine"}, 0)
	assert.Assert(t, ok)
	assert.Equal(t, s.ID, "b0")
	c.Remove("b0", 0)
	_, ok = choose(c, Request{Service: "engine"}, 0)
	assert.Assert(t, !ok)
}

// Pattern: entries lapse while the store is away and come back, or not.
func TestMissingEntries(t *testing.T) {
	c := fleet(1)
	c.MarkMissing("a0", 2000)
	c.MarkMissing("b0", 2000)
	assert.Equal(t, len(c.Expire(1999)), 0)
	b0, _ := c.Server("b0")
	c.Set(b0)
	assert.DeepEqual(t, c.Expire(2000), []string{"a0"})
	assert.Assert(t, !c.Knows("a0") && c.Knows("b0"))
}

// Pattern: short requests spread by load, near servers first.
func TestShortRequestsSpread(t *testing.T) {
	c := fleet(2)
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

// DRAIN: a server whose entry stayed missing got requests until the next sweep of a
// running host, up to 200 ms after its time.
func TestMissingServerGetsNothingOnceItsTimeIsOver(t *testing.T) {
	c := New(Config{AvailabilityZone: "a"})
	c.Set(Server{ID: "one", Service: "s", Address: "10.0.0.1:1", AvailabilityZone: "a", Slots: 8})
	c.MarkMissing("one", 1000)
	_, ok := choose(c, Request{Service: "s"}, 999)
	assert.Assert(t, ok, "it may come back")
	_, ok = choose(c, Request{Service: "s"}, 1000)
	assert.Assert(t, !ok)
	c.Set(Server{ID: "one", Service: "s", Address: "10.0.0.1:1", AvailabilityZone: "a", Slots: 8})
	_, ok = choose(c, Request{Service: "s"}, 1000)
	assert.Assert(t, ok, "it came back before the sweep")
}
