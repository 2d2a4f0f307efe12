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
const inlineBytes = 4 << 10

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
type uncounted struct{}

func (uncounted) Sent(int)     {}
func (uncounted) Received(int) {}

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
		cfg.Traffic = uncounted{}
	}
	return &Carrier{cfg: cfg, idle: map[string][]*conn{}}
}

// Send sends a request and returns once the head of its answer is there. The
// caller reads and closes the answer. The error is connector.ErrNotSent if the
// request cannot have reached the server, else connector.ErrBroken or
// connector.ErrCrossed.
func (c *Carrier) Send(ctx context.Context, t Target, r Request) (*Response, error) {
	cn, err := c.take(ctx, t, r)
	if err != nil {
		return nil, connector.ErrNotSent{Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.Close() })
	answer, err := c.exchange(cn, r)
	if err != nil {
		stop()
		_ = cn.Close()
		if !cn.first() && ctx.Err() == nil {
			c.drop(t) // what ended one unused connection may have ended all
		}
		return nil, err
	}
	answer.target = t
	answer.carrier = c
	answer.stop = stop
	return answer, nil
}

func (c *Carrier) exchange(cn *conn, r Request) (*Response, error) {
	cn.begin(r.ID)
	if r.ResponseHeaderTimeout > 0 {
		_ = cn.SetReadDeadline(clocker.FromNow(r.ResponseHeaderTimeout))
	}
	w := &writing{done: make(chan struct{})}
	message := r.encode()
	if len(message) <= inlineBytes {
		w.write(cn, message)
		if w.err != nil {
			return nil, connector.ErrBroken{Cause: w.err}
		}
	} else {
		go w.write(cn, message) // ends when the connection is closed at the latest
	}
	resp, err := c.readAnswer(cn, r)
	if err != nil {
		return nil, err
	}
	return &Response{Response: resp, conn: cn, request: w}, nil
}

// writing is the write of a request.
type writing struct {
	done chan struct{}
	// err may be read once done is closed.
	err error
}

func (w *writing) write(cn *conn, message []byte) {
	defer close(w.done)
	_, w.err = cn.Write(message)
}

// encode returns the bytes of the request.
func (r Request) encode() []byte {
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
