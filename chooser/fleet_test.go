package chooser

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

// newChoosers returns the choosers of several hosts in zone a, each with its own random
// seed, with the given number of engines in each of zones a and b.
func newChoosers(hosts, engines int) []*Chooser {
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

var shortRequest = Request{Service: "engine", Prompt: []PromptPart{{ID: "system", Tokens: 200}, {ID: "own", Tokens: 600}}}

// Many hosts of one zone, each with few requests and few load reports, send short
// prompts at the same moment. They must not all choose the first of several equivalent
// servers, and they must stay in their zone.
func TestHostsWithoutLoadReportsSpreadTheirRequests(t *testing.T) {
	counts := map[string]int{}
	for _, c := range newChoosers(33, 21) {
		s, ok := choose(c, shortRequest, 0)
		assert.Assert(t, ok)
		assert.Equal(t, s.AvailabilityZone, "a")
		counts[s.ID]++
	}
	for id, n := range counts {
		assert.Assert(t, n <= 8, "%s got %d of 33", id, n)
	}
}

// A host has recent load reports of only a few servers. Servers without one count as
// having the mean load: a server that reported low load is preferred to them, a server
// that reported high load is avoided.
func TestServersWithoutALoadReportCountAsTheMean(t *testing.T) {
	c := newChoosers(1, 21)[0]
	for i := range 100 {
		c.RecordActivity(fmt.Sprintf("a%02d", i%21), StatusReport{Load: &Load{Running: 8, Slots: 12}}, clocker.Millis(i))
	}
	now := 100 + 2*maxLoadAge
	c.RecordActivity("a00", StatusReport{Load: &Load{Running: 12, Queued: 4, Slots: 12}}, now)
	c.RecordActivity("a01", StatusReport{Load: &Load{Running: 1, Slots: 12}}, now)
	for range 20 {
		s, _ := choose(c, shortRequest, now)
		assert.Equal(t, s.ID, "a01")
	}
	c.Remove("a01", now)
	for range 20 {
		s, _ := choose(c, shortRequest, now)
		assert.Assert(t, s.ID != "a00")
	}
}
