package connector

import (
	"net"
	"sync/atomic"
	"time"

	"cowsliphinge/clocker"
)

// ProgressConn is a connection on which a read must return at least one byte, and
// a write must complete, within a timeout. This detects silent connections without
// limiting the duration of long answers that make progress.
type ProgressConn struct {
	net.Conn
	timeout  clocker.Millis
	deadline atomic.Pointer[time.Time] // of the current request, nil for none
}

// NewProgressConn wraps conn; timeout is in milliseconds.
func NewProgressConn(conn net.Conn, timeout clocker.Millis) *ProgressConn {
	return &ProgressConn{Conn: conn, timeout: timeout}
}

// SetReadDeadline sets the deadline of the current request; the zero time means none.
func (p *ProgressConn) SetReadDeadline(t time.Time) error {
	if t.IsZero() {
		p.deadline.Store(nil)
		return nil
	}
	p.deadline.Store(&t)
	return nil
}

// Read reads at least one byte before the timeout and the deadline of the request.
func (p *ProgressConn) Read(b []byte) (int, error) {
	limit := clocker.FromNow(p.timeout)
	if d := p.deadline.Load(); d != nil && d.Before(limit) {
		limit = *d
	}
	if err := p.Conn.SetReadDeadline(limit); err != nil {
		return 0, err
	}
	return p.Conn.Read(b)
}

// Write writes b before the timeout.
func (p *ProgressConn) Write(b []byte) (int, error) {
	if err := p.Conn.SetWriteDeadline(clocker.FromNow(p.timeout)); err != nil {
		return 0, err
	}
	return p.Conn.Write(b)
}
