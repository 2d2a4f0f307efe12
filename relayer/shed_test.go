package relayer

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/chooser"
	"cowsliphinge/clocker"
	"cowsliphinge/matcher"
)

// learnHold records responses that took a second on servers with free slots.
func (f *fixture) learnHold() {
	for range 100 {
		f.servers.RecordActivity("s0", chooser.StatusReport{Completion: &chooser.Completion{Dispatch: chooser.Dispatch{FreeSlot: true}, After: clocker.Second}})
	}
}

// fullLoad is the load of a server of the fixture that would start a further request after ten seconds.
var fullLoad = chooser.StatusReport{Load: &chooser.Load{Running: 4, Queued: 39, Slots: 4}}

// Guards against a request that takes its tokens and its caller's time to a server that can't start it before the deadline.
// It is refused as not run, with a Retry-After within the caller's time, and its tokens are returned.
func TestRequestThatNoServerCanStartIsRefused(t *testing.T) {
	b := newBackend(t, respond(http.StatusOK, "ok"))
	f := newFixture(t, matcher.Route{}, b)
	f.learnHold()
	f.servers.RecordActivity("s0", fullLoad)
	r := f.call(t, "POST", "/r/x", "", "X-Tokens", "100,50")
	assert.Equal(t, r.status, http.StatusServiceUnavailable)
	assert.Equal(t, r.body, `{"Reason":"servers_full"}`)
	after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, after > 1 && after < 2, after) // a third of the five seconds of the route at most
	assert.Equal(t, f.budgets.reserved, int64(150))
	assert.Equal(t, <-f.budgets.settled, int64(0))
	assert.Equal(t, b.requestCount(), 0)
	line := <-f.logLines
	assert.Assert(t, strings.Contains(line, `"shed":"wait_too_long"`), line)
}

// Guards against refusals while one server may have room, or where servers report no load.
func TestRequestIsSentWhileAServerMayHaveRoom(t *testing.T) {
	for name, report := range map[string]chooser.StatusReport{
		"free slot": {Load: &chooser.Load{Running: 3, Slots: 4}},
		"no report": {},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, matcher.Route{}, newBackend(t, respond(http.StatusOK, "ok")), newBackend(t, respond(http.StatusOK, "ok")))
			f.learnHold()
			f.servers.RecordActivity("s0", fullLoad)
			f.servers.RecordActivity("s1", report)
			assert.Equal(t, f.call(t, "GET", "/r/x", "").status, http.StatusOK)
		})
	}
}

// Guards against a status that states that a request has not run although a server may have run it: the first server
// breaks the connection while the other one is full.
func TestRequestThatMayHaveRunIsNotRefusedAsNotRun(t *testing.T) {
	var f *fixture
	broken := newBackend(t, func(w io.Writer, _ *http.Request) {
		f.servers.RecordActivity("s0", fullLoad)
		f.servers.RecordActivity("s1", fullLoad)
		_ = w.(io.Closer).Close()
	})
	other := newBackend(t, respond(http.StatusOK, "ok"))
	f = newFixture(t, matcher.Route{Kind: matcher.Safe, MaxAttempts: 2, TargetLatency: clocker.Second}, broken, other)
	f.learnHold()
	f.servers.RecordActivity("s0", chooser.StatusReport{Load: &chooser.Load{Slots: 4}})
	f.servers.RecordActivity("s1", chooser.StatusReport{Load: &chooser.Load{Running: 3, Slots: 4}})
	r := f.call(t, "GET", "/r/x", "")
	assert.Equal(t, broken.requestCount(), 1)
	assert.Equal(t, r.status, http.StatusOK)
}
