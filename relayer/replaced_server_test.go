package relayer

import (
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/chooser"
	"cowsliphinge/matcher"
)

// Replaced implements Servers.
func (s *lockedChooser) Replaced(server chooser.Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, known := s.chooser.Server(server.ID)
	return known && current.Address != server.Address
}

// LeftAsPlanned implements Servers.
func (s *lockedChooser) LeftAsPlanned(server chooser.Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chooser.LeftAsPlanned(server)
}

// replace makes the entry of the first server that of another incarnation at the address of b.
func (f *fixture) replace(b *backend) {
	f.servers.mu.Lock()
	defer f.servers.mu.Unlock()
	f.servers.chooser.Set(chooser.Server{ID: "s0", Service: "s", Address: b.listener.Addr().String(), AvailabilityZone: "a", Slots: 4, StartedAt: 2})
}

// Guards against sound requests that are refused for crashes that were none: a server was stopped as planned,
// and the entry was that of its next incarnation, which does not leave, once the last requests were cut. That
// one also counted as down.
func TestPlannedStopOfAReplacedIncarnationIsNoCrash(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	var old *backend
	old = newBackend(t, func(w io.Writer, req *http.Request) {
		close(begun)
		<-release
		crashAfter(&old, nil)(w, req)
	})
	started := newBackend(t, respond(200, "new"))
	f, q := newQuarantineFixture(t, matcher.Route{}, old)
	result := make(chan callerResult, 1)
	go func() { result <- f.call(t, "POST", "/r/", "p", "X-Parts", "a:800,b:10") }()
	<-begun
	f.servers.RecordActivity("s0", chooser.StatusReport{Leaving: true})
	f.replace(started)
	close(release)
	<-result
	f.nextRequestLine(t)
	crashed, _ := q.reports()
	assert.Equal(t, len(crashed), 0)
	assert.Assert(t, !f.servers.Choose(chooser.Request{Service: "s"}).Restarted)
}

// Guards against a deadly request that is cleared by an answer that its server's death has cut: the next
// incarnation was known before the answer ended.
func TestUnframedAnswerOfAReplacedIncarnationIsNotReported(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	old := newBackend(t, func(w io.Writer, req *http.Request) {
		respondRaw("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sign: s\r\n\r\nab")(w, req)
		close(begun)
		<-release
		thenClose(nil)(w, req)
	})
	f, q := newQuarantineFixture(t, matcher.Route{}, old)
	result := make(chan callerResult, 1)
	go func() { result <- f.call(t, "POST", "/r/", "p") }()
	<-begun
	f.replace(newBackend(t, respond(200, "new")))
	close(release)
	<-result
	f.nextRequestLine(t)
	_, answered := q.reports()
	assert.Equal(t, len(answered), 0)
}
