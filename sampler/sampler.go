// Package sampler asks backend servers for load reports and cache events.
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

// timeout ends an exchange, in milliseconds.
const timeout = 1 * clocker.Second

// Caller sends a request to a backend server and returns the whole answer.
type Caller interface {
	Call(address string, r connector.Request) (*connector.Answer, error)
}

// Config is what a Sampler is built from.
type Config struct {
	Clock  *clocker.Clock
	Caller Caller
}

// Sampler implements balancer.Loads. All methods may be called from many goroutines.
type Sampler struct {
	cfg Config
}

// New returns a Sampler.
func New(cfg Config) *Sampler {
	return &Sampler{cfg: cfg}
}

// LoadReport returns the load report of the backend server at address, or
// picker.ErrNoReport if it answers without one.
func (s *Sampler) FetchLoad(ctx context.Context, address string) (picker.LoadReport, error) {
	var report picker.LoadReport
	err := s.get(ctx, address, "/load", &report)
	return report, err
}

// CacheEvents returns the cache events after a sequence number.
func (s *Sampler) FetchCacheEvents(ctx context.Context, address string, after int64) ([]picker.CacheEvent, error) {
	var events []picker.CacheEvent
	err := s.get(ctx, address, fmt.Sprintf("/cache-events?after=%d", after), &events)
	return events, err
}

// get reads the JSON answer of a path into target.
func (s *Sampler) get(ctx context.Context, address, path string, target any) error {
	if err := ctx.Err(); err != nil {
		return trace.Wrap(err)
	}
	answer, err := s.cfg.Caller.Call(address, connector.Request{
		Method:          "GET",
		Path:            path,
		Deadline:        s.cfg.Clock.Now() + timeout,
		ProgressTimeout: timeout,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	if answer.Status != 200 {
		return trace.Wrap(picker.ErrNoReport{Status: answer.Status})
	}
	return trace.Wrap(json.Unmarshal(answer.Body, target))
}
