package runner

import (
	"context"

	"cowsliphinge/clocker"
)

const (
	// balancerDelay is how long the platform's balancer may send new connections
	// to a host that is not ready any more, in milliseconds: two misses of one
	// question a second.
	balancerDelay = 2500 * clocker.Millis(1)
	// stopMargin is how long before the platform kills the process the stop ends,
	// in milliseconds.
	stopMargin = 700 * clocker.Millis(1)
	// returnTime is how long the return of budgets may take, in milliseconds.
	returnTime = 600 * clocker.Millis(1)
	// idlePause is the time between two looks whether requests are in flight, in
	// milliseconds.
	idlePause = 20 * clocker.Millis(1)
)

// Stop ends the router without cutting a request: it turns not ready, lets the
// balancer see that, finishes what is in flight, returns its budgets, and closes.
// It returns how many requests were cut.
func (r *Runner) Stop(ctx context.Context) int64 {
	clock := r.cfg.Clock
	r.draining.Store(true)
	r.cfg.Log.Info("stopping", "in_flight", r.relayer.Load().InFlight())
	due := clock.Now() + r.settings.Load().StopBoundMs - stopMargin
	_ = clock.Sleep(ctx, balancerDelay)
	r.cutAt.Store(int64(due))
	for r.conns.closeIdle(false) > 0 && clock.Now() < due-returnTime {
		_ = clock.Sleep(ctx, idlePause)
	}
	cut := r.relayer.Load().InFlight()
	returning, cancel := clock.WithTimeout(ctx, max(1, due-clock.Now()))
	defer cancel()
	if err := r.reserver.Load().Close(returning); err != nil {
		r.cfg.Log.Warn("budgets were not returned", "cause", err.Error(), "held", r.reserver.Load().HeldTokens())
	}
	for r.conns.closeIdle(true) > 0 && clock.Now() < due {
		_ = clock.Sleep(ctx, idlePause)
	}
	cut = min(cut, r.relayer.Load().InFlight())
	r.cancel()
	_ = r.callers.Close()
	_ = r.probes.Close()
	_ = r.peers.Close()
	r.cfg.Log.Info("stopped", "requests_cut", cut)
	return cut
}
