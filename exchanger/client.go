// Package exchanger implements the Twirp client and server for calls between
// routers, and the Twirp server for calls from operators to a router.
package exchanger

import (
	"context"
	"crypto/tls"
	"errors"
	"net/http"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/verifier"
)

const (
	// callTimeout is the timeout of one call to a router, in milliseconds.
	callTimeout = 2 * clocker.Second
	// idleConnTimeout is the time after which an idle connection is closed, in
	// milliseconds.
	idleConnTimeout = 30 * clocker.Second
	// maxIdlePerPeer limits the idle connections to one router.
	maxIdlePerPeer = 2
)

var (
	peerCalls      = metrics.NewCounter("cowsliphinge_peer_calls_total")
	peerFailures   = metrics.NewCounter("cowsliphinge_peer_call_failures_total")
	errUnreachable = errors.New("address is cut off")
)

// ClientConfig configures a Client.
type ClientConfig struct {
	RouterKey string
	// TLS is nil for plain TCP.
	TLS *tls.Config
	// MayCall reports whether an address may be called; nil allows all. Tests
	// use it to simulate a network partition.
	MayCall func(address string) bool
}

// Client calls other routers. It is safe for concurrent use.
type Client struct {
	cfg  ClientConfig
	http *http.Client

	mu    sync.Mutex
	peers map[string]messenger.Exchange
}

// NewClient returns a client. Connections are opened by the first calls.
func NewClient(cfg ClientConfig) *Client {
	return &Client{cfg: cfg, http: NewHTTPClient(cfg.RouterKey, cfg.TLS), peers: map[string]messenger.Exchange{}}
}

// SendBeat exchanges heartbeats with the router at address.
func (c *Client) SendBeat(ctx context.Context, address string, beat *messenger.Beat) (*messenger.BeatReply, error) {
	return call(ctx, c, address, beat, messenger.Exchange.SendBeat)
}

// Transfer sends transfer totals and token requests to the router at address.
func (c *Client) Transfer(ctx context.Context, address string, q *messenger.TransferRequest) (*messenger.TransferReply, error) {
	return call(ctx, c, address, q, messenger.Exchange.Transfer)
}

// PullConfiguration requests a newer configuration from the router at address.
func (c *Client) PullConfiguration(ctx context.Context, address string, q *messenger.PullRequest) (*messenger.PullReply, error) {
	return call(ctx, c, address, q, messenger.Exchange.PullConfiguration)
}

// CopyBills stores copies of bills at the router at address.
func (c *Client) CopyBills(ctx context.Context, address string, q *messenger.BillBatch) (*messenger.CopyReply, error) {
	return call(ctx, c, address, q, messenger.Exchange.CopyBills)
}

// TrackStreams reports the open streams of this router to the router at address.
func (c *Client) TrackStreams(ctx context.Context, address string, q *messenger.TrackRequest) (*messenger.TrackReply, error) {
	return call(ctx, c, address, q, messenger.Exchange.TrackStreams)
}

// ShareOrigins tells the router at address of streams and asks it for others.
func (c *Client) ShareOrigins(ctx context.Context, address string, q *messenger.OriginRequest) (*messenger.OriginReply, error) {
	return call(ctx, c, address, q, messenger.Exchange.ShareOrigins)
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

func call[Q, R any](ctx context.Context, c *Client, address string, q Q, method func(messenger.Exchange, context.Context, Q) (R, error)) (R, error) {
	peerCalls.Inc()
	var zero R
	if c.cfg.MayCall != nil && !c.cfg.MayCall(address) {
		peerFailures.Inc()
		return zero, trace.Wrap(errUnreachable)
	}
	reply, err := method(c.exchangeClient(address), ctx, q)
	if err != nil {
		peerFailures.Inc()
		return zero, trace.Wrap(err)
	}
	return reply, nil
}

func (c *Client) exchangeClient(address string) messenger.Exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	client := c.peers[address]
	if client == nil {
		client = messenger.NewExchangeProtobufClient(BaseURL(address, c.cfg.TLS != nil), c.http)
		c.peers[address] = client
	}
	return client
}

// BaseURL returns the URL of a router's exchange listener.
func BaseURL(address string, secure bool) string {
	if secure {
		return "https://" + address
	}
	return "http://" + address
}

// NewHTTPClient returns an HTTP client that sends key as the bearer token of each
// request.
func NewHTTPClient(key string, tlsConfig *tls.Config) *http.Client {
	transport := &http.Transport{
		TLSClientConfig:     tlsConfig,
		MaxIdleConnsPerHost: maxIdlePerPeer,
		IdleConnTimeout:     idleConnTimeout.Duration(),
	}
	verifier.ConfigureTransport(transport)
	return &http.Client{Timeout: callTimeout.Duration(), Transport: bearerTransport{key: key, next: verifier.DelimitedTransport{Transport: transport}}}
}

// bearerTransport adds an Authorization header with a bearer token to requests.
type bearerTransport struct {
	key  string
	next verifier.DelimitedTransport
}

// RoundTrip implements http.RoundTripper.
func (k bearerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+k.key)
	return k.next.RoundTrip(r)
}

// CloseIdleConnections closes idle connections.
func (k bearerTransport) CloseIdleConnections() {
	k.next.CloseIdleConnections()
}
