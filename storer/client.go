package storer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"cowsliphinge/clocker"
	"cowsliphinge/verifier"
)

const (
	// defaultTimeout bounds a call other than a watch, in milliseconds.
	defaultTimeout = 2 * clocker.Second
	// watchTimeout bounds one waiting watch, in milliseconds.
	watchTimeout = 30 * clocker.Second
	// defaultCallsPerSecond bounds the calls of one process.
	defaultCallsPerSecond = 20
	// maxAnswerBytes limits the body of an answer.
	maxAnswerBytes = 64 << 20
	// VersionHeader carries the version of an object in answers.
	VersionHeader = "Object-Version"
)

// ListedHost is an entry of the platform's host list.
type ListedHost struct {
	Name    string
	Address string
	Leaving bool
}

// ClientConfig configures a Client.
type ClientConfig struct {
	// URL of the Object API.
	URL string
	// HostListURL is the URL of the host list; empty means URL.
	HostListURL string
	// Timeout bounds a call in milliseconds; 0 means two seconds.
	Timeout clocker.Millis
	// CallsPerSecond returns the bound on the calls of this process; nil means 20.
	CallsPerSecond func() int64
	Clock          *clocker.Clock
	TLS            *tls.Config
	// MayCall tells whether an address may be called; nil means all. Tests
	// cut the platform off with it.
	MayCall func(address string) bool
}

// Client speaks HTTP to the Object API.
type Client struct {
	cfg  ClientConfig
	http fasthttp.Client

	mu       sync.Mutex
	tokens   float64
	refilled clocker.Millis
}

// NewClient returns a client that has not yet spoken to the platform.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.CallsPerSecond == nil {
		cfg.CallsPerSecond = func() int64 { return defaultCallsPerSecond }
	}
	if cfg.HostListURL == "" {
		cfg.HostListURL = cfg.URL
	}
	return &Client{
		cfg:      cfg,
		http:     fasthttp.Client{TLSConfig: cfg.TLS, MaxIdemponentCallAttempts: 1, ConfigureClient: verifier.ConfigureHostClient},
		tokens:   float64(2 * cfg.CallsPerSecond()),
		refilled: cfg.Clock.Now(),
	}
}

// Get returns the object of the key.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	return c.exchange(ctx, call{kind: "get", method: http.MethodGet, key: key})
}

// Create writes a new object, or fails with ErrConflict if one exists.
func (c *Client) Create(ctx context.Context, key string, value []byte) (Object, error) {
	return c.exchange(ctx, call{kind: "create", method: http.MethodPost, key: key, value: value})
}

// Update replaces the object at exactly the given version.
func (c *Client) Update(ctx context.Context, key string, version int64, value []byte) (Object, error) {
	return c.exchange(ctx, call{kind: "update", method: http.MethodPut, key: key, version: version, value: value})
}

// Delete removes the object at exactly the given version.
func (c *Client) Delete(ctx context.Context, key string, version int64) error {
	_, err := c.exchange(ctx, call{kind: "delete", method: http.MethodDelete, key: key, version: version})
	return err
}

// List returns up to limit objects whose keys start with prefix and sort behind after.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]Object, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	return c.many(ctx, "list", prefix, c.cfg.URL+"/objects?"+query.Encode(), c.cfg.Timeout)
}

// Watch waits until objects under prefix have versions above since and returns
// them. It returns none if nothing changed for a while.
func (c *Client) Watch(ctx context.Context, prefix string, since int64) ([]Object, error) {
	query := url.Values{"prefix": {prefix}, "since": {strconv.FormatInt(since, 10)}}
	return c.many(ctx, "watch", prefix, c.cfg.URL+"/watch?"+query.Encode(), watchTimeout)
}

// Hosts returns the host list, which lags.
func (c *Client) Hosts(ctx context.Context) ([]ListedHost, error) {
	body, _, err := c.send(ctx, call{kind: "hosts", method: http.MethodGet, key: "hosts"}, c.cfg.HostListURL+"/hosts", c.cfg.Timeout)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var hosts []ListedHost
	if err := json.Unmarshal(body, &hosts); err != nil {
		return nil, trace.Wrap(err)
	}
	return hosts, nil
}

type call struct {
	kind    string
	method  string
	key     string
	version int64
	value   []byte
}

func (c *Client) exchange(ctx context.Context, cl call) (Object, error) {
	uri := c.cfg.URL + "/objects/" + escapeKey(cl.key)
	body, version, err := c.send(ctx, cl, uri, c.cfg.Timeout)
	if err != nil {
		return Object{}, trace.Wrap(err)
	}
	if cl.value != nil {
		body = cl.value
	}
	return Object{Key: cl.key, Version: version, Value: body}, nil
}

func (c *Client) many(ctx context.Context, kind, prefix, uri string, timeout clocker.Millis) ([]Object, error) {
	body, _, err := c.send(ctx, call{kind: kind, method: http.MethodGet, key: prefix}, uri, timeout)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var objects []Object
	if err := json.Unmarshal(body, &objects); err != nil {
		return nil, trace.Wrap(err)
	}
	return objects, nil
}

func (c *Client) send(ctx context.Context, cl call, uri string, timeout clocker.Millis) ([]byte, int64, error) {
	if !c.take() {
		count(cl.kind, "rate_limited_here")
		return nil, 0, ErrRateLimited{Key: cl.key}
	}
	if c.cfg.MayCall != nil && !c.cfg.MayCall(c.host(uri)) {
		count(cl.kind, "cut_off")
		return nil, 0, ErrOutcomeUnknown{Key: cl.key, Cause: "cut off"}
	}
	answered := make(chan result, 1)
	go func() { answered <- c.do(cl, uri, timeout) }() // ends by the time-out
	select {
	case <-ctx.Done():
		count(cl.kind, "given_up")
		return nil, 0, ErrOutcomeUnknown{Key: cl.key, Cause: ctx.Err().Error()}
	case r := <-answered:
		return r.body, r.version, r.err
	}
}

type result struct {
	body    []byte
	version int64
	err     error
}

func (c *Client) do(cl call, uri string, timeout clocker.Millis) result {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(uri)
	req.Header.SetMethod(cl.method)
	if cl.version != 0 {
		req.Header.Set("If-Match", strconv.FormatInt(cl.version, 10))
	}
	req.SetBody(cl.value)
	resp.StreamBody = true // the library hides whether a body that it has read had a length
	err := c.http.DoTimeout(req, resp, timeout.Duration())
	var body []byte
	if err == nil {
		body, err = readWhole(resp)
		_ = resp.CloseBodyStream()
	}
	if err != nil {
		count(cl.kind, "no_answer")
		return result{err: ErrOutcomeUnknown{Key: cl.key, Cause: err.Error()}}
	}
	body, version, err := answer(cl, resp, body)
	return result{body: body, version: version, err: err}
}

// readWhole reads the body of an answer. It rejects one that has neither a length nor chunks.
func readWhole(resp *fasthttp.Response) ([]byte, error) {
	if !resp.IsBodyStream() {
		return nil, nil
	}
	if err := verifier.CheckDelimited(resp); err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.BodyStream(), maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = fasthttp.ErrBodyTooLarge
	}
	return body, err
}

func (c *Client) host(uri string) string {
	parsed, err := url.Parse(uri)
	if err != nil {
		return ""
	}
	return parsed.Host
}

// answer returns what an answer with this body means for the call.
func answer(cl call, resp *fasthttp.Response, body []byte) ([]byte, int64, error) {
	version, _ := strconv.ParseInt(string(resp.Header.Peek(VersionHeader)), 10, 64)
	switch resp.StatusCode() {
	case http.StatusOK:
		count(cl.kind, "ok")
		return body, version, nil
	case http.StatusNotFound:
		count(cl.kind, "not_found")
		return nil, 0, ErrNotFound{Key: cl.key}
	case http.StatusConflict:
		count(cl.kind, "conflict")
		return nil, 0, ErrConflict{Key: cl.key, Version: version}
	case http.StatusRequestEntityTooLarge:
		count(cl.kind, "too_large")
		return nil, 0, ErrTooLarge{Key: cl.key, Bytes: len(cl.value)}
	case http.StatusTooManyRequests:
		count(cl.kind, "rate_limited")
		return nil, 0, ErrRateLimited{Key: cl.key}
	default:
		count(cl.kind, "failed")
		return nil, 0, ErrOutcomeUnknown{Key: cl.key, Cause: fmt.Sprintf("status %d", resp.StatusCode())}
	}
}

// take spends one call of the rate bound.
func (c *Client) take() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock.Now()
	rate := float64(c.cfg.CallsPerSecond())
	c.tokens = min(2*rate, c.tokens+rate*float64(now-c.refilled)/float64(clocker.Second))
	c.refilled = now
	if c.tokens < 1 {
		return false
	}
	c.tokens--
	return true
}

func count(kind, outcome string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`cowsliphinge_platform_calls_total{kind=%q,outcome=%q}`, kind, outcome)).Inc()
}

func escapeKey(key string) string {
	segments := strings.Split(key, "/")
	for i, s := range segments {
		segments[i] = url.PathEscape(s)
	}
	return strings.Join(segments, "/")
}
