package relayer

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/chooser"
	"cowsliphinge/clocker"
	"cowsliphinge/matcher"
	"cowsliphinge/quarantiner"
)

// recordedQuarantine records what the relayer reports. It refuses requests once refuseAfter
// crashes were reported; 0 refuses none.
type recordedQuarantine struct {
	mu          sync.Mutex
	until       clocker.Millis
	refuseAfter int
	crashed     []string
	answered    []string
	suspects    []quarantiner.Request
}

func (q *recordedQuarantine) Refused(quarantiner.Request) clocker.Millis {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.refuseAfter > 0 && len(q.crashed) >= q.refuseAfter {
		return q.until
	}
	return 0
}

func (q *recordedQuarantine) Answered(s quarantiner.Server, _ quarantiner.Request, framed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.answered = append(q.answered, fmt.Sprint(s.ID, " ", framed))
}

// reports returns the servers that crashed, and the answers.
func (q *recordedQuarantine) reports() (crashed, answered []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.Clone(q.crashed), slices.Clone(q.answered)
}

func (q *recordedQuarantine) Crashed(s quarantiner.Server, r quarantiner.Request) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.crashed = append(q.crashed, s.ID)
	q.suspects = append(q.suspects, r)
}

// lastSuspect returns the request of the last crash.
func (q *recordedQuarantine) lastSuspect() quarantiner.Request {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.suspects[len(q.suspects)-1]
}

const streamHeader = "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sign: s\r\nContent-Type: text/event-stream\r\n"

// newQuarantineFixture returns a fixture that records crashes and answers.
func newQuarantineFixture(t *testing.T, route matcher.Route, backends ...*backend) (*fixture, *recordedQuarantine) {
	f := newFixture(t, route, backends...)
	q := &recordedQuarantine{until: f.servers.clock.Now() + clocker.Minute}
	f.relayer.cfg.Quarantine = q
	return f, q
}

// crashAfter runs s and ends the server: its connections and its listener.
func crashAfter(b **backend, s handler) handler {
	return func(w io.Writer, req *http.Request) {
		if s != nil {
			s(w, req)
		}
		_ = (*b).listener.Close()
		_ = w.(net.Conn).Close()
	}
}

// Only the end of a server that had not begun its answer is held against the prompt. A connection
// that is reset, a server that leaves and an answer that had begun are not.
func TestCrashIsReportedOnlyForServersThatEndBeforeTheirAnswer(t *testing.T) {
	stream := matcher.Route{Kind: matcher.Stream}
	for _, c := range []struct {
		name    string
		route   matcher.Route
		handler handler
		// ends is true if the server ends, and leaves if it had said that it leaves.
		ends, leaves bool
		crashed      bool
	}{
		{"no response", stream, nil, true, false, true},
		{"header alone, in chunks", stream, streamEvents(1, 0, false), true, false, true},
		{"header alone, neither length nor chunks", stream, respondRaw(streamHeader + "\r\n"), true, false, true},
		{"inside the first event", stream, respondRaw(streamHeader + "\r\nid: 1\nda"), true, false, true},
		{"inside a response with a length", matcher.Route{}, respondRaw("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sign: s\r\nContent-Length: 9\r\n\r\nab"), true, false, true},
		{"after its first events", stream, func(w io.Writer, req *http.Request) {
			streamEvents(1, 2, false)(w, req)
			clocker.NewWall().SleepUncancellable(2 * answerBeginning)
		}, true, false, false},
		{"connection closed, the server lives on", stream, streamEvents(1, 0, false), false, false, false},
		{"leaving server", stream, streamEvents(1, 0, false), true, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var b *backend
			handle := thenClose(c.handler)
			if c.ends {
				handle = crashAfter(&b, c.handler)
			}
			b = newBackend(t, handle)
			f, q := newQuarantineFixture(t, c.route, b)
			if c.leaves {
				f.servers.RecordActivity("s0", chooser.StatusReport{Leaving: true})
				f.relayer.cfg.Servers = leavingOnceSent{f.servers}
			}
			f.call(t, "POST", "/r/", "p", "X-Parts", "a:800,b:10")
			f.nextRequestLine(t) // the caller may see the end first
			crashed, answered := q.reports()
			assert.Equal(t, len(crashed), map[bool]int{true: 1}[c.crashed])
			assert.Equal(t, len(answered), 0)
		})
	}
}

// leavingOnceSent chooses the server although it leaves, as one that says so only after the
// request was sent.
type leavingOnceSent struct{ *lockedChooser }

func (s leavingOnceSent) Choose(chooser.Request) chooser.Choice {
	server, _ := s.chooser.Server("s0")
	return chooser.Choice{Server: server, Found: true}
}

// A request without shared parts, or without a prompt as plain services get, was never reported. It
// is told by account, method, path and body.
func TestCrashUnderARequestWithoutSharedPartsIsReported(t *testing.T) {
	ids := map[string]uint64{}
	for _, c := range []struct{ name, method, target, body, parts string }{
		{"own part", "POST", "/r/", "p", "own:800"},
		{"own part again", "POST", "/r/", "p", "own:800"},
		{"no prompt", "POST", "/r/", "p", ""},
		{"other method", "PUT", "/r/", "p", ""},
		{"other path", "POST", "/r/x", "p", ""},
		{"other query", "POST", "/r/?x", "p", ""},
		{"other body", "POST", "/r/", "q", ""},
		{"no body", "GET", "/r/", "", ""},
	} {
		var b *backend
		b = newBackend(t, crashAfter(&b, nil))
		f, q := newQuarantineFixture(t, matcher.Route{}, b)
		var header []string
		if c.parts != "" {
			header = []string{"X-Parts", c.parts}
		}
		f.call(t, c.method, c.target, c.body, header...)
		f.nextRequestLine(t)
		crashed, _ := q.reports()
		assert.Equal(t, len(crashed), 1, c.name)
		ids[c.name] = q.lastSuspect().ID
	}
	assert.Equal(t, ids["own part again"], ids["own part"])
	assert.Equal(t, ids["no prompt"], ids["own part"])
	distinct := map[uint64]bool{}
	for _, id := range ids {
		distinct[id] = true
	}
	assert.Equal(t, len(distinct), len(ids)-2)
}

// A caller that left says nothing of its request.
func TestCrashAfterTheCallerLeftIsNotReported(t *testing.T) {
	ctx, leave := context.WithCancel(context.Background())
	var b *backend
	b = newBackend(t, func(w io.Writer, req *http.Request) {
		leave()
		_, _ = w.(net.Conn).Read(make([]byte, 1)) // until the host gives up the request
		crashAfter(&b, nil)(w, req)
	})
	f, q := newQuarantineFixture(t, matcher.Route{}, b)
	f.callWith(ctx, t, "POST", "/r/", "p")
	f.nextRequestLine(t)
	crashed, _ := q.reports()
	assert.Equal(t, len(crashed), 0)
}

// A complete answer clears its parts. An unframed one may have been cut off, and one that ends
// inside an event was.
func TestCompleteAnswersAreReported(t *testing.T) {
	for _, c := range []struct {
		name     string
		route    matcher.Route
		handler  handler
		answered []string
	}{
		{"in chunks", matcher.Route{Kind: matcher.Stream}, streamEvents(1, 3, true), []string{"s0 true"}},
		{"with a length", matcher.Route{}, respond(200, "ab"), []string{"s0 true"}},
		{"neither length nor chunks", matcher.Route{}, thenClose(respondRaw("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sign: s\r\n\r\nab")), []string{"s0 false"}},
		{"empty, neither length nor chunks", matcher.Route{}, thenClose(respondRaw("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sign: s\r\n\r\n")), nil},
		{"stream, neither length nor chunks", matcher.Route{Kind: matcher.Stream}, thenClose(respondRaw(streamHeader + "\r\nid: 1\ndata: d\n\n")), []string{"s0 false"}},
		{"ends inside an event", matcher.Route{Kind: matcher.Stream}, thenClose(respondRaw(streamHeader + "\r\nid: 1\ndata: d\n\nid: 2\nda")), nil},
		{"server's failure", matcher.Route{}, respond(500, "ab"), nil},
		{"missing object", matcher.Route{}, respond(404, "ab"), []string{"s0 true"}},
		{"too busy to run it", matcher.Route{Kind: matcher.Safe}, respond(429, "ab"), nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, q := newQuarantineFixture(t, c.route, newBackend(t, c.handler))
			f.call(t, "POST", "/r/", "p", "X-Parts", "a:800,b:10")
			f.nextRequestLine(t)
			_, answered := q.reports()
			assert.DeepEqual(t, answered, c.answered)
		})
	}
}

// A request under quarantine is refused at once, as not run and with the time of its end, before
// tokens are reserved for it.
func TestQuarantinedPromptIsRefusedBeforeItIsSent(t *testing.T) {
	b := newBackend(t, respond(200, "ab"))
	f, q := newQuarantineFixture(t, matcher.Route{}, b)
	q.refuseAfter, q.crashed = 1, []string{"before"}
	got := f.call(t, "POST", "/r/", "p", "X-Parts", "a:800,b:10", "X-Tokens", "10,5")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, b.requestCount(), 0)
	assert.Equal(t, f.budgets.reserved, int64(0))
	seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, seconds > 50, "Retry-After is %v", seconds)
}

// A retry, also one that resumes a stream, was sent to the next server although the crash before it
// had put its prompt into quarantine. The request may have run, so it is not told as not run.
func TestRetryOfAQuarantinedPromptIsNotSent(t *testing.T) {
	for _, c := range []struct {
		name   string
		first  handler
		events bool
	}{
		{"no event", streamEvents(1, 0, false), false},
		{"resumed stream", streamEvents(1, 2, false), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var first *backend
			first = newBackend(t, crashAfter(&first, c.first))
			second := newBackend(t, streamEvents(1, 3, true))
			f, q := newQuarantineFixture(t, resumableRoute, first, second)
			f.servers.chooser.MarkMissing("s1", 1) // the first server is chosen first
			f.relayer.cfg.Quarantine = quarantineAfterCrash{recordedQuarantine: q, then: func() {
				f.servers.chooser.Set(chooser.Server{ID: "s1", Service: "s", Address: second.listener.Addr().String(), AvailabilityZone: "a", Slots: 4})
			}}
			q.refuseAfter = 1
			got := f.call(t, "POST", "/r/", "p", "X-Parts", "a:800,b:10")
			assert.Equal(t, second.requestCount(), 0)
			assert.Equal(t, got.truncated, c.events)
			if !c.events {
				assert.Equal(t, got.status, http.StatusBadGateway)
			}
		})
	}
}

// quarantineAfterCrash calls a function after each crash.
type quarantineAfterCrash struct {
	*recordedQuarantine
	then func()
}

func (q quarantineAfterCrash) Crashed(s quarantiner.Server, r quarantiner.Request) {
	q.recordedQuarantine.Crashed(s, r)
	q.then()
}

// A server that crashed under a resumed stream was not reported: the answer of the server before it
// had begun long ago.
func TestCrashUnderAResumedStreamIsReported(t *testing.T) {
	var backends [2]*backend
	for i := range backends {
		backends[i] = newBackend(t, func(w io.Writer, req *http.Request) {
			if req.Header.Get("Last-Event-Id") != "" {
				crashAfter(&backends[i], nil)(w, req)
				return
			}
			streamEvents(1, 2, false)(w, req)
			clocker.NewWall().SleepUncancellable(2 * answerBeginning)
			_ = w.(net.Conn).Close()
		})
	}
	f, q := newQuarantineFixture(t, resumableRoute, backends[0], backends[1])
	f.call(t, "POST", "/r/", "p", "X-Parts", "a:800,b:10")
	f.nextRequestLine(t)
	crashed, _ := q.reports()
	assert.Equal(t, len(crashed), 1)
}
