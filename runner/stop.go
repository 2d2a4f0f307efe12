package runner

import (
	"context"

	"cowsliphinge/clocker"
)

const (
	// balancerDelay is how long the platform's balancer may send new connections to a
	// host that is no longer ready, in milliseconds: two failed probes, one per second.
	balancerDelay = 2500 * clocker.Millis(1)
	// stopMargin is the time between the end of the stop and the platform's kill of the
	// process, in milliseconds.
	stopMargin = 700 * clocker.Millis(1)
	// budgetReturnTimeout is the time allowed for the return of budgets, in milliseconds.
	budgetReturnTimeout = 600 * clocker.Millis(1)
	// answerTime is how long before the end of the stop the requests in flight are ended, in
	// milliseconds: their callers get an answer within it.
	answerTime = 200 * clocker.Millis(1)
	// drainPollInterval is the time between two checks for requests in flight, in
	// milliseconds.
	drainPollInterval = 20 * clocker.Millis(1)
)

// Stop shuts the router down gracefully. It becomes not ready, waits until the balancer
// detects that, finishes the requests in flight, returns its budgets, and closes. It
// returns the number of aborted requests.
func (r *Runner) Stop(ctx context.Context) int64 {
	clock := r.cfg.Clock
	r.draining.Store(true)
	r.cfg.Log.Info("stopping", "in_flight", r.relayer.Load().InFlight())
	deadline, requestsEnd := stopTimes(clock.Now(), r.settings.Load().StopBoundMs)
	_ = clock.Sleep(ctx, balancerDelay)
	r.stopDeadline.Store(int64(requestsEnd))
	for r.callerConns.closeIdle(false) > 0 && clock.Now() < deadline-budgetReturnTimeout {
		_ = clock.Sleep(ctx, drainPollInterval)
	}
	cut := r.relayer.Load().InFlight()
	returnCtx, cancel := clock.WithTimeout(ctx, max(1, deadline-clock.Now()))
	defer cancel()
	if err := r.reserver.Load().Close(returnCtx); err != nil {
		r.cfg.Log.Warn("budgets were not returned", "cause", err.Error(), "held", r.reserver.Load().HeldTokens())
	}
	for (r.callerConns.closeIdle(true) > 0 || r.tunnels.Open() > 0) && clock.Now() < deadline {
		if clock.Now() >= requestsEnd {
			r.relayer.Load().EndAll()
		}
		_ = clock.Sleep(ctx, drainPollInterval)
	}
	cut = min(cut, r.relayer.Load().InFlight())
	r.cancel()
	_ = r.server.Close()
	_ = r.readyServer.Close()
	_ = r.peerServer.Close()
	r.tunnels.Close()
	r.cfg.Log.Info("stopped", "requests_cut", cut)
	return cut
}

// stopTimes returns when a stop that begins now is over at the latest, and when it ends the requests in flight. No request
// that may last longer is accepted.
func stopTimes(now, bound clocker.Millis) (deadline, requestsEnd clocker.Millis) {
	deadline = now + bound - stopMargin
	return deadline, deadline - answerTime
}
