package carrier

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

// leavingServer answers /unframed with a body that ends with its connection, and anything else with a length.
type leavingServer struct {
	listener net.Listener
	// told is what it answers to identity calls, "" if it does not tell its incarnation.
	told string
	// asked receives a value for each identity call, and proceed lets an unframed answer end.
	asked, proceed chan struct{}

	// leaving is true once it closes each connection behind its answer.
	leaving atomic.Bool

	mu    sync.Mutex
	conns []net.Conn
	// accepted counts the connections.
	accepted int
	// dead is true once die was called: a connection that is accepted meanwhile is closed, too.
	dead bool
}

func newLeavingServer(t *testing.T, told string) *leavingServer {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &leavingServer{listener: l, told: told, asked: make(chan struct{}, 100), proceed: make(chan struct{})}
	t.Cleanup(s.die)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, c)
			s.accepted++
			if s.dead {
				_ = c.Close()
			}
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return s
}

func (s *leavingServer) serve(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		switch req.URL.Path {
		case identityPath:
			if s.leaving.Load() {
				s.tellUnlessDead(c, "Connection: close\r\n")
				_ = c.Close()
				return
			}
			s.tellUnlessDead(c, "")
			s.asked <- struct{}{}
		case "/unframed":
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n\r\nfirst,", req.Header.Get("X-Id"))
			if _, open := <-s.proceed; open {
				_, _ = io.WriteString(c, "last")
				_ = c.Close()
			}
			return
		default:
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\nok", req.Header.Get("X-Id"))
		}
	}
}

// tellUnlessDead answers an identity call. A process that is dead answers on no connection, also while others of its
// connections are still being closed.
func (s *leavingServer) tellUnlessDead(c net.Conn, extra string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.dead {
		tell(c, s.told, extra)
	}
}

// die ends the server as the kernel ends a dead process: it closes the listener and all connections.
func (s *leavingServer) die() {
	_ = s.listener.Close()
	s.mu.Lock()
	s.dead = true
	s.mu.Unlock()
	s.closeConns(func(int) bool { return true })
}

// closeConns closes the connections, in the order of their acceptance, for which chosen returns true.
func (s *leavingServer) closeConns(chosen func(n int) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n, c := range s.conns {
		if chosen(n) {
			_ = c.Close()
		}
	}
}

func (s *leavingServer) target() Target {
	return Target{ID: "one", Address: s.listener.Addr().String(), StartedAt: 7, Identifies: s.told != ""}
}

// begin sends a request and returns its response once the first bytes of the body were read.
func begin(t *testing.T, c *Carrier, target Target, path string) *Response {
	t.Helper()
	id := fmt.Sprint("id-", lastID.Add(1))
	resp, err := c.Send(context.Background(), target, Request{ID: id, Method: "POST", URI: path, Host: "h", Header: http.Header{"X-Id": {id}}, MaxIdleTime: clocker.Minute})
	assert.NilError(t, err)
	first := make([]byte, len("first,"))
	if path == "/unframed" {
		_, err = io.ReadFull(resp, first)
		assert.NilError(t, err)
	}
	return resp
}

// keepIdle leaves n idle connections to the server.
func keepIdle(t *testing.T, c *Carrier, target Target, n int) {
	t.Helper()
	var responses []*Response
	for range n {
		responses = append(responses, begin(t, c, target, "/"))
	}
	for _, resp := range responses {
		_, err := io.ReadAll(resp)
		assert.NilError(t, err)
		resp.Close()
	}
}

// awaitAccepted waits until the server has accepted n connections. Closing the listener resets those that it has not.
func (s *leavingServer) awaitAccepted(n int) {
	for {
		s.mu.Lock()
		accepted := s.accepted
		s.mu.Unlock()
		if accepted >= n {
			return
		}
		runtime.Gosched()
	}
}

// awaitConns returns the connections of a witness once there are n.
func awaitConns(w *witness, n int) []*conn {
	for {
		w.mu.Lock()
		conns := slices.Clone(w.conns)
		w.mu.Unlock()
		if len(conns) == n {
			return conns
		}
		runtime.Gosched()
	}
}

// Guards against a whole answer that becomes a failure since its server, which leaves, accepts no connections any more.
func TestEndOfAServerThatAcceptsNoConnectionsIsComplete(t *testing.T) {
	for name, told := range map[string]string{"tells its incarnation": "7", "does not tell it": ""} {
		s := newLeavingServer(t, told)
		c := newIdentityCarrier(nil)
		keepIdle(t, c, s.target(), 2)
		resp := begin(t, c, s.target(), "/unframed")
		_ = s.listener.Close()
		s.proceed <- struct{}{}
		rest, err := io.ReadAll(resp)
		resp.Close()
		assert.NilError(t, err, name)
		assert.Equal(t, string(rest), "last", name)
	}
}

// The same if no connection but that of the answer was open when it began.
func TestConnectionIsOpenedToServersThatSendNoLength(t *testing.T) {
	s := newLeavingServer(t, "7")
	c := newIdentityCarrier(nil)
	responses := []*Response{begin(t, c, s.target(), "/unframed"), begin(t, c, s.target(), "/unframed")}
	for range 3 { // the third connection is opened besides those of the answers
		<-s.asked
	}
	_ = s.listener.Close()
	for range responses {
		s.proceed <- struct{}{}
	}
	for _, resp := range responses {
		_, err := io.ReadAll(resp)
		assert.NilError(t, err)
		resp.Close()
	}
	assert.Equal(t, s.accepted, 3, "answers at the same time share it")
}

// Guards against an answer that was cut and looks complete: the process of a server that leaves dies while it sends.
func TestEndOfALeavingServerThatDiesIsNotComplete(t *testing.T) {
	for name, told := range map[string]string{"tells its incarnation": "7", "does not tell it": ""} {
		s := newLeavingServer(t, told)
		c := newIdentityCarrier(nil)
		keepIdle(t, c, s.target(), 3)
		resp := begin(t, c, s.target(), "/unframed")
		_ = s.listener.Close()
		s.die()
		_, err := io.ReadAll(resp)
		resp.Close()
		assert.Assert(t, IsErrServerGone(err), "%s: %v", name, err)
	}
}

// Guards against a whole answer of a service that closes idle connections sooner than expected: it looks restarted.
func TestServiceThatClosesSomeIdleConnectionsHasNotRestarted(t *testing.T) {
	s := newLeavingServer(t, "")
	c := newIdentityCarrier(nil)
	keepIdle(t, c, s.target(), 3)
	resp := begin(t, c, s.target(), "/unframed") // on the most recently used connection
	c.mu.Lock()
	inUse, kept := resp.conn.LocalAddr().String(), c.idle["one"][0].LocalAddr().String()
	c.mu.Unlock()
	s.closeConns(func(n int) bool {
		remote := s.conns[n].RemoteAddr().String()
		return remote != inUse && remote != kept
	})
	s.proceed <- struct{}{}
	_, err := io.ReadAll(resp)
	resp.Close()
	assert.NilError(t, err)
}

// The connection serves requests once no answer needs it, and is replaced if the server closes it.
func TestWitnessIsReplacedAndReused(t *testing.T) {
	s := newLeavingServer(t, "7")
	c := newIdentityCarrier(nil)
	resp := begin(t, c, s.target(), "/unframed")
	for range 2 {
		<-s.asked
	}
	replaced := awaitConns(resp.witness, 1)[0]
	s.closeConns(func(n int) bool { return n == 1 })
	for awaitConns(resp.witness, 1)[0] == replaced {
		runtime.Gosched()
	}
	s.awaitAccepted(3)
	_ = s.listener.Close()
	s.proceed <- struct{}{}
	_, err := io.ReadAll(resp)
	assert.NilError(t, err)
	w := resp.witness
	resp.Close()
	<-w.released
	keepIdle(t, c, s.target(), 1)
	assert.Equal(t, len(c.witnesses), 0)
}

// Guards against whole answers that become failures since their server, which leaves, closes each connection behind the
// answer that shows that it still runs.
func TestEachAnswerOfALeavingServerHasAConnectionToAskOn(t *testing.T) {
	const answers = 4
	s := newLeavingServer(t, "7")
	c := newIdentityCarrier(nil)
	c.cfg.Leaving = func(string) bool { return s.leaving.Load() }
	var responses []*Response
	for range answers {
		responses = append(responses, begin(t, c, s.target(), "/unframed"))
	}
	for range answers + 1 {
		<-s.asked
	}
	s.leaving.Store(true)
	awaitConns(responses[0].witness, answers)
	s.awaitAccepted(2 * answers)
	_ = s.listener.Close()
	for range responses {
		s.proceed <- struct{}{}
	}
	for _, resp := range responses {
		rest, err := io.ReadAll(resp)
		resp.Close()
		assert.NilError(t, err)
		assert.Equal(t, string(rest), "last")
	}
}
