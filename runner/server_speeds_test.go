package runner

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/chooser"
	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/storer"
)

// Guards against speeds of servers that other hosts don't hear of, and against odd speeds in a heartbeat.
func TestHeartbeatsCarrySpeedsOfServers(t *testing.T) {
	own, other := newTestBackendPool(clocker.NewManual(50_000)), newTestBackendPool(clocker.NewManual(9_000))
	for _, b := range []*backendPool{own, other} {
		b.Replace([]storer.Object{serverEntry("one", "")}, 0)
		b.Choose(chooser.Request{Service: "s"})
	}
	slowest := func(b *backendPool) float64 { return b.chooser.Spreads(b.clock.Now())[0].Slowest }
	for range 10 {
		own.RecordActivity("one", chooser.StatusReport{FirstEvent: &chooser.FirstEvent{Dispatch: chooser.Dispatch{UncachedTokens: 9200, Slowdown: 1}, After: 400}})
	}
	assert.Assert(t, slowest(own) > 1.1)
	other.applySpeedsOfBeat(&messenger.Beat{Host: "h", Speeds: own.serverSpeeds()})
	assert.Assert(t, slowest(other) > 1.1 && slowest(other) < slowest(own)+0.01)
	other.applySpeedsOfBeat(&messenger.Beat{Host: "odd", Speeds: []*messenger.ServerSpeed{{Server: "one", SlownessPermille: -5, Evidence: 1 << 62}, {Server: "one"}, {Server: "two", Evidence: 1}}})
	assert.Assert(t, slowest(other) > 1.1 && slowest(other) < slowest(own)+0.01)
	other.expire()
}
