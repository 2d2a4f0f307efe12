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
	// compareInterval is the interval of the comparisons with the versions of other
	// hosts, in milliseconds: that of their heartbeats.
	compareInterval = heartbeatInterval
	// longWatchTimeout is the watch timeout of hosts that are not zone watchers, in
	// milliseconds. Each watch call is paid. A change ends it at once.
	longWatchTimeout = 12 * clocker.Second
	// zoneWatcherTimeoutDivisor divides a time limit to get the watch timeout of a zone
	// watcher, which watches the store on behalf of its zone. The remaining time is for
	// heartbeats to spread the update to the others.
	zoneWatcherTimeoutDivisor = 2
	// minHostsForZoneWatchers is the number of live hosts from which a zone has zone
	// watchers. With fewer, their shorter timeouts cost more calls than the longer
	// timeouts of the others save.
	minHostsForZoneWatchers = 6
	// zoneWatcherShard is the budget shard whose holders are the zone watchers; they
	// call the store anyway.
	zoneWatcherShard = 0
)

// versionLag detects that other hosts have had a higher version for some time.
type versionLag struct {
	behind      bool
	behindSince clocker.Millis
}

// persists records the version of this host and the highest one reported by another
// host. It reports whether this host's has been lower for minDuration, at most once per
// minDuration.
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

// watchTimeouts returns a function for the timeout of watches whose changes must be
// known within bound. In a zone of many hosts two zone watchers use short timeouts. A
// change that the hanging watch of another host misses, because the store dropped its
// history, is reported by their heartbeats.
func (r *Runner) watchTimeouts(bound clocker.Millis) func() clocker.Millis {
	return func() clocker.Millis {
		zone := []string{r.cfg.Settings.Host}
		for _, p := range r.zonePeers() {
			zone = append(zone, p.Host)
		}
		return watchTimeout(r.cfg.Settings.Host, zone, bound)
	}
}

// watchTimeout returns the watch timeout of a host, given the live hosts of its zone.
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

// livePeers returns the other hosts whose heartbeats arrive.
func (r *Runner) livePeers() []heartbeater.Peer {
	var live []heartbeater.Peer
	for _, p := range r.heartbeater.Peers() {
		if !p.Suspect && p.Incarnation != "" {
			live = append(live, p)
		}
	}
	return live
}

// serversOutdated reports whether a peer has a different set of backend servers from a
// later response of the store.
func serversOutdated(fingerprint uint64, revision int64, peers []heartbeater.Peer) bool {
	return slices.ContainsFunc(peers, func(p heartbeater.Peer) bool {
		return p.ServersRevision > revision && p.ServersFingerprint != fingerprint
	})
}

// compareWithPeers relists the configuration or the backend servers when other hosts
// have had newer ones for some time. A watch may hang after the store drops its history.
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
