package runner

import (
	"context"

	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
	"cowsliphinge/watcher"
)

// comparePause is the time between two looks at what other hosts know, in
// milliseconds: that of their heartbeats.
const comparePause = beatEvery

// lag tells when other hosts have known a higher version for a while.
type lag struct {
	behind bool
	since  clocker.Millis
}

// lasts takes in the own version and the highest that another host told, and reports
// whether the own one has been lower for patience. It reports that once in patience.
func (l *lag) lasts(own, highest int64, patience, now clocker.Millis) bool {
	if own >= highest {
		l.behind = false
		return false
	}
	if !l.behind {
		l.behind, l.since = true, now
	}
	if now-l.since < patience {
		return false
	}
	l.since = now
	return true
}

// livePeers returns the hosts that are heard.
func (r *Runner) livePeers() []heartbeater.Peer {
	var live []heartbeater.Peer
	for _, p := range r.heartbeater.Peers() {
		if !p.Suspect && p.Incarnation != "" {
			live = append(live, p)
		}
	}
	return live
}

// compare lists the configuration again if another host has known a higher version
// for a while: a watch may hang where the store dropped its history.
func (r *Runner) compare(ctx context.Context, configurations *watcher.Watcher) {
	var l lag
	for r.cfg.Clock.Sleep(ctx, comparePause) == nil {
		var own, highest int64
		if t := r.table.Load(); t != nil {
			own = t.Version
		}
		for _, p := range r.livePeers() {
			highest = max(highest, p.ConfigurationVersion)
		}
		if l.lasts(own, highest, r.cfg.Settings.ConfigurationMs/gatherPart, r.cfg.Clock.Now()) {
			configurations.ListAgain()
		}
	}
}
