package refuser

import (
	"errors"
	"net"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against tests that meet another process at the port of a server that is gone.
func TestPortStaysTakenAndRefuses(t *testing.T) {
	l, err := Listen()
	assert.NilError(t, err)
	address := l.Addr().String()
	c, err := net.Dial("tcp4", address)
	assert.NilError(t, err)
	assert.NilError(t, c.Close())
	assert.NilError(t, l.Close())
	_, err = net.Dial("tcp4", address)
	assert.Assert(t, errors.Is(err, syscall.ECONNREFUSED), "%v", err)
	_, err = net.Listen("tcp4", address)
	assert.Assert(t, errors.Is(err, syscall.EADDRINUSE), "%v", err)
	assert.NilError(t, l.Release())
	again, err := net.Listen("tcp4", address)
	assert.NilError(t, err)
	assert.NilError(t, again.Close())
}
