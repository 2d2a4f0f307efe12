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
var tolerantRoute = matcher.Route{Kind: matcher.Stream, Resumable: true, MaxAttempts: 2, TargetLatency: 2000, TargetGap: 1000}

// breaksThen sends three events and crashes; resumed answers the request that goes on
// behind them.
func failAfterThreeEvents(resumed handler) handler {
	return func(w io.Writer, req *http.Request) {
		if req.Header.Get("Last-Event-Id") == "" {
			thenClose(streamEvents(1, 3, false))(w, req)
			return
		}
		resumed(w, req)
	}
}

// withoutIDs is a stream of events without IDs.
func streamWithoutIDs(w io.Writer, req *http.Request) {
	streamEvents(1, 0, false)(w, req)
	_, _ = io.WriteString(w, "9\r\ndata: d\n\n\r\n0\r\n\r\n")
}

// Guards against incident ORDER: a second server fails a stream that goes on there, and
// the caller's answer ends as if it were complete.
func TestStreamThatASecondServerFailsIsNotFramedAsComplete(t *testing.T) {
	b := failAfterThreeEvents(respond(500, ""))
	f := newFixture(t, tolerantRoute, newBackend(t, b), newBackend(t, b))
	got := f.call(t, "POST", "/r/", "p")
	assert.Equal(t, got.status, 200)
	assert.Equal(t, got.body, eventText(1, 3))
	assert.Assert(t, got.truncated)
}

// Guards against an answer that has begun as a stream and ends as a later server's answer
// does: whatever that server sends, the caller gets each event once, and an end of the
// answer only after the last of them.
func TestBegunStreamEndsWholeOnlyBehindItsLastEvent(t *testing.T) {
	withoutSignature := respondRaw("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n")
	for _, c := range []struct {
		name     string
		resumed  handler
		body     string
		complete bool
	}{
		{"the rest", streamEvents(4, 6, true), eventText(1, 6), true},
		{"all again", streamEvents(1, 6, true), eventText(1, 6), true},
		{"500 with a body", respond(500, "failed"), eventText(1, 3), false},
		{"500 without a body", respond(500, ""), eventText(1, 3), false},
		{"500 longer than is kept", respond(500, strings.Repeat("x", maxBufferedBytes+1)), eventText(1, 3), false},
		{"404", respond(404, "none"), eventText(1, 3), false},
		{"204", respondRaw("HTTP/1.1 204 No Content\r\nX-Id: %s\r\nX-Sign: s\r\n\r\n"), eventText(1, 3), false},
		{"206", respond(206, eventText(4, 6)), eventText(1, 3), false},
		{"302", respond(302, "", "Location: /"), eventText(1, 3), false},
		{"503 that may have run", respond(503, ""), eventText(1, 3), false},
		{"503 not run", respond(503, "", "X-Not-Run: 1"), eventText(1, 3), false},
		{"421", respond(421, ""), eventText(1, 3), false},
		{"nothing more in chunks", streamEvents(4, 3, true), eventText(1, 3), false},
		{"nothing more by its length", respond(200, ""), eventText(1, 3), false},
		{"nothing, ended with the connection", thenClose(respondRaw("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sign: s\r\n\r\n")), eventText(1, 3), false},
		{"nothing, broken off", thenClose(streamEvents(4, 3, false)), eventText(1, 3), false},
		{"text", respond(200, "failed\n\n"), eventText(1, 3), false},
		{"JSON", respond(200, "{\"error\":\"busy\"}\n\n"), eventText(1, 3), false},
		{"an event without data", respond(200, "event: error\n\n"), eventText(1, 3), false},
		{"a comment alone", respond(200, ": ping\n\n"), eventText(1, 3), false},
		{"a comment and the rest", respond(200, ": ping\n\n"+eventText(4, 6)+": ping\n\n"), eventText(1, 6) + ": ping\n\n", true},
		{"200 of the known events alone", streamEvents(1, 3, true), eventText(1, 3), true},
		{"200 of fewer events than are known", streamEvents(1, 2, true), eventText(1, 3), false},
		{"200 without signature", withoutSignature, eventText(1, 3), false},
		{"events after a gap", streamEvents(5, 6, true), eventText(1, 3), false},
		{"events without IDs", streamWithoutIDs, eventText(1, 3), false},
		{"broken again", thenClose(streamEvents(4, 4, false)), eventText(1, 4), false},
		{"no answer", thenClose(nil), eventText(1, 3), false},
		{"no protocol", thenClose(respondRaw("garbage %s\r\n\r\n")), eventText(1, 3), false},
		{"another request's answer", thenClose(respondRaw("HTTP/1.1 200 OK\r\nX-Id: not-%s\r\nX-Sign: s\r\nContent-Length: 1\r\n\r\na")), eventText(1, 3), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := failAfterThreeEvents(c.resumed)
			f := newFixture(t, tolerantRoute, newBackend(t, b), newBackend(t, b))
			got := f.call(t, "POST", "/r/", "p")
			assert.Equal(t, got.status, 200)
			assert.Equal(t, got.body, c.body)
			assert.Equal(t, !got.truncated, c.complete)
		})
	}
}

// Guards against a resumed stream that joins pieces of two runs: after an event without
// an ID nobody can say where to go on.
func TestStreamOfUnnumberedEventsIsNotResumed(t *testing.T) {
	b := func(w io.Writer, req *http.Request) {
		streamEvents(1, 0, false)(w, req)
		_, _ = io.WriteString(w, "9\r\ndata: d\n\n\r\n")
		_ = w.(io.Closer).Close()
	}
	one, two := newBackend(t, b), newBackend(t, b)
	f := newFixture(t, tolerantRoute, one, two)
	got := f.call(t, "POST", "/r/", "p")
	assert.Equal(t, got.body, "data: d\n\n")
	assert.Assert(t, got.truncated)
	assert.Equal(t, one.requestCount()+two.requestCount(), 1)
}

// Guards against a caller that resumes by itself and gets events that it has, or misses
// those that come next.
func TestCallerResumptionStartsAfterItsLastEvent(t *testing.T) {
	for _, c := range []struct {
		name, body  string
		first, last int
		status      int
	}{
		{"nothing more", "", 3, 2, 502},
		{"next event", eventText(3, 6), 3, 6, 200},
		{"from the start", eventText(3, 6), 1, 6, 200},
		{"gap", "", 4, 6, 502},
		{"known ones alone", "", 1, 2, 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, matcher.Route{Kind: matcher.Stream, Resumable: true}, newBackend(t, streamEvents(c.first, c.last, true)))
			got := f.call(t, "POST", "/r/", "p", "Last-Event-Id", "2")
			assert.Equal(t, got.status, c.status)
			if c.status == http.StatusOK {
				assert.Equal(t, got.body, c.body)
				assert.Assert(t, !got.truncated)
			}
		})
	}
}

// Guards against an untrue refusal: a request that one server may have run is not told
// as not run because a later server refused it or was not there.
func TestRefusalAfterAnAttemptThatMayHaveRunDoesNotClaimNotRun(t *testing.T) {
	for name, later := range map[string]handler{
		"refused":                       respond(503, "", "X-Not-Run: 1"),
		"another server at the address": respond(421, ""),
		"not reachable":                 nil,
	} {
		t.Run(name, func(t *testing.T) {
			scripts := []handler{thenClose(nil), later}
			servers := inSequence(scripts)
			one, two := newBackend(t, servers), newBackend(t, servers)
			if later == nil {
				one, two = newBackend(t, closeListenerThen(thenClose(nil), &two)), newBackend(t, closeListenerThen(thenClose(nil), &one))
			}
			f := newFixture(t, matcher.Route{Kind: matcher.Safe, MaxAttempts: 2}, one, two)
			got := f.call(t, "GET", "/r/", "")
			assert.Equal(t, got.status, 502)
			assert.Equal(t, got.header.Get("Retry-After"), "")
		})
	}
}

// newSequence answers the first request, at whichever server, by the first script, and
// so on.
func inSequence(scripts []handler) handler {
	queue := make(chan handler, len(scripts))
	for _, s := range scripts {
		queue <- s
	}
	return func(w io.Writer, req *http.Request) {
		(<-queue)(w, req)
	}
}

// closing stops another server's listener before the script runs.
func closeListenerThen(s handler, other **backend) handler {
	return func(w io.Writer, req *http.Request) {
		_ = (*other).listener.Close()
		s(w, req)
	}
}

// Guards against a broken stream that looks complete to a caller of HTTP/1.0, whose
// answers end with the connection.
func TestAbortedStreamIsDetectableOverHTTP10(t *testing.T) {
	read := make(chan struct{})
	b := newBackend(t, func(w io.Writer, req *http.Request) {
		streamEvents(1, 3, false)(w, req)
		<-read
		thenClose(nil)(w, req)
	})
	f := newFixture(t, matcher.Route{Kind: matcher.Stream}, b)
	c, err := net.Dial("tcp4", strings.TrimPrefix(f.frontend.URL, "http://"))
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "POST /r/ HTTP/1.0\r\nHost: shop.example\r\nX-Id: id-1\r\nAuthorization: Bearer key\r\n\r\n")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	got := make([]byte, len(eventText(1, 3)))
	_, err = io.ReadFull(resp.Body, got)
	assert.NilError(t, err)
	assert.Equal(t, string(got), eventText(1, 3))
	close(read)
	_, err = resp.Body.Read(got)
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
}

// Guards against a stream whose head and signature change with its server.
func TestResumedStreamKeepsTheSignatureOfItsFirstServer(t *testing.T) {
	other := func(w io.Writer, req *http.Request) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sign: other\r\nContent-Length: %d\r\n\r\n%s", req.Header.Get("X-Id"), len(eventText(4, 6)), eventText(4, 6))
	}
	b := failAfterThreeEvents(other)
	got := newFixture(t, tolerantRoute, newBackend(t, b), newBackend(t, b)).call(t, "POST", "/r/", "p")
	assert.Equal(t, got.body, eventText(1, 6))
	assert.Assert(t, !got.truncated)
	assert.DeepEqual(t, got.header.Values("X-Sign"), []string{"s"})
}

// Guards against an order that runs twice: callers repeat it after 429, 503, 408 and
// 421, so a server's answer of that status is passed on only if it says not run.
func TestRefusalStatusWithoutNotRunIsNotForwardedForUnsafeRequests(t *testing.T) {
	for _, status := range []int{408, 429, 503} {
		for _, body := range []string{"busy", strings.Repeat("b", maxBufferedBytes)} {
			order := newFixture(t, matcher.Route{Kind: matcher.Unsafe}, newBackend(t, respond(status, body)))
			got := order.call(t, "POST", "/r/", "order")
			assert.Equal(t, got.status, 502)
			assert.Equal(t, got.header.Get("X-Sign"), "")
			assert.Equal(t, order.servers.outcomes[0] == chooser.Failed, status == 503)
		}
		read := newFixture(t, matcher.Route{Kind: matcher.Safe}, newBackend(t, respond(status, "busy")))
		got := read.call(t, "GET", "/r/", "")
		assert.Equal(t, got.status, status)
		assert.Equal(t, got.header.Get("X-Sign"), "s")
	}
}

// Guards against a first answer that is a stream without events and counts as whole.
func TestStreamWithoutEventsIsNotComplete(t *testing.T) {
	for _, s := range []handler{streamEvents(1, 0, true), respond(200, ""), respond(200, ": ping\n\n")} {
		f := newFixture(t, matcher.Route{Kind: matcher.Stream}, newBackend(t, s))
		got := f.call(t, "POST", "/r/", "p")
		assert.Assert(t, got.status == 502 || got.truncated, "%d", got.status)
	}
}

// Guards against a stream that is given up although a third server may go on with it.
func TestStreamContinuesOnAThirdServer(t *testing.T) {
	route := tolerantRoute
	route.MaxAttempts = 3
	s := inSequence([]handler{thenClose(streamEvents(1, 3, false)), respond(500, "failed"), streamEvents(4, 6, true)})
	f := newFixture(t, route, newBackend(t, s), newBackend(t, s), newBackend(t, s))
	got := f.call(t, "POST", "/r/", "p")
	assert.Equal(t, got.body, eventText(1, 6))
	assert.Assert(t, !got.truncated)
}

// Guards against two values of Last-Event-Id, the caller's and this router's.
func TestLastEventIDIsSentOnce(t *testing.T) {
	b := newBackend(t, streamEvents(3, 4, true))
	f := newFixture(t, tolerantRoute, b)
	f.call(t, "POST", "/r/", "p", "Last-Event-Id", "2")
	assert.DeepEqual(t, b.requests[0].Header.Values("Last-Event-Id"), []string{"2"})
}
