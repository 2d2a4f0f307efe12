package relayer

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/carrier"
	"cowsliphinge/clocker"
	"cowsliphinge/matcher"
)

const identityPath = "/who"

// tellStart tells the start of the incarnation, and lets s serve requests.
func tellStart(startedAt int, s handler) handler {
	return func(w io.Writer, req *http.Request) {
		if req.URL.Path != identityPath {
			s(w, req)
			return
		}
		text := strconv.Itoa(startedAt)
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	}
}

// streamRequests returns the number of requests that were no identity calls.
func (b *backend) streamRequests() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, req := range b.requests {
		if req.URL.Path != identityPath {
			n++
		}
	}
	return n
}

// newEngineFixture returns a fixture of model engines whose entries say that all started at 1.
func newEngineFixture(t *testing.T, route matcher.Route, versions []string, backends ...*backend) (*fixture, *fakeOrigins) {
	f, o := newVersionsFixture(t, versions, backends...)
	inForce := f.table.Route("shop.example", "/r/x")
	inForce.Kind, inForce.Resumable, inForce.TargetLatency, inForce.TargetGap = route.Kind, route.Resumable, route.TargetLatency, route.TargetGap
	f.table.Service("s").Engine = true
	for i := range backends {
		s, _ := f.servers.chooser.Server(fmt.Sprint("s", i))
		s.StartedAt = 1
		f.servers.chooser.Set(s)
	}
	f.relayer.cfg.Carrier = carrier.New(carrier.Config{
		Clock: f.servers.clock, RequestIDHeader: "X-Id", DialTimeout: clocker.Second, IdleTimeout: clocker.Minute,
		Identity: &carrier.Identity{Path: identityPath, StartedAt: func(body []byte) (clocker.Millis, error) {
			n, err := strconv.ParseInt(string(body), 10, 64)
			return clocker.Millis(n), err
		}},
	})
	return f, o
}

// Guards against a stream that goes on at another software version: its entry still tells of the incarnation
// before the restart.
func TestStreamDoesNotGoOnAtARestartedServer(t *testing.T) {
	broken := newBackend(t, tellStart(1, breakAfter(3)))
	restarted := newBackend(t, tellStart(2, resume(6)))
	f, _ := newEngineFixture(t, resumableRoute, []string{"v1", "v1"}, broken, restarted)
	got := f.call(t, "POST", "/r/x", "b")
	assert.Assert(t, got.truncated, "%q", got.body)
	assert.Equal(t, restarted.streamRequests(), 0)
}

// The same stream goes on at a server whose entry tells of its incarnation.
func TestStreamGoesOnAtAServerThatDidNotRestart(t *testing.T) {
	f, _ := newEngineFixture(t, resumableRoute, []string{"v1", "v1"}, newBackend(t, tellStart(1, breakAfter(3))), newBackend(t, tellStart(1, resume(6))))
	got := f.call(t, "POST", "/r/x", "b")
	assert.Assert(t, !got.truncated && got.status == http.StatusOK, "%q", got.body)
}

// Guards against a stream whose origin is taken from the entry of an earlier incarnation: it would go on
// at a server of that software.
func TestStreamDoesNotBeginAtARestartedServer(t *testing.T) {
	restarted := newBackend(t, tellStart(2, streamEvents(1, 6, true)))
	sound := newBackend(t, tellStart(1, streamEvents(1, 6, true)))
	f, o := newEngineFixture(t, resumableRoute, []string{"v0", "v1"}, restarted, sound)
	got := f.call(t, "POST", "/r/x", "b")
	assert.Assert(t, !got.truncated && got.status == http.StatusOK, "%q", got.body)
	assert.Equal(t, restarted.streamRequests(), 0)
	software, began := o.beganAt(ofMasons("id-1"))
	assert.Assert(t, began && software == "v1", "began %t at %q", began, software)
}

// Requests that no other server continues need no known incarnation.
func TestOtherRequestsReachARestartedServer(t *testing.T) {
	for _, route := range []matcher.Route{{Kind: matcher.Stream}, {Kind: matcher.Unsafe}, {Kind: matcher.Safe}} {
		restarted := newBackend(t, tellStart(2, streamEvents(1, 6, true)))
		f, _ := newEngineFixture(t, route, []string{"v1"}, restarted)
		got := f.call(t, "POST", "/r/x", "b")
		assert.Assert(t, !got.truncated && got.status == http.StatusOK, "%v: %q", route.Kind, got.body)
	}
}

// unframed sends the events up to last without a length.
func unframed(last int) handler {
	return func(w io.Writer, req *http.Request) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sign: s\r\nContent-Type: text/event-stream\r\n\r\n", req.Header.Get("X-Id"))
		for i := 1; i <= last; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: d\n\n", i)
		}
	}
}

// die ends the server after s as the kernel ends that of a dead process: nothing listens any more, and all
// connections are closed by a FIN.
func (b *backend) die(s handler) handler {
	return func(w io.Writer, req *http.Request) {
		s(w, req)
		b.closeAll()
	}
}

// newMortalBackend returns a server that dies behind the first events of its answer.
func newMortalBackend(t *testing.T, last int) *backend {
	b := newBackend(t, nil)
	b.handlers = []handler{tellStart(1, b.die(unframed(last)))}
	return b
}

// Guards against an answer without a length that was cut by the death of its server and looks whole: the
// kernel ends its connection as the server ends that of a whole answer.
func TestAnswerWithoutLengthOfADyingServerIsNotWhole(t *testing.T) {
	t.Run("stream", func(t *testing.T) {
		f, _ := newEngineFixture(t, matcher.Route{Kind: matcher.Stream}, []string{"v1"}, newMortalBackend(t, 3))
		got := f.call(t, "POST", "/r/x", "b")
		assert.Assert(t, got.truncated, "%q", got.body)
	})
	t.Run("resumable stream", func(t *testing.T) {
		f, _ := newEngineFixture(t, resumableRoute, []string{"v1", "v1"}, newMortalBackend(t, 3), newBackend(t, tellStart(1, resume(6))))
		got := f.call(t, "POST", "/r/x", "b")
		assert.Equal(t, got.body, eventText(1, 6))
	})
	t.Run("unsafe", func(t *testing.T) {
		f, _ := newEngineFixture(t, matcher.Route{Kind: matcher.Unsafe}, []string{"v1"}, newMortalBackend(t, 3))
		assert.Equal(t, f.call(t, "POST", "/r/x", "b").status, http.StatusBadGateway)
	})
	t.Run("safe", func(t *testing.T) {
		f, _ := newEngineFixture(t, matcher.Route{Kind: matcher.Safe}, []string{"v1", "v1"}, newMortalBackend(t, 3), newBackend(t, tellStart(1, respond(http.StatusOK, "whole"))))
		assert.Equal(t, f.call(t, "POST", "/r/x", "b").body, "whole")
	})
	t.Run("service without identity", func(t *testing.T) {
		f, _ := newEngineFixture(t, matcher.Route{Kind: matcher.Unsafe}, []string{"v1"}, newMortalBackend(t, 3))
		f.table.Service("s").Engine = false
		assert.Equal(t, f.call(t, "POST", "/r/x", "b").status, http.StatusBadGateway)
	})
}

// Guards against the same where the server is back under its ID and address before this host looks.
func TestAnswerWithoutLengthOfARestartedServerIsNotWhole(t *testing.T) {
	b := newBackend(t, nil)
	restarted := func(w io.Writer, req *http.Request) {
		unframed(3)(w, req)
		b.mu.Lock()
		b.handlers = []handler{tellStart(2, unframed(6))}
		b.mu.Unlock()
		_ = w.(net.Conn).Close()
	}
	b.handlers = []handler{tellStart(1, restarted)}
	f, _ := newEngineFixture(t, matcher.Route{Kind: matcher.Stream}, []string{"v1"}, b)
	got := f.call(t, "POST", "/r/x", "b")
	assert.Assert(t, got.truncated, "%q", got.body)
}

// An answer without a length is whole if its server goes on as the same incarnation.
func TestAnswerWithoutLengthOfALivingServerIsWhole(t *testing.T) {
	for _, route := range []matcher.Route{{Kind: matcher.Stream}, {Kind: matcher.Unsafe}, {Kind: matcher.Safe}, resumableRoute} {
		for _, engine := range []bool{true, false} {
			f, _ := newEngineFixture(t, route, []string{"v1"}, newBackend(t, tellStart(1, thenClose(unframed(3)))))
			f.table.Service("s").Engine = engine
			got := f.call(t, "POST", "/r/x", "b")
			assert.Assert(t, !got.truncated && got.status == http.StatusOK, "%v, %t: %q", route.Kind, engine, got.body)
			assert.Equal(t, got.body, eventText(1, 3))
		}
	}
}

// A resumable stream of a service whose declaration has no engine.
func TestStreamOfAServiceWithoutEngineDoesNotGoOnAtARestartedServer(t *testing.T) {
	broken := newBackend(t, tellStart(1, breakAfter(3)))
	restarted := newBackend(t, tellStart(2, resume(6)))
	f, _ := newEngineFixture(t, resumableRoute, []string{"v1", "v1"}, broken, restarted)
	f.table.Service("s").Engine = false
	got := f.call(t, "POST", "/r/x", "b")
	assert.Assert(t, got.truncated, "%q", got.body)
}

// The same server without an engine dies and is back before this host looks; no idle connection tells of it.
func TestCutAnswerOfARestartedServerWithoutEngineIsNotWhole(t *testing.T) {
	b := newBackend(t, nil)
	restarted := func(w io.Writer, req *http.Request) {
		unframed(3)(w, req)
		b.mu.Lock()
		b.handlers = []handler{tellStart(2, unframed(6))}
		b.mu.Unlock()
		_ = w.(net.Conn).Close()
	}
	b.handlers = []handler{tellStart(1, restarted)}
	f, _ := newEngineFixture(t, matcher.Route{Kind: matcher.Stream}, []string{"v1"}, b)
	f.table.Service("s").Engine = false
	got := f.call(t, "POST", "/r/x", "b")
	assert.Assert(t, got.truncated, "%q", got.body)
}
