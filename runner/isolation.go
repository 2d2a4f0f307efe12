package runner

import (
	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
)

// isolationTimeout is the time without heartbeats from any other host after which this
// host considers itself isolated, in milliseconds: four heartbeats.
const isolationTimeout = 4 * heartbeatInterval

var isolations = metrics.NewCounter("cowsliphinge_isolations_total")

// isolated reports whether a host that cannot reach the store has not received a
// heartbeat from any other host for isolationTimeout either. It can get no tokens, and
// its callers are better served by other hosts.
func isolated(storeReachable bool, peers []heartbeater.Peer, now clocker.Millis) bool {
	if storeReachable {
		return false
	}
	var lastHeard clocker.Millis
	for _, p := range peers {
		lastHeard = max(lastHeard, p.LastHeard)
	}
	return lastHeard > 0 && now-lastHeard >= isolationTimeout
}

// updateIsolation updates whether this host is isolated and logs a change.
func (r *Runner) updateIsolation() {
	current := isolated(r.storeHealth.Reachable(), r.heartbeater.Peers(), r.cfg.Clock.Now())
	if current == r.isolated.Swap(current) {
		return
	}
	if current {
		isolations.Inc()
	}
	r.cfg.Log.Info("isolation changed", "isolated", current)
}
