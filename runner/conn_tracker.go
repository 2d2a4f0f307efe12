package runner

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"

	"cowsliphinge/admitter"
	"cowsliphinge/clocker"
)

// connTracker tracks the connections of callers. It closes a connection only while it
// has no request, and aborts a request that arrives on a connection being closed. The
// standard server, by contrast, can close an idle connection from which it has just read
// a request.
type connTracker struct {
	cfg connTrackerConfig

	mu    sync.Mutex
	conns map[net.Conn]*callerConn
	// order has the connections by the time since their last complete request, the longest first.
	order list.List
	// refusing is true once no further requests are handled.
	refusing bool
}

// connTrackerConfig configures a connTracker. The zero value sets no bounds.
type connTrackerConfig struct {
	Clock *clocker.Clock
	// MaxConns bounds the connections; 0 means without a bound.
	MaxConns int
	// Stall is how long a response may make no progress, in milliseconds; 0 means without a bound.
	Stall clocker.Millis
	// Memory may be nil.
	Memory *admitter.Budget
}

type connKey struct{}

func newConnTracker() *connTracker {
	return &connTracker{conns: map[net.Conn]*callerConn{}}
}

func newBoundedConnTracker(cfg connTrackerConfig) *connTracker {
	c := newConnTracker()
	c.cfg = cfg
	return c
}

// callerListener accepts the connections that its tracker admits.
type callerListener struct {
	net.Listener
	traffic *traffic
	tracker *connTracker
}

// Accept implements net.Listener. A connection that is not admitted is closed.
func (l callerListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := l.tracker.admit(meteredConn{Conn: c, traffic: l.traffic}); conn != nil {
			return conn, nil
		}
		_ = c.Close() // the connection is discarded
	}
}

// admit starts the tracking of a connection. At the bound, the connection without a request that has been
// without a complete one for longest is closed for it. If all have requests, it returns nil.
func (c *connTracker) admit(conn meteredConn) *callerConn {
	tracked := &callerConn{meteredConn: conn, clock: c.cfg.Clock, stall: c.cfg.Stall}
	if c.cfg.Memory != nil {
		tracked.memory = c.cfg.Memory.Open(tracked)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cfg.MaxConns > 0 && len(c.conns) >= c.cfg.MaxConns {
		closedAtLimit.Inc()
		if !c.closeOldest() {
			return nil
		}
	}
	c.track(tracked, tracked)
	return tracked
}

// closeOldest closes the connection without a request that has been without a complete one for longest, and
// reports whether there is one.
func (c *connTracker) closeOldest() bool {
	for e := c.order.Front(); e != nil; e = e.Next() {
		conn := e.Value.(net.Conn)
		state := c.conns[conn]
		if state.busy {
			continue
		}
		state.closing = true
		c.forget(conn)
		_ = conn.Close() // the connection is discarded
		return true
	}
	return false
}

func (c *connTracker) track(conn net.Conn, state *callerConn) {
	c.conns[conn] = state
	state.position = c.order.PushBack(conn)
}

func (c *connTracker) forget(conn net.Conn) {
	if state := c.conns[conn]; state != nil {
		c.order.Remove(state.position)
		delete(c.conns, conn)
	}
}

// connContext is the ConnContext hook of the http.Server. It starts the tracking of a
// connection that no callerListener has accepted.
func (c *connTracker) connContext(ctx context.Context, conn net.Conn) context.Context {
	state, ok := conn.(*callerConn)
	if !ok {
		state = &callerConn{}
		c.mu.Lock()
		c.track(conn, state)
		c.mu.Unlock()
	}
	if state.memory != nil {
		ctx = admitter.NewContext(ctx, state.memory)
	}
	return context.WithValue(ctx, connKey{}, state)
}

// connState is the ConnState hook of the http.Server. It ends the request of a connection that is idle, and the
// tracking of a closed one. When a handler returns, the server has not sent all of its answer yet.
func (c *connTracker) connState(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateIdle:
		c.endRequest(conn)
	case http.StateClosed, http.StateHijacked:
		c.mu.Lock()
		c.forget(conn)
		c.mu.Unlock()
		if caller, ok := conn.(*callerConn); ok {
			caller.memory.Reset()
		}
	}
}

// endRequest ends the request of a connection.
func (c *connTracker) endRequest(conn net.Conn) {
	c.mu.Lock()
	tracked := c.conns[conn]
	if tracked != nil {
		tracked.busy = false
		c.order.MoveToBack(tracked.position)
	}
	c.mu.Unlock()
	if tracked != nil {
		tracked.memory.Reset()
		tracked.handling.Store(false)
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
	state.handling.Store(state.busy)
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
