package relayer

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/matcher"
)

// eventText returns the body of a stream with the events from first to last.
func eventText(first, last int) string {
	var b strings.Builder
	for i := first; i <= last; i++ {
		_, _ = fmt.Fprintf(&b, "id: %d\ndata: d\n\n", i)
	}
	return b.String()
}

var resumableRoute = matcher.Route{Kind: matcher.Stream, Resumable: true, MaxAttempts: 2, TargetLatency: 100, TargetGap: 100}

func TestStreamIsChargedByEvents(t *testing.T) {
	b := newBackend(t, streamEvents(1, 4, true))
	f := newFixture(t, matcher.Route{Kind: matcher.Stream}, b)
	got := f.call(t, "POST", "/r/", "p", "X-Tokens", "100,80")
	assert.Equal(t, got.body, eventText(1, 4))
	assert.Equal(t, got.header.Get("X-Sign"), "s")
	assert.Equal(t, <-f.budgets.settled, int64(100+4*6))
}

func TestAbortedStreamContinuesOnAnotherServer(t *testing.T) {
	midEvent := func(first, last int) handler {
		return thenClose(func(w io.Writer, req *http.Request) {
			streamEvents(first, last, false)(w, req)
			_, _ = fmt.Fprintf(w, "6\r\nid: %d\n\r\n", last+1)
		})
	}
	for name, failingHandler := range map[string]handler{
		"closed between events": thenClose(streamEvents(1, 3, false)),
		"closed in an event":    midEvent(1, 3),
		"closed before events":  thenClose(streamEvents(1, 0, false)),
	} {
		t.Run(name, func(t *testing.T) {
			resume := func(w io.Writer, req *http.Request) {
				first := 1
				_, _ = fmt.Sscan(req.Header.Get("Last-Event-Id"), &first)
				if req.Header.Get("Last-Event-Id") != "" {
					first++
				}
				streamEvents(first, 6, true)(w, req)
			}
			one, two := newBackend(t, failingHandler, resume), newBackend(t, resume, failingHandler)
			two.handlers = []handler{resume}
			f := newFixture(t, resumableRoute, one, two)
			got := f.call(t, "POST", "/r/", "p", "X-Tokens", "100,80")
			assert.Assert(t, !got.truncated)
			assert.Equal(t, got.body, eventText(1, 6))
			assert.Equal(t, <-f.budgets.settled, int64(100+6*6))
		})
	}
}

// Covers servers that fail some requests immediately although they count as healthy. A
// stream without events so far is retried on another server if it may run twice.
func TestFailedStreamIsRetriedOnAnotherServer(t *testing.T) {
	failing := func() (*backend, *backend) {
		b := inSequence([]handler{respond(500, "failed"), streamEvents(1, 3, true)})
		return newBackend(t, b), newBackend(t, b)
	}
	one, two := failing()
	got := newFixture(t, resumableRoute, one, two).call(t, "POST", "/r/", "p")
	assert.Equal(t, got.status, 200)
	assert.Equal(t, got.body, eventText(1, 3))
	one, two = failing()
	got = newFixture(t, matcher.Route{Kind: matcher.Stream, MaxAttempts: 2}, one, two).call(t, "POST", "/r/", "p")
	assert.Equal(t, got.status, 500)
	assert.Equal(t, one.requestCount()+two.requestCount(), 1)
}

func TestStalledStreamContinuesOnAnotherServer(t *testing.T) {
	one := newBackend(t, streamEvents(1, 2, false))
	two := newBackend(t, func(w io.Writer, req *http.Request) {
		if req.Header.Get("Last-Event-Id") == "1" { // event 2 comes once more
			streamEvents(2, 4, true)(w, req)
			return
		}
		streamEvents(1, 2, false)(w, req)
	})
	one.handlers = two.handlers
	f := newFixture(t, resumableRoute, one, two)
	got := f.call(t, "POST", "/r/", "p")
	assert.Equal(t, got.body, eventText(1, 4))
	select { // the stalled attempt is aborted, on whichever server it ran
	case <-one.closed:
	case <-two.closed:
	}
}

func TestStreamThatMayNotRunTwiceIsAbortedVisibly(t *testing.T) {
	one, two := newBackend(t, thenClose(streamEvents(1, 3, false))), newBackend(t, thenClose(streamEvents(1, 3, false)))
	f := newFixture(t, matcher.Route{Kind: matcher.Stream, MaxAttempts: 2}, one, two)
	got := f.call(t, "POST", "/r/", "p", "X-Tokens", "100,80")
	assert.Assert(t, got.truncated)
	assert.Equal(t, got.body, eventText(1, 3))
	assert.Equal(t, one.requestCount()+two.requestCount(), 1)
	assert.Equal(t, <-f.budgets.settled, int64(100+3*6))
}

func TestMissingEventAbortsTheStream(t *testing.T) {
	b := newBackend(t, func(w io.Writer, req *http.Request) {
		streamEvents(1, 1, false)(w, req)
		_, _ = fmt.Fprintf(w, "f\r\nid: 3\ndata: d\n\n\r\n0\r\n\r\n")
	})
	f := newFixture(t, matcher.Route{Kind: matcher.Stream}, b)
	got := f.call(t, "POST", "/r/", "p")
	assert.Assert(t, got.truncated)
	assert.Equal(t, got.body, eventText(1, 1))
}

func TestStreamEndsAtTheRouteTimeout(t *testing.T) {
	b := newBackend(t, streamEvents(1, 2, false))
	f := newFixture(t, matcher.Route{Kind: matcher.Stream, Timeout: 100}, b)
	got := f.call(t, "POST", "/r/", "p", "X-Time", "60000")
	assert.Assert(t, got.truncated)
	<-b.closed
}

// A server that sends single bytes but no complete event counts as stalled.
func TestStreamWithoutCompleteEventsContinuesOnAnotherServer(t *testing.T) {
	trickle := func(w io.Writer, req *http.Request) {
		streamEvents(1, 2, false)(w, req)
		_, err := io.WriteString(w, "5\r\nid: 3\r\n")
		for err == nil {
			_, err = io.WriteString(w, "1\r\n \r\n")
			if clocker.NewWall().Sleep(req.Context(), 100) != nil {
				return
			}
		}
	}
	two := newBackend(t, func(w io.Writer, req *http.Request) {
		if req.Header.Get("Last-Event-Id") == "1" { // event 2 comes once more
			streamEvents(2, 4, true)(w, req)
			return
		}
		trickle(w, req)
	})
	one := newBackend(t, two.handlers[0])
	f := newFixture(t, resumableRoute, one, two)
	got := f.call(t, "POST", "/r/", "p", "X-Time", "60000")
	assert.Equal(t, got.body, eventText(1, 4))
	select { // on whichever server it ran
	case <-one.closed:
	case <-two.closed:
	}
}

// Each event arrives within the event timeout; the complete stream takes longer.
func TestSlowStreamIsNotAborted(t *testing.T) {
	slow := func(w io.Writer, req *http.Request) {
		streamEvents(1, 1, false)(w, req)
		for i := 2; i <= 4; i++ {
			if clocker.NewWall().Sleep(req.Context(), minGapTimeout/2) != nil {
				return
			}
			e := fmt.Sprintf("id: %d\ndata: d\n\n", i)
			_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", len(e), e)
		}
		_, _ = io.WriteString(w, "0\r\n\r\n")
	}
	one, two := newBackend(t, slow), newBackend(t, slow)
	f := newFixture(t, resumableRoute, one, two)
	got := f.call(t, "POST", "/r/", "p")
	assert.Assert(t, !got.truncated)
	assert.Equal(t, got.body, eventText(1, 4))
	assert.Equal(t, one.requestCount()+two.requestCount(), 1)
}

func TestEventSizeIsBounded(t *testing.T) {
	b := newBackend(t, func(w io.Writer, req *http.Request) {
		streamEvents(1, 1, false)(w, req)
		var err error
		for err == nil {
			_, err = fmt.Fprintf(w, "1000\r\n%s\r\n", strings.Repeat("d", 1<<12))
		}
	})
	f := newFixture(t, matcher.Route{Kind: matcher.Stream}, b)
	got := f.call(t, "POST", "/r/", "p")
	assert.Assert(t, got.truncated)
	assert.Equal(t, got.body, eventText(1, 1))
	<-b.closed
}
