package relayer

import (
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/matcher"
)

// heldBackend returns a server that answers each request by answer once release is closed, and sends on begun
// when it has received one.
func heldBackend(t *testing.T, answer handler) (b *backend, begun chan struct{}, release chan struct{}) {
	begun, release = make(chan struct{}, 100), make(chan struct{})
	b = newBackend(t, func(w io.Writer, req *http.Request) {
		begun <- struct{}{}
		<-release
		answer(w, req)
	})
	return b, begun, release
}

// callBeside calls in another goroutine and returns what the caller receives.
func (f *fixture) callBeside(t *testing.T, id string) <-chan callerResult {
	result := make(chan callerResult, 1)
	go func() { result <- f.call(t, "GET", "/r/", "", "X-Id", id) }()
	return result
}

// Guards against a new incarnation that gets no request for as long as it lives: the one before, still at work
// on its last requests, said that it leaves, and the entry by then was that of the new one.
func TestStatusReportOfAnOldIncarnationIsNotTakenForTheNewOnes(t *testing.T) {
	for name, header := range map[string]string{"leaving": "X-Leaving: 1", "limit": "X-Limit: 0"} {
		t.Run(name, func(t *testing.T) {
			old, begun, release := heldBackend(t, respond(200, "old", header))
			started := newBackend(t, respond(200, "new"))
			f := newFixture(t, matcher.Route{}, old)
			result := f.callBeside(t, "id-old")
			<-begun
			f.replace(started)
			close(release)
			assert.Equal(t, (<-result).body, "old")
			assert.Equal(t, f.call(t, "GET", "/r/", "").body, "new")
		})
	}
}

// Guards against a new incarnation that is ejected for the end of the one before.
func TestEndOfAnOldIncarnationDoesNotEjectTheNewOne(t *testing.T) {
	old, begun, release := heldBackend(t, thenClose(nil))
	started := newBackend(t, respond(200, "new"))
	f := newFixture(t, matcher.Route{}, old)
	var results []<-chan callerResult
	for _, id := range []string{"id-a", "id-b", "id-c"} {
		results = append(results, f.callBeside(t, id))
		<-begun
	}
	f.replace(started)
	close(release)
	for _, result := range results {
		assert.Assert(t, (<-result).status != http.StatusOK)
	}
	f.servers.mu.Lock()
	defer f.servers.mu.Unlock()
	assert.Assert(t, !f.servers.chooser.Ejected("s0", f.servers.clock.Now()))
}
