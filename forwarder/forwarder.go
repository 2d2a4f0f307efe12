// Package forwarder passes a caller's request on to another router, which
// answers it as if the caller had come there.
package forwarder

import (
	"context"
	"crypto/tls"
	"errors"
	"net/http"
	"strconv"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"cowsliphinge/clocker"
	"cowsliphinge/connector"
	"cowsliphinge/dispatcher"
	"cowsliphinge/heartbeater"
)

// maxAnswerBytes bounds a forwarded answer.
const maxAnswerBytes = 16 << 20

var (
	forwarded   = metrics.NewCounter("cowsliphinge_requests_forwarded_total")
	unforwarded = metrics.NewCounter("cowsliphinge_requests_not_forwarded_total")
	errNoHost   = errors.New("no host runs the incarnation")
)

// Config configures a Forwarder.
type Config struct {
	Clock *clocker.Clock
	// Peers returns the other routers as seen now.
	Peers func() []heartbeater.Peer
	// TLS is nil for plain TCP.
	TLS *tls.Config
	// Reachable tells whether an address may be called; nil means all.
	Reachable func(address string) bool
}

// Forwarder reaches the caller addresses of other routers.
type Forwarder struct {
	cfg  Config
	http fasthttp.Client
}

// New returns a Forwarder without connections.
func New(cfg Config) *Forwarder {
	return &Forwarder{cfg: cfg, http: fasthttp.Client{
		TLSConfig:                 cfg.TLS,
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       maxAnswerBytes,
	}}
}

// Forward sends the call to the host of the incarnation and returns its
// answer, refusals included. The error says that no answer came; whether the
// call ran is then unknown.
func (f *Forwarder) Forward(_ context.Context, incarnation string, call dispatcher.Call) (*dispatcher.Answer, error) {
	address := f.address(incarnation)
	if address == "" {
		unforwarded.Inc()
		return nil, trace.Wrap(errNoHost)
	}
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	left := call.Deadline - f.cfg.Clock.Now()
	f.fill(request, address, call, left)
	if err := f.http.DoTimeout(request, response, left.Duration()); err != nil {
		unforwarded.Inc()
		return nil, trace.Wrap(err)
	}
	forwarded.Inc()
	return &dispatcher.Answer{
		Status:      response.StatusCode(),
		ContentType: string(response.Header.ContentType()),
		Body:        append([]byte(nil), response.Body()...),
		Replayed:    string(response.Header.Peek("Idempotent-Replayed")) == "true",
	}, nil
}

func (f *Forwarder) address(incarnation string) string {
	for _, peer := range f.cfg.Peers() {
		if peer.Incarnation != incarnation {
			continue
		}
		if f.cfg.Reachable != nil && !f.cfg.Reachable(peer.CallerAddress) {
			return ""
		}
		return peer.CallerAddress
	}
	return ""
}

func (f *Forwarder) fill(request *fasthttp.Request, address string, call dispatcher.Call, left clocker.Millis) {
	scheme := "http://"
	if f.cfg.TLS != nil {
		scheme = "https://"
	}
	path := call.Path
	if call.Completion == nil {
		path = "/" + call.Service.Name + call.Path
	}
	request.SetRequestURI(scheme + address + path)
	request.Header.SetMethod(call.Method)
	request.Header.Set("Authorization", call.Authorization)
	request.Header.Set("Idempotency-Key", call.IdempotencyKey)
	request.Header.Set(connector.RequestIDHeader, call.RequestID)
	request.Header.Set("X-Request-Deadline-Ms", strconv.FormatInt(int64(max(1, left)), 10))
	if call.ContentType != "" {
		request.Header.SetContentType(call.ContentType)
	}
	if call.Method != http.MethodGet {
		request.SetBodyRaw(call.Body)
	}
}
