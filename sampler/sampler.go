// Package sampler fetches load reports and cache events from backend servers.
package sampler

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/gravitational/trace"

	"cowsliphinge/clocker"
	"cowsliphinge/connector"
	"cowsliphinge/picker"
)

// requestTimeout is the timeout of a request to a backend server.
const requestTimeout = 1 * clocker.Second

// Client sends a request to a backend server and returns the complete answer.
type Client interface {
	Call(address string, r connector.Request) (*connector.Answer, error)
}

// Config configures a Sampler.
type Config struct {
	Clock  *clocker.Clock
	Client Client
}

// Sampler implements balancer.LoadSource. It is safe for concurrent use.
type Sampler struct {
	cfg Config
}

// New returns a Sampler.
func New(cfg Config) *Sampler {
	return &Sampler{cfg: cfg}
}

// FetchLoad returns the load report of the backend server at address, or
// picker.ErrNoReport if it answers without one.
func (s *Sampler) FetchLoad(ctx context.Context, address string) (picker.LoadReport, error) {
	var report picker.LoadReport
	err := s.get(ctx, address, "/load", &report)
	return report, err
}

// FetchCacheEvents returns the cache events after a sequence number, or picker.ErrNoReport
// if the backend server answers without them.
func (s *Sampler) FetchCacheEvents(ctx context.Context, address string, after int64) ([]picker.CacheEvent, error) {
	var events []picker.CacheEvent
	err := s.get(ctx, address, fmt.Sprintf("/cache-events?after=%d", after), &events)
	return events, err
}

// get requests a path and decodes the JSON answer into target. ctx is checked only before
// the request; requestTimeout ends it.
func (s *Sampler) get(ctx context.Context, address, path string, target any) error {
	if err := ctx.Err(); err != nil {
		return trace.Wrap(err)
	}
	answer, err := s.cfg.Client.Call(address, connector.Request{
		Method:          "GET",
		Path:            path,
		Deadline:        s.cfg.Clock.Now() + requestTimeout,
		ProgressTimeout: requestTimeout,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	if answer.Status != 200 {
		return trace.Wrap(picker.ErrNoReport{Status: answer.Status})
	}
	return trace.Wrap(json.Unmarshal(answer.Body, target))
}
