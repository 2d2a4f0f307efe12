// Package drainer shuts a router down gracefully: it fails the readiness checks,
// waits until the balancer has seen this, waits for the requests in flight, and
// then closes the components that hold limits, claims and bills.
package drainer

import (
	"context"
	"log/slog"

	"cowsliphinge/clocker"
)

// Dispatcher runs the requests in flight.
type Dispatcher interface {
	Drain()
	Drained() <-chan struct{}
	InFlight() int64
}

// Component is a part of the router that is closed when it stops.
type Component struct {
	Name  string
	Close func(ctx context.Context) error
}

// Config configures Drain.
type Config struct {
	Clock *clocker.Clock
	Log   *slog.Logger
	// BalancerDelay is the longest time that the balancer needs to see that the
	// host is not ready, in milliseconds.
	BalancerDelay clocker.Millis
	// Timeout limits the duration of Drain, in milliseconds.
	Timeout    clocker.Millis
	Dispatcher Dispatcher
	// MarkNotReady makes readiness checks fail.
	MarkNotReady func()
	// Components are closed in this order after the requests in flight have ended.
	Components []Component
}

// Report lists what Drain could not finish.
type Report struct {
	// RequestsCut counts the aborted requests: those still in flight when Drain stopped
	// waiting. It is named like the field of the heartbeat.
	RequestsCut int64
	// NotClosed names the components whose Close failed.
	NotClosed []string
}

// Clean reports whether no request was aborted and every component closed.
func (r Report) Clean() bool {
	return r.RequestsCut == 0 && len(r.NotClosed) == 0
}

// Drain stops the router. When ctx ends or the timeout is reached, it stops
// waiting, closes the components and reports what was left.
func Drain(ctx context.Context, cfg Config) Report {
	ctx, cancel := cfg.Clock.WithTimeout(ctx, cfg.Timeout)
	defer cancel()
	cfg.Log.Info("draining", "in_flight", cfg.Dispatcher.InFlight())
	cfg.MarkNotReady()
	_ = cfg.Clock.Sleep(ctx, cfg.BalancerDelay) // ctx is checked again below
	cfg.Dispatcher.Drain()
	select {
	case <-cfg.Dispatcher.Drained():
	case <-ctx.Done():
	}
	report := Report{RequestsCut: cfg.Dispatcher.InFlight()}
	for _, component := range cfg.Components {
		if err := component.Close(ctx); err != nil {
			report.NotClosed = append(report.NotClosed, component.Name)
			cfg.Log.Warn("part did not close", "part", component.Name, "error", err)
		}
	}
	cfg.Log.Info("drained", "cut", report.RequestsCut, "failed", len(report.NotClosed))
	return report
}
