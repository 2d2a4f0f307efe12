// Package connector sends requests to backend servers over HTTP. It matches
// each answer to its request by ID, detects silent connections, and reports
// whether a failed request may have reached the backend server.
package connector

import (
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"cowsliphinge/admitter"
	"cowsliphinge/clocker"
	"cowsliphinge/verifier"
)

const (
	// RequestIDHeader carries the request ID to the backend server and back in its
	// answer.
	RequestIDHeader = "X-Request-Id"
	// NotRunHeader marks a rejection by a backend server that did not run the request.
	NotRunHeader = "X-Not-Run"

	// dialTimeout is the time limit for opening a connection, in milliseconds.
	dialTimeout = clocker.Second
	// maxConnections limits the connections per address and progress timeout.
	maxConnections = 4096
	// maxAnswerBytes limits the body of an answer that is not streamed.
	maxAnswerBytes = 16 << 20
	// idleTimeout is the time after which an idle connection is closed, in
	// milliseconds.
	idleTimeout = 5 * clocker.Second
	// crashProbeTimeout limits the dial that tells a crash from a broken path, in milliseconds.
	crashProbeTimeout = 100 * clocker.Millis(1)
	// chunkedLength is the content length that fasthttp reports for a chunked body.
	chunkedLength = -1
)

var requestIDMismatches = metrics.NewCounter("cowsliphinge_crossed_answers_total")

// ErrNotSent reports that the request was not sent, for example because no
// connection could be opened: it did not reach the backend server.
type ErrNotSent struct {
	Cause error
}

// Error implements error.
func (err ErrNotSent) Error() string {
	return fmt.Sprintf("request was not sent: %v", err.Cause)
}

// Unwrap returns the cause.
func (err ErrNotSent) Unwrap() error {
	return err.Cause
}

// IsErrNotSent reports whether err is an ErrNotSent.
func IsErrNotSent(err error) bool {
	var target ErrNotSent
	return errors.As(err, &target)
}

// ErrAborted reports that the request may have reached the backend server, but
// no complete answer was received.
type ErrAborted struct {
	Cause error
}

// Error implements error.
func (err ErrAborted) Error() string {
	return fmt.Sprintf("answer broke off: %v", err.Cause)
}

// Unwrap returns the cause.
func (err ErrAborted) Unwrap() error {
	return err.Cause
}

// IsErrAborted reports whether err is an ErrAborted.
func IsErrAborted(err error) bool {
	var target ErrAborted
	return errors.As(err, &target)
}

// IsConnectionLost reports whether the other side ended the connection, and not only the patience of
// this host.
func IsConnectionLost(err error) bool {
	for _, lost := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, fasthttp.ErrConnectionClosed} {
		if errors.Is(err, lost) {
			return true
		}
	}
	return false
}

// ErrRequestIDMismatch reports that the answer carries the ID of another request.
type ErrRequestIDMismatch struct {
	Want string
	Got  string
}

// Error implements error.
func (err ErrRequestIDMismatch) Error() string {
	return fmt.Sprintf("answer of request %q came for request %q", err.Got, err.Want)
}

// IsErrRequestIDMismatch reports whether err is an ErrRequestIDMismatch.
func IsErrRequestIDMismatch(err error) bool {
	var target ErrRequestIDMismatch
	return errors.As(err, &target)
}

// Request is a request to a backend server.
type Request struct {
	Method         string
	Path           string
	ContentType    string
	Body           []byte
	RequestID      string
	IdempotencyKey string
	// Priority is sent to model engines; empty for none.
	Priority string
	// Deadline is the time at which the request is aborted.
	Deadline clocker.Millis
	// ProgressTimeout is the time within which a read must return at least one byte and
	// a write must complete, in milliseconds.
	ProgressTimeout clocker.Millis
	// CloseConnection closes the connection after the answer. Requests that must
	// not be lost set it: they leave no idle connection that may go silent and lose
	// a later request.
	CloseConnection bool
	// OwnConnection sends the request on a connection of its own. Requests whose ID another one
	// had set it: a server may repeat the answer to that one, which could not be told apart.
	OwnConnection bool
	// Memory is charged for a complete answer, which stays charged to it; nil means without a bound.
	Memory *admitter.Holding
}

// Answer is the answer of a backend server.
type Answer struct {
	Status      int
	ContentType string
	// NotRun is true if the backend server reports that it did not run the request.
	NotRun bool
	// Body is the complete body; nil for a streamed answer.
	Body []byte

	response *fasthttp.Response
}

// Refused reports whether the backend server did not run the request because it
// accepts none at present, so that the request may be sent to another one.
func (a *Answer) Refused() bool {
	return a.NotRun && (a.Status == http.StatusTooManyRequests || a.Status == http.StatusServiceUnavailable)
}

// Read reads from the body of a streamed answer.
func (a *Answer) Read(b []byte) (int, error) {
	return a.response.BodyStream().Read(b)
}

// readAll reads the body. It rejects one that has no length and is not chunked.
func (a *Answer) readAll(memory *admitter.Holding) ([]byte, error) {
	if !a.response.IsBodyStream() {
		return nil, nil
	}
	if err := verifier.CheckDelimited(a.response); err != nil {
		return nil, err
	}
	if length := a.response.Header.ContentLength(); length >= 0 {
		return a.readLength(length, memory)
	}
	chunks, err := admitter.ReadBody(io.LimitReader(a, maxAnswerBytes+1), chunkedLength, memory)
	if err != nil {
		return nil, err
	}
	defer chunks.Release()
	if chunks.Len() > maxAnswerBytes {
		return nil, fasthttp.ErrBodyTooLarge
	}
	if err := memory.Charge(chunks.Len()); err != nil {
		return nil, err
	}
	body := make([]byte, 0, chunks.Len())
	for _, part := range chunks.Parts() {
		body = append(body, part...)
	}
	return body, nil
}

// readLength reads a body of a known length.
func (a *Answer) readLength(length int, memory *admitter.Holding) ([]byte, error) {
	if length > maxAnswerBytes {
		return nil, fasthttp.ErrBodyTooLarge
	}
	if err := memory.Charge(int64(length)); err != nil {
		return nil, err
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(a, body); err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF // a truncated body
		}
		return nil, err
	}
	return body, nil
}

// Close releases a streamed answer. Its connection is reused only if the body was
// read to its end.
func (a *Answer) Close() {
	_ = a.response.CloseBodyStream()
	fasthttp.ReleaseResponse(a.response)
}

// Config configures a Connector.
type Config struct {
	Clock *clocker.Clock
	// TLS is nil for plain TCP.
	TLS *tls.Config
	// MayCall reports whether an address may be called; nil allows all. Tests
	// use it to simulate a network partition.
	MayCall func(address string) bool
}

// Connector sends requests to backend servers and pools the connections to them.
type Connector struct {
	cfg Config

	mu      sync.Mutex
	clients map[clientKey]*fasthttp.HostClient
}

type clientKey struct {
	address string
	timeout clocker.Millis
}

// New returns a Connector. Connections are opened by the first requests.
func New(cfg Config) *Connector {
	return &Connector{cfg: cfg, clients: map[clientKey]*fasthttp.HostClient{}}
}

// Call sends a request and returns the complete answer, or ErrNotSent, ErrAborted
// or ErrRequestIDMismatch.
func (c *Connector) Call(address string, r Request) (*Answer, error) {
	answer, err := c.Stream(address, r)
	if err != nil {
		return nil, err
	}
	defer answer.Close()
	answer.Body, err = answer.readAll(r.Memory)
	if err != nil {
		return nil, ErrAborted{Cause: err}
	}
	return answer, nil
}

// Stream sends a request and returns once the header of the answer is received.
// The caller reads and closes the answer.
func (c *Connector) Stream(address string, r Request) (*Answer, error) {
	response := fasthttp.AcquireResponse()
	response.StreamBody = true
	if err := c.roundTrip(address, r, response); err != nil {
		_ = response.CloseBodyStream()
		fasthttp.ReleaseResponse(response)
		return nil, err
	}
	answer := newAnswer(response)
	answer.response = response
	return answer, nil
}

// Refuses reports whether nothing listens at the address any more: a crashed server refuses a
// connection within one round trip.
func (c *Connector) Refuses(address string) bool {
	if c.cfg.MayCall != nil && !c.cfg.MayCall(address) {
		return false
	}
	conn, err := net.DialTimeout("tcp4", address, crashProbeTimeout.Duration())
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// CloseIdle closes idle connections.
func (c *Connector) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, client := range c.clients {
		client.CloseIdleConnections()
	}
}

func newAnswer(response *fasthttp.Response) *Answer {
	return &Answer{
		Status:      response.StatusCode(),
		ContentType: string(response.Header.ContentType()),
		NotRun:      response.StatusCode() >= 400 && string(response.Header.Peek(NotRunHeader)) == "true",
	}
}

func (c *Connector) roundTrip(address string, r Request, response *fasthttp.Response) error {
	remaining := r.Deadline - c.cfg.Clock.Now()
	if remaining <= 0 {
		return ErrNotSent{Cause: errors.New("deadline has passed")}
	}
	if c.cfg.MayCall != nil && !c.cfg.MayCall(address) {
		return ErrNotSent{Cause: errors.New("address is cut off")}
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	c.fillRequest(request, address, r, remaining)
	client := c.hostClient(address, r.ProgressTimeout)
	if r.OwnConnection {
		client = c.newHostClient(address, r.ProgressTimeout)
	}
	err := client.Do(request, response)
	switch {
	case IsErrNotSent(err):
		return err
	case errors.Is(err, fasthttp.ErrNoFreeConns):
		return ErrNotSent{Cause: err}
	case err != nil:
		return ErrAborted{Cause: err}
	}
	if got := string(response.Header.Peek(RequestIDHeader)); got != r.RequestID {
		requestIDMismatches.Inc()
		response.SetConnectionClose()
		c.dropClient(address, r.ProgressTimeout)
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
	if r.CloseConnection || r.OwnConnection {
		request.SetConnectionClose()
	}
}

func (c *Connector) hostClient(address string, timeout clocker.Millis) *fasthttp.HostClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := clientKey{address: address, timeout: timeout}
	client := c.clients[key]
	if client == nil {
		client = c.newHostClient(address, timeout)
		c.clients[key] = client
	}
	return client
}

// dropClient removes the client of an address and closes its idle connections, which
// are no longer trusted.
func (c *Connector) dropClient(address string, timeout clocker.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := clientKey{address: address, timeout: timeout}
	if client := c.clients[key]; client != nil {
		client.CloseIdleConnections()
	}
	delete(c.clients, key)
}

func (c *Connector) newHostClient(address string, timeout clocker.Millis) *fasthttp.HostClient {
	client := &fasthttp.HostClient{
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
	verifier.Configure(client)
	return client
}

var _ io.Reader = (*Answer)(nil)
