package relayer

import (
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/matcher"
)

// leave makes the first server of a fixture one that stops as planned.
func (f *fixture) leave() {
	f.servers.mu.Lock()
	defer f.servers.mu.Unlock()
	s, _ := f.servers.chooser.Server("s0")
	s.Draining = true
	f.servers.chooser.Set(s)
}

// unframedUntil sends the events up to last without a length, and ends the connection once end is closed.
func unframedUntil(begun chan<- struct{}, end <-chan struct{}, last int) handler {
	return func(w io.Writer, req *http.Request) {
		unframed(last)(w, req)
		close(begun)
		<-end
		_ = w.(net.Conn).Close()
	}
}

// leavingStream calls a server that leaves, accepts no connections any more and sends events up to last without a
// length. stop is run before the end of the stream.
func leavingStream(t *testing.T, route matcher.Route, last int, stop func(b *backend), others ...*backend) (callerResult, *fixture) {
	begun, end := make(chan struct{}), make(chan struct{})
	b := newBackend(t, nil)
	b.handlers = []handler{tellStart(1, unframedUntil(begun, end, last))}
	versions := []string{"v1"}
	for range others {
		versions = append(versions, "v1")
	}
	f, _ := newEngineFixture(t, route, versions, append([]*backend{b}, others...)...)
	result := make(chan callerResult, 1)
	go func() { result <- f.call(t, "POST", "/r/x", "b", "X-Tokens", "100,36") }() // 6 events of 6 tokens
	<-begun
	f.leave()
	stop(b)
	close(end)
	return <-result, f
}

// dies closes all connections of a server at once, as the kernel does.
func dies(b *backend) { b.closeAll() }

// Guards against a cut stream that looks complete: its server, which is draining, is killed half-way.
func TestStreamOfADrainingServerThatIsKilledStaysCut(t *testing.T) {
	got, _ := leavingStream(t, matcher.Route{Kind: matcher.Stream}, 3, dies)
	assert.Equal(t, got.body, eventText(1, 3))
	assert.Assert(t, got.truncated)
}

// The same where another server can continue the stream.
func TestStreamOfADrainingServerThatIsKilledIsTakenUp(t *testing.T) {
	got, _ := leavingStream(t, resumableRoute, 3, dies, newBackend(t, tellStart(1, resume(6))))
	assert.Equal(t, got.body, eventText(1, 6))
	assert.Assert(t, !got.truncated)
}

// Guards against a complete stream that is cut behind its last event: its server exits with the stream, so that nothing
// can tell whether it was killed. The events hold all tokens that the caller asked for.
func TestStreamWithAllTokensOfADrainingServerIsComplete(t *testing.T) {
	got, _ := leavingStream(t, matcher.Route{Kind: matcher.Stream}, 6, dies)
	assert.Equal(t, got.body, eventText(1, 6))
	assert.Assert(t, !got.truncated)
}

// Guards against a complete stream that is cut since the server that could continue it has nothing left to send.
func TestStreamThatADrainingServerHasCompletedEndsAtAnother(t *testing.T) {
	got, f := leavingStream(t, resumableRoute, 4, dies, newBackend(t, tellStart(1, resume(4))))
	assert.Equal(t, got.body, eventText(1, 4))
	assert.Assert(t, !got.truncated)
	assert.Equal(t, len(f.nextRequestLine(t).Attempts), 2)
}

// Guards against a false end: nothing but a framed stream without events agrees with the end that the first server sent.
func TestEmptyAnswerThatIsNoStreamDoesNotEndAStream(t *testing.T) {
	for name, answer := range map[string]handler{
		"no stream":            respond(http.StatusOK, ""),
		"another status":       respond(http.StatusInternalServerError, ""),
		"cut":                  thenClose(streamEvents(5, 4, false)),
		"an end without frame": thenClose(unframed(0)),
	} {
		got, _ := leavingStream(t, resumableRoute, 4, dies, newBackend(t, tellStart(1, answer)))
		assert.Equal(t, got.body, eventText(1, 4), name)
		assert.Assert(t, got.truncated, name)
	}
}

// Guards against a false end: a server that does not leave has died in the middle of its stream, and the one that takes it
// up loses the rest.
func TestEmptyAnswerDoesNotEndTheStreamOfACrashedServer(t *testing.T) {
	f, _ := newEngineFixture(t, resumableRoute, []string{"v1", "v1"}, newMortalBackend(t, 3), newBackend(t, tellStart(1, streamEvents(4, 3, true))))
	got := f.call(t, "POST", "/r/x", "b")
	assert.Equal(t, got.body, eventText(1, 3))
	assert.Assert(t, got.truncated)
}

// The tokens count only as long as the server is known to leave: another one may have crashed.
func TestStreamWithAllTokensOfACrashedServerStaysCut(t *testing.T) {
	b := newMortalBackend(t, 6)
	f, _ := newEngineFixture(t, matcher.Route{Kind: matcher.Stream}, []string{"v1"}, b)
	got := f.call(t, "POST", "/r/x", "b", "X-Tokens", "100,36")
	assert.Equal(t, got.body, eventText(1, 6))
	assert.Assert(t, got.truncated)
}

// Guards against complete answers that are cut behind their last byte: their server accepts no connections any more, and
// ends what it has begun.
func TestAnswersOfADrainingServerThatAcceptsNoConnectionsAreComplete(t *testing.T) {
	for _, kind := range []matcher.Kind{matcher.Stream, matcher.Unsafe, matcher.Safe} {
		begun, end, asked := make(chan struct{}), make(chan struct{}), make(chan struct{}, 10)
		serve := tellStart(1, unframedUntil(begun, end, 3))
		b := newBackend(t, func(w io.Writer, req *http.Request) {
			serve(w, req)
			if req.URL.Path == identityPath {
				asked <- struct{}{}
			}
		})
		f, _ := newEngineFixture(t, matcher.Route{Kind: kind}, []string{"v1"}, b)
		result := make(chan callerResult, 1)
		go func() { result <- f.call(t, "POST", "/r/x", "b") }()
		<-begun
		for range 2 { // on the connection of the request, and on another one
			<-asked
		}
		f.leave()
		_ = b.listener.Close()
		close(end)
		got := <-result
		assert.Equal(t, got.status, http.StatusOK, kind)
		assert.Equal(t, got.body, eventText(1, 3), kind)
		assert.Assert(t, !got.truncated, kind)
	}
}
