package runner

import (
	"context"
	"slices"

	"cowsliphinge/allotter"
	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
	"cowsliphinge/watcher"
)

const (
	// comparePause is the time between two looks at what other hosts know, in
	// milliseconds: that of their heartbeats.
	compareInterval = heartbeatInterval
	// longWait is how long a watch waits on hosts that are no scouts, in milliseconds:
	// each waiting call is paid. It ends at once when a change comes.
	longWatchTimeout = 12 * clocker.Second
	// scoutPart is the part of a bound that the watch of a scout waits: the rest is for
	// the news to reach the others by heartbeats.
	zoneWatcherTimeoutDivisor = 2
	// manyHosts is how many live hosts of a zone make it worth to have scouts: with
	// fewer, their shorter waits cost more calls than the longer ones save.
	minHostsForZoneWatchers = 6
	// scoutShard makes the scouts of a zone the holders of its budgets, which call the
	// store anyway.
	zoneWatcherShard = 0
)

// lag tells when other hosts have known a higher version for a while.
type versionLag struct {
	behind      bool
	behindSince clocker.Millis
}

// lasts takes in the own version and the highest that another host told, and reports
// whether the own one has been lower for patience. It reports that once in patience.
func (l *versionLag) persists(own, highest int64, minDuration, now clocker.Millis) bool {
	if own >= highest {
		l.behind = false
		return false
	}
	if !l.behind {
		l.behind, l.behindSince = true, now
	}
	if now-l.behindSince < minDuration {
		return false
	}
	l.behindSince = now
	return true
}

// waits returns how long watches wait for which a bound holds. In a zone of many hosts
// two scouts watch the store closely, and what the waiting watch of another host
// misses, because the store dropped its history, comes from these by heartbeats.
func (r *Runner) watchTimeouts(bound clocker.Millis) func() clocker.Millis {
	return func() clocker.Millis {
		zone := []string{r.cfg.Settings.Host}
		for _, p := range r.zonePeers() {
			zone = append(zone, p.Host)
		}
		return watchTimeout(r.cfg.Settings.Host, zone, bound)
	}
}

// waitOf returns how long a host of a zone's live hosts waits.
func watchTimeout(host string, zone []string, bound clocker.Millis) clocker.Millis {
	switch {
	case len(zone) < minHostsForZoneWatchers:
		return bound
	case slices.Contains(allotter.Holders(zoneWatcherShard, zone), host):
		return bound / zoneWatcherTimeoutDivisor
	default:
		return max(longWatchTimeout, bound)
	}
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

// missed tells whether a host knows other backend servers than this one by a later
// answer of the store.
func serversOutdated(fingerprint uint64, revision int64, peers []heartbeater.Peer) bool {
	return slices.ContainsFunc(peers, func(p heartbeater.Peer) bool {
		return p.ServersRevision > revision && p.ServersFingerprint != fingerprint
	})
}

// compare lists again what another host has known better for a while: a watch may hang
// where the store dropped its history.
func (r *Runner) compareWithPeers(ctx context.Context, configurationWatcher *watcher.Watcher) {
	var version, servers versionLag
	for r.cfg.Clock.Sleep(ctx, compareInterval) == nil {
		now, peers := r.cfg.Clock.Now(), r.livePeers()
		var own, highest int64
		if t := r.table.Load(); t != nil {
			own = t.Version
		}
		for _, p := range peers {
			highest = max(highest, p.ConfigurationVersion)
		}
		if version.persists(own, highest, r.cfg.Settings.ConfigurationMs/batchDelayDivisor, now) {
			configurationWatcher.Relist()
		}
		behind := int64(0)
		if serversOutdated(r.backends.fingerprint(), r.serverWatcher.Load().LastRevision(), peers) {
			behind = 1
		}
		if servers.persists(0, behind, r.cfg.Settings.LeaveMs/serverBatchDelayDivisor, now) {
			r.serverWatcher.Load().Relist()
		}
	}
}
