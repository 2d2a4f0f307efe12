package orderer

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"cowsliphinge/clocker"
	"cowsliphinge/verifier"
)

const (
	// callTimeout is the timeout of one call to an engine, in milliseconds.
	callTimeout = 2 * clocker.Second
	// maxAnswerBytes limits the body of an answer.
	maxAnswerBytes = 4 << 20
	// maxWarmBlocks limits the cached prefixes that one warm-up copies.
	maxWarmBlocks = 256
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// MayCall reports whether an address may be called; nil allows all.
	MayCall func(address string) bool
}

// Client calls backend servers to apply orders and carry out moves.
type Client struct {
	cfg  ClientConfig
	http fasthttp.Client
}

// NewClient returns a client. Connections are opened by the first calls.
func NewClient(cfg ClientConfig) *Client {
	return &Client{cfg: cfg, http: fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       maxAnswerBytes,
		ConfigureClient:           verifier.ConfigureHostClient,
	}}
}

// State reads the state of an engine.
func (c *Client) State(ctx context.Context, address string) (State, error) {
	var state State
	return state, c.call(ctx, http.MethodGet, address, "/state", nil, &state)
}

// Order sends a desired state to an engine. It returns ErrStaleFencing if the engine
// rejected the fencing token.
func (c *Client) Order(ctx context.Context, address string, order Order) error {
	return c.call(ctx, http.MethodPut, address, "/orders", order, nil)
}

// InFlight returns the number of requests that a backend server runs and queues. The
// load report of the server lags behind.
func (c *Client) InFlight(ctx context.Context, address string) (int64, error) {
	var load struct {
		Running, Queued int64
	}
	err := c.call(ctx, http.MethodGet, address, "/load", nil, &load)
	return load.Running + load.Queued, err
}

// cachedPrefix is one prefix in the KV cache of an engine.
type cachedPrefix struct {
	Prefix uint64
	Tokens int64
}

type cachedPrefixes struct {
	Blocks []cachedPrefix
}

// Warm copies the most recently cached prefixes from one engine to another and
// returns their number. It fails if an engine cannot export or import them.
func (c *Client) Warm(ctx context.Context, from, to string) (int, error) {
	var events []struct {
		Kind   string
		Prefix uint64
	}
	if err := c.call(ctx, http.MethodGet, from, "/cache-events?after=0", nil, &events); err != nil {
		return 0, trace.Wrap(err)
	}
	var requested cachedPrefixes
	for i := len(events) - 1; i >= 0 && len(requested.Blocks) < maxWarmBlocks; i-- {
		if events[i].Kind == "Stored" {
			requested.Blocks = append(requested.Blocks, cachedPrefix{Prefix: events[i].Prefix})
		}
	}
	if len(requested.Blocks) == 0 {
		return 0, nil
	}
	var exported cachedPrefixes
	if err := c.call(ctx, http.MethodPost, from, "/kv/export", requested, &exported); err != nil {
		return 0, trace.Wrap(err)
	}
	return len(exported.Blocks), c.call(ctx, http.MethodPost, to, "/kv/import", exported, nil)
}

func (c *Client) call(ctx context.Context, method, address, path string, body, answer any) error {
	if c.cfg.MayCall != nil && !c.cfg.MayCall(address) {
		return trace.ConnectionProblem(nil, "%s is cut off", address)
	}
	if err := ctx.Err(); err != nil {
		return trace.Wrap(err)
	}
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + path)
	req.Header.SetMethod(method)
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return trace.Wrap(err)
		}
		req.SetBody(encoded)
	}
	if err := c.http.DoTimeout(req, resp, callTimeout.Duration()); err != nil {
		return trace.Wrap(err)
	}
	switch {
	case resp.StatusCode() == http.StatusConflict:
		return ErrStaleFencing{Address: address}
	case resp.StatusCode() != http.StatusOK:
		return trace.Wrap(fmt.Errorf("%s answers status %d to %s", address, resp.StatusCode(), path))
	case answer == nil:
		return nil
	}
	return trace.Wrap(json.Unmarshal(resp.Body(), answer))
}
