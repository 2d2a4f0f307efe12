package orderer

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"cowsliphinge/clocker"
)

const (
	// callMs bounds a call to an engine.
	callMs = 2 * clocker.Second
	// maxAnswerBytes bounds an answer.
	maxAnswerBytes = 4 << 20
	// maxWarmBlocks bounds the cached prefixes that one warm-up carries.
	maxWarmBlocks = 256
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// MayCall tells whether an address may be called; nil means all.
	MayCall func(address string) bool
}

// Client speaks to backend servers for orders and moves.
type Client struct {
	cfg  ClientConfig
	http fasthttp.Client
}

// NewClient returns a client without connections.
func NewClient(cfg ClientConfig) *Client {
	return &Client{cfg: cfg, http: fasthttp.Client{MaxIdemponentCallAttempts: 1, MaxResponseBodySize: maxAnswerBytes}}
}

// State reads back the state of an engine.
func (c *Client) State(ctx context.Context, address string) (State, error) {
	var state State
	return state, c.call(ctx, http.MethodGet, address, "/state", nil, &state)
}

// Order sends a desired state. It returns ErrOldFencing if the engine refused it.
func (c *Client) Order(ctx context.Context, address string, order Order) error {
	return c.call(ctx, http.MethodPut, address, "/orders", order, nil)
}

// InFlight returns how many requests a backend server runs and queues. The
// report lags.
func (c *Client) InFlight(ctx context.Context, address string) (int64, error) {
	var load struct {
		Running, Queued int64
	}
	err := c.call(ctx, http.MethodGet, address, "/load", nil, &load)
	return load.Running + load.Queued, err
}

// block is one cached prefix.
type block struct {
	Prefix uint64
	Tokens int64
}

type blocks struct {
	Blocks []block
}

// Warm copies the latest cached prefixes from one engine to another and
// returns how many. An engine that cannot export or import gives an error.
func (c *Client) Warm(ctx context.Context, from, to string) (int, error) {
	var events []struct {
		Kind   string
		Prefix uint64
	}
	if err := c.call(ctx, http.MethodGet, from, "/cache-events?after=0", nil, &events); err != nil {
		return 0, trace.Wrap(err)
	}
	var asked blocks
	for i := len(events) - 1; i >= 0 && len(asked.Blocks) < maxWarmBlocks; i-- {
		if events[i].Kind == "Stored" {
			asked.Blocks = append(asked.Blocks, block{Prefix: events[i].Prefix})
		}
	}
	if len(asked.Blocks) == 0 {
		return 0, nil
	}
	var given blocks
	if err := c.call(ctx, http.MethodPost, from, "/kv/export", asked, &given); err != nil {
		return 0, trace.Wrap(err)
	}
	return len(given.Blocks), c.call(ctx, http.MethodPost, to, "/kv/import", given, nil)
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
	if err := c.http.DoTimeout(req, resp, callMs.Duration()); err != nil {
		return trace.Wrap(err)
	}
	switch {
	case resp.StatusCode() == http.StatusConflict:
		return ErrOldFencing{Address: address}
	case resp.StatusCode() != http.StatusOK:
		return trace.Wrap(fmt.Errorf("%s answers status %d to %s", address, resp.StatusCode(), path))
	case answer == nil:
		return nil
	}
	return trace.Wrap(json.Unmarshal(resp.Body(), answer))
}
