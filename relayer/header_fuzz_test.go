package relayer

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/chooser"
	"cowsliphinge/clocker"
)

// FuzzHeaders parses headers of callers and backend servers and chooses servers by them.
// Parsed numbers stay within their limits for any input, and a server is chosen as long
// as one is available.
func FuzzHeaders(f *testing.F) {
	f.Add("a:1460,b:20", "1460,80", "3,0,8", "0.35", 503)
	f.Add("a:-5,:7,b", "-1,5", "-1,0,8", "-1", 503)
	f.Add("a:9223372036854775807,b:9223372036854775807", "9223372036854775807,9223372036854775807", "9223372036854775807,9223372036854775807,0", "1e300", 503)
	f.Add(",,,:", ",", ",,", "NaN", 503)
	f.Add("a:1", "1460", "x", "Inf", 200)
	f.Add("a:1:9,b:2", "1460,80,7", "3,0,8,250", "0.35", 200)
	f.Add("a:1", "1460,80", "3,0,8,-1,x", "0", 200)
	f.Add("a:1", "1460,80", "3,0,8,1e300", "0", 200)
	f.Add("a:1", "1460,80", "3,0,8,NaN,4", "0", 200)
	f.Fuzz(func(t *testing.T, prompt, tokens, load, retryAfter string, status int) {
		if in, out, ok := parseTokens(tokens); ok {
			assert.Assert(t, in >= 0 && out >= 0)
		}
		if l := parseLoad(load); l != nil {
			assert.Assert(t, l.Running >= 0 && l.Queued >= 0 && l.Slots >= 0)
		}
		slowdown, _ := parseSlowdown(load)
		assert.Assert(t, slowdown >= 0 && slowdown <= maxSlowdownFigure/usualSlowdown)
		report := HeaderNames{Leaving: "X-Leaving", Load: "X-Load"}.statusReport(status, http.Header{"X-Load": {load}, "Retry-After": {retryAfter}}, 0)
		assert.Assert(t, report.BackOff >= 0 && report.BackOff <= maxBackOff+backOffMargin)

		c := chooser.New(chooser.Config{AvailabilityZone: "a", CacheTokens: func(string) int { return 1000 }})
		c.Set(chooser.Server{ID: "one", Service: "s", AvailabilityZone: "a", Slots: 4})
		c.Set(chooser.Server{ID: "two", Service: "s", AvailabilityZone: "b", Slots: 4})
		request := chooser.Request{Service: "s", Prompt: parsePromptParts(prompt)}
		for now := range clocker.Millis(3) {
			choice := c.Choose(request, now)
			assert.Assert(t, choice.Found, "the other server did not request a back-off")
			id := choice.Server.ID
			c.Start(id, request)
			if id == "one" {
				c.RecordActivity(id, report, now)
			}
			c.Finish(id, chooser.NoFailure, now)
		}
	})
}
