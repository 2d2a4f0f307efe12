package relayer

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/chooser"
	"cowsliphinge/clocker"
	"cowsliphinge/matcher"
)

// Guards against requests that are lost on a connection that the server or the network has
// dropped, as happens in a large fleet, where each host rarely uses the same server. A
// request that can be retried on another server uses an idle connection; any other request
// uses none that may have been dropped.
func TestIdleConnectionsServeOnlyRetryableRequests(t *testing.T) {
	server := chooser.Server{ID: "s0", Service: "s"}
	for _, c := range []struct {
		name       string
		route      matcher.Route
		attempts   int
		reusesIdle bool
	}{
		{"safe", matcher.Route{Kind: matcher.Safe, MaxAttempts: 2}, 0, true},
		{"resumable stream", matcher.Route{Kind: matcher.Stream, Resumable: true, MaxAttempts: 2}, 0, true},
		{"last attempt", matcher.Route{Kind: matcher.Safe, MaxAttempts: 2}, 1, false},
		{"single attempt", matcher.Route{Kind: matcher.Safe, MaxAttempts: 1}, 0, false},
		{"unsafe", matcher.Route{Kind: matcher.Unsafe, MaxAttempts: 2}, 0, false},
		{"stream", matcher.Route{Kind: matcher.Stream, MaxAttempts: 2}, 0, false},
	} {
		clock := clocker.NewManual(clocker.Hour)
		ch := chooser.New(chooser.Config{})
		ch.Set(server)
		ch.RecordActivity(server.ID, chooser.StatusReport{}, clock.Now())
		x := &relayedRequest{
			Relayer:      New(Config{Clock: clock, HeaderNames: headerNames, Servers: &lockedChooser{chooser: ch, clock: clock}}),
			route:        &c.route,
			sentAttempts: c.attempts,
			deadline:     clock.Now() + clocker.Minute,
		}
		x.outbound.Header = map[string][]string{}
		assert.Equal(t, x.requestFor(server).MaxIdleTime, defaultTimeout, c.name)
		clock.Advance(reachabilityTTL + 1)
		want := reachabilityTTL
		if c.reusesIdle {
			want = defaultTimeout
		}
		assert.Equal(t, x.requestFor(server).MaxIdleTime, want, c.name)
	}
}
