// Package drainer stops a router without cutting a request: it turns not
// ready, gives the balancer time, lets requests finish, and then closes what
// holds limits, claims and bills.
package drainer

import (
	"context"
	"log/slog"

	"cowsliphinge/clocker"
)

// Dispatcher is what has requests in flight.
type Dispatcher interface {
	Drain()
	Drained() <-chan struct{}
	InFlight() int64
}

// Part is something that is closed in its turn.
type Component struct {
	Name  string
	Close func(ctx context.Context) error
}

// Config configures a Drainer.
type Config struct {
	Clock *clocker.Clock
	Log   *slog.Logger
	// BalancerDelay is how long the balancer may take to see that the host is
	// not ready, in milliseconds.
	BalancerDelay clocker.Millis
	// Bound is the longest stop, in milliseconds.
	Timeout    clocker.Millis
	Dispatcher Dispatcher
	// NotReady makes readiness checks fail.
	MarkNotReady func()
	// Parts are closed in this order once nothing is in flight.
	Components []Component
}

// Report tells what a stop left behind.
type Report struct {
	// InFlight counts the requests that were cut.
	RequestsCut int64
	// Failed names the parts that did not close.
	NotClosed []string
}

// Clean reports whether nothing was cut and every part closed.
func (r Report) Clean() bool {
	return r.RequestsCut == 0 && len(r.NotClosed) == 0
}

// Drain stops the router. It ends early, with a report of what was left, when
// ctx ends or the bound is reached.
func Drain(ctx context.Context, cfg Config) Report {
	ctx, cancel := cfg.Clock.WithTimeout(ctx, cfg.Timeout)
	defer cancel()
	cfg.Log.Info("draining", "in_flight", cfg.Dispatcher.InFlight())
	cfg.MarkNotReady()
	_ = cfg.Clock.Sleep(ctx, cfg.BalancerDelay) // an ended ctx is seen below
	cfg.Dispatcher.Drain()
	select {
	case <-cfg.Dispatcher.Drained():
	case <-ctx.Done():
	}
	report := Report{RequestsCut: cfg.Dispatcher.InFlight()}
	for _, part := range cfg.Components {
		if err := part.Close(ctx); err != nil {
			report.NotClosed = append(report.NotClosed, part.Name)
			cfg.Log.Warn("part did not close", "part", part.Name, "error", err)
		}
	}
	cfg.Log.Info("drained", "cut", report.RequestsCut, "failed", len(report.NotClosed))
	return report
}
