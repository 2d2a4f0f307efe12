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
	comparePause = beatEvery
	// longWait is how long a watch waits on hosts that are no scouts, in milliseconds:
	// each waiting call is paid. It ends at once when a change comes.
	longWait = 12 * clocker.Second
	// scoutPart is the part of a bound that the watch of a scout waits: the rest is for
	// the news to reach the others by heartbeats.
	scoutPart = 2
	// manyHosts is how many live hosts of a zone make it worth to have scouts: with
	// fewer, their shorter waits cost more calls than the longer ones save.
	manyHosts = 6
	// scoutShard makes the scouts of a zone the holders of its budgets, which call the
	// store anyway.
	scoutShard = 0
)

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

// waits returns how long watches wait for which a bound holds. In a zone of many hosts
// two scouts watch the store closely, and what the waiting watch of another host
// misses, because the store dropped its history, comes from these by heartbeats.
func (r *Runner) waits(bound clocker.Millis) func() clocker.Millis {
	return func() clocker.Millis {
		zone := []string{r.cfg.Settings.Host}
		for _, p := range r.zonePeers() {
			zone = append(zone, p.Host)
		}
		return waitOf(r.cfg.Settings.Host, zone, bound)
	}
}

// waitOf returns how long a host of a zone's live hosts waits.
func waitOf(host string, zone []string, bound clocker.Millis) clocker.Millis {
	switch {
	case len(zone) < manyHosts:
		return bound
	case slices.Contains(allotter.Holders(scoutShard, zone), host):
		return bound / scoutPart
	default:
		return max(longWait, bound)
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
func missed(fingerprint uint64, revision int64, peers []heartbeater.Peer) bool {
	return slices.ContainsFunc(peers, func(p heartbeater.Peer) bool {
		return p.ServersRevision > revision && p.ServersFingerprint != fingerprint
	})
}

// compare lists again what another host has known better for a while: a watch may hang
// where the store dropped its history.
func (r *Runner) compare(ctx context.Context, configurations *watcher.Watcher) {
	var version, servers lag
	for r.cfg.Clock.Sleep(ctx, comparePause) == nil {
		now, peers := r.cfg.Clock.Now(), r.livePeers()
		var own, highest int64
		if t := r.table.Load(); t != nil {
			own = t.Version
		}
		for _, p := range peers {
			highest = max(highest, p.ConfigurationVersion)
		}
		if version.lasts(own, highest, r.cfg.Settings.ConfigurationMs/gatherPart, now) {
			configurations.Relist()
		}
		behind := int64(0)
		if missed(r.backends.fingerprint(), r.servers.Load().LastRevision(), peers) {
			behind = 1
		}
		if servers.lasts(0, behind, r.cfg.Settings.LeaveMs/serversPart, now) {
			r.servers.Load().Relist()
		}
	}
}
