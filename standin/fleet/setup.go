package fleet

import (
	"context"
	"slices"

	"github.com/gravitational/trace"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// pollEvery is the pause between looks at a condition, in milliseconds.
const pollEvery clocker.Millis = 5

// CallerAddress returns where callers reach a host.
func (f *Fleet) CallerAddress(host string) string {
	return f.host(host).CallerAddress
}

// Publish applies the declarations as the first version.
func (f *Fleet) Publish(ctx context.Context, host string) error {
	_, err := f.Commander(host).Apply(ctx, &messenger.ApplyRequest{
		OperationId:  "publish",
		Declarations: f.Declarations,
		By:           "stand-in fleet",
	})
	return trace.Wrap(err)
}

// Listed returns the caller addresses of the hosts that are ready, as a
// balancer before the hosts sees them.
func (f *Fleet) Listed() []string {
	var ready []string
	for name, r := range f.Routers() {
		if r.Ready() {
			ready = append(ready, f.CallerAddress(name))
		}
	}
	slices.Sort(ready)
	return ready
}

// AwaitReady waits until all running routers have a configuration.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	return f.Await(ctx, func() bool {
		for _, r := range f.Routers() {
			if !r.Ready() || r.ConfigurationVersion() == 0 {
				return false
			}
		}
		return true
	})
}

// Await waits for a condition, or returns the error of ctx.
func (f *Fleet) Await(ctx context.Context, condition func() bool) error {
	for !condition() {
		if err := f.cfg.Clock.Sleep(ctx, pollEvery); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}
