package relayer

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/matcher"
)

// requestLine holds the keys of a request's log line that describe the response.
type requestLine struct {
	Status   int          `json:"status"`
	Reason   string       `json:"reason"`
	Ended    string       `json:"ended"`
	Attempts []attemptLog `json:"tries"`
}

func (f *fixture) nextRequestLine(t *testing.T) requestLine {
	t.Helper()
	var l requestLine
	assert.NilError(t, json.Unmarshal([]byte(<-f.logLines), &l))
	return l
}

// The log line of a request states how the caller's response ended, and the status and
// the number of forwarded events for each server.
func TestRequestLineReportsHowTheResponseEnded(t *testing.T) {
	stream := matcher.Route{Kind: matcher.Stream}
	for _, c := range []struct {
		name           string
		route          matcher.Route
		handler        handler
		status, server int
		events         int64
		ended          ending
	}{
		{"complete stream", stream, streamEvents(1, 4, true), 200, 200, 4, endedComplete},
		{"truncated stream", stream, thenClose(streamEvents(1, 2, false)), 200, 200, 2, endedAborted},
		{"complete response", matcher.Route{}, respond(404, "none"), 404, 404, 0, endedComplete},
		{"server's refusal", matcher.Route{}, respond(503, "", "X-Not-Run: 1"), 503, 503, 0, endedRefused},
		{"no response", matcher.Route{}, thenClose(nil), 502, 0, 0, endedRefused},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, c.route, newBackend(t, c.handler))
			f.call(t, "POST", "/r/", "p")
			got := f.nextRequestLine(t)
			assert.Equal(t, got.Status, c.status)
			assert.Equal(t, got.Ended, string(c.ended))
			assert.Equal(t, len(got.Attempts), 1)
			assert.Equal(t, got.Attempts[0].Status, c.server)
			assert.Equal(t, got.Attempts[0].Events, c.events)
		})
	}
}

// An attempt after events of another server does not change the logged status, which is
// the one sent to the caller.
func TestRequestLineKeepsTheCallersStatus(t *testing.T) {
	failing := func(w io.Writer, req *http.Request) {
		if req.Header.Get("Last-Event-Id") == "" {
			thenClose(streamEvents(1, 3, false))(w, req)
			return
		}
		respond(500, "failed")(w, req)
	}
	f := newFixture(t, resumableRoute, newBackend(t, failing), newBackend(t, failing))
	f.call(t, "POST", "/r/", "p")
	got := f.nextRequestLine(t)
	assert.Equal(t, got.Status, 200)
	assert.Equal(t, got.Attempts[0].Events, int64(3))
	assert.Equal(t, got.Attempts[1].Status, 500)
	assert.Equal(t, got.Attempts[1].Events, int64(0))
}

// Without the parts of prompts in the log, requests that crash their servers can't be told
// from the others on the same servers. IDs are chosen by callers and bounded in the log.
func TestRequestLineNamesThePromptParts(t *testing.T) {
	f := newFixture(t, matcher.Route{}, newBackend(t, respond(200, "a")))
	long := strings.Repeat("f", 2*maxLoggedIDBytes)
	f.call(t, "POST", "/r/", "p", "X-Parts", "a1:800,b2:10,"+long+":5")
	var line struct {
		Parts []string `json:"parts"`
	}
	assert.NilError(t, json.Unmarshal([]byte(<-f.logLines), &line))
	assert.DeepEqual(t, line.Parts, []string{"a1", "b2", long[:maxLoggedIDBytes]})
}

// The log line of a refusal for want of a route or key tells how current the configuration is that
// lacks it, and names the request's path.
func TestRefusalByVersionTellsHowCurrentItIs(t *testing.T) {
	f := newFixture(t, matcher.Route{}, newBackend(t, respond(200, "")))
	f.relayer.cfg.ConfigurationNews = func() ConfigurationNews { return ConfigurationNews{InForceSince: 1, NewestVersion: 8} }
	for path, key := range map[string]string{"/added/": "key", "/r/": "new key"} {
		f.call(t, "GET", path, "", "Authorization", "Bearer "+key)
		var line struct {
			Path          string `json:"path"`
			InForceMs     int64  `json:"in_force_ms"`
			Version       int64  `json:"version"`
			NewestVersion int64  `json:"newest_version"`
		}
		assert.NilError(t, json.Unmarshal([]byte(<-f.logLines), &line))
		assert.Equal(t, line.Path, "shop.example"+path)
		assert.Equal(t, line.Version, int64(1))
		assert.Equal(t, line.NewestVersion, int64(8))
		assert.Assert(t, line.InForceMs > 0)
	}
}
