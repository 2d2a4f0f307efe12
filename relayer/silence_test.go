package relayer

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/chooser"
	"cowsliphinge/clocker"
	"cowsliphinge/matcher"
)

// silentRoute gives a server up for silence after 400 ms before the first event, and after 1 s between two.
var silentRoute = matcher.Route{Kind: matcher.Stream, Resumable: true, MaxAttempts: 2, TargetLatency: 100, TargetGap: 100}

// silentSafeRoute is the same for answers that are no stream.
var silentSafeRoute = matcher.Route{Kind: matcher.Safe, MaxAttempts: 2, TargetLatency: 100}

// longOverlap is out of reach, also on a busy machine.
const longOverlap = 20 * clocker.Second

// after runs s once the other server has told that it has run.
func after(other <-chan struct{}, s handler) handler {
	return func(w io.Writer, req *http.Request) {
		<-other
		s(w, req)
	}
}

// announcing runs s and tells that it has.
func announcing(got chan<- struct{}, s handler) handler {
	return func(w io.Writer, req *http.Request) {
		s(w, req)
		got <- struct{}{}
	}
}

// chunkedEvents writes events of a stream whose header has been sent.
func chunkedEvents(first, last int) handler {
	return func(w io.Writer, _ *http.Request) {
		for i := first; i <= last; i++ {
			e := fmt.Sprintf("id: %d\ndata: d\n\n", i)
			_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", len(e), e)
		}
		_, _ = io.WriteString(w, "0\r\n\r\n")
	}
}

// inTurn runs the handlers one after the other for one request.
func inTurn(handlers ...handler) handler {
	return func(w io.Writer, req *http.Request) {
		for _, h := range handlers {
			h(w, req)
		}
	}
}

// twoServers returns two backends of which the one that gets the request first runs first, and the other
// one second.
func twoServers(t *testing.T, first, second handler) [2]*backend {
	turns := make(chan handler, 2)
	turns <- first
	turns <- second
	var servers [2]*backend
	for i := range servers {
		servers[i] = newBackend(t, func(w io.Writer, req *http.Request) { (<-turns)(w, req) })
	}
	return servers
}

// Guards against an answer that is cut, or refused, because its sound server is silent for longer than the
// wait for a second attempt, and no other server takes the request: what the first one still sends was lost.
func TestSilentServerIsKeptUntilAnotherOneTakesTheRequest(t *testing.T) {
	for name, refusal := range map[string]handler{
		"full":            respond(503, "", "X-Not-Run: 1"),
		"full, unmarked":  respond(503, ""),
		"misdirected":     respond(421, "", "X-Not-Run: 1"),
		"failed":          respond(500, "failed"),
		"no server's":     respondRaw("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n"),
		"closes":          thenClose(nil),
		"another's reply": thenClose(respondRaw("HTTP/1.1 200 OK\r\nX-Id: not-%s\r\nX-Sign: s\r\nContent-Length: 0\r\n\r\n")),
	} {
		for _, c := range []struct {
			name          string
			route         matcher.Route
			before, later handler
			body          string
		}{
			{"between events", silentRoute, streamEvents(1, 3, false), chunkedEvents(4, 6), eventText(1, 6)},
			{"before the first event", silentRoute, streamEvents(1, 0, false), chunkedEvents(1, 6), eventText(1, 6)},
			{"before the header", silentRoute, noResponse, streamEvents(1, 6, true), eventText(1, 6)},
			{"no stream", silentSafeRoute, noResponse, respond(200, "proof"), "proof"},
		} {
			t.Run(c.name+", "+name, func(t *testing.T) {
				refused := make(chan struct{}, 1)
				servers := twoServers(t, inTurn(c.before, after(refused, c.later)), announcing(refused, refusal))
				f := newFixture(t, c.route, servers[0], servers[1])
				f.relayer.overlap = longOverlap
				got := f.call(t, "POST", "/r/", "p")
				assert.Equal(t, got.status, 200)
				assert.Equal(t, got.body, c.body)
				assert.Assert(t, !got.truncated)
				assert.Equal(t, servers[0].requestCount()+servers[1].requestCount(), 2)
			})
		}
	}
}

// Guards against a cut answer where there is no second server to send to at all, or no budget for it.
func TestSilentServerIsKeptWithoutAnotherAttempt(t *testing.T) {
	for _, deny := range []bool{false, true} {
		pause := make(chan struct{})
		b := newBackend(t, inTurn(streamEvents(1, 3, false), after(pause, chunkedEvents(4, 6))))
		backends := []*backend{b}
		if deny {
			backends = append(backends, newBackend(t, b.handlers[0]))
		}
		f := newFixture(t, silentRoute, backends...)
		f.relayer.cfg.Retries = fakeRetries{deny: deny}
		go func() {
			_ = clocker.NewWall().Sleep(t.Context(), 1500) // longer than the wait for a second attempt
			close(pause)
		}()
		got := f.call(t, "POST", "/r/", "p")
		assert.Equal(t, got.body, eventText(1, 6))
		assert.Assert(t, !got.truncated)
	}
}

// A server that stays silent is left as soon as another one takes the request, and told so.
func TestSilentServerIsLeftForAnotherOne(t *testing.T) {
	for _, c := range []struct {
		name   string
		route  matcher.Route
		before handler
		after  handler
		body   string
	}{
		{"between events", silentRoute, streamEvents(1, 3, false), streamEvents(4, 6, true), eventText(1, 6)},
		{"before the header", silentRoute, noResponse, streamEvents(1, 6, true), eventText(1, 6)},
		{"no stream", silentSafeRoute, noResponse, respond(200, "proof"), "proof"},
	} {
		t.Run(c.name, func(t *testing.T) {
			left := make(chan struct{})
			hang := func(w io.Writer, _ *http.Request) {
				_, _ = w.(net.Conn).Read(make([]byte, 1)) // until the router closes the connection
				close(left)
			}
			servers := twoServers(t, inTurn(c.before, hang), c.after)
			f := newFixture(t, c.route, servers[0], servers[1])
			got := f.call(t, "POST", "/r/", "p")
			assert.Equal(t, got.body, c.body)
			assert.Assert(t, !got.truncated)
			<-left
			assert.DeepEqual(t, f.servers.outcomes, []chooser.Outcome{chooser.Aborted, chooser.NoFailure})
		})
	}
}

// Guards against two servers that run a request side by side: one that neither answers nor refuses it has
// taken it, and the silent one is left within maxOverlap, before the other one answers.
func TestSilentServerIsLeftBeforeTheOtherOneAnswers(t *testing.T) {
	left := make(chan struct{})
	hang := func(w io.Writer, _ *http.Request) {
		_, _ = w.(net.Conn).Read(make([]byte, 1))
		close(left)
	}
	servers := twoServers(t, inTurn(streamEvents(1, 3, false), hang), after(left, streamEvents(4, 6, true)))
	f := newFixture(t, silentRoute, servers[0], servers[1])
	got := f.call(t, "POST", "/r/", "p")
	assert.Equal(t, got.body, eventText(1, 6))
	assert.Assert(t, !got.truncated)
}

// A server that goes on while another one has the request keeps it; the other one is told to stop.
func TestSilentServerThatGoesOnKeepsTheRequest(t *testing.T) {
	asked, left := make(chan struct{}), make(chan struct{})
	other := func(w io.Writer, _ *http.Request) {
		close(asked)
		_, _ = w.(net.Conn).Read(make([]byte, 1))
		close(left)
	}
	servers := twoServers(t, inTurn(streamEvents(1, 3, false), after(asked, chunkedEvents(4, 6))), other)
	f := newFixture(t, silentRoute, servers[0], servers[1])
	f.relayer.overlap = clocker.Second // the other server does not answer before it ends
	got := f.call(t, "POST", "/r/", "p")
	assert.Equal(t, got.body, eventText(1, 6))
	assert.Assert(t, !got.truncated)
	<-left
	assert.Equal(t, f.nextRequestLine(t).Attempts[1].Outcome, wentOn)
}

// Guards against a refusal that is not said to be one: a server that was silent and then refuses has
// not run the request.
func TestRefusalAfterSilenceIsTrue(t *testing.T) {
	refused := make(chan struct{}, 2)
	full := respond(503, "", "X-Not-Run: 1")
	servers := twoServers(t, after(refused, full), announcing(refused, full))
	f := newFixture(t, silentSafeRoute, servers[0], servers[1])
	f.relayer.overlap = longOverlap
	got := f.call(t, "POST", "/r/", "p", "X-Tokens", "10,5")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, <-f.budgets.settled, int64(0))
}

// A request that can't be repeated waits for its server alone.
func TestSilentServerOfARequestThatCantBeRepeated(t *testing.T) {
	route := matcher.Route{Kind: matcher.Stream, MaxAttempts: 2, TargetLatency: 100, TargetGap: 100, Timeout: 2 * clocker.Second}
	servers := twoServers(t, streamEvents(1, 3, false), streamEvents(1, 6, true))
	f := newFixture(t, route, servers[0], servers[1])
	got := f.call(t, "POST", "/r/", "p")
	assert.Equal(t, got.body, eventText(1, 3))
	assert.Assert(t, got.truncated)
	assert.Equal(t, servers[0].requestCount()+servers[1].requestCount(), 1)
}
