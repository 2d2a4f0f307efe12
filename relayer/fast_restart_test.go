package relayer

import (
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/matcher"
)

// Guards against a deadly request that is never found out: the server that it crashed listens again at once, as the
// next incarnation, so that its address refuses no connection.
func TestCrashOfAServerThatRestartsAtOnceIsReported(t *testing.T) {
	var b *backend
	b = newBackend(t, tellStart(1, func(w io.Writer, _ *http.Request) {
		b.mu.Lock()
		b.handlers = []handler{tellStart(2, respond(http.StatusOK, "new"))}
		b.mu.Unlock()
		_ = w.(net.Conn).Close()
	}))
	f, _ := newEngineFixture(t, matcher.Route{Kind: matcher.Stream}, []string{"v1"}, b)
	q := &recordedQuarantine{until: f.servers.clock.Now() + clocker.Minute}
	f.relayer.cfg.Quarantine = q
	f.call(t, "POST", "/r/x", "deadly")
	f.nextRequestLine(t)
	crashed, _ := q.reports()
	assert.DeepEqual(t, crashed, []string{"s0"})
}

// A connection that is lost while its server goes on is no crash, also where servers tell their incarnation.
func TestLostConnectionOfAServerThatGoesOnIsNoCrash(t *testing.T) {
	b := newBackend(t, tellStart(1, thenClose(nil)))
	f, _ := newEngineFixture(t, matcher.Route{Kind: matcher.Stream}, []string{"v1"}, b)
	q := &recordedQuarantine{until: f.servers.clock.Now() + clocker.Minute}
	f.relayer.cfg.Quarantine = q
	f.call(t, "POST", "/r/x", "sound")
	f.nextRequestLine(t)
	crashed, _ := q.reports()
	assert.Equal(t, len(crashed), 0)
}
