// Package forwarder forwards a caller's request to the host that must answer it. The
// method, path, body, content type, authorization, idempotency key, request ID and
// remaining time are passed on; the priority and Last-Event-ID are not.
package forwarder

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"cowsliphinge/admitter"
	"cowsliphinge/clocker"
	"cowsliphinge/connector"
	"cowsliphinge/dispatcher"
	"cowsliphinge/heartbeater"
	"cowsliphinge/verifier"
)

// maxAnswerBytes is the maximum size of the body of a forwarded answer.
const maxAnswerBytes = 16 << 20

var (
	forwardedRequests = metrics.NewCounter("cowsliphinge_requests_forwarded_total")
	failedForwards    = metrics.NewCounter("cowsliphinge_requests_not_forwarded_total")
	errNoHost         = errors.New("no callable host has this incarnation")
)

// Config configures a Forwarder.
type Config struct {
	Clock *clocker.Clock
	// Peers returns the other hosts as currently known.
	Peers func() []heartbeater.Peer
	// TLS is nil for plain TCP.
	TLS *tls.Config
	// MayCall reports whether an address may be called; nil means that all may.
	MayCall func(address string) bool
}

// Forwarder sends requests to other hosts, at their addresses for callers.
type Forwarder struct {
	cfg    Config
	client fasthttp.Client
}

// New returns a Forwarder. Connections are opened when needed.
func New(cfg Config) *Forwarder {
	return &Forwarder{cfg: cfg, client: fasthttp.Client{
		TLSConfig:                 cfg.TLS,
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       maxAnswerBytes,
		ConfigureClient:           verifier.ConfigureHostClient,
	}}
}

// Forward sends the call to the host of the incarnation and returns its answer,
// which may be a refusal. An error means that no complete answer was received; it
// is then unknown whether the call ran.
func (f *Forwarder) Forward(_ context.Context, incarnation string, call dispatcher.Call) (*dispatcher.Answer, error) {
	serveAddress := f.serveAddress(incarnation)
	if serveAddress == "" {
		failedForwards.Inc()
		return nil, trace.Wrap(errNoHost)
	}
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	response.StreamBody = true
	defer func() { _ = response.CloseBodyStream() }() // the answer was read, or its connection is discarded
	remaining := call.Deadline - f.cfg.Clock.Now()
	f.fillRequest(request, serveAddress, call, remaining)
	if err := f.client.DoTimeout(request, response, remaining.Duration()); err != nil {
		failedForwards.Inc()
		return nil, trace.Wrap(err)
	}
	body, err := readBody(response, call.Memory)
	if err != nil {
		failedForwards.Inc()
		return nil, trace.Wrap(err)
	}
	forwardedRequests.Inc()
	return &dispatcher.Answer{
		Status:      response.StatusCode(),
		ContentType: string(response.Header.ContentType()),
		Body:        body,
		Replayed:    string(response.Header.Peek("Idempotent-Replayed")) == "true",
	}, nil
}

// readBody reads the body of an answer in charged chunks and returns it in one piece, which stays charged. It rejects one
// that has neither a length nor chunks.
func readBody(response *fasthttp.Response, memory *admitter.Holding) ([]byte, error) {
	if err := verifier.CheckDelimited(response); err != nil {
		return nil, err
	}
	stream := response.BodyStream()
	if stream == nil {
		body := append([]byte(nil), response.Body()...)
		return body, memory.Charge(int64(len(body)))
	}
	length := int64(response.Header.ContentLength())
	chunks, err := admitter.ReadBody(io.LimitReader(stream, maxAnswerBytes+1), length, memory)
	if err != nil {
		return nil, err
	}
	defer chunks.Release()
	switch {
	case chunks.Len() > maxAnswerBytes:
		return nil, fasthttp.ErrBodyTooLarge
	case length >= 0 && chunks.Len() != length:
		return nil, io.ErrUnexpectedEOF
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

// serveAddress returns the address for callers of the incarnation's host, or "" if the
// host is unknown or must not be called.
func (f *Forwarder) serveAddress(incarnation string) string {
	for _, peer := range f.cfg.Peers() {
		if peer.Incarnation != incarnation {
			continue
		}
		if f.cfg.MayCall != nil && !f.cfg.MayCall(peer.CallerAddress) {
			return ""
		}
		return peer.CallerAddress
	}
	return ""
}

// fillRequest sets the URL, headers and body of a request that forwards the call.
// The path of a call to an application service gets the service name as its first
// segment.
func (f *Forwarder) fillRequest(request *fasthttp.Request, serveAddress string, call dispatcher.Call, remaining clocker.Millis) {
	scheme := "http://"
	if f.cfg.TLS != nil {
		scheme = "https://"
	}
	path := call.Path
	if call.Completion == nil {
		path = "/" + call.Service.Name + call.Path
	}
	request.SetRequestURI(scheme + serveAddress + path)
	request.Header.SetMethod(call.Method)
	request.Header.Set("Authorization", call.Authorization)
	request.Header.Set("Idempotency-Key", call.IdempotencyKey)
	request.Header.Set(connector.RequestIDHeader, call.RequestID)
	request.Header.Set("X-Request-Deadline-Ms", strconv.FormatInt(int64(max(1, remaining)), 10))
	if call.ContentType != "" {
		request.Header.SetContentType(call.ContentType)
	}
	if call.Method != http.MethodGet {
		request.SetBodyRaw(call.Body)
	}
}
