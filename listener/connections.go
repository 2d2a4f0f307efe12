package listener

import (
	"errors"
	"net"
	"sync"

	"cowsliphinge/connector"
)

// connections tracks a network listener and the open connections of callers that it
// has accepted.
type connections struct {
	mu     sync.Mutex
	ln     net.Listener
	open   map[net.Conn]bool
	closed bool
}

func newConnections() *connections {
	return &connections{open: map[net.Conn]bool{}}
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
		errs = append(errs, conn.Close())
	}
	clear(c.open)
	return errors.Join(errs...)
}

func (c *connections) add(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close()
		return
	}
	c.open[conn] = true
}

func (c *connections) remove(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, conn)
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
	p.conns.add(conn)
	return &callerConn{ProgressConn: connector.NewProgressConn(conn, callerProgressTimeout), rawConn: conn, conns: p.conns}, nil
}

// callerConn is a connection of a caller. It is removed from conns when it is closed.
type callerConn struct {
	*connector.ProgressConn
	rawConn net.Conn
	conns   *connections
}

// Close closes the connection.
func (c *callerConn) Close() error {
	c.conns.remove(c.rawConn)
	return c.ProgressConn.Close()
}
