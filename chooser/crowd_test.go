package chooser

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

// crowd returns choosers of hosts in zone a, each with its own luck, before engines in
// zones a and b.
func crowd(hosts, engines int) []*Chooser {
	var all []*Chooser
	for h := range hosts {
		c := New(Config{AvailabilityZone: "a", CacheTokens: func(string) int { return 100000 }, Seed: uint64(h)})
		for _, zone := range []string{"a", "b"} {
			for i := range engines {
				c.Set(Server{ID: fmt.Sprintf("%s%02d", zone, i), Service: "engine", Address: "10.0.0.1:1", AvailabilityZone: zone, Slots: 12})
			}
		}
		all = append(all, c)
	}
	return all
}

var hint = Request{Service: "engine", Prompt: []PromptPart{{ID: "system", Tokens: 200}, {ID: "own", Tokens: 600}}}

// Pattern: dozens of hosts of a zone, each of which sees few requests and hears of few
// servers, send short prompts at the same moment. They do not all choose the first of
// the servers that look alike, and stay in their zone.
func TestHostsThatKnowLittleSpreadTheirRequests(t *testing.T) {
	counts := map[string]int{}
	for _, c := range crowd(33, 21) {
		s, ok := choose(c, hint, 0)
		assert.Assert(t, ok)
		assert.Equal(t, s.AvailabilityZone, "a")
		counts[s.ID]++
	}
	for id, n := range counts {
		assert.Assert(t, n <= 8, "%s got %d of 33", id, n)
	}
}

// Pattern: a host has a late word of a few servers alone. One that told much work is
// left for others, one that told little is preferred to those that it knows nothing of,
// which are taken to have what servers have on average.
func TestUnknownServersAreTakenToHaveTheMean(t *testing.T) {
	c := crowd(1, 21)[0]
	for i := range 100 {
		c.RecordActivity(fmt.Sprintf("a%02d", i%21), StatusReport{Load: &Load{Running: 8, Slots: 12}}, clocker.Millis(i))
	}
	now := 100 + 2*loadAge
	c.RecordActivity("a00", StatusReport{Load: &Load{Running: 12, Waiting: 4, Slots: 12}}, now)
	c.RecordActivity("a01", StatusReport{Load: &Load{Running: 1, Slots: 12}}, now)
	for range 20 {
		s, _ := choose(c, hint, now)
		assert.Equal(t, s.ID, "a01")
	}
	c.Remove("a01", now)
	for range 20 {
		s, _ := choose(c, hint, now)
		assert.Assert(t, s.ID != "a00")
	}
}
