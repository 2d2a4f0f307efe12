package relayer

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/concluder"
	"cowsliphinge/matcher"
)

// end writes the last chunk of a stream.
func end(w io.Writer, _ *http.Request) { _, _ = io.WriteString(w, "0\r\n\r\n") }

// late runs s once another server has told that it has run, and some time has passed in which its answer arrives.
func late(other <-chan struct{}, s handler) handler {
	return after(other, func(w io.Writer, req *http.Request) {
		_ = clocker.NewWall().Sleep(req.Context(), 100)
		s(w, req)
	})
}

// hang reads until the router closes the connection.
func hang(w io.Writer, _ *http.Request) { _, _ = w.(net.Conn).Read(make([]byte, 1)) }

// reset closes the connection with a TCP reset.
func reset(w io.Writer, _ *http.Request) {
	_ = w.(interface{ SetLinger(seconds int) error }).SetLinger(0)
	_ = w.(net.Conn).Close()
}

// Guards against a stream that is cut behind its last event since its server is silent before it ends it, and the one that
// could go on has nothing left.
func TestStreamWhoseEndIsLateIsComplete(t *testing.T) {
	for name, second := range map[string]func(asked chan<- struct{}) handler{
		"the second one has the end":   func(asked chan<- struct{}) handler { return announcing(asked, resume(3)) },
		"the second one sends nothing": func(asked chan<- struct{}) handler { return inTurn(announcing(asked, noResponse), hang) },
		"the second one sends its header": func(asked chan<- struct{}) handler {
			return inTurn(streamEvents(3, 2, false), announcing(asked, noResponse), hang)
		},
		"the second one is silent behind its last event": func(asked chan<- struct{}) handler {
			return inTurn(streamEvents(3, 3, false), announcing(asked, noResponse), hang)
		},
		"the second one lost the stream": func(asked chan<- struct{}) handler { return announcing(asked, streamEvents(4, 3, true)) },
		"the second one breaks off":      func(asked chan<- struct{}) handler { return thenClose(announcing(asked, streamEvents(3, 3, false))) },
	} {
		t.Run(name, func(t *testing.T) {
			asked := make(chan struct{}, 1)
			servers := twoServers(t, inTurn(streamEvents(1, 3, false), late(asked, end)), second(asked))
			f := newFixture(t, silentRoute, servers[0], servers[1])
			f.relayer.overlap = longOverlap
			got := f.call(t, "POST", "/r/", "p")
			assert.Equal(t, got.body, eventText(1, 3))
			assert.Assert(t, !got.truncated)
		})
	}
}

// The same if the silent server was left since the other one took its time.
func TestStreamWhoseEndIsLateIsCompletedByTheSecondServer(t *testing.T) {
	left := make(chan struct{})
	first := inTurn(streamEvents(1, 3, false), hang, func(io.Writer, *http.Request) { close(left) })
	servers := twoServers(t, first, after(left, resume(3)))
	f := newFixture(t, silentRoute, servers[0], servers[1])
	got := f.call(t, "POST", "/r/", "p")
	assert.Equal(t, got.body, eventText(1, 3))
	assert.Assert(t, !got.truncated)
}

// Guards against a stream that never ends: its caller, who has all events, takes it up and gets 502 each time.
func TestStreamThatIsTakenUpBehindItsLastEventEnds(t *testing.T) {
	for _, attempts := range []int{1, 2} {
		for last := 1; last <= 3; last++ {
			route := tolerantRoute
			route.MaxAttempts = attempts
			f := newFixture(t, route, newBackend(t, resume(last)), newBackend(t, resume(last)))
			got := f.call(t, "POST", "/r/", "p", "Last-Event-Id", fmt.Sprint(last))
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, got.body, "")
			assert.Assert(t, !got.truncated)
			assert.Equal(t, got.header.Get("X-Sign"), "s")
		}
	}
}

// Guards against a stream that is cut behind its last event since its server broke off there.
func TestStreamThatBreaksOffBehindItsLastEventIsComplete(t *testing.T) {
	for name, breakOff := range map[string]handler{"closes": thenClose(nil), "resets": reset, "truncates": thenClose(respondRaw("0\r"))} {
		for _, last := range []int{1, 3} {
			servers := twoServers(t, inTurn(streamEvents(1, last, false), breakOff), resume(last))
			got := newFixture(t, tolerantRoute, servers[0], servers[1]).call(t, "POST", "/r/", "p")
			assert.Equal(t, got.body, eventText(1, last), name)
			assert.Assert(t, !got.truncated, name)
		}
	}
}

// Guards against a stream that ends too early and looks complete: its server dies in its silence with events missing.
func TestStreamOfAServerThatDiesInItsSilenceGoesOn(t *testing.T) {
	for name, die := range map[string]handler{"closes": thenClose(nil), "resets": reset} {
		asked := make(chan struct{}, 1)
		first := inTurn(streamEvents(1, 3, false), after(asked, die))
		servers := twoServers(t, first, inTurn(announcing(asked, noResponse), resume(6)))
		f := newFixture(t, silentRoute, servers[0], servers[1])
		got := f.call(t, "POST", "/r/", "p")
		assert.Equal(t, got.body, eventText(1, 6), name)
		assert.Assert(t, !got.truncated, name)
	}
}

// Guards against a stream that ends too early and looks complete: the second server has lost the rest, while the silent one
// goes on, dies, or hangs.
func TestServerThatLostAStreamDoesNotEndIt(t *testing.T) {
	for name, c := range map[string]struct {
		first     handler
		last      int
		truncated bool
	}{
		"goes on": {chunkedEvents(4, 6), 6, false},
		"dies":    {thenClose(nil), 3, true},
		"hangs":   {hang, 3, true},
	} {
		for _, lost := range []handler{streamEvents(4, 3, true), respond(200, ""), streamEvents(2, 2, true)} {
			t.Run(name, func(t *testing.T) {
				asked := make(chan struct{}, 1)
				route := silentRoute
				route.Timeout = 3 * clocker.Second
				servers := twoServers(t, inTurn(streamEvents(1, 3, false), late(asked, c.first)), announcing(asked, lost))
				f := newFixture(t, route, servers[0], servers[1])
				f.relayer.overlap = longOverlap
				got := f.call(t, "POST", "/r/", "p")
				assert.Equal(t, got.body, eventText(1, c.last))
				assert.Equal(t, got.truncated, c.truncated)
			})
		}
	}
}

// The same for a caller that takes its stream up.
func TestEmptyAnswerDoesNotEndAStreamThatIsTakenUp(t *testing.T) {
	f := newFixture(t, tolerantRoute, newBackend(t, streamEvents(4, 3, true)), newBackend(t, streamEvents(4, 3, true)))
	got := f.call(t, "POST", "/r/", "p", "Last-Event-Id", "3")
	assert.Equal(t, got.status, http.StatusBadGateway)
}

// The silent server is left for one that shows an event that the caller does not have, before the overlap is over.
func TestSilentServerIsLeftOnceAnotherOneShowsANewEvent(t *testing.T) {
	left := make(chan struct{})
	first := inTurn(streamEvents(1, 3, false), hang, func(io.Writer, *http.Request) { close(left) })
	servers := twoServers(t, first, inTurn(streamEvents(3, 4, false), after(left, chunkedEvents(5, 6))))
	f := newFixture(t, silentRoute, servers[0], servers[1])
	f.relayer.overlap = longOverlap
	got := f.call(t, "POST", "/r/", "p")
	assert.Equal(t, got.body, eventText(1, 6))
	assert.Assert(t, !got.truncated)
}

// world is a stream of events, and what a server does with it.
type world struct {
	events int
	rng    *rand.Rand
}

var errBroken = errors.New("broken")

// response returns the events that a server sends behind one, and how its response ends. A sound one sends the rest.
func (w world) response(after int, sound bool) (events []event, err error) {
	first, last := after+1, w.events
	err = io.EOF
	if !sound {
		switch w.rng.IntN(6) {
		case 0: // ends empty
			return nil, io.EOF
		case 1: // begins too late
			if after > 0 { // nothing tells with which number a stream begins
				first += 1 + w.rng.IntN(2)
			}
		case 2: // begins anew
			first = 1
		default: // breaks off, also behind the last event
			last = after + w.rng.IntN(w.events-after+1)
			err = errBroken
		}
	}
	for i := first; i <= last; i++ {
		events = append(events, event{bytes: []byte(fmt.Sprint(i)), number: int64(i), hasData: true})
	}
	return events, err
}

// play lets servers send a stream one after the other until it is whole, and returns how many events the caller has then.
func (w world) play(whole func(p *streamPosition, err error) bool) (events int64, ended bool) {
	p := positionAfter(unnumbered)
	for n := range 4 {
		after, ok := concluder.ResumeAfter(p.callerLast)
		if !ok {
			after = 0
		}
		p.switchServer()
		sent, err := w.response(int(after), n == 3)
		if _, orderErr := p.accept(sent); orderErr != nil {
			err = orderErr
		}
		if whole(&p, err) {
			return p.forwarded, true
		}
	}
	return p.forwarded, false
}

// Guards against streams that end too early and look complete, and against streams that a sound server does not complete,
// whatever servers before it did.
func TestRandomStreamsEndWholeAtASoundServer(t *testing.T) {
	for seed := range uint64(20000) {
		w := world{events: 1 + int(seed%5), rng: rand.New(rand.NewPCG(seed, 1))}
		events, ended := w.play(func(p *streamPosition, err error) bool {
			return concluder.StreamEnd{Complete: errors.Is(err, io.EOF), CaughtUp: p.complete()}.Whole()
		})
		assert.Assert(t, ended, "seed %d", seed)
		assert.Equal(t, events, int64(w.events), "seed %d", seed)
	}
}

// The search finds ends that are taken from a server that has sent nothing.
func TestSearchFindsEmptyEnds(t *testing.T) {
	early := 0
	for seed := range uint64(2000) {
		w := world{events: 1 + int(seed%5), rng: rand.New(rand.NewPCG(seed, 1))}
		events, ended := w.play(func(p *streamPosition, err error) bool {
			return errors.Is(err, io.EOF) && (p.complete() || p.serverEvents == 0)
		})
		if ended && events < int64(w.events) {
			early++
		}
	}
	assert.Assert(t, early > 0)
}

// A request on a route whose streams can't be resumed waits for its silent server alone, and ends with it.
func TestLateEndOfAStreamThatCantBeResumed(t *testing.T) {
	pause := make(chan struct{})
	go func() {
		_ = clocker.NewWall().Sleep(t.Context(), 1300)
		close(pause)
	}()
	route := matcher.Route{Kind: matcher.Stream, MaxAttempts: 2, TargetLatency: 100, TargetGap: 100}
	servers := twoServers(t, inTurn(streamEvents(1, 3, false), after(pause, end)), noResponse)
	got := newFixture(t, route, servers[0], servers[1]).call(t, "POST", "/r/", "p")
	assert.Equal(t, got.body, eventText(1, 3))
	assert.Assert(t, !got.truncated)
}
