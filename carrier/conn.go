package carrier

import (
	"bufio"
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"cowsliphinge/clocker"
)

const (
	// readBufferBytes holds the head of an answer and several events of a stream.
	readBufferBytes = 4 << 10
	// unackedFor is how long sent bytes may stay without acknowledgement, in
	// milliseconds, before the connection counts as dead.
	unackedFor = 1500 * clocker.Millis(1)
)

// conn is one connection to a backend server.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	traffic Traffic
	// usedAt is when the last exchange ended.
	usedAt clocker.Millis
	// idleFor is how long the server keeps the connection without a request; 0 if
	// it did not say.
	idleFor clocker.Millis
}

func dial(ctx context.Context, address string, timeout clocker.Millis, traffic Traffic) (*conn, error) {
	dialer := net.Dialer{Timeout: timeout.Duration(), Control: control}
	c, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	cn := &conn{Conn: c, traffic: traffic}
	cn.reader = bufio.NewReaderSize(cn, readBufferBytes)
	return cn, nil
}

// Read implements net.Conn and counts what goes over the link.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.Received(n)
	return n, err
}

// Write implements net.Conn and counts what goes over the link.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.Sent(n)
	return n, err
}

// control makes the kernel give up on a peer that acknowledges nothing.
func control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedFor))
	})
	return errors.Join(err, failed)
}

// quiet reports whether an idle connection is still open and no byte came on it:
// a byte without a request belongs to no exchange.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}
