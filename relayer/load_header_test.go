package relayer

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/chooser"
	"cowsliphinge/clocker"
	"cowsliphinge/matcher"
)

// Servers report more figures than a host knows. Guards against ignoring the known ones, and against the use of
// an invalid slowdown.
func TestLoadWithFurtherFiguresIsRead(t *testing.T) {
	for _, c := range []struct {
		value    string
		load     *chooser.Load
		slowdown float64
		invalid  bool
	}{
		{"", nil, 0, false},
		{"3,1,8", &chooser.Load{Running: 3, Queued: 1, Slots: 8}, 0, false},
		{"3,1,8,250", &chooser.Load{Running: 3, Queued: 1, Slots: 8}, 2.5, false},
		{" 3 , 1 , 8 , 87.5 , x,,", &chooser.Load{Running: 3, Queued: 1, Slots: 8}, 0.875, false},
		{"3,1,8,", &chooser.Load{Running: 3, Queued: 1, Slots: 8}, 0, true},
		{"3,1,8,fast,7", &chooser.Load{Running: 3, Queued: 1, Slots: 8}, 0, true},
		{"3,1,8,0", &chooser.Load{Running: 3, Queued: 1, Slots: 8}, 0, true},
		{"3,1,8,-100", &chooser.Load{Running: 3, Queued: 1, Slots: 8}, 0, true},
		{"3,1,8,10001", &chooser.Load{Running: 3, Queued: 1, Slots: 8}, 0, true},
		{"3,1,8,NaN", &chooser.Load{Running: 3, Queued: 1, Slots: 8}, 0, true},
		{"3,1", nil, 0, true},
		{"3,1,", nil, 0, true},
		{"3,,8,100", nil, 0, true},
		{"3,-1,8,100", nil, 0, true},
		{"3,1.5,8,100", nil, 0, true},
		{"3,1,1048577,100", nil, 0, true},
	} {
		calls, before := 0, invalidLoads.Get()
		names := HeaderNames{Load: "X-Load", invalidLoad: func(string) { calls++ }}
		got := names.statusReport(200, http.Header{"X-Load": {c.value}}, 0)
		assert.DeepEqual(t, got.Load, c.load)
		assert.Equal(t, got.Slowdown, c.slowdown, c.value)
		assert.Equal(t, calls == 1, c.invalid, c.value)
		assert.Equal(t, invalidLoads.Get() > before, c.invalid, c.value)
	}
}

// Each response of a server carries an invalid load. Guards against a log line for each of them.
func TestInvalidLoadIsLoggedOnce(t *testing.T) {
	b := newBackend(t, respond(200, "x", headerNames.Load+": fast,0,8"))
	f := newFixture(t, matcher.Route{Kind: matcher.Safe}, b)
	warnings := 0
	for range 3 {
		assert.Equal(t, f.call(t, "GET", "/r/", "").status, 200)
	}
	for len(f.logLines) > 0 {
		if line := <-f.logLines; strings.Contains(line, "is not valid") && strings.Contains(line, "fast,0,8") {
			warnings++
		}
	}
	assert.Equal(t, warnings, 1)
}

// Callers' fields gain further values. Guards against requests without a charge, without affinity and with the
// default timeout.
func TestFieldsOfCallersMayGrow(t *testing.T) {
	in, out, ok := parseTokens("1460,80,12")
	assert.Assert(t, ok && in == 1460 && out == 80)
	assert.DeepEqual(t, parsePromptParts("a:7:x,b:9"), []chooser.PromptPart{{ID: "a", Tokens: 7}, {ID: "b", Tokens: 9}})
	x := &relayedRequest{Relayer: &Relayer{cfg: Config{HeaderNames: HeaderNames{Timeout: "X-Time"}}}}
	x.req = &http.Request{Header: http.Header{"X-Time": {"1500,3"}}}
	assert.Equal(t, x.callerTimeout(), clocker.Millis(1500))
}
