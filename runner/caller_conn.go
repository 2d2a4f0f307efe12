package runner

import (
	"container/list"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"

	"cowsliphinge/admitter"
	"cowsliphinge/clocker"
)

const (
	// callerBufferBytes are the receive and send buffers of a caller's connection in the kernel, which
	// counts twice as much for its own overhead. What callers send beyond a request, or don't read of a
	// response, stays there. With 50 ms to a caller 5 Mbit/s pass.
	callerBufferBytes = 32 << 10
	// stallChecks is how often the progress of a response is checked within the time that it may stall.
	stallChecks = 2
	// scarceStall is how long a response may make no progress while the memory budget has no room, in
	// milliseconds: TCP repeats a lost packet several times within it.
	scarceStall = 5 * clocker.Second
)

var (
	closedAtLimit = metrics.NewCounter(`cowsliphinge_caller_connections_closed_total{reason="limit"}`)
	closedForHead = metrics.NewCounter(`cowsliphinge_caller_connections_closed_total{reason="memory"}`)
	closedStalled = metrics.NewCounter(`cowsliphinge_caller_connections_closed_total{reason="stalled"}`)
	closedScarce  = metrics.NewCounter(`cowsliphinge_caller_connections_closed_total{reason="stalled_memory_full"}`)
)

var errCallerStalled = errors.New("the caller has read nothing for too long")

// callerConn is the connection of a caller. It charges the heads of requests to the memory budget and aborts
// responses that the caller does not read.
type callerConn struct {
	meteredConn
	clock *clocker.Clock
	// stall is how long a response may make no progress, in milliseconds; 0 means without a limit.
	stall clocker.Millis
	// memory is what the connection holds; nil without a budget.
	memory *admitter.Holding
	// handling is true from the end of the head to the end of the response.
	handling atomic.Bool

	// busy and closing are guarded by the lock of the tracker, and so is position, the place in its list.
	busy     bool
	closing  bool
	position *list.Element

	// armed is the write deadline that was set, 0 for none. Only the writer uses it.
	armed clocker.Millis
}

// Read implements net.Conn. Bytes of a head are charged to the memory budget; the connection is closed if it
// has no room for them. The handler charges the bodies.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.meteredConn.Read(b)
	if n <= 0 || c.memory == nil || c.handling.Load() {
		return n, err
	}
	if full := c.memory.Charge(admitter.HeadCharge(b[:n])); full != nil {
		closedForHead.Inc()
		_ = c.Close() // the connection is discarded
		return 0, full
	}
	return n, err
}

// Evict implements admitter.Evictor: the reading of a head ends with the connection, and that of a body with a
// time-out, which the handler answers.
func (c *callerConn) Evict() {
	if c.handling.Load() {
		_ = c.SetReadDeadline(clocker.FromNow(-clocker.Second)) // fails only if the connection is closed
		return
	}
	closedForHead.Inc()
	_ = c.Close() // the connection is discarded
}

// Write implements net.Conn. It fails and resets the connection once the caller has read nothing for the
// time that a response may stall, which is shorter while the memory budget has no room.
func (c *callerConn) Write(b []byte) (int, error) {
	if c.stall <= 0 {
		return c.meteredConn.Write(b)
	}
	written, unsent := 0, -1
	lastProgress := c.clock.Now()
	for {
		c.armWrite()
		n, err := c.meteredConn.Write(b[written:])
		written += n
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		c.armed = 0
		now, queued := c.clock.Now(), c.unsentBytes()
		if n > 0 || queued < unsent {
			lastProgress = now
		}
		unsent = queued
		if stalled := now - lastProgress; stalled >= c.maxStall() {
			if stalled < c.stall {
				closedScarce.Inc()
			} else {
				closedStalled.Inc()
			}
			_ = c.SetLinger(0) // what is unsent must not look like the end of the response
			_ = c.Close()
			return written, errCallerStalled
		}
	}
}

// maxStall returns how long a response may make no progress now, in milliseconds.
func (c *callerConn) maxStall() clocker.Millis {
	if c.memory.Short() {
		return min(c.stall, scarceStall)
	}
	return c.stall
}

// armWrite sets a write deadline unless one is set that is late enough.
func (c *callerConn) armWrite() {
	interval := max(1, min(c.stall, scarceStall)/stallChecks)
	now := c.clock.Now()
	if c.armed-now > interval/2 {
		return
	}
	c.armed = now + interval
	_ = c.meteredConn.SetWriteDeadline(clocker.FromNow(interval)) // fails only if the connection is closed
}

// SetWriteDeadline implements net.Conn. The server removes the deadline after each request.
func (c *callerConn) SetWriteDeadline(t time.Time) error {
	c.armed = 0
	return c.meteredConn.SetWriteDeadline(t)
}

// unsentBytes returns how many bytes the kernel holds that the caller has not acknowledged.
func (c *callerConn) unsentBytes() int {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	queued := 0
	var queueErr error
	err = raw.Control(func(fd uintptr) { queued, queueErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	if errors.Join(err, queueErr) != nil {
		return 0 // the next write fails
	}
	return queued
}

// CloseWrite closes the sending side, so that the caller can read the response before the connection is
// closed.
func (c *callerConn) CloseWrite() error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errors.ErrUnsupported
	}
	return tcp.CloseWrite()
}

// limitCallerBuffers sets callerBufferBytes on a listening socket, whose connections inherit them.
func limitCallerBuffers(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = errors.Join(
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, callerBufferBytes),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, callerBufferBytes),
		)
	})
	return errors.Join(err, optionErr)
}
