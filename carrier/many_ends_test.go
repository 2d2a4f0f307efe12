package carrier

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/concluder"
)

// manyAnswers is how many answers without a length a server sends at once, fewer than the slots of a usual one.
const manyAnswers = 60

// fewConns is how many connections are open to ask on, fewer than there are answers.
const fewConns = 20

// leaveWithMany begins manyAnswers at a server that closes each connection behind its answer and takes no further ones, once
// conns connections are open to ask on.
func leaveWithMany(t *testing.T, c *Carrier, s *leavingServer, conns int, limit clocker.Millis) []*Response {
	t.Helper()
	c.cfg.Leaving = func(string) bool { return s.leaving.Load() }
	responses := make([]*Response, manyAnswers)
	for i := range responses {
		responses[i] = beginWithin(t, c, s.target(), limit)
	}
	for range manyAnswers + 1 {
		<-s.asked
	}
	s.leaving.Store(true)
	awaitAtLeast(responses[0].witness, conns)
	s.awaitAccepted(manyAnswers + conns)
	_ = s.listener.Close()
	return responses
}

// awaitAtLeast waits until a witness has n connections.
func awaitAtLeast(w *witness, n int) {
	for {
		w.mu.Lock()
		open := len(w.conns)
		w.mu.Unlock()
		if open >= n {
			return
		}
		runtime.Gosched()
	}
}

// beginWithin is begin for an answer that has a time limit, in milliseconds, if that is not 0.
func beginWithin(t *testing.T, c *Carrier, target Target, limit clocker.Millis) *Response {
	t.Helper()
	id := fmt.Sprint("id-", lastID.Add(1))
	r := Request{ID: id, Method: "POST", URI: "/unframed", Host: "h", Header: http.Header{"X-Id": {id}}, MaxIdleTime: clocker.Minute}
	if limit > 0 {
		r.Deadline = c.cfg.Clock.Now() + limit
	}
	resp, err := c.Send(context.Background(), target, r)
	assert.NilError(t, err)
	_, err = io.ReadFull(resp, make([]byte, len("first,")))
	assert.NilError(t, err)
	return resp
}

// readAll reads the responses to their ends at the same time and returns how many are whole, and the first error.
func readAll(responses []*Response) (whole int, cut error) {
	var group sync.WaitGroup
	errs := make([]error, len(responses))
	for i, resp := range responses {
		group.Go(func() {
			_, errs[i] = io.ReadAll(resp)
			resp.Close()
		})
	}
	group.Wait()
	for _, err := range errs {
		if err == nil {
			whole++
		} else if cut == nil {
			cut = err
		}
	}
	return whole, cut
}

// endAll lets the server end all its answers.
func (s *leavingServer) endAll() {
	for range manyAnswers {
		s.proceed <- struct{}{}
	}
}

// Guards against whole answers of a leaving server that are cut at their end since there are more of them than connections
// to ask on.
func TestAllAnswersOfALeavingServerAreComplete(t *testing.T) {
	s := newLeavingServer(t, "7")
	responses := leaveWithMany(t, newIdentityCarrier(nil), s, fewConns, 0)
	go s.endAll()
	whole, err := readAll(responses)
	assert.Equal(t, whole, manyAnswers, "%v", err)
}

// The same with fewer connections than answers, as many as their time limits need.
func TestConnectionsToALeavingServerAreFew(t *testing.T) {
	const limit = 5 * clocker.Second
	most := concluder.Wanted(manyAnswers, limit)
	s := newLeavingServer(t, "7")
	responses := leaveWithMany(t, newIdentityCarrier(nil), s, 1, limit)
	go s.endAll()
	whole, err := readAll(responses)
	assert.Equal(t, whole, manyAnswers, "%v", err)
	assert.Assert(t, s.accepted <= manyAnswers+most, "%d connections", s.accepted)
}

// Guards against cut answers that look whole: the server is killed while it sends, also right behind an answer to an ask.
func TestNoAnswerOfAKilledServerIsComplete(t *testing.T) {
	for _, ended := range []int{0, 1, 3} {
		s := newLeavingServer(t, "7")
		results := make(chan error, manyAnswers)
		for _, resp := range leaveWithMany(t, newIdentityCarrier(nil), s, fewConns, 0) {
			go func() {
				_, err := io.ReadAll(resp)
				resp.Close()
				results <- err
			}()
		}
		for range ended {
			s.proceed <- struct{}{}
			assert.NilError(t, <-results)
		}
		s.die()
		for range manyAnswers - ended {
			err := <-results
			assert.Assert(t, IsErrServerGone(err), "%v", err)
		}
	}
}

// scriptedServer answers /unframed with a body that ends once end receives a value, and identity calls as tell does, which
// gets the number of the connection and of the call on it.
func scriptedServer(t *testing.T, end <-chan struct{}, tellOn func(conn, call int, c net.Conn) (open bool)) Target {
	address := rawServer(t, func(n int, c net.Conn, r *bufio.Reader) {
		for call := 1; ; call++ {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if req.URL.Path != identityPath {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n\r\nfirst,", req.Header.Get("X-Id"))
				<-end
				_, _ = io.WriteString(c, "last")
				return
			}
			if !tellOn(n, call, c) {
				return
			}
		}
	})
	return Target{ID: "one", Address: address, StartedAt: 7, Identifies: true}
}

// Guards against a whole answer that becomes a failure since its server answers identity calls with an error status while
// it is busy: on a connection that was open before, that is an answer too.
func TestErrorStatusOnAnOpenConnectionIsAnAnswer(t *testing.T) {
	end := make(chan struct{})
	var busy atomic.Bool
	asked := make(chan struct{}, 10)
	target := scriptedServer(t, end, func(_, _ int, c net.Conn) bool {
		if busy.Load() {
			_, _ = io.WriteString(c, "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")
			return true
		}
		tell(c, "7", "")
		asked <- struct{}{}
		return true
	})
	c := newIdentityCarrier(nil)
	resp := beginWithin(t, c, target, 0)
	for range 2 { // on the connection of the answer, and on the other one
		<-asked
	}
	awaitConns(resp.witness, 1)
	busy.Store(true)
	close(end)
	_, err := io.ReadAll(resp)
	resp.Close()
	assert.NilError(t, err)
}

// Guards against a whole answer that becomes a failure since its server, which is busy, breaks the first new connections.
func TestServerThatBreaksNewConnectionsForAWhileRuns(t *testing.T) {
	end := make(chan struct{})
	var broken atomic.Int64
	target := scriptedServer(t, end, func(conn, _ int, c net.Conn) bool {
		if conn > 1 && broken.Add(1) <= 3 {
			return false
		}
		tell(c, "7", "")
		return true
	})
	resp := beginWithin(t, newIdentityCarrier(nil), target, 0)
	close(end)
	_, err := io.ReadAll(resp)
	resp.Close()
	assert.NilError(t, err)
}

// Guards against a whole answer that becomes a failure since the server has closed the open connection as idle: it tells
// its timeout, and breaks new connections later on.
func TestOpenConnectionIsKeptFromIdleTimeouts(t *testing.T) {
	end := make(chan struct{})
	var full atomic.Bool
	kept := make(chan struct{}, 100)
	target := scriptedServer(t, end, func(_, call int, c net.Conn) bool {
		if full.Load() && call == 1 {
			return false // a new connection
		}
		tell(c, "7", "Keep-Alive: timeout=1\r\n")
		if call > 1 {
			kept <- struct{}{}
		}
		return true
	})
	c := newIdentityCarrier(nil)
	resp := beginWithin(t, c, target, 0)
	awaitConns(resp.witness, 1)
	full.Store(true)
	for range 3 { // each before a second without a call has passed
		<-kept
	}
	close(end)
	_, err := io.ReadAll(resp)
	resp.Close()
	assert.NilError(t, err)
}

// Guards against ends that wait for the slow answer to an ask for others.
func TestSlowAskDoesNotHoldUpFurtherOnes(t *testing.T) {
	end, slow := make(chan struct{}), make(chan struct{})
	t.Cleanup(func() { close(slow) })
	var hang atomic.Bool
	target := scriptedServer(t, end, func(_, _ int, c net.Conn) bool {
		if hang.CompareAndSwap(true, false) {
			<-slow
		}
		tell(c, "7", "")
		return true
	})
	c := newIdentityCarrier(nil)
	one, two := beginWithin(t, c, target, 0), beginWithin(t, c, target, 0)
	awaitConns(one.witness, 1)
	hang.Store(true)
	begun := c.cfg.Clock.Now()
	results := make(chan error, 2)
	read := func(resp *Response) {
		_, err := io.ReadAll(resp)
		results <- err
	}
	go read(one)
	end <- struct{}{}
	for hang.Load() { // until the server has got the ask
		runtime.Gosched()
	}
	go read(two)
	end <- struct{}{}
	assert.NilError(t, <-results)
	assert.Assert(t, c.cfg.Clock.Now()-begun < confirmTimeout, "the second end waited for the first ask")
	one.Close()
	two.Close()
	<-results
}

// A server that stands still and goes on has answered late, and one whose asked connection breaks is asked on another.
func TestEndsAreProvenByALateAnswerAndBehindABrokenConnection(t *testing.T) {
	for name, trouble := range map[string]func(c net.Conn) bool{
		"late answer": func(net.Conn) bool {
			clocker.NewWall().SleepUncancellable(clocker.Second)
			return true
		},
		"broken connection": func(net.Conn) bool { return false },
	} {
		end := make(chan struct{})
		var troubled atomic.Bool
		target := scriptedServer(t, end, func(_, _ int, c net.Conn) bool {
			if troubled.CompareAndSwap(true, false) && !trouble(c) {
				return false
			}
			tell(c, "7", "")
			return true
		})
		c := newIdentityCarrier(nil)
		responses := []*Response{beginWithin(t, c, target, 0), beginWithin(t, c, target, 0)}
		awaitConns(responses[0].witness, 1)
		troubled.Store(true)
		close(end)
		whole, err := readAll(responses)
		assert.Equal(t, whole, len(responses), "%s: %v", name, err)
	}
}

// Guards against a cut answer that looks whole: the server has died and was started again at its address.
func TestRestartedServerProvesNoEnd(t *testing.T) {
	end := make(chan struct{})
	var startedAt atomic.Int64
	startedAt.Store(7)
	var conns sync.Map
	target := scriptedServer(t, end, func(_, _ int, c net.Conn) bool {
		conns.Store(c, true)
		tell(c, fmt.Sprint(startedAt.Load()), "")
		return true
	})
	resp := beginWithin(t, newIdentityCarrier(nil), target, 0)
	awaitConns(resp.witness, 1)
	startedAt.Store(8)
	conns.Range(func(c, _ any) bool {
		_ = c.(net.Conn).Close()
		return true
	})
	_, err := io.ReadAll(resp)
	resp.Close()
	assert.Assert(t, IsErrServerGone(err), "%v", err)
	assert.Assert(t, strings.Contains(err.Error(), errNotSameServer.Error()), "%v", err)
}
