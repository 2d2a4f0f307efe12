// Package carrier carries HTTP requests to backend servers one at a time on each
// connection. It matches answers to requests by ID, never sends a request twice,
// and tells whether a failed request can have reached the server.
package carrier

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"

	"cowsliphinge/clocker"
	"cowsliphinge/connector"
)

// inlineBytes is the largest request that is written before the answer is read; the
// server may answer a longer one before it has read all.
const maxSyncWriteBytes = 4 << 10

// Config configures a Carrier.
type Config struct {
	Clock *clocker.Clock
	// RequestIDHeader names a request, and is repeated in its answer.
	RequestIDHeader string
	// DialTimeout bounds a new connection, in milliseconds.
	DialTimeout clocker.Millis
	// IdleFor is how long a connection is kept for which the server named no time,
	// in milliseconds.
	IdleTimeout clocker.Millis
	// Traffic counts what goes over the connections; nil counts nothing.
	Traffic Traffic
}

// Traffic counts bytes, one call for each packet or so.
type Traffic interface {
	Sent(bytes int)
	Received(bytes int)
}

// uncounted is the Traffic of a Carrier that has none.
type noopTraffic struct{}

func (noopTraffic) Sent(int)     {}
func (noopTraffic) Received(int) {}

// Carrier keeps the connections to backend servers. Its methods may be called
// from many goroutines.
type Carrier struct {
	cfg Config

	mu   sync.Mutex
	idle map[string][]*conn
}

// Target is one backend server.
type Target struct {
	// ID names one life of the server; connections are never shared between two.
	ID      string
	Address string
}

// Request is one request as it goes to a backend server.
type Request struct {
	ID     string
	Method string
	// URI is the request target, as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// HeadTimeout bounds the wait for the head of the answer, in milliseconds.
	ResponseHeaderTimeout clocker.Millis
	// MaxIdle is how long a connection may have been unused to be taken for this
	// request, in milliseconds.
	MaxIdleTime clocker.Millis
}

// New returns a Carrier without connections.
func New(cfg Config) *Carrier {
	if cfg.Traffic == nil {
		cfg.Traffic = noopTraffic{}
	}
	return &Carrier{cfg: cfg, idle: map[string][]*conn{}}
}

// Send sends a request and returns once the head of its answer is there. The
// caller reads and closes the answer. The error is connector.ErrNotSent if the
// request cannot have reached the server, else connector.ErrBroken or
// connector.ErrCrossed.
func (c *Carrier) Send(ctx context.Context, t Target, r Request) (*Response, error) {
	cn, err := c.getConn(ctx, t, r)
	if err != nil {
		return nil, connector.ErrNotSent{Cause: err}
	}
	cancelClose := context.AfterFunc(ctx, func() { _ = cn.Close() })
	response, err := c.roundTrip(cn, r)
	if err != nil {
		cancelClose()
		_ = cn.Close()
		if !cn.isFirstExchange() && ctx.Err() == nil {
			c.closeIdle(t) // what ended one unused connection may have ended all
		}
		return nil, err
	}
	response.target = t
	response.carrier = c
	response.cancelClose = cancelClose
	return response, nil
}

func (c *Carrier) roundTrip(cn *conn, r Request) (*Response, error) {
	cn.addRequestID(r.ID)
	if r.ResponseHeaderTimeout > 0 {
		_ = cn.SetReadDeadline(clocker.FromNow(r.ResponseHeaderTimeout))
	}
	write := &requestWrite{done: make(chan struct{})}
	message := r.serialize()
	if len(message) <= maxSyncWriteBytes {
		write.run(cn, message)
		if write.err != nil {
			return nil, connector.ErrBroken{Cause: write.err}
		}
	} else {
		go write.run(cn, message) // ends when the connection is closed at the latest
	}
	resp, err := c.readResponse(cn, r)
	if err != nil {
		return nil, err
	}
	return &Response{Response: resp, conn: cn, write: write}, nil
}

// writing is the write of a request.
type requestWrite struct {
	done chan struct{}
	// err may be read once done is closed.
	err error
}

func (w *requestWrite) run(cn *conn, message []byte) {
	defer close(w.done)
	_, w.err = cn.Write(message)
}

// encode returns the bytes of the request.
func (r Request) serialize() []byte {
	var b bytes.Buffer
	b.Grow(len(r.Body) + 1024)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	_ = r.Header.Write(&b) // a bytes.Buffer takes every write
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}
