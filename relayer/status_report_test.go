package relayer

import (
	"net/http"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/chooser"
	"cowsliphinge/matcher"
)

func TestLeavingServerGetsNoNewRequests(t *testing.T) {
	for name, first := range map[string]handler{
		"success": respond(200, "x", "X-Leaving: 1"),
		"failure": respond(500, "x", "X-Leaving: 1"),
		"refusal": respond(503, "", "X-Not-Run: 1", "X-Leaving: 1"),
	} {
		t.Run(name, func(t *testing.T) {
			b := newBackend(t, first)
			f := newFixture(t, matcher.Route{Kind: matcher.Unsafe}, b)
			f.call(t, "POST", "/r/", "order")
			got := f.call(t, "POST", "/r/", "order")
			assert.Equal(t, got.status, 503)
			assert.Equal(t, b.requestCount(), 1)
		})
	}
}

// The response of another server at the same address says nothing about the expected
// server.
func TestStatusReportOfAnotherServerIsIgnored(t *testing.T) {
	b := newBackend(t, respond(421, "", "X-Leaving: 1"), respond(200, "x"))
	f := newFixture(t, matcher.Route{Kind: matcher.Unsafe}, b)
	f.call(t, "POST", "/r/", "order")
	assert.Equal(t, f.call(t, "POST", "/r/", "order").status, 200)
}

func TestRefusalReportsTheServersBackOff(t *testing.T) {
	b := newBackend(t, respond(503, "", "X-Not-Run: 1", "Retry-After: 1.5"))
	f := newFixture(t, matcher.Route{Kind: matcher.Unsafe}, b)
	for range 3 {
		got := f.call(t, "POST", "/r/", "order", "X-Time", "60000")
		assert.Equal(t, got.status, 503)
	}
	assert.Equal(t, b.requestCount(), 1)
	got := f.call(t, "POST", "/r/", "order", "X-Time", "60000")
	seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, seconds > 0.5 && seconds < 2, "%v", seconds)
}

// A server names a limit in a success. Further requests must be refused at once, before they
// reach it, with the time of the next permit.
func TestRequestsBeyondTheLimitOfTheOnlyServerAreRefused(t *testing.T) {
	b := newBackend(t, respond(200, "x", "X-Limit: 0.02"))
	f := newFixture(t, matcher.Route{Kind: matcher.Unsafe}, b)
	assert.Equal(t, f.call(t, "POST", "/r/", "order", "X-Time", "60000").status, 200)
	for range 5 {
		got := f.call(t, "POST", "/r/", "order", "X-Time", "60000")
		assert.Equal(t, got.status, 503)
		seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, seconds > 0 && seconds <= 20, "%v", seconds)
	}
	assert.Equal(t, b.requestCount(), 1)
}

// A server in need refuses a request without naming its limit. The limit must hold on; a success
// without it ends it, and a value that is no limit changes nothing.
func TestOnlyASuccessWithoutALimitEndsIt(t *testing.T) {
	for _, step := range []struct {
		status int
		limit  string
		want   *chooser.RequestLimit
	}{
		{200, "2.5", &chooser.RequestLimit{Named: true, PerSecond: 2.5, SentAt: 7}},
		{503, "2.5", &chooser.RequestLimit{Named: true, PerSecond: 2.5, SentAt: 7}},
		{503, "", nil},
		{500, "", nil},
		{200, "", &chooser.RequestLimit{SentAt: 7}},
		{200, "many", nil},
	} {
		names := HeaderNames{RequestLimit: func(h http.Header) (chooser.RequestLimit, bool) {
			perSecond, err := strconv.ParseFloat(h.Get("X-Limit"), 64)
			return chooser.RequestLimit{Named: err == nil, PerSecond: perSecond}, err == nil || h.Get("X-Limit") == ""
		}}
		got := names.statusReport(step.status, http.Header{"X-Limit": {step.limit}}, 7)
		assert.DeepEqual(t, got.Limit, step.want)
	}
}

func TestParseRetryAfter(t *testing.T) {
	for header, want := range map[string]int64{"": 0, "0": 0, "-1": 0, "soon": 0, "NaN": 0, "+Inf": int64(maxBackOff), "1e99": int64(maxBackOff), "0.25": 250, "2": 2000} {
		got := int64(parseRetryAfter(header))
		if want > 0 {
			want += int64(backOffMargin)
		}
		assert.Equal(t, got, want, header)
	}
}
