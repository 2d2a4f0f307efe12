// Package connector carries requests to backend servers over HTTP. It matches
// each answer to its request by ID, finds silent connections, and tells
// whether a failed request can have reached the backend server.
package connector

import (
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"cowsliphinge/clocker"
)

const (
	// RequestIDHeader names a request towards a backend server and in its answer.
	RequestIDHeader = "X-Request-Id"
	// NotRunHeader marks a refusal of a backend server that did not run the request.
	NotRunHeader = "X-Not-Run"

	// dialTimeout bounds the set-up of a connection, in milliseconds.
	dialTimeout = clocker.Second
	// maxConnections bounds the connections to one backend server.
	maxConnections = 4096
	// maxAnswerBytes bounds an answer that is not streamed.
	maxAnswerBytes = 16 << 20
	// idleTimeout closes connections unused for this long, in milliseconds.
	idleTimeout = 5 * clocker.Second
	// lengthOfChunks is what fasthttp gives as the length of a chunked body.
	lengthOfChunks = -1
)

var errNoLength = errors.New("the body has neither a length nor chunks")

var crossedAnswers = metrics.NewCounter("cowsliphinge_crossed_answers_total")

// ErrNotSent says that no connection came about: the request did not reach the
// backend server.
type ErrNotSent struct {
	Cause error
}

// Error implements error.
func (err ErrNotSent) Error() string {
	return fmt.Sprintf("request was not sent: %v", err.Cause)
}

// IsErrNotSent reports whether err is an ErrNotSent.
func IsErrNotSent(err error) bool {
	var target ErrNotSent
	return errors.As(err, &target)
}

// ErrBroken says that the request may have reached the backend server, but no
// whole answer came back.
type ErrAborted struct {
	Cause error
}

// Error implements error.
func (err ErrAborted) Error() string {
	return fmt.Sprintf("answer broke off: %v", err.Cause)
}

// IsErrBroken reports whether err is an ErrBroken.
func IsErrAborted(err error) bool {
	var target ErrAborted
	return errors.As(err, &target)
}

// ErrCrossed says that the answer belonged to another request.
type ErrRequestIDMismatch struct {
	Want string
	Got  string
}

// Error implements error.
func (err ErrRequestIDMismatch) Error() string {
	return fmt.Sprintf("answer of request %q came for request %q", err.Got, err.Want)
}

// IsErrCrossed reports whether err is an ErrCrossed.
func IsErrRequestIDMismatch(err error) bool {
	var target ErrRequestIDMismatch
	return errors.As(err, &target)
}

// Request is what is sent to a backend server.
type Request struct {
	Method         string
	Path           string
	ContentType    string
	Body           []byte
	RequestID      string
	IdempotencyKey string
	// Priority is sent to model engines; empty for none.
	Priority string
	// Deadline ends the exchange.
	Deadline clocker.Millis
	// ProgressTimeout is the longest silence, in milliseconds.
	ProgressTimeout clocker.Millis
	// Fresh sends on a connection of its own, so that no idle connection that
	// went silent can swallow the request.
	NewConnection bool
}

// Answer is what a backend server sent back.
type Answer struct {
	Status      int
	ContentType string
	// NotRun is true if the backend server says that it did not run the request.
	NotRun bool
	// Body is the whole body; nil for a streamed answer.
	Body []byte

	response *fasthttp.Response
}

// Refused reports whether the backend server took no request now, so that
// another one may.
func (a *Answer) Refused() bool {
	return a.NotRun && (a.Status == http.StatusTooManyRequests || a.Status == http.StatusServiceUnavailable)
}

// Read reads from a streamed answer.
func (a *Answer) Read(b []byte) (int, error) {
	return a.response.BodyStream().Read(b)
}

// readAll reads the body. One without a length or chunks ends with its
// connection, so that half of it looks like the whole: it is refused.
func (a *Answer) readAll() ([]byte, error) {
	if !a.response.IsBodyStream() {
		return nil, nil
	}
	if a.response.Header.ContentLength() < lengthOfChunks {
		return nil, errNoLength
	}
	body, err := io.ReadAll(io.LimitReader(a, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = fasthttp.ErrBodyTooLarge
	}
	return body, err
}

// Close ends a streamed answer. Its connection is used again only if the
// answer was read to its end.
func (a *Answer) Close() {
	_ = a.response.CloseBodyStream()
	fasthttp.ReleaseResponse(a.response)
}

// Config configures a Connector.
type Config struct {
	Clock *clocker.Clock
	// TLS is nil for plain TCP.
	TLS *tls.Config
	// Reachable tells whether an address may be called; nil means all. Tests
	// cut backend servers off with it.
	Reachable func(address string) bool
}

// Connector keeps the connections to backend servers.
type Connector struct {
	cfg Config

	mu      sync.Mutex
	clients map[clientKey]*fasthttp.HostClient
}

type clientKey struct {
	address string
	timeout clocker.Millis
}

// New returns a Connector without connections.
func New(cfg Config) *Connector {
	return &Connector{cfg: cfg, clients: map[clientKey]*fasthttp.HostClient{}}
}

// Call sends a request and returns the whole answer, or ErrNotSent, ErrBroken
// or ErrCrossed.
func (c *Connector) Call(address string, r Request) (*Answer, error) {
	answer, err := c.Stream(address, r)
	if err != nil {
		return nil, err
	}
	defer answer.Close()
	answer.Body, err = answer.readAll()
	if err != nil {
		return nil, ErrAborted{Cause: err}
	}
	return answer, nil
}

// Stream sends a request and returns once the answer's head is there. The
// caller reads and closes the answer.
func (c *Connector) Stream(address string, r Request) (*Answer, error) {
	response := fasthttp.AcquireResponse()
	response.StreamBody = true
	if err := c.do(address, r, response); err != nil {
		_ = response.CloseBodyStream()
		fasthttp.ReleaseResponse(response)
		return nil, err
	}
	answer := describe(response)
	answer.response = response
	return answer, nil
}

// CloseIdle closes connections that carry nothing.
func (c *Connector) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, client := range c.clients {
		client.CloseIdleConnections()
	}
}

func describe(response *fasthttp.Response) *Answer {
	return &Answer{
		Status:      response.StatusCode(),
		ContentType: string(response.Header.ContentType()),
		NotRun:      response.StatusCode() >= 400 && string(response.Header.Peek(NotRunHeader)) == "true",
	}
}

func (c *Connector) do(address string, r Request, response *fasthttp.Response) error {
	remaining := r.Deadline - c.cfg.Clock.Now()
	if remaining <= 0 {
		return ErrNotSent{Cause: errors.New("deadline has passed")}
	}
	if c.cfg.Reachable != nil && !c.cfg.Reachable(address) {
		return ErrNotSent{Cause: errors.New("address is cut off")}
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	c.fillRequest(request, address, r, remaining)
	err := c.client(address, r.ProgressTimeout).Do(request, response)
	switch {
	case IsErrNotSent(err):
		return err
	case errors.Is(err, fasthttp.ErrNoFreeConns):
		return ErrNotSent{Cause: err}
	case err != nil:
		return ErrAborted{Cause: err}
	}
	if got := string(response.Header.Peek(RequestIDHeader)); got != r.RequestID {
		crossedAnswers.Inc()
		response.SetConnectionClose()
		c.forget(address, r.ProgressTimeout)
		return ErrRequestIDMismatch{Want: r.RequestID, Got: got}
	}
	return nil
}

func (c *Connector) fillRequest(request *fasthttp.Request, address string, r Request, remaining clocker.Millis) {
	scheme := "http://"
	if c.cfg.TLS != nil {
		scheme = "https://"
	}
	request.SetRequestURI(scheme + address + r.Path)
	request.Header.SetMethod(r.Method)
	request.Header.Set(RequestIDHeader, r.RequestID)
	if r.ContentType != "" {
		request.Header.SetContentType(r.ContentType)
	}
	if r.IdempotencyKey != "" {
		request.Header.Set("Idempotency-Key", r.IdempotencyKey)
	}
	if r.Priority != "" {
		request.Header.Set("X-Priority", r.Priority)
	}
	request.SetBodyRaw(r.Body)
	request.SetTimeout(remaining.Duration())
	if r.NewConnection {
		request.SetConnectionClose()
	}
}

func (c *Connector) client(address string, timeout clocker.Millis) *fasthttp.HostClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := clientKey{address: address, timeout: timeout}
	client := c.clients[key]
	if client == nil {
		client = c.newClient(address, timeout)
		c.clients[key] = client
	}
	return client
}

// forget drops the client of an address, whose idle connections are no longer
// trusted.
func (c *Connector) forget(address string, timeout clocker.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := clientKey{address: address, timeout: timeout}
	if client := c.clients[key]; client != nil {
		client.CloseIdleConnections()
	}
	delete(c.clients, key)
}

func (c *Connector) newClient(address string, timeout clocker.Millis) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      address,
		IsTLS:                     c.cfg.TLS != nil,
		TLSConfig:                 c.cfg.TLS,
		MaxConns:                  maxConnections,
		MaxIdleConnDuration:       idleTimeout.Duration(),
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       maxAnswerBytes,
		DialTimeout: func(addr string, _ time.Duration) (net.Conn, error) {
			conn, err := net.DialTimeout("tcp", addr, dialTimeout.Duration())
			if err != nil {
				return nil, ErrNotSent{Cause: err}
			}
			return NewProgressConn(conn, timeout), nil
		},
	}
}

var _ io.Reader = (*Answer)(nil)
