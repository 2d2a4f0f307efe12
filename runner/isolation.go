package runner

import (
	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
)

// isolatedAfter is the silence of all other hosts after which this one takes itself for
// cut off, in milliseconds: four heartbeats.
const isolatedAfter = 4 * beatEvery

var isolations = metrics.NewCounter("cowsliphinge_isolations_total")

// isolated reports whether a host that does not reach the store heard of no other host
// for a while either. It can get no tokens, and others serve its callers better.
func isolated(storeReachable bool, peers []heartbeater.Peer, now clocker.Millis) bool {
	if storeReachable {
		return false
	}
	var newest clocker.Millis
	for _, p := range peers {
		newest = max(newest, p.LastHeard)
	}
	return newest > 0 && now-newest >= isolatedAfter
}

// watchIsolation takes in whether this host is cut off from all others.
func (r *Runner) watchIsolation() {
	now := isolated(r.health.Reachable(), r.heartbeater.Peers(), r.cfg.Clock.Now())
	if now == r.isolated.Swap(now) {
		return
	}
	if now {
		isolations.Inc()
	}
	r.cfg.Log.Info("isolation changed", "isolated", now)
}
