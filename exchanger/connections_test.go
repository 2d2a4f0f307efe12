package exchanger

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

// countedConn is a connection that knows whether it was closed.
type countedConn struct {
	net.Conn
	closed bool
}

func (c *countedConn) Close() error {
	c.closed = true
	return nil
}

// admitted returns n connections that a bound has admitted.
func admitted(t *testing.T, b *connBound, n int) []*boundedConn {
	var conns []*boundedConn
	for range n {
		c := b.admit(&countedConn{})
		assert.Assert(t, c != nil)
		conns = append(conns, c)
	}
	return conns
}

func closed(c *boundedConn) bool { return c.Conn.(*countedConn).closed }

// Load: clients without a key keep connections. The idle connection of a host, which is older than theirs, would
// otherwise be closed for them.
func TestConnectionsWithoutACallAreClosedFirst(t *testing.T) {
	b := newConnBound(8)
	conns := admitted(t, b, 8)
	b.move(conns[0], nil)
	b.move(conns[0], &b.idle)
	admitted(t, b, 100)
	assert.Assert(t, !closed(conns[0]))
	for _, c := range conns[1:] {
		assert.Assert(t, closed(c))
	}
	assert.Equal(t, len(b.open), 8)
}

// Load: hosts keep all connections. A new one would otherwise be closed for the next before its first call.
func TestNewConnectionsHaveTimeForTheirFirstCall(t *testing.T) {
	b := newConnBound(8)
	conns := admitted(t, b, 8)
	for _, c := range conns {
		b.move(c, nil)
	}
	for _, c := range conns {
		b.move(c, &b.idle)
	}
	added := admitted(t, b, 2)
	assert.Assert(t, closed(conns[0]) && closed(conns[1]) && !closed(conns[2]), "those without a call for longest")
	admitted(t, b, 1)
	assert.Assert(t, closed(added[0]) && !closed(added[1]) && !closed(conns[2]), "a quarter is for new ones")
}

// Load: calls on all connections. None of them is cut off, and a connection that ends makes room.
func TestConnectionsWithCallsStay(t *testing.T) {
	b := newConnBound(4)
	conns := admitted(t, b, 4)
	for _, c := range conns {
		b.move(c, nil)
	}
	assert.Assert(t, b.admit(&countedConn{}) == nil)
	assert.NilError(t, conns[0].Close())
	b.move(conns[0], &b.idle) // its handler ends later
	assert.Equal(t, len(admitted(t, b, 1)), 1)
	assert.Assert(t, !closed(conns[1]) && !closed(conns[2]) && !closed(conns[3]))
	assert.Equal(t, b.idle.Len(), 0)
}

// Guards against a bound that ordinary deployments reach: 195 hosts keep two connections each.
func TestConnectionsAreBoundedByMemoryAndDescriptors(t *testing.T) {
	for _, c := range []struct {
		memoryMb, descriptors int64
		want                  int
	}{{144, 3075, 576}, {144, 1024, 256}, {0, 0, defaultMaxConns}, {536, 3075, 768}, {4, 0, minConns}} {
		assert.Equal(t, maxConns(c.memoryMb, c.descriptors), c.want, "%+v", c)
	}
	assert.Assert(t, descriptorLimit(100) <= 100)
}

// Guards against tunnels that can't reset their connection, since it is not the one of the network, and against
// tunnels that take the connections of calls.
func TestTunnelsGetTheConnectionItself(t *testing.T) {
	got := make(chan net.Conn, 1)
	s := NewServer(ServerConfig{
		RouterKey: stubRouterKey, HeartbeatHandler: stubRouter{}, TransferHandler: stubRouter{}, Ready: func() bool { return true },
		Tunnels: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				c = nil
			}
			got <- c
		}),
	})
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = s.Serve(l) }() // ends by Close
	defer func() { _ = s.Close() }()
	c, err := net.Dial("tcp4", l.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	assert.NilError(t, c.SetDeadline(clocker.FromNow(clocker.Minute)))
	_, err = fmt.Fprintf(c, "CONNECT 127.0.0.1:1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n\r\n", stubRouterKey)
	assert.NilError(t, err)
	tunnel := <-got
	_, ok := tunnel.(*net.TCPConn)
	assert.Assert(t, ok, "%T", tunnel)
	s.conns.mu.Lock()
	assert.Equal(t, len(s.conns.open), 0)
	s.conns.mu.Unlock()
	assert.NilError(t, tunnel.Close())
	_, err = io.Copy(io.Discard, c)
	assert.NilError(t, err)
}
