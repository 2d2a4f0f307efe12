package runner

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// connTracker tracks the connections of callers. It closes a connection only while it
// has no request, and aborts a request that arrives on a connection being closed. The
// standard server, by contrast, can close an idle connection from which it has just read
// a request.
type connTracker struct {
	mu    sync.Mutex
	conns map[net.Conn]*callerConn
	// refusing is true once no further requests are handled.
	refusing bool
}

type callerConn struct {
	busy    bool
	closing bool
}

type connKey struct{}

func newConnTracker() *connTracker {
	return &connTracker{conns: map[net.Conn]*callerConn{}}
}

// connContext is the ConnContext hook of the http.Server. It starts the tracking of a
// connection.
func (c *connTracker) connContext(ctx context.Context, conn net.Conn) context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := &callerConn{}
	c.conns[conn] = state
	return context.WithValue(ctx, connKey{}, state)
}

// connState is the ConnState hook of the http.Server. It ends the request of a connection that is idle, and the
// tracking of a closed one. When a handler returns, the server has not sent all of its answer yet.
func (c *connTracker) connState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateIdle:
		if tracked := c.conns[conn]; tracked != nil {
			tracked.busy = false
		}
	case http.StateClosed, http.StateHijacked:
		delete(c.conns, conn)
	}
}

// wrap returns a handler that calls next, except for requests on connections being
// closed, which it aborts.
func (c *connTracker) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		state, ok := r.Context().Value(connKey{}).(*callerConn)
		if ok && !c.startRequest(state) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func (c *connTracker) startRequest(state *callerConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	state.busy = !state.closing && !c.refusing
	return state.busy
}

// closeIdle closes the connections without a request and returns the number of those
// with one. Once there are none, or with force, further requests are aborted.
func (c *connTracker) closeIdle(force bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	busy := 0
	for conn, state := range c.conns {
		if state.busy {
			busy++
			continue
		}
		state.closing = true
		_ = conn.Close() // the connection is discarded
	}
	c.refusing = c.refusing || busy == 0 || force
	return busy
}
