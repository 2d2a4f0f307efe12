package listener

import (
	"container/list"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"cowsliphinge/admitter"
	"cowsliphinge/clocker"
	"cowsliphinge/connector"
)

const (
	// socketBufferBytes bounds each kernel buffer of a caller's connection, where the process has a memory
	// limit. The kernel doubles it. A round trip of 100 ms then carries 10 Mbit/s.
	socketBufferBytes = 128 << 10
	// writePieceBytes is the length of the writes of an answer, each of which must end within
	// callerProgressTimeout: a slow link is not taken for a caller that does not read.
	writePieceBytes = 32 << 10
	// stalledAfter is the time after which an answer of which the caller reads nothing is broken off if its
	// memory is needed for others, in milliseconds.
	stalledAfter = 5 * clocker.Second
	// sweepPause is the time between two looks for such answers, in milliseconds.
	sweepPause = clocker.Second
)

var (
	connectionsClosedIdle = metrics.NewCounter(`cowsliphinge_caller_connections_closed_total{reason="longest_idle"}`)
	connectionsClosedRead = metrics.NewCounter(`cowsliphinge_caller_connections_closed_total{reason="not_reading"}`)
	connectionsClosedNew  = metrics.NewCounter(`cowsliphinge_caller_connections_closed_total{reason="all_busy"}`)
)

// errEvicted is the read error of a connection whose request was evicted from the memory budget.
var errEvicted = errors.New("the memory of the request was needed for others")

// connections tracks a network listener and the open connections of callers that it has accepted.
type connections struct {
	clock *clocker.Clock
	max   int64
	// budget may be nil.
	budget *admitter.Budget
	// boundsBuffers is true if the kernel buffers of the connections are bounded.
	boundsBuffers bool

	mu   sync.Mutex
	ln   net.Listener
	open map[*callerConn]bool
	// waiting holds the connections without a complete request, the one that has waited for longest first.
	waiting *list.List
	closed  bool
	// nextSweep is when closeStalled looks at the connections again at the earliest.
	nextSweep clocker.Millis
}

func newConnections(clock *clocker.Clock, maxOpen int64, budget *admitter.Budget, boundsBuffers bool) *connections {
	return &connections{clock: clock, max: maxOpen, budget: budget, boundsBuffers: boundsBuffers, open: map[*callerConn]bool{}, waiting: list.New()}
}

// wrap wraps ln. On the connections of the returned listener each read and write
// must make progress within callerProgressTimeout.
func (c *connections) wrap(ln net.Listener) net.Listener {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ln = ln
	return progressListener{Listener: ln, conns: c}
}

// close closes the listener and all open connections.
func (c *connections) close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	var errs []error
	if c.ln != nil {
		errs = append(errs, c.ln.Close())
	}
	for conn := range c.open {
		errs = append(errs, conn.rawConn.Close())
	}
	clear(c.open)
	c.waiting.Init()
	return errors.Join(errs...)
}

// add adds a connection. At the limit it closes the one that has been without a complete request for longest, or
// the new one if there is none.
func (c *connections) add(conn *callerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.rawConn.Close()
		return
	}
	if int64(len(c.open)) >= c.max {
		longest := c.waiting.Front()
		if longest == nil {
			connectionsClosedNew.Inc()
			_ = conn.rawConn.Close()
			return
		}
		connectionsClosedIdle.Inc()
		c.drop(longest.Value.(*callerConn))
	}
	c.open[conn] = true
	conn.place = c.waiting.PushBack(conn)
}

// drop closes a connection and forgets it. The caller holds mu.
func (c *connections) drop(conn *callerConn) {
	_ = conn.rawConn.Close()
	c.forget(conn)
}

// forget removes a connection. The caller holds mu.
func (c *connections) forget(conn *callerConn) {
	delete(c.open, conn)
	if conn.place != nil {
		c.waiting.Remove(conn.place)
		conn.place = nil
	}
}

func (c *connections) remove(conn *callerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forget(conn)
}

// markBusy notes that the request of a connection is complete.
func (c *connections) markBusy(conn *callerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn.place != nil {
		c.waiting.Remove(conn.place)
		conn.place = nil
	}
}

// markWaiting notes that a connection waits for its next request.
func (c *connections) markWaiting(conn *callerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[conn] && conn.place == nil {
		conn.place = c.waiting.PushBack(conn)
	}
}

// closeStalled closes connections whose callers have read nothing of an answer for stalledAfter.
func (c *connections) closeStalled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if now < c.nextSweep {
		return
	}
	c.nextSweep = now + sweepPause
	for conn := range c.open {
		if since := clocker.Millis(conn.writingSince.Load()); since != 0 && now-since >= stalledAfter {
			connectionsClosedRead.Inc()
			c.drop(conn)
		}
	}
}

// stateChanged releases what a request held once it is answered.
func (c *connections) stateChanged(conn net.Conn, state fasthttp.ConnState) {
	if state != fasthttp.StateIdle {
		return
	}
	if caller := callerConnOf(conn); caller != nil {
		caller.holding.Reset()
		c.markWaiting(caller)
	}
}

// callerConnOf returns the connection below TLS.
func callerConnOf(conn net.Conn) *callerConn {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	caller, _ := conn.(*callerConn)
	return caller
}

// progressListener adds the connections that it accepts to conns.
type progressListener struct {
	net.Listener
	conns *connections
}

// Accept returns the next connection.
func (p progressListener) Accept() (net.Conn, error) {
	conn, err := p.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok && p.conns.boundsBuffers {
		_ = tcp.SetReadBuffer(socketBufferBytes)  // fails only if the connection is closed
		_ = tcp.SetWriteBuffer(socketBufferBytes) // likewise
	}
	caller := &callerConn{ProgressConn: connector.NewProgressConn(conn, callerProgressTimeout), rawConn: conn, conns: p.conns}
	if p.conns.budget != nil {
		caller.holding = p.conns.budget.Open(caller)
	}
	p.conns.add(caller)
	return caller, nil
}

// callerConn is a connection of a caller. It is removed from conns when it is closed.
type callerConn struct {
	*connector.ProgressConn
	rawConn net.Conn
	conns   *connections
	// holding is the memory that the current request holds; nil without a budget.
	holding *admitter.Holding
	evicted atomic.Bool
	// deadline is that of the current request, nil for none.
	deadline atomic.Pointer[time.Time]
	// writingSince is when the write in progress began, 0 for none.
	writingSince atomic.Int64
	// place is the element of connections.waiting, nil while a request is served.
	place *list.Element
}

// Evict implements admitter.Evictor: the read in progress and all later ones fail.
func (c *callerConn) Evict() {
	c.evicted.Store(true)
	_ = c.rawConn.SetReadDeadline(clocker.FromNow(0)) // fails only if the connection is closed
}

// SetReadDeadline sets the deadline of the current request; the zero time means none.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if t.IsZero() {
		c.deadline.Store(nil)
		return nil
	}
	c.deadline.Store(&t)
	return nil
}

// Read reads at least one byte before callerProgressTimeout and the deadline of the request.
func (c *callerConn) Read(b []byte) (int, error) {
	limit := clocker.FromNow(callerProgressTimeout)
	if d := c.deadline.Load(); d != nil && d.Before(limit) {
		limit = *d
	}
	if err := c.rawConn.SetReadDeadline(limit); err != nil {
		return 0, err
	}
	// After the deadline is set: an eviction sets its own one after the mark.
	if c.evicted.Load() {
		return 0, errEvicted
	}
	return c.rawConn.Read(b)
}

// Write writes b in pieces, each of which must be taken within callerProgressTimeout.
func (c *callerConn) Write(b []byte) (int, error) {
	defer c.writingSince.Store(0)
	written := 0
	for {
		c.writingSince.Store(int64(c.conns.clock.Now()))
		piece := b[written:min(len(b), written+writePieceBytes)]
		n, err := c.ProgressConn.Write(piece)
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// Close closes the connection.
func (c *callerConn) Close() error {
	c.conns.remove(c)
	err := c.ProgressConn.Close()
	c.holding.Reset()
	return err
}
