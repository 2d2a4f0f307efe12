package relayer

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/chooser"
	"cowsliphinge/matcher"
)

// patient is a route whose servers are given time on a busy machine, too.
var patient = matcher.Route{Kind: matcher.Stream, Resumable: true, MaxAttempts: 2, TargetLatency: 2000, TargetGap: 1000}

// breaksThen sends three events and crashes; resumed answers the request that goes on
// behind them.
func breaksThen(resumed script) script {
	return func(w io.Writer, req *http.Request) {
		if req.Header.Get("Last-Event-Id") == "" {
			cut(events(1, 3, false))(w, req)
			return
		}
		resumed(w, req)
	}
}

// withoutIDs is a stream of events without IDs.
func withoutIDs(w io.Writer, req *http.Request) {
	events(1, 0, false)(w, req)
	_, _ = io.WriteString(w, "9\r\ndata: d\n\n\r\n0\r\n\r\n")
}

// Guards against incident ORDER: a second server fails a stream that goes on there, and
// the caller's answer ends as if it were complete.
func TestStreamThatASecondServerFailsIsNotFramedAsComplete(t *testing.T) {
	b := breaksThen(answer(500, ""))
	w := newWorld(t, patient, newBackend(t, b), newBackend(t, b))
	got := w.call(t, "POST", "/r/", "p")
	assert.Equal(t, got.status, 200)
	assert.Equal(t, got.body, text(1, 3))
	assert.Assert(t, got.broken)
}

// Guards against an answer that has begun as a stream and ends as a later server's answer
// does: whatever that server sends, the caller gets each event once, and an end of the
// answer only after the last of them.
func TestBegunStreamEndsWholeOnlyBehindItsLastEvent(t *testing.T) {
	unsigned := raw("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n")
	for _, c := range []struct {
		name    string
		resumed script
		body    string
		whole   bool
	}{
		{"the rest", events(4, 6, true), text(1, 6), true},
		{"all again", events(1, 6, true), text(1, 6), true},
		{"500 with a body", answer(500, "failed"), text(1, 3), false},
		{"500 without a body", answer(500, ""), text(1, 3), false},
		{"500 longer than is kept", answer(500, strings.Repeat("x", maxWholeBytes+1)), text(1, 3), false},
		{"404", answer(404, "none"), text(1, 3), false},
		{"204", raw("HTTP/1.1 204 No Content\r\nX-Id: %s\r\nX-Sign: s\r\n\r\n"), text(1, 3), false},
		{"206", answer(206, text(4, 6)), text(1, 3), false},
		{"302", answer(302, "", "Location: /"), text(1, 3), false},
		{"503 that may have run", answer(503, ""), text(1, 3), false},
		{"503 not run", answer(503, "", "X-Not-Run: 1"), text(1, 3), false},
		{"421", answer(421, ""), text(1, 3), false},
		{"nothing more in chunks", events(4, 3, true), text(1, 3), false},
		{"nothing more by its length", answer(200, ""), text(1, 3), false},
		{"nothing, ended with the connection", cut(raw("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sign: s\r\n\r\n")), text(1, 3), false},
		{"nothing, broken off", cut(events(4, 3, false)), text(1, 3), false},
		{"text", answer(200, "failed\n\n"), text(1, 3), false},
		{"JSON", answer(200, "{\"error\":\"busy\"}\n\n"), text(1, 3), false},
		{"an event without data", answer(200, "event: error\n\n"), text(1, 3), false},
		{"a comment alone", answer(200, ": ping\n\n"), text(1, 3), false},
		{"a comment and the rest", answer(200, ": ping\n\n"+text(4, 6)+": ping\n\n"), text(1, 6) + ": ping\n\n", true},
		{"200 of the known events alone", events(1, 3, true), text(1, 3), true},
		{"200 of fewer events than are known", events(1, 2, true), text(1, 3), false},
		{"200 without signature", unsigned, text(1, 3), false},
		{"events after a gap", events(5, 6, true), text(1, 3), false},
		{"events without IDs", withoutIDs, text(1, 3), false},
		{"broken again", cut(events(4, 4, false)), text(1, 4), false},
		{"no answer", cut(nil), text(1, 3), false},
		{"no protocol", cut(raw("garbage %s\r\n\r\n")), text(1, 3), false},
		{"another request's answer", cut(raw("HTTP/1.1 200 OK\r\nX-Id: not-%s\r\nX-Sign: s\r\nContent-Length: 1\r\n\r\na")), text(1, 3), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := breaksThen(c.resumed)
			w := newWorld(t, patient, newBackend(t, b), newBackend(t, b))
			got := w.call(t, "POST", "/r/", "p")
			assert.Equal(t, got.status, 200)
			assert.Equal(t, got.body, c.body)
			assert.Equal(t, !got.broken, c.whole)
		})
	}
}

// Guards against a resumed stream that joins pieces of two runs: after an event without
// an ID nobody can say where to go on.
func TestStreamOfUnnumberedEventsIsNotResumed(t *testing.T) {
	b := func(w io.Writer, req *http.Request) {
		events(1, 0, false)(w, req)
		_, _ = io.WriteString(w, "9\r\ndata: d\n\n\r\n")
		_ = w.(io.Closer).Close()
	}
	one, two := newBackend(t, b), newBackend(t, b)
	w := newWorld(t, patient, one, two)
	got := w.call(t, "POST", "/r/", "p")
	assert.Equal(t, got.body, "data: d\n\n")
	assert.Assert(t, got.broken)
	assert.Equal(t, one.runs()+two.runs(), 1)
}

// Guards against a caller that resumes by itself and gets events that it has, or misses
// those that come next.
func TestCallersOwnResumptionBeginsBehindItsLastEvent(t *testing.T) {
	for _, c := range []struct {
		name, body  string
		first, last int
		status      int
	}{
		{"nothing more", "", 3, 2, 502},
		{"next event", text(3, 6), 3, 6, 200},
		{"from the start", text(3, 6), 1, 6, 200},
		{"gap", "", 4, 6, 502},
		{"known ones alone", "", 1, 2, 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, matcher.Route{Kind: matcher.Stream, Resumable: true}, newBackend(t, events(c.first, c.last, true)))
			got := w.call(t, "POST", "/r/", "p", "Last-Event-Id", "2")
			assert.Equal(t, got.status, c.status)
			if c.status == http.StatusOK {
				assert.Equal(t, got.body, c.body)
				assert.Assert(t, !got.broken)
			}
		})
	}
}

// Guards against an untrue refusal: a request that one server may have run is not told
// as not run because a later server refused it or was not there.
func TestRefusalBehindATryThatMayHaveRunDoesNotSayNotRun(t *testing.T) {
	for name, later := range map[string]script{
		"refused":                       answer(503, "", "X-Not-Run: 1"),
		"another server at the address": answer(421, ""),
		"not reachable":                 nil,
	} {
		t.Run(name, func(t *testing.T) {
			scripts := []script{cut(nil), later}
			servers := newSequence(scripts)
			one, two := newBackend(t, servers), newBackend(t, servers)
			if later == nil {
				one, two = newBackend(t, closing(cut(nil), &two)), newBackend(t, closing(cut(nil), &one))
			}
			w := newWorld(t, matcher.Route{Kind: matcher.Safe, MaxAttempts: 2}, one, two)
			got := w.call(t, "GET", "/r/", "")
			assert.Equal(t, got.status, 502)
			assert.Equal(t, got.header.Get("Retry-After"), "")
		})
	}
}

// newSequence answers the first request, at whichever server, by the first script, and
// so on.
func newSequence(scripts []script) script {
	queue := make(chan script, len(scripts))
	for _, s := range scripts {
		queue <- s
	}
	return func(w io.Writer, req *http.Request) {
		(<-queue)(w, req)
	}
}

// closing stops another server's listener before the script runs.
func closing(s script, other **backend) script {
	return func(w io.Writer, req *http.Request) {
		_ = (*other).listener.Close()
		s(w, req)
	}
}

// Guards against a broken stream that looks complete to a caller of HTTP/1.0, whose
// answers end with the connection.
func TestBrokenStreamIsVisibleToACallerOfHTTP10(t *testing.T) {
	read := make(chan struct{})
	b := newBackend(t, func(w io.Writer, req *http.Request) {
		events(1, 3, false)(w, req)
		<-read
		cut(nil)(w, req)
	})
	w := newWorld(t, matcher.Route{Kind: matcher.Stream}, b)
	c, err := net.Dial("tcp4", strings.TrimPrefix(w.front.URL, "http://"))
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "POST /r/ HTTP/1.0\r\nHost: shop.example\r\nX-Id: id-1\r\nAuthorization: Bearer key\r\n\r\n")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	got := make([]byte, len(text(1, 3)))
	_, err = io.ReadFull(resp.Body, got)
	assert.NilError(t, err)
	assert.Equal(t, string(got), text(1, 3))
	close(read)
	_, err = resp.Body.Read(got)
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
}

// Guards against a stream whose head and signature change with its server.
func TestResumedStreamKeepsTheSignatureOfItsFirstServer(t *testing.T) {
	other := func(w io.Writer, req *http.Request) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sign: other\r\nContent-Length: %d\r\n\r\n%s", req.Header.Get("X-Id"), len(text(4, 6)), text(4, 6))
	}
	b := breaksThen(other)
	got := newWorld(t, patient, newBackend(t, b), newBackend(t, b)).call(t, "POST", "/r/", "p")
	assert.Equal(t, got.body, text(1, 6))
	assert.Assert(t, !got.broken)
	assert.DeepEqual(t, got.header.Values("X-Sign"), []string{"s"})
}

// Guards against an order that runs twice: callers repeat it after 429, 503, 408 and
// 421, so a server's answer of that status is passed on only if it says not run.
func TestServersRefusalWithoutNotRunIsNotPassedOnForOrders(t *testing.T) {
	for _, status := range []int{408, 429, 503} {
		for _, body := range []string{"busy", strings.Repeat("b", maxWholeBytes)} {
			order := newWorld(t, matcher.Route{Kind: matcher.Unsafe}, newBackend(t, answer(status, body)))
			got := order.call(t, "POST", "/r/", "order")
			assert.Equal(t, got.status, 502)
			assert.Equal(t, got.header.Get("X-Sign"), "")
			assert.Equal(t, order.shell.outcomes[0] == chooser.Failed, status == 503)
		}
		read := newWorld(t, matcher.Route{Kind: matcher.Safe}, newBackend(t, answer(status, "busy")))
		got := read.call(t, "GET", "/r/", "")
		assert.Equal(t, got.status, status)
		assert.Equal(t, got.header.Get("X-Sign"), "s")
	}
}

// Guards against a first answer that is a stream without events and counts as whole.
func TestFirstStreamWithoutEventsIsNoSuccess(t *testing.T) {
	for _, s := range []script{events(1, 0, true), answer(200, ""), answer(200, ": ping\n\n")} {
		w := newWorld(t, matcher.Route{Kind: matcher.Stream}, newBackend(t, s))
		got := w.call(t, "POST", "/r/", "p")
		assert.Assert(t, got.status == 502 || got.broken, "%d", got.status)
	}
}

// Guards against a stream that is given up although a third server may go on with it.
func TestStreamGoesOnAtAThirdServer(t *testing.T) {
	three := patient
	three.MaxAttempts = 3
	s := newSequence([]script{cut(events(1, 3, false)), answer(500, "failed"), events(4, 6, true)})
	w := newWorld(t, three, newBackend(t, s), newBackend(t, s), newBackend(t, s))
	got := w.call(t, "POST", "/r/", "p")
	assert.Equal(t, got.body, text(1, 6))
	assert.Assert(t, !got.broken)
}

// Guards against two values of Last-Event-Id, the caller's and this router's.
func TestLastEventIDIsSentOnce(t *testing.T) {
	b := newBackend(t, events(3, 4, true))
	w := newWorld(t, patient, b)
	w.call(t, "POST", "/r/", "p", "Last-Event-Id", "2")
	assert.DeepEqual(t, b.requests[0].Header.Values("Last-Event-Id"), []string{"2"})
}
