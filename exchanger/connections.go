package exchanger

import (
	"bufio"
	"container/list"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"
)

const (
	// connsPerMb is the number of connections for each MB of memory. An idle one takes 12 KB, so that all
	// together take a twentieth of it; the clients of another host keep up to maxIdlePerPeer.
	connsPerMb = 4
	// defaultMaxConns bounds the connections of a process without a memory limit.
	defaultMaxConns = 4096
	// minConns is the number of connections that are allowed with any limit.
	minConns = 64
	// descriptorsDivisor is the part of the descriptors that connections may take: callers may have half of them.
	descriptorsDivisor = 4
	// strangersDivisor is the part of the connections that those without a complete call keep, so that a new
	// one has time for its first call.
	strangersDivisor = 4
)

var (
	closedConns  = metrics.NewCounter(`cowsliphinge_exchange_connections_closed_total{reason="longest_idle"}`)
	refusedConns = metrics.NewCounter(`cowsliphinge_exchange_connections_closed_total{reason="all_busy"}`)
)

// maxConns returns the bound of the connections. memoryMb is the memory limit of the process and descriptors that of
// its open descriptors; 0 means none.
func maxConns(memoryMb, descriptors int64) int {
	limit := int64(defaultMaxConns)
	if memoryMb > 0 {
		limit = memoryMb * connsPerMb
	}
	if descriptors > 0 {
		limit = min(limit, descriptors/descriptorsDivisor)
	}
	return int(max(limit, minConns))
}

// descriptorLimit returns the smaller of configured and the system's limit of open descriptors, 0 if there is none.
func descriptorLimit(configured int64) int64 {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil || limit.Cur > 1<<31 {
		return configured
	}
	if configured > 0 {
		return min(configured, int64(limit.Cur))
	}
	return int64(limit.Cur)
}

// connBound bounds the connections of a server. At the bound, the connection that has been without a complete call
// for longest is closed: first of those that never had one, unless few of them are left. A call is complete
// once its key and all of its body were accepted.
type connBound struct {
	max int

	mu   sync.Mutex
	open map[*boundedConn]struct{}
	// strangers are the connections without a complete call, by the time since they were accepted, and idle
	// those between two calls, by the time since the last one; the longest first.
	strangers, idle list.List
}

func newConnBound(maxOpen int) *connBound {
	return &connBound{max: maxOpen, open: map[*boundedConn]struct{}{}}
}

// boundedConn is a connection that counts until it is closed.
type boundedConn struct {
	net.Conn
	bound *connBound

	// within is the list that the connection is in, nil during a call; place is its element. Both are guarded by
	// the lock of bound.
	within *list.List
	place  *list.Element
}

// boundedListener accepts the connections that its bound admits.
type boundedListener struct {
	net.Listener
	bound *connBound
}

// Accept implements net.Listener. A connection that is not admitted is closed.
func (l boundedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := l.bound.admit(c); conn != nil {
			return conn, nil
		}
		_ = c.Close() // the connection is discarded
	}
}

// admit counts a connection, and closes another one for it at the bound. It returns nil if all have calls.
func (b *connBound) admit(c net.Conn) *boundedConn {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.open) >= b.max {
		longest := b.longest()
		if longest == nil {
			refusedConns.Inc()
			return nil
		}
		closedConns.Inc()
		b.forget(longest)
		_ = longest.Conn.Close() // the connection is discarded
	}
	conn := &boundedConn{Conn: c, bound: b}
	b.open[conn] = struct{}{}
	conn.list(&b.strangers)
	return conn
}

// longest returns the connection to be closed, or nil.
func (b *connBound) longest() *boundedConn {
	e := b.strangers.Front()
	if e == nil || b.strangers.Len() < b.max/strangersDivisor && b.idle.Len() > 0 {
		e = b.idle.Front()
	}
	if e == nil {
		return nil
	}
	return e.Value.(*boundedConn)
}

// list puts the connection at the end of a list, or in none.
func (c *boundedConn) list(l *list.List) {
	if c.within != nil {
		c.within.Remove(c.place)
	}
	c.within, c.place = l, nil
	if l != nil {
		c.place = l.PushBack(c)
	}
}

func (b *connBound) forget(c *boundedConn) {
	c.list(nil)
	delete(b.open, c)
}

// move puts a connection that still counts into a list.
func (b *connBound) move(c *boundedConn, l *list.List) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.open[c]; ok {
		c.list(l)
	}
}

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	c.bound.mu.Lock()
	c.bound.forget(c)
	c.bound.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite closes the sending side, so that the client can read a refusal before the connection is closed.
func (c *boundedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

type connKey struct{}

// connContext is the ConnContext hook of the http.Server.
func connContext(ctx context.Context, c net.Conn) context.Context {
	if bounded := boundedConnOf(c); bounded != nil {
		return context.WithValue(ctx, connKey{}, bounded)
	}
	return ctx
}

// connState is the ConnState hook of the http.Server. A tunnel counts no more: its host is known, and it lasts.
func (b *connBound) connState(c net.Conn, state http.ConnState) {
	if bounded := boundedConnOf(c); bounded != nil && state == http.StateHijacked {
		b.mu.Lock()
		b.forget(bounded)
		b.mu.Unlock()
	}
}

// boundedConnOf returns the connection below TLS, or nil.
func boundedConnOf(c net.Conn) *boundedConn {
	if secure, ok := c.(*tls.Conn); ok {
		c = secure.NetConn()
	}
	bounded, _ := c.(*boundedConn)
	return bounded
}

// wrap returns a handler of complete calls. Their connections stay open while they are handled.
func (b *connBound) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connKey{}).(*boundedConn); ok {
			b.move(conn, nil)
			defer b.move(conn, &b.idle)
		}
		next.ServeHTTP(w, r)
	})
}

// tunnelWriter gives tunnels the connection itself, whose options they set.
type tunnelWriter struct {
	http.ResponseWriter
}

// Unwrap is for http.ResponseController.
func (t tunnelWriter) Unwrap() http.ResponseWriter { return t.ResponseWriter }

// Hijack implements http.Hijacker.
func (t tunnelWriter) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	c, buffered, err := http.NewResponseController(t.ResponseWriter).Hijack()
	if bounded, ok := c.(*boundedConn); ok {
		c = bounded.Conn
	}
	return c, buffered, err
}

// withConnection returns a handler of tunnels that gives them the connection itself.
func withConnection(tunnels http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tunnels.ServeHTTP(tunnelWriter{w}, r)
	})
}
