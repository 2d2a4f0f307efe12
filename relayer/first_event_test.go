package relayer

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/matcher"
)

// Guards against streams from which nothing is learned of the server, or more than once.
func TestFirstEventOfAStreamIsLearnedFrom(t *testing.T) {
	b := newBackend(t, streamEvents(1, 3, true))
	f := newFixture(t, matcher.Route{Kind: matcher.Stream}, b)
	for n := range 2 {
		assert.Equal(t, f.call(t, "POST", "/r/", "p", "X-Parts", "a:5000,b:70").status, 200)
		f.servers.mu.Lock()
		spreads := f.servers.chooser.Spreads(f.servers.clock.Now())
		f.servers.mu.Unlock()
		assert.Equal(t, spreads[0].Rates.Observations, n+1)
	}
}
