package soaker

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

// echo answers each byte by itself until the connection ends.
func echo(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			_, _ = io.Copy(c, c)
			_ = c.Close()
		}()
	}
}

// passes reports whether a byte comes back through a connection.
func passes(c net.Conn) bool {
	b := []byte{1}
	if _, err := c.Write(b); err != nil {
		return false
	}
	_, err := io.ReadFull(c, b)
	return err == nil
}

// A proxy refuses connections and ends the open ones while anyone wants it to, and passes them on at the same address
// afterwards.
func TestProxyRefusesConnections(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	go echo(l)
	p, err := newProxy(l.Addr().String(), clocker.NewWall())
	assert.NilError(t, err)
	defer p.close()
	dial := func() (net.Conn, error) { return net.Dial("tcp4", p.address()) }
	open, err := dial()
	assert.NilError(t, err)
	assert.Assert(t, passes(open))
	p.refuse()
	p.refuse()
	assert.Assert(t, !passes(open))
	for range 2 {
		_, err = dial()
		assert.Assert(t, errors.Is(err, syscall.ECONNREFUSED), "%v", err)
		assert.NilError(t, p.accepts())
	}
	again, err := dial()
	assert.NilError(t, err)
	assert.Assert(t, passes(again))
}
