package runner

import (
	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
)

// isolatedAfter is the silence of all other hosts after which this one takes itself for
// cut off, in milliseconds: four heartbeats.
const isolationTimeout = 4 * heartbeatInterval

var isolations = metrics.NewCounter("cowsliphinge_isolations_total")

// isolated reports whether a host that does not reach the store heard of no other host
// for a while either. It can get no tokens, and others serve its callers better.
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

// watchIsolation takes in whether this host is cut off from all others.
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
