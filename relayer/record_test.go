package relayer

import (
	"encoding/json"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/matcher"
)

// line is what a request line tells of the answer.
type line struct {
	Status int    `json:"status"`
	Reason string `json:"reason"`
	Ended  string `json:"ended"`
	Tries  []try  `json:"tries"`
}

func (w *world) line(t *testing.T) line {
	t.Helper()
	var l line
	assert.NilError(t, json.Unmarshal([]byte(<-w.lines), &l))
	return l
}

// The line of a request tells how the caller's answer ended, and for each server what
// it answered and how many events came of it.
func TestRequestLineTellsHowTheAnswerEnded(t *testing.T) {
	stream := matcher.Route{Kind: matcher.Stream}
	for _, c := range []struct {
		name           string
		route          matcher.Route
		script         script
		status, server int
		events         int64
		ended          ending
	}{
		{"whole stream", stream, events(1, 4, true), 200, 200, 4, endedWhole},
		{"stream that broke off", stream, cut(events(1, 2, false)), 200, 200, 2, endedBroken},
		{"whole answer", matcher.Route{}, answer(404, "none"), 404, 404, 0, endedWhole},
		{"server's refusal", matcher.Route{}, answer(503, "", "X-Not-Run: 1"), 503, 503, 0, endedRefused},
		{"no answer", matcher.Route{}, cut(nil), 502, 0, 0, endedRefused},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, c.route, newBackend(t, c.script))
			w.call(t, "POST", "/r/", "p")
			got := w.line(t)
			assert.Equal(t, got.Status, c.status)
			assert.Equal(t, got.Ended, string(c.ended))
			assert.Equal(t, len(got.Tries), 1)
			assert.Equal(t, got.Tries[0].Status, c.server)
			assert.Equal(t, got.Tries[0].Events, c.events)
		})
	}
}

// A try behind the events of another server leaves the status that the caller got.
func TestRequestLineKeepsTheCallersStatus(t *testing.T) {
	fails := func(w io.Writer, req *http.Request) {
		if req.Header.Get("Last-Event-Id") == "" {
			cut(events(1, 3, false))(w, req)
			return
		}
		answer(500, "failed")(w, req)
	}
	w := newWorld(t, resumable, newBackend(t, fails), newBackend(t, fails))
	w.call(t, "POST", "/r/", "p")
	got := w.line(t)
	assert.Equal(t, got.Status, 200)
	assert.Equal(t, got.Tries[0].Events, int64(3))
	assert.Equal(t, got.Tries[1].Status, 500)
	assert.Equal(t, got.Tries[1].Events, int64(0))
}
