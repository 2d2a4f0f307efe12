package carrier

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"syscall"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	"cowsliphinge/clocker"
)

const (
	// readBufferBytes holds the head of an answer and several events of a stream.
	readBufferBytes = 4 << 10
	// unackedFor is how long sent bytes may stay without acknowledgement, in
	// milliseconds, before the connection counts as dead.
	ackTimeout = 1500 * clocker.Millis(1)
	// receiveBufferBytes bounds what a server can send to a connection that is not
	// read, such as an unused one.
	receiveBufferBytes = 64 << 10
	// unlimited ends the bound of conn.limit.
	noReadLimit = -1
)

var errPreBodyTooLong = errors.New("the server sent too much before the body of its answer")

// conn is one connection to a backend server.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	traffic Traffic
	// usedAt is when the last exchange ended.
	idleSince clocker.Millis
	// idleFor is how long the server keeps the connection without a request; 0 if
	// it did not say.
	serverIdleTimeout clocker.Millis
	// ids are hashes of the IDs of all requests that the connection carried.
	requestIDHashes []uint64
	// left is how many bytes may still be received, or unlimited.
	readLimit int
}

func dial(ctx context.Context, address string, timeout clocker.Millis, traffic Traffic) (*conn, error) {
	dialer := net.Dialer{Timeout: timeout.Duration(), Control: setSocketOptions}
	c, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return newConn(c, traffic), nil
}

func newConn(c net.Conn, traffic Traffic) *conn {
	cn := &conn{Conn: c, traffic: traffic, readLimit: noReadLimit}
	cn.reader = bufio.NewReaderSize(cn, readBufferBytes)
	return cn
}

// begin notes that a request of this ID is sent.
func (c *conn) addRequestID(id string) {
	c.requestIDHashes = append(c.requestIDHashes, xxhash.Sum64String(id))
}

// carried reports whether a request of this ID was sent before.
func (c *conn) hasRequestID(id string) bool {
	return slices.Contains(c.requestIDHashes, xxhash.Sum64String(id))
}

// first reports whether the exchange is the first one on the connection.
func (c *conn) isFirstExchange() bool {
	return len(c.requestIDHashes) == 1
}

// limit bounds the bytes that are received from now on.
func (c *conn) setReadLimit(n int) {
	c.readLimit = n
}

// Read implements net.Conn and counts what goes over the link.
func (c *conn) Read(b []byte) (int, error) {
	if c.readLimit == 0 {
		return 0, errPreBodyTooLong
	}
	if c.readLimit > 0 {
		b = b[:min(len(b), c.readLimit)]
	}
	n, err := c.Conn.Read(b)
	if c.readLimit > 0 {
		c.readLimit -= n
	}
	c.traffic.Received(n)
	return n, err
}

// Write implements net.Conn and counts what goes over the link.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.Sent(n)
	return n, err
}

// control makes the kernel give up on a peer that acknowledges nothing, and bounds
// what it keeps of bytes that were not read.
func setSocketOptions(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = errors.Join(
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout)),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes),
		)
	})
	return errors.Join(err, optionErr)
}

// quiet reports whether an idle connection is still open and no byte came on it:
// a byte without a request belongs to no exchange.
func (c *conn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	rawConn, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = rawConn.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		reusable = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && reusable
}
