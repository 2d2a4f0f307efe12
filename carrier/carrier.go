// Package carrier is an HTTP/1.1 client for backend servers that keeps idle connections
// open. Each connection carries one request at a time. The package matches responses to
// requests by ID, never sends a request twice, and reports whether a failed request may
// have reached the server.
//
// It serves package relayer. Package connector is its counterpart for package dispatcher
// and shares its error types.
package carrier

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"cowsliphinge/clocker"
	"cowsliphinge/connector"
	"cowsliphinge/prober"
	"cowsliphinge/verifier"
)

// maxSyncWriteBytes is the size up to which a request is written before the response is
// read. A longer request is written concurrently, since the server may respond before it
// has read all of it.
const maxSyncWriteBytes = 4 << 10

// maxJoinedBytes is the size up to which the parts of a body are copied behind the head, so that one write
// sends both. Longer ones are written from where they are.
const maxJoinedBytes = 16 << 10

var errBodyReleased = errors.New("the body of the request was released")

// Dialer opens connections to backend servers.
type Dialer interface {
	// Dial opens a connection within a timeout in milliseconds. via is the host that it passes
	// through, "" for a direct one. If the server does not accept it, the error wraps
	// syscall.ECONNREFUSED.
	Dial(ctx context.Context, address string, timeout clocker.Millis) (c net.Conn, via string, err error)
	// Usable reports whether connections through a host, "" for direct ones, may get another
	// request.
	Usable(via string) bool
	// Lost records that an exchange on a connection got no response.
	Lost(via string)
}

// directDialer replaces a nil Dialer.
type directDialer struct{}

func (directDialer) Dial(ctx context.Context, address string, timeout clocker.Millis) (net.Conn, string, error) {
	c, err := DialDirect(ctx, address, timeout)
	return c, "", err
}

func (directDialer) Usable(string) bool { return true }
func (directDialer) Lost(string)        {}

// Config configures a Carrier.
type Config struct {
	Clock *clocker.Clock
	// RequestIDHeader is the header with the ID of a request; the server returns it in
	// the response.
	RequestIDHeader string
	// DialTimeout limits the setup of a connection, in milliseconds.
	DialTimeout clocker.Millis
	// IdleTimeout is how long an idle connection stays open if the server sends no
	// Keep-Alive timeout, in milliseconds.
	IdleTimeout clocker.Millis
	// Traffic counts the bytes on all connections; nil counts nothing.
	Traffic Traffic
	// Dialer may be nil; all connections are then direct.
	Dialer Dialer
	// Identity asks servers for their incarnation; nil asks none.
	Identity *Identity
	// Restarted is called when a server tells another incarnation than the Target names, with the
	// start of that; it may be nil.
	Restarted func(t Target, startedAt clocker.Millis)
	// Leaving reports whether a server stops as planned, or is not known any more; it may be nil.
	Leaving func(id string) bool
}

// Traffic counts bytes. It is called once for each read and write of a connection.
type Traffic interface {
	Sent(bytes int)
	Received(bytes int)
}

// noopTraffic replaces a nil Traffic.
type noopTraffic struct{}

func (noopTraffic) Sent(int)     {}
func (noopTraffic) Received(int) {}

// Carrier sends requests to backend servers and keeps their idle connections. It is safe
// for concurrent use.
type Carrier struct {
	cfg Config
	// opened counts the connections.
	opened atomic.Int64

	mu   sync.Mutex
	idle map[string][]*conn
	// witnesses are those of the incarnations that send responses without a length.
	witnesses map[Target]*witness
}

// Target identifies one backend server.
type Target struct {
	// ID identifies the server; servers with different IDs never share a connection.
	ID      string
	Address string
	// StartedAt is when the incarnation started that its entry tells of, 0 if unknown.
	StartedAt clocker.Millis
	// Identifies is true if the server is asked for its incarnation on each new connection.
	Identifies bool
}

// Request is a request to a backend server.
type Request struct {
	ID     string
	Method string
	// URI is the request target exactly as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Payload follows Body; it may be nil.
	Payload Payload
	// ResponseHeaderTimeout limits the wait for the response header, in milliseconds.
	ResponseHeaderTimeout clocker.Millis
	// Deadline is when the response has to be complete, in milliseconds of the clock; 0 if it may take any time.
	Deadline clocker.Millis
	// OnSent, if not nil, is called once the request is written or its write has begun, before the wait for
	// the response.
	OnSent func()
	// OnSilence, if not nil, is called in a read of the response when nothing has arrived within its
	// time limit. It returns how much longer to wait, in milliseconds; with 0 the read fails.
	// hasBytes reports whether bytes have arrived meanwhile.
	OnSilence func(hasBytes func() bool) clocker.Millis
	// SameIncarnation is true if only the incarnation that the Target names may get the request, as far
	// as servers tell theirs.
	SameIncarnation bool
	// MaxIdleTime is how long a connection may have been idle to be reused for this
	// request, in milliseconds.
	MaxIdleTime clocker.Millis
}

// Payload is a body in parts that several attempts may send. The write of a request may outlive the call of
// Send and retains the payload until it has ended.
type Payload interface {
	Len() int64
	// Parts returns the content in order, valid until Release.
	Parts() [][]byte
	// Retain adds a user. It returns false if there is none left.
	Retain() bool
	Release()
}

// New returns a Carrier without open connections.
func New(cfg Config) *Carrier {
	if cfg.Traffic == nil {
		cfg.Traffic = noopTraffic{}
	}
	if cfg.Dialer == nil {
		cfg.Dialer = directDialer{}
	}
	return &Carrier{cfg: cfg, idle: map[string][]*conn{}, witnesses: map[Target]*witness{}}
}

// Send sends a request and returns as soon as the response header has been read. The
// caller must read and close the response. The error is connector.ErrNotSent if the
// request can't have reached the server, with an ErrOtherIncarnation as its cause if another incarnation than
// the required one listens there. Else it is connector.ErrAborted, or
// connector.ErrRequestIDMismatch if the response to this request was not found among the
// responses on the connection.
func (c *Carrier) Send(ctx context.Context, t Target, r Request) (*Response, error) {
	cn, err := c.getConn(ctx, t, r)
	if err != nil {
		return nil, connector.ErrNotSent{Cause: err}
	}
	cancelClose := context.AfterFunc(ctx, func() { _ = cn.Close() })
	response, err := c.roundTrip(cn, r)
	if err == nil && r.SameIncarnation {
		err = c.confirmIncarnation(ctx, cn, t)
	}
	if err != nil {
		cancelClose()
		_ = cn.Close()
		if !cn.isFirstExchange() && ctx.Err() == nil {
			c.closeIdle(t) // the cause may have broken all idle connections
		}
		reportBroken(t, err)
		if ctx.Err() == nil && !verifier.IsErrBrokenResponse(err) {
			c.cfg.Dialer.Lost(cn.via)
		}
		return nil, err
	}
	response.target = t
	response.carrier = c
	response.ctx = ctx
	response.deadline = r.Deadline
	response.cancelClose = cancelClose
	return response, nil
}

// reportBroken counts and logs a response of a server that is not valid HTTP.
func reportBroken(t Target, err error) {
	verifier.Report(err, slog.String("server", t.ID), slog.String("address", t.Address))
}

func (c *Carrier) roundTrip(cn *conn, r Request) (*Response, error) {
	if r.Payload != nil && !r.Payload.Retain() {
		return nil, connector.ErrNotSent{Cause: errBodyReleased}
	}
	cn.addRequestID(r.ID)
	cn.onSilence = r.OnSilence
	if r.ResponseHeaderTimeout > 0 {
		_ = cn.SetReadDeadline(clocker.FromNow(r.ResponseHeaderTimeout))
	}
	write := &requestWrite{done: make(chan struct{})}
	head, parts := r.serialize()
	if len(parts) == 0 && len(head) <= maxSyncWriteBytes {
		write.run(cn, r.Payload, head, nil)
		if write.err != nil {
			return nil, connector.ErrAborted{Cause: write.err}
		}
	} else {
		go write.run(cn, r.Payload, head, parts) // ends at the latest when the connection is closed
		prober.Start(c.cfg.Clock, cn.Conn)
	}
	if r.OnSent != nil {
		r.OnSent()
	}
	resp, err := c.readResponse(cn, r)
	if err != nil {
		return nil, err
	}
	return &Response{Response: resp, conn: cn, write: write}, nil
}

// requestWrite is the write of a request, possibly still in progress.
type requestWrite struct {
	done chan struct{}
	// err may be read only after done is closed.
	err error
}

// run writes head and parts, and releases the payload that they may be part of.
func (w *requestWrite) run(cn *conn, payload Payload, head []byte, parts [][]byte) {
	defer close(w.done)
	if payload != nil {
		defer payload.Release()
	}
	if len(parts) == 0 {
		_, w.err = cn.Write(head)
		return
	}
	w.err = cn.writeParts(append(net.Buffers{head}, parts...))
}

// serialize returns the request in HTTP/1.1 wire format. The parts of a payload follow what it returns, unless
// they are short enough to be copied.
func (r Request) serialize() (head []byte, parts [][]byte) {
	length := int64(len(r.Body))
	if r.Payload != nil {
		parts = r.Payload.Parts()
		length += r.Payload.Len()
	}
	joined := length <= maxJoinedBytes || len(parts) == 0
	var b bytes.Buffer
	if joined {
		b.Grow(int(length) + 1024)
	}
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	_ = r.Header.Write(&b) // writes to a bytes.Buffer never fail
	if length > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", length)
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	if !joined {
		return b.Bytes(), parts
	}
	for _, part := range parts {
		b.Write(part)
	}
	return b.Bytes(), nil
}
