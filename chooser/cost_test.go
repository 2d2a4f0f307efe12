package chooser

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Load: requests with one shared prompt part at twelve equal servers, which report no slowdown. Guards against prompts
// that are computed at several servers where these are even.
func TestEqualServersKeepSharedPartsAtOneServer(t *testing.T) {
	c := New(Config{AvailabilityZone: "a", CacheTokens: func(string) int { return 400_000 }, Seed: 1})
	for i := range 12 {
		c.Set(Server{ID: fmt.Sprint("e", i), Service: "engine", Address: "10.0.0.1:1", AvailabilityZone: "a", Slots: 64})
	}
	used := func() int {
		servers := map[string]bool{}
		for i := range 12 {
			r := Request{Service: "engine", Prompt: []PromptPart{{ID: "shared", Tokens: 6300}, {ID: fmt.Sprint("own", i), Tokens: 2890}}}
			choice := c.Choose(r, 1000)
			servers[choice.Server.ID] = true
			c.Start(choice.Server.ID, r)
			c.Finish(choice.Server.ID, NoFailure, 1000)
			c.Release(choice.Server.ID, r)
		}
		return len(servers)
	}
	assert.Equal(t, used(), 1)
	for i := range 12 {
		c.RecordActivity(fmt.Sprint("e", i), StatusReport{Load: &Load{Slots: 64}, Slowdown: 1}, 1000)
	}
	assert.Assert(t, used() > 1)
}
