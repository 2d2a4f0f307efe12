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

// tolerantRoute has timeouts that a server also meets on a busy machine.
var tolerantRoute = matcher.Route{Kind: matcher.Stream, Resumable: true, MaxAttempts: 2, TargetLatency: 2000, TargetGap: 1000}

// failAfterThreeEvents sends three events and closes the connection; continuation
// handles the request that resumes the stream.
func failAfterThreeEvents(continuation handler) handler {
	return func(w io.Writer, req *http.Request) {
		if req.Header.Get("Last-Event-Id") == "" {
			thenClose(streamEvents(1, 3, false))(w, req)
			return
		}
		continuation(w, req)
	}
}

// streamWithoutIDs streams events without IDs.
func streamWithoutIDs(w io.Writer, req *http.Request) {
	streamEvents(1, 0, false)(w, req)
	_, _ = io.WriteString(w, "9\r\ndata: d\n\n\r\n0\r\n\r\n")
}

// Guards against a truncated stream that looks complete: it continues on a second server,
// which fails it, and the caller's response is framed as complete.
func TestStreamThatASecondServerFailsIsNotFramedAsComplete(t *testing.T) {
	b := failAfterThreeEvents(respond(500, ""))
	f := newFixture(t, tolerantRoute, newBackend(t, b), newBackend(t, b))
	got := f.call(t, "POST", "/r/", "p")
	assert.Equal(t, got.status, 200)
	assert.Equal(t, got.body, eventText(1, 3))
	assert.Assert(t, got.truncated)
}

// Guards against a stream whose end is taken from the response of a later server without
// regard to the events. Whatever that server sends, the caller gets each event once, and a
// complete response only after the last event.
func TestBegunStreamEndsWholeOnlyBehindItsLastEvent(t *testing.T) {
	withoutSignature := respondRaw("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n")
	for _, c := range []struct {
		name         string
		continuation handler
		body         string
		complete     bool
	}{
		{"remaining events", streamEvents(4, 6, true), eventText(1, 6), true},
		{"all events again", streamEvents(1, 6, true), eventText(1, 6), true},
		{"500 with a body", respond(500, "failed"), eventText(1, 3), false},
		{"500 without a body", respond(500, ""), eventText(1, 3), false},
		{"500 longer than the buffer", respond(500, strings.Repeat("x", maxBufferedBytes+1)), eventText(1, 3), false},
		{"404", respond(404, "none"), eventText(1, 3), false},
		{"204", respondRaw("HTTP/1.1 204 No Content\r\nX-Id: %s\r\nX-Sign: s\r\n\r\n"), eventText(1, 3), false},
		{"206", respond(206, eventText(4, 6)), eventText(1, 3), false},
		{"302", respond(302, "", "Location: /"), eventText(1, 3), false},
		{"503 that may have run", respond(503, ""), eventText(1, 3), false},
		{"503 not run", respond(503, "", "X-Not-Run: 1"), eventText(1, 3), false},
		{"421", respond(421, ""), eventText(1, 3), false},
		{"no events, chunked", streamEvents(4, 3, true), eventText(1, 3), false},
		{"no events, Content-Length 0", respond(200, ""), eventText(1, 3), false},
		{"no events, connection closed", thenClose(respondRaw("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sign: s\r\n\r\n")), eventText(1, 3), false},
		{"no events, truncated", thenClose(streamEvents(4, 3, false)), eventText(1, 3), false},
		{"text", respond(200, "failed\n\n"), eventText(1, 3), false},
		{"JSON", respond(200, "{\"error\":\"busy\"}\n\n"), eventText(1, 3), false},
		{"an event without data", respond(200, "event: error\n\n"), eventText(1, 3), false},
		{"only a comment", respond(200, ": ping\n\n"), eventText(1, 3), false},
		{"comments and remaining events", respond(200, ": ping\n\n"+eventText(4, 6)+": ping\n\n"), eventText(1, 6) + ": ping\n\n", true},
		{"200 with only the known events", streamEvents(1, 3, true), eventText(1, 3), true},
		{"200 with fewer events than known", streamEvents(1, 2, true), eventText(1, 3), false},
		{"200 without signature", withoutSignature, eventText(1, 3), false},
		{"events after a gap", streamEvents(5, 6, true), eventText(1, 3), false},
		{"events without IDs", streamWithoutIDs, eventText(1, 3), false},
		{"truncated again", thenClose(streamEvents(4, 4, false)), eventText(1, 4), false},
		{"no response", thenClose(nil), eventText(1, 3), false},
		{"not HTTP", thenClose(respondRaw("garbage %s\r\n\r\n")), eventText(1, 3), false},
		{"response to another request", thenClose(respondRaw("HTTP/1.1 200 OK\r\nX-Id: not-%s\r\nX-Sign: s\r\nContent-Length: 1\r\n\r\na")), eventText(1, 3), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := failAfterThreeEvents(c.continuation)
			f := newFixture(t, tolerantRoute, newBackend(t, b), newBackend(t, b))
			got := f.call(t, "POST", "/r/", "p")
			assert.Equal(t, got.status, 200)
			assert.Equal(t, got.body, c.body)
			assert.Equal(t, !got.truncated, c.complete)
		})
	}
}

// Guards against the head of a server's error in the middle of a stream, or a stream that ends with it as
// if it were complete: the body has no length, so the server's next response looks like its rest.
func TestErrorBehindTheEventsOfAnUnframedStreamIsNotForwarded(t *testing.T) {
	unframed := func(first, last int, rest string) handler {
		return thenClose(func(w io.Writer, req *http.Request) {
			_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sign: s\r\nContent-Type: text/event-stream\r\n\r\n%s%s", req.Header.Get("X-Id"), eventText(first, last), rest)
		})
	}
	for _, rest := range []string{
		"HTTP/1.1 500 Internal Server Error\r\nX-Id: id-1\r\nX-Sign: s\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 8\r\n\r\nfailed\n\n",
		"internal error\n\n",
		"{\"error\":\"busy\"}\n\n",
	} {
		for _, continuation := range []bool{false, true} {
			t.Run(fmt.Sprint(continuation, rest), func(t *testing.T) {
				b := unframed(1, 6, rest)
				if continuation {
					b = failAfterThreeEvents(unframed(4, 6, rest))
				}
				f := newFixture(t, tolerantRoute, newBackend(t, b), newBackend(t, b))
				got := f.call(t, "POST", "/r/", "p")
				assert.Equal(t, got.body, eventText(1, 6))
				assert.Assert(t, got.truncated)
			})
		}
	}
}

// Guards against a resumed stream that joins parts of two runs: after an event without
// an ID, no server can know where to continue.
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

// Guards against repeated or missing events for a caller that sends Last-Event-ID.
func TestCallerResumptionStartsAfterItsLastEvent(t *testing.T) {
	for _, c := range []struct {
		name, body  string
		first, last int
		status      int
	}{
		{"no more events", "", 3, 2, 502},
		{"next event", eventText(3, 6), 3, 6, 200},
		{"from the start", eventText(3, 6), 1, 6, 200},
		{"gap", "", 4, 6, 502},
		{"only known events", "", 1, 2, 200},
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

// Guards against a false refusal: a request that one server may have run must not be
// reported as not run because a later server refused it or was unreachable.
func TestRefusalAfterAnAttemptThatMayHaveRunDoesNotClaimNotRun(t *testing.T) {
	for name, later := range map[string]handler{
		"refused":                       respond(503, "", "X-Not-Run: 1"),
		"another server at the address": respond(421, ""),
		"unreachable":                   nil,
	} {
		t.Run(name, func(t *testing.T) {
			handlers := []handler{thenClose(nil), later}
			sequence := inSequence(handlers)
			one, two := newBackend(t, sequence), newBackend(t, sequence)
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

// inSequence runs the first handler for the first request, on whichever server, the
// second one for the second request, and so on.
func inSequence(handlers []handler) handler {
	queue := make(chan handler, len(handlers))
	for _, s := range handlers {
		queue <- s
	}
	return func(w io.Writer, req *http.Request) {
		(<-queue)(w, req)
	}
}

// closeListenerThen closes the listener of another server and runs s.
func closeListenerThen(s handler, other **backend) handler {
	return func(w io.Writer, req *http.Request) {
		_ = (*other).listener.Close()
		s(w, req)
	}
}

// Guards against an aborted stream that looks complete to a caller of HTTP/1.0, whose
// responses end with the connection.
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

// Guards against a resumed stream that carries the headers and signature of its second
// server.
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

// Guards against an unsafe request that runs twice: callers retry it after 408, 421, 429
// and 503, so a server's response with that status is forwarded only if it states that
// the request did not run.
func TestRefusalStatusWithoutNotRunIsNotForwardedForUnsafeRequests(t *testing.T) {
	for _, status := range []int{408, 429, 503} {
		for _, body := range []string{"busy", strings.Repeat("b", maxBufferedBytes)} {
			unsafe := newFixture(t, matcher.Route{Kind: matcher.Unsafe}, newBackend(t, respond(status, body)))
			got := unsafe.call(t, "POST", "/r/", "order")
			assert.Equal(t, got.status, 502)
			assert.Equal(t, got.header.Get("X-Sign"), "")
			assert.Equal(t, unsafe.servers.outcomes[0] == chooser.ServerError, status == 503)
		}
		safe := newFixture(t, matcher.Route{Kind: matcher.Safe}, newBackend(t, respond(status, "busy")))
		got := safe.call(t, "GET", "/r/", "")
		assert.Equal(t, got.status, status)
		assert.Equal(t, got.header.Get("X-Sign"), "s")
	}
}

// Guards against a stream without events that counts as a complete response.
func TestStreamWithoutEventsIsNotComplete(t *testing.T) {
	for _, s := range []handler{streamEvents(1, 0, true), respond(200, ""), respond(200, ": ping\n\n")} {
		f := newFixture(t, matcher.Route{Kind: matcher.Stream}, newBackend(t, s))
		got := f.call(t, "POST", "/r/", "p")
		assert.Assert(t, got.status == 502 || got.truncated, "%d", got.status)
	}
}

// Guards against a stream that is aborted although a third server can continue it.
func TestStreamContinuesOnAThirdServer(t *testing.T) {
	route := tolerantRoute
	route.MaxAttempts = 3
	s := inSequence([]handler{thenClose(streamEvents(1, 3, false)), respond(500, "failed"), streamEvents(4, 6, true)})
	f := newFixture(t, route, newBackend(t, s), newBackend(t, s), newBackend(t, s))
	got := f.call(t, "POST", "/r/", "p")
	assert.Equal(t, got.body, eventText(1, 6))
	assert.Assert(t, !got.truncated)
}

// Guards against a Last-Event-Id that is lost or changed where this host does not continue the stream itself.
func TestOtherLastEventIDsAreForwardedUnchanged(t *testing.T) {
	for value, route := range map[string]matcher.Route{"2": {Kind: matcher.Stream}, "3": {Kind: matcher.Safe}, "no number": tolerantRoute} {
		b := newBackend(t, respond(200, ""))
		newFixture(t, route, b).call(t, "POST", "/r/", "p", "Last-Event-Id", value)
		assert.DeepEqual(t, b.requests[0].Header.Values("Last-Event-Id"), []string{value})
	}
}

// Guards against sending Last-Event-Id twice, from the caller and from this host, which asks for the caller's last event
// once more.
func TestLastEventIDIsSentOnce(t *testing.T) {
	for callers, want := range map[string][]string{"2": {"1"}, "1": nil} {
		b := newBackend(t, resume(4))
		f := newFixture(t, tolerantRoute, b)
		f.call(t, "POST", "/r/", "p", "Last-Event-Id", callers)
		assert.DeepEqual(t, b.requests[0].Header.Values("Last-Event-Id"), want)
	}
}
