// Package carrier carries HTTP requests to backend servers one at a time on each
// connection. It matches answers to requests by ID, never sends a request twice,
// and tells whether a failed request can have reached the server.
package carrier

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/clocker"
	"cowsliphinge/connector"
)

const (
	// inlineBytes is the largest request that is written before the answer is
	// read; the server may answer a longer one before it has read all.
	inlineBytes = 4 << 10
	// maxSkippedAnswers bounds late answers to earlier requests on a connection.
	maxSkippedAnswers = 2
	// maxPreludeBytes bounds all that a server may send before the body of the right
	// answer: late answers to earlier requests, interim answers and the head. Heads
	// of common servers stay below 16 KB.
	maxPreludeBytes = 128 << 10
	// maxIdleConns bounds unused connections to one server.
	maxIdleConns = 32
	// maxExchanges bounds the requests on one connection, since their IDs are kept
	// with it.
	maxExchanges = 1024
	// idleMargin is how long before the server's own idle timeout a connection is
	// not used any more, in milliseconds.
	idleMargin = clocker.Second
)

var (
	dials       = metrics.NewCounter("cowsliphinge_backend_connections_total")
	dialsFailed = metrics.NewCounter("cowsliphinge_backend_connections_failed_total")
	skipped     = metrics.NewCounter("cowsliphinge_backend_late_answers_total")
)

// Config configures a Carrier.
type Config struct {
	Clock *clocker.Clock
	// RequestIDHeader names a request, and is repeated in its answer.
	RequestIDHeader string
	// DialTimeout bounds a new connection, in milliseconds.
	DialTimeout clocker.Millis
	// IdleFor is how long a connection is kept for which the server named no time,
	// in milliseconds.
	IdleFor clocker.Millis
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
	HeadTimeout clocker.Millis
	// MaxIdle is how long a connection may have been unused to be taken for this
	// request, in milliseconds.
	MaxIdle clocker.Millis
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
func (c *Carrier) Send(ctx context.Context, t Target, r Request) (*Answer, error) {
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

func (c *Carrier) exchange(cn *conn, r Request) (*Answer, error) {
	cn.begin(r.ID)
	if r.HeadTimeout > 0 {
		_ = cn.SetReadDeadline(clocker.FromNow(r.HeadTimeout))
	}
	written := make(chan error, 1)
	message := r.encode()
	if len(message) <= inlineBytes {
		_, err := cn.Write(message)
		if err != nil {
			return nil, connector.ErrBroken{Cause: err}
		}
		written <- nil
	} else {
		go func() { // ends when the connection is closed at the latest
			_, err := cn.Write(message)
			written <- err
		}()
	}
	resp, err := c.readAnswer(cn, r)
	if err != nil {
		return nil, err
	}
	return &Answer{Response: resp, conn: cn, written: written}, nil
}

// readAnswer reads up to the body of the answer to the request. Late answers to
// earlier requests on the connection are skipped.
func (c *Carrier) readAnswer(cn *conn, r Request) (*http.Response, error) {
	cn.limit(maxPreludeBytes)
	defer cn.limit(unlimited)
	for range maxSkippedAnswers + 1 {
		resp, err := readHead(cn, r.Method)
		if err != nil {
			return nil, connector.ErrBroken{Cause: err}
		}
		got := resp.Header.Get(c.cfg.RequestIDHeader)
		if got == r.ID || got == "" && cn.first() && resp.StatusCode >= http.StatusMultipleChoices {
			return resp, nil
		}
		if got == "" {
			return nil, connector.ErrCrossed{Want: r.ID}
		}
		skipped.Inc()
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
			return nil, connector.ErrCrossed{Want: r.ID, Got: got}
		}
	}
	return nil, connector.ErrCrossed{Want: r.ID}
}

func readHead(cn *conn, method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(cn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
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

// take returns an unused connection, or a new one.
func (c *Carrier) take(ctx context.Context, t Target, r Request) (*conn, error) {
	for {
		cn := c.pop(t, r)
		if cn == nil {
			break
		}
		if cn.quiet() {
			return cn, nil
		}
		_ = cn.Close()
	}
	dials.Inc()
	cn, err := dial(ctx, t.Address, c.cfg.DialTimeout, c.cfg.Traffic)
	if err != nil {
		dialsFailed.Inc()
		return nil, err
	}
	return cn, nil
}

// pop takes the connection used last that is fresh enough and did not carry a
// request of the same ID: a second answer to that one could not be told from the
// answer to this one.
func (c *Carrier) pop(t Target, r Request) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock.Now()
	conns := c.idle[t.ID]
	for i := len(conns) - 1; i >= 0; i-- {
		cn := conns[i]
		unused := now - cn.usedAt
		expired := unused > c.keep(cn)
		if !expired && unused > r.MaxIdle {
			return nil
		}
		if !expired && cn.carried(r.ID) {
			continue
		}
		conns = slices.Delete(conns, i, i+1)
		c.idle[t.ID] = conns
		if !expired {
			return cn
		}
		_ = cn.Close()
	}
	return nil
}

// keep returns how long a connection may be unused.
func (c *Carrier) keep(cn *conn) clocker.Millis {
	if cn.idleFor > 0 {
		return max(0, cn.idleFor-idleMargin)
	}
	return c.cfg.IdleFor
}

// put keeps a connection for the next request.
func (c *Carrier) put(t Target, cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cn.usedAt = c.cfg.Clock.Now()
	if len(c.idle[t.ID]) >= maxIdleConns || len(cn.ids) >= maxExchanges {
		_ = cn.Close()
		return
	}
	c.idle[t.ID] = append(c.idle[t.ID], cn)
}

// drop closes the unused connections to a server.
func (c *Carrier) drop(t Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cn := range c.idle[t.ID] {
		_ = cn.Close()
	}
	delete(c.idle, t.ID)
}

// Keep closes the connections to all servers but those for which known is true,
// and those that were unused for too long.
func (c *Carrier) Keep(known func(id string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock.Now()
	for id, conns := range c.idle {
		var kept []*conn
		for _, cn := range conns {
			if known(id) && now-cn.usedAt <= c.keep(cn) {
				kept = append(kept, cn)
				continue
			}
			_ = cn.Close()
		}
		if len(kept) == 0 {
			delete(c.idle, id)
			continue
		}
		c.idle[id] = kept
	}
}

// Answer is the answer to a request, its body still to be read.
type Answer struct {
	*http.Response
	conn    *conn
	target  Target
	carrier *Carrier
	stop    func() bool
	written chan error
	whole   bool
}

// Read reads from the body. It returns io.EOF only behind a whole body.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.Body.Read(b)
	if errors.Is(err, io.EOF) {
		a.whole = true
	}
	return n, err
}

// Whole reports whether the body was read to its end.
func (a *Answer) Whole() bool {
	return a.whole
}

// Within bounds the wait for the next byte, in milliseconds.
func (a *Answer) Within(d clocker.Millis) {
	_ = a.conn.SetReadDeadline(clocker.FromNow(d))
}

// Close ends the exchange. The connection is used again only if the request was
// written, the answer read whole, and nothing came behind it.
func (a *Answer) Close() {
	live := a.stop()
	if !live || !a.whole || a.Response.Close || a.ContentLength < 0 && len(a.TransferEncoding) == 0 || !a.sent() || a.conn.reader.Buffered() > 0 {
		_ = a.conn.Close()
		return
	}
	_ = a.conn.SetReadDeadline(time.Time{})
	a.conn.idleFor = keepAliveTimeout(a.Header.Get("Keep-Alive"))
	a.carrier.put(a.target, a.conn)
}

// sent reports whether the whole request was written.
func (a *Answer) sent() bool {
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}

// keepAliveTimeout returns the timeout of a Keep-Alive header; 0 if it names none.
func keepAliveTimeout(header string) clocker.Millis {
	for _, field := range strings.Split(header, ",") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout="); ok {
			seconds, err := strconv.Atoi(value)
			if err != nil {
				return 0
			}
			return clocker.Millis(seconds) * clocker.Second
		}
	}
	return 0
}
