// Package exchanger carries calls between routers, and from operators to a
// router, over Twirp.
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
)

const (
	// callTimeout bounds one call between routers, in milliseconds.
	callTimeout = 2 * clocker.Second
	// idleTimeout closes unused connections, in milliseconds.
	idleTimeout = 30 * clocker.Second
	// maxIdlePerPeer bounds unused connections to one router.
	maxIdlePerPeer = 2
)

var (
	peerCalls    = metrics.NewCounter("cowsliphinge_peer_calls_total")
	peerFailures = metrics.NewCounter("cowsliphinge_peer_call_failures_total")
	errCutOff    = errors.New("address is cut off")
)

// ClientConfig configures a Client.
type ClientConfig struct {
	RouterKey string
	// TLS is nil for plain TCP.
	TLS *tls.Config
	// Reachable tells whether an address may be called; nil means all. Tests
	// cut routers off with it.
	Reachable func(address string) bool
}

// Client calls other routers. Its methods may be called from many goroutines.
type Client struct {
	cfg  ClientConfig
	http *http.Client

	mu    sync.Mutex
	peers map[string]messenger.Exchange
}

// NewClient returns a client without connections.
func NewClient(cfg ClientConfig) *Client {
	return &Client{cfg: cfg, http: NewHTTPClient(cfg.RouterKey, cfg.TLS), peers: map[string]messenger.Exchange{}}
}

// SendBeat exchanges heartbeats with the router at address.
func (c *Client) SendBeat(ctx context.Context, address string, beat *messenger.Beat) (*messenger.BeatReply, error) {
	return call(ctx, c, address, beat, messenger.Exchange.SendBeat)
}

// Transfer sends totals and asks to the router at address.
func (c *Client) Transfer(ctx context.Context, address string, q *messenger.TransferRequest) (*messenger.TransferReply, error) {
	return call(ctx, c, address, q, messenger.Exchange.Transfer)
}

// PullConfiguration asks the router at address for a newer configuration.
func (c *Client) PullConfiguration(ctx context.Context, address string, q *messenger.PullRequest) (*messenger.PullReply, error) {
	return call(ctx, c, address, q, messenger.Exchange.PullConfiguration)
}

// CopyBills leaves copies of bills with the router at address.
func (c *Client) CopyBills(ctx context.Context, address string, q *messenger.BillBatch) (*messenger.CopyReply, error) {
	return call(ctx, c, address, q, messenger.Exchange.CopyBills)
}

// TrackStreams tells the router at address which streams are open here.
func (c *Client) TrackStreams(ctx context.Context, address string, q *messenger.TrackRequest) (*messenger.TrackReply, error) {
	return call(ctx, c, address, q, messenger.Exchange.TrackStreams)
}

// Close closes unused connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

func call[Q, R any](ctx context.Context, c *Client, address string, q Q, method func(messenger.Exchange, context.Context, Q) (R, error)) (R, error) {
	peerCalls.Inc()
	var none R
	if c.cfg.Reachable != nil && !c.cfg.Reachable(address) {
		peerFailures.Inc()
		return none, trace.Wrap(errCutOff)
	}
	reply, err := method(c.peer(address), ctx, q)
	if err != nil {
		peerFailures.Inc()
		return none, trace.Wrap(err)
	}
	return reply, nil
}

func (c *Client) peer(address string) messenger.Exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	peer := c.peers[address]
	if peer == nil {
		peer = messenger.NewExchangeProtobufClient(BaseURL(address, c.cfg.TLS != nil), c.http)
		c.peers[address] = peer
	}
	return peer
}

// BaseURL returns the URL of a router's exchange listener.
func BaseURL(address string, secure bool) string {
	if secure {
		return "https://" + address
	}
	return "http://" + address
}

// NewHTTPClient returns an HTTP client that presents key with each request.
func NewHTTPClient(key string, tlsConfig *tls.Config) *http.Client {
	transport := &http.Transport{
		TLSClientConfig:     tlsConfig,
		MaxIdleConnsPerHost: maxIdlePerPeer,
		IdleConnTimeout:     idleTimeout.Duration(),
	}
	return &http.Client{Timeout: callTimeout.Duration(), Transport: keyed{key: key, next: transport}}
}

// keyed adds a bearer key to requests.
type keyed struct {
	key  string
	next *http.Transport
}

// RoundTrip implements http.RoundTripper.
func (k keyed) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+k.key)
	return k.next.RoundTrip(r)
}

// CloseIdleConnections closes unused connections.
func (k keyed) CloseIdleConnections() {
	k.next.CloseIdleConnections()
}
