package runner

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// callers tracks the connections of callers. A connection is closed only while no
// request is on it, and a request that arrives on one being closed is not passed
// on: the standard server's own closing of idle connections can meet a request
// that it has just read.
type connTracker struct {
	mu    sync.Mutex
	conns map[net.Conn]*callerConn
	// shut is true once no request is passed on any more.
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

// attach is the http.Server's ConnContext.
func (c *connTracker) connContext(ctx context.Context, conn net.Conn) context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := &callerConn{}
	c.conns[conn] = state
	return context.WithValue(ctx, connKey{}, state)
}

// follow is the http.Server's ConnState.
func (c *connTracker) connState(conn net.Conn, state http.ConnState) {
	if state != http.StateClosed && state != http.StateHijacked {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
}

// guard passes requests on to next, but for those on connections being closed.
func (c *connTracker) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		state, ok := r.Context().Value(connKey{}).(*callerConn)
		if ok {
			if !c.startRequest(state) {
				panic(http.ErrAbortHandler)
			}
			defer c.endRequest(state)
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

func (c *connTracker) endRequest(state *callerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state.busy = false
}

// closeIdle closes the connections without a request and returns how many have
// one. Once none has, or if forced, no request is passed on any more.
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
		_ = conn.Close() // it is given up
	}
	c.refusing = c.refusing || busy == 0 || force
	return busy
}
