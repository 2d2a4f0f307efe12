package relayer

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/chooser"
)

// fakeOrigins knows the software version of some streams and records those that begin.
type fakeOrigins struct {
	mu    sync.Mutex
	known map[string]string
	began map[string]string
}

func (o *fakeOrigins) Began(id string, s chooser.Server) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.began[id] = s.Software
}

func (o *fakeOrigins) Origin(_ context.Context, id, _ string) (string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	software, known := o.known[id]
	return software, known
}

// ofMasons returns the ID of a stream of the account of the fixture.
func ofMasons(requestID string) string { return "masons\x00" + requestID }

// beganAt returns the version that began a stream, and whether one did.
func (o *fakeOrigins) beganAt(id string) (string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	software, began := o.began[id]
	return software, began
}

// breakAfter streams the events up to last and closes the connection.
func breakAfter(last int) handler {
	return thenClose(streamEvents(1, last, false))
}

// resume streams the events up to last that the request lacks.
func resume(last int) handler {
	return func(w io.Writer, req *http.Request) {
		first := 1
		if _, err := fmt.Sscan(req.Header.Get("Last-Event-Id"), &first); err == nil {
			first++
		}
		streamEvents(first, last, true)(w, req)
	}
}

// newVersionsFixture returns a fixture whose servers have the versions; the first one is chosen first.
func newVersionsFixture(t *testing.T, versions []string, backends ...*backend) (*fixture, *fakeOrigins) {
	route := resumableRoute
	route.MaxAttempts = len(backends)
	f := newFixture(t, route, backends...)
	for i, software := range versions {
		s := chooser.Server{ID: fmt.Sprint("s", i), Service: "s", Address: backends[i].listener.Addr().String(), AvailabilityZone: "a", Slots: 4, Software: software}
		if i > 0 {
			s.AvailabilityZone = "z"
			s.ColdRemaining = 1
		}
		f.servers.chooser.Set(s)
	}
	o := &fakeOrigins{known: map[string]string{}, began: map[string]string{}}
	f.relayer.cfg.Origins = o
	f.relayer.cfg.HeaderNames.TakenUp = "X-Takes-Up"
	return f, o
}

// A stream that broke off went on at a server of another software version, whose text does not fit the
// first part: the caller got a whole answer that was joined from both.
func TestStreamGoesOnOnlyAtTheVersionThatBeganIt(t *testing.T) {
	for _, c := range []struct {
		versions []string
		// whole is true if the first stream can go on.
		whole bool
	}{
		{[]string{"v1", "v2", "v2"}, false},
		{[]string{"v1", "v2", "v1"}, true},
		{[]string{"", "", ""}, true},
	} {
		t.Run(fmt.Sprint(c.versions), func(t *testing.T) {
			first, second, third := newBackend(t, breakAfter(2)), newBackend(t, resume(4)), newBackend(t, resume(4))
			f, o := newVersionsFixture(t, c.versions, first, second, third)
			for i := range 30 { // the choice among servers of similar cost is random
				got := f.call(t, "POST", "/r/", "p")
				if _, began := o.beganAt(ofMasons("id-1")); !began || got.status != http.StatusOK {
					t.Fatalf("call %d: status %d", i, got.status)
				}
				if i == 0 {
					assert.Equal(t, got.truncated, !c.whole)
				}
				line := f.nextRequestLine(t)
				software := map[string]bool{}
				for _, attempt := range line.Attempts {
					if attempt.Events > 0 {
						software[attempt.Software] = true
					}
				}
				assert.Equal(t, len(software), 1, "%v", line.Attempts)
			}
		})
	}
}

// A caller took its stream up at a host that did not know where it had begun, and the host sent it to
// any server. It goes to the version that began it, and nowhere if that is not known: refused before it
// is sent or budgeted.
func TestTakenUpStreamGoesOnlyToTheVersionThatBeganIt(t *testing.T) {
	for _, c := range []struct {
		began  string
		known  bool
		status int
	}{
		{"v1", true, http.StatusOK},
		{"v2", true, http.StatusOK},
		{"v3", true, http.StatusServiceUnavailable},
		{"", false, http.StatusServiceUnavailable},
	} {
		t.Run(c.began, func(t *testing.T) {
			first, second := newBackend(t, resume(4)), newBackend(t, resume(4))
			f, o := newVersionsFixture(t, []string{"v1", "v2"}, first, second)
			if c.known {
				o.known[ofMasons("before")] = c.began
			}
			for range 20 {
				got := f.call(t, "POST", "/r/", "p", "Last-Event-Id", "2", "X-Takes-Up", "before")
				assert.Equal(t, got.status, c.status)
				f.nextRequestLine(t)
			}
			assert.Equal(t, first.requestCount() > 0, c.began == "v1")
			assert.Equal(t, second.requestCount() > 0, c.began == "v2")
			if !c.known {
				assert.Equal(t, f.budgets.reserved, int64(0))
			}
			_, began := o.beganAt(ofMasons("id-1"))
			assert.Assert(t, !began, "a stream that was taken up began elsewhere")
		})
	}
}

// A stream that has sent nothing may begin at another version, and begins there.
func TestStreamWithoutEventsBeginsAtTheNextServer(t *testing.T) {
	first, second := newBackend(t, func(w io.Writer, _ *http.Request) { _ = w.(net.Conn).Close() }), newBackend(t, resume(4))
	f, o := newVersionsFixture(t, []string{"v1", "v2"}, first, second)
	for second.requestCount() == 0 {
		f.call(t, "POST", "/r/", "p")
		f.nextRequestLine(t)
	}
	software, began := o.beganAt(ofMasons("id-1"))
	assert.Assert(t, began)
	assert.Equal(t, software, "v2")
}

// A server came back under its ID with other software before its entry told so: streams were joined
// there, and those that it began counted as of the version of before.
func TestServerThatWentDownHasNoKnownVersion(t *testing.T) {
	for _, events := range []int{0, 2} {
		t.Run(fmt.Sprint(events), func(t *testing.T) {
			var first *backend
			reborn := newBackend(t, breakAfter(2), resume(4))
			first = newBackend(t, crashAfter(&first, nil))
			f, o := newVersionsFixture(t, []string{"v1", "v1"}, first, newBackend(t, breakAfter(events)))
			f.call(t, "POST", "/r/", "p") // finds the first server down
			f.nextRequestLine(t)
			f.servers.chooser.Set(chooser.Server{ID: "s0", Service: "s", Address: first.listener.Addr().String(), AvailabilityZone: "a", Slots: 4, Software: "v1"})
			request := chooser.Request{Service: "s", Avoid: []string{"s1"}}
			assert.Assert(t, f.servers.Choose(request).Restarted)
			request.Pinned, request.Software = true, "v1"
			assert.Assert(t, !f.servers.Choose(request).Found)
			f.servers.chooser.Set(chooser.Server{ID: "s0", Service: "s", Address: reborn.listener.Addr().String(), AvailabilityZone: "a", Slots: 4, Software: "v2"})
			request.Software = "v2"
			assert.Assert(t, f.servers.Choose(request).Found, "a new entry tells of the new incarnation")
			_, began := o.beganAt(ofMasons("id-1"))
			assert.Equal(t, began, events > 0)
		})
	}
}

// restartedServers says of each chosen server that it may have restarted.
type restartedServers struct{ *lockedChooser }

func (s restartedServers) Choose(r chooser.Request) chooser.Choice {
	c := s.lockedChooser.Choose(r)
	c.Restarted = true
	return c
}

// Whoever may continue such a stream is not known: it breaks off, unless one version alone is in use.
func TestStreamOfARestartedServerIsContinuedOnlyAtTheOnlyVersion(t *testing.T) {
	for _, only := range []bool{false, true} {
		first, second := newBackend(t, breakAfter(2)), newBackend(t, resume(4))
		f, o := newVersionsFixture(t, []string{"v1", "v1"}, first, second)
		f.relayer.cfg.Servers = restartedServers{f.servers}
		if only {
			o.known[""] = "v1"
		}
		got := f.call(t, "POST", "/r/", "p")
		assert.Equal(t, got.truncated, !only)
		assert.Equal(t, second.requestCount() > 0, only)
		_, began := o.beganAt(ofMasons("id-1"))
		assert.Assert(t, !began)
	}
}

// A server that refuses connections is down; one that can't be reached may be up.
func TestServerThatRefusesConnectionsIsDown(t *testing.T) {
	first, second := newBackend(t, resume(4)), newBackend(t, resume(4))
	f, _ := newVersionsFixture(t, []string{"v1", "v1"}, first, second)
	_ = first.listener.Close()
	f.call(t, "POST", "/r/", "p")
	f.nextRequestLine(t)
	assert.Assert(t, f.servers.Choose(chooser.Request{Service: "s", Avoid: []string{"s1"}}).Restarted)
	assert.Assert(t, !f.servers.Choose(chooser.Request{Service: "s", Avoid: []string{"s0"}}).Restarted)
}

// Streams whose requests had no ID, or IDs that two client accounts chose alike, were taken for one.
func TestStreamsOfOtherRequestsAreNotConfused(t *testing.T) {
	b := newBackend(t, resume(4))
	f, o := newVersionsFixture(t, []string{"v1"}, b)
	assert.Equal(t, f.call(t, "POST", "/r/", "p", "X-Id", "").status, http.StatusOK)
	_, began := o.beganAt("")
	assert.Assert(t, !began)
	o.known["before"], o.known[ofMasons("")] = "v1", "v1" // of another account, and of none
	for _, header := range [][]string{{"Last-Event-Id", "2", "X-Takes-Up", "before"}, {"Last-Event-Id", "2"}} {
		assert.Equal(t, f.call(t, "POST", "/r/", "p", header...).status, http.StatusServiceUnavailable)
	}
}
