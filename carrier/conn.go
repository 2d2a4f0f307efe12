package carrier

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"syscall"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	"cowsliphinge/clocker"
	"cowsliphinge/prober"
	"cowsliphinge/verifier"
)

const (
	// readBufferBytes is enough for a response header or several events of a stream.
	readBufferBytes = 4 << 10
	// receiveBufferBytes limits what a server can send on a connection that is not
	// being read, such as an idle one.
	receiveBufferBytes = 64 << 10
	// noReadLimit passed to conn.setReadLimit removes the limit.
	noReadLimit = -1
)

var (
	errPreBodyTooLong = errors.New("the server sent too much before the body of its answer")
	errNoSocket       = errors.New("the connection is no socket")
	errHeaderTooLong  = errors.New("the header of the server's answer has too many lines")
)

// conn is a connection to a backend server.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	traffic Traffic
	// address is that of the server, set once the connection is idle.
	address string
	// via is the host that the connection passes through, "" for a direct one.
	via string
	// number counts the connections of the Carrier in the order in which they were opened.
	number int64
	// idleSince is when the last exchange of a request and its response ended.
	idleSince clocker.Millis
	// serverIdleTimeout is how long the server keeps the idle connection open; 0 if
	// unknown.
	serverIdleTimeout clocker.Millis
	// incarnation is that of the server.
	incarnation incarnation
	// requestIDHashes are the hashes of the IDs of all requests on the connection.
	requestIDHashes []uint64
	// readLimit is the number of bytes that may still be read, or noReadLimit.
	readLimit int
	// header counts the lines of the header that is being read.
	header headerLines
	// response checks the response that is being read, and broken is its error, after which nothing is read any more.
	response verifier.Response
	broken   error
	// lost is the error of the connection that was found by a look for bytes.
	lost error
	// onSilence is Request.OnSilence of the current request.
	onSilence func(hasBytes func() bool) clocker.Millis
}

// DialDirect connects to a server without passing through another host. timeout is in
// milliseconds.
func DialDirect(ctx context.Context, address string, timeout clocker.Millis) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout.Duration(), Control: setSocketOptions}
	return dialer.DialContext(ctx, "tcp4", address)
}

// dial opens a connection by the Dialer.
func (c *Carrier) dial(ctx context.Context, address string, timeout clocker.Millis) (*conn, error) {
	connections.Inc()
	opened, via, err := c.cfg.Dialer.Dial(ctx, address, timeout)
	if err != nil {
		failedConnections.Inc()
		return nil, err
	}
	cn := newConn(opened, c.cfg.Traffic)
	cn.via = via
	cn.number = c.opened.Add(1)
	return cn, nil
}

func newConn(c net.Conn, traffic Traffic) *conn {
	cn := &conn{Conn: c, traffic: traffic, readLimit: noReadLimit}
	cn.reader = bufio.NewReaderSize(cn, readBufferBytes)
	return cn
}

// addRequestID records that a request with this ID is sent on the connection.
func (c *conn) addRequestID(id string) {
	c.requestIDHashes = append(c.requestIDHashes, xxhash.Sum64String(id))
}

// hasRequestID reports whether a request with this ID was sent on the connection.
func (c *conn) hasRequestID(id string) bool {
	return slices.Contains(c.requestIDHashes, xxhash.Sum64String(id))
}

// isFirstExchange reports whether the current request is the first one on the
// connection.
func (c *conn) isFirstExchange() bool {
	return len(c.requestIDHashes) == 1
}

// isFirstResponse reports whether no response was due on the connection before that to the current request.
func (c *conn) isFirstResponse() bool {
	return c.isFirstExchange() && (!c.incarnation.asked || c.incarnation.toldBefore)
}

// setReadLimit limits the number of bytes read from now on.
func (c *conn) setReadLimit(n int) {
	c.readLimit = n
}

// Read implements net.Conn, counts the bytes, enforces the read limit and checks the response.
func (c *conn) Read(b []byte) (int, error) {
	if c.broken != nil {
		return 0, c.broken
	}
	if c.readLimit == 0 {
		return 0, errPreBodyTooLong
	}
	if c.readLimit > 0 {
		b = b[:min(len(b), c.readLimit)]
	}
	n, err := c.readUnlessSilent(b)
	if c.readLimit > 0 {
		c.readLimit -= n
	}
	c.traffic.Received(n)
	if !c.header.add(b[:n]) {
		return 0, errHeaderTooLong
	}
	valid, broken := c.response.Scan(b[:n])
	if broken == nil {
		return n, err
	}
	c.broken = broken
	if valid == 0 {
		return 0, broken
	}
	return valid, nil
}

// beginResponse starts to check a response and to count the lines of its header. Some of its bytes may have been read
// together with the response before.
func (c *conn) beginResponse(method string) error {
	if c.broken != nil { // found in bytes that were read together with an interim response
		return c.broken
	}
	c.header.begin(maxHeaderLines)
	c.response.Begin(method)
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	_, c.broken = c.response.Scan(buffered)
	return c.broken
}

// cause returns the error of a broken response in place of one that a parser reports for the bytes before what breaks it.
func (c *conn) cause(err error) error {
	if err != nil && c.broken != nil {
		return c.broken
	}
	return err
}

// headerLines counts the lines of a header up to its blank line. Each field takes far more memory once it
// is parsed than its bytes.
type headerLines struct {
	// left is the number of lines that may follow; 0 counts none.
	left int
	// lineBytes is the length of the current line so far.
	lineBytes int
}

// begin starts to count the lines of a header of at most n lines.
func (h *headerLines) begin(n int) {
	*h = headerLines{left: n + 1}
}

// add counts the lines in b. It returns false if the header has too many.
func (h *headerLines) add(b []byte) bool {
	for _, c := range b {
		switch {
		case h.left == 0:
			return true
		case c == '\r':
		case c != '\n':
			h.lineBytes++
		case h.lineBytes == 0: // the blank line
			h.left = 0
		default:
			h.lineBytes = 0
			h.left--
			if h.left == 0 {
				return false
			}
		}
	}
	return true
}

// readUnlessSilent reads. A time limit that passes without bytes ends the read only if onSilence says so:
// a body can't be read on after a read that failed.
func (c *conn) readUnlessSilent(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if n > 0 || c.onSilence == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		wait := c.onSilence(c.hasBytes)
		if c.lost != nil {
			return 0, c.lost
		}
		if wait <= 0 {
			return n, err
		}
		_ = c.SetReadDeadline(clocker.FromNow(wait))
	}
}

// Write implements net.Conn and counts the bytes.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.Sent(n)
	return n, err
}

// writeParts writes the parts in order, in one system call where the connection allows it, and counts the
// bytes.
func (c *conn) writeParts(parts net.Buffers) error {
	n, err := parts.WriteTo(c.Conn)
	c.traffic.Sent(int(n))
	return err
}

// setSocketOptions makes the kernel close a connection whose peer sends no
// acknowledgements, and limits its receive buffer.
func setSocketOptions(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = errors.Join(
			prober.SetTimeout(fd, prober.Timeout),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes),
		)
	})
	return errors.Join(err, optionErr)
}

// isReusable reports whether an idle connection is still open and has received no bytes.
// Bytes without a request belong to no exchange.
func (c *conn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	_, err := c.peek()
	return errors.Is(err, syscall.EAGAIN)
}

// hasBytes reports whether bytes have arrived that were not read yet. It keeps the error of a connection that was lost:
// the kernel gives it to one call only, and a read after it would end like that of a whole response.
func (c *conn) hasBytes() bool {
	n, err := c.peek()
	var errno syscall.Errno
	if errors.As(err, &errno) && errno != syscall.EAGAIN && errno != syscall.EINTR {
		c.lost = err
	}
	return n > 0 && err == nil
}

// peek returns the number of bytes that can be read now, at most 1. The error is syscall.EAGAIN if none
// have arrived on an open connection.
func (c *conn) peek() (int, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, errNoSocket
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	var n int
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n, errors.Join(err, peekErr)
}
