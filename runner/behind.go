package runner

import (
	"context"

	"cowsliphinge/allotter"
	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
	"cowsliphinge/watcher"
)

const (
	// longWait is how long a watch of most hosts waits, in milliseconds: waiting
	// calls are paid each.
	longWait = 12 * clocker.Second
	// comparePause is the time between two looks at what other hosts know, in
	// milliseconds: that of their heartbeats.
	comparePause = beatEvery
)

// majority tells when most other hosts have agreed for a while on another value than
// the own one.
type majority struct {
	value uint64
	since clocker.Millis
}

// differs takes in what the others know now, 0 for nothing, and reports whether they
// have agreed on one other value for patience.
func (m *majority) differs(own uint64, others []uint64, patience, now clocker.Millis) bool {
	count := map[uint64]int{}
	common := own
	for _, value := range others {
		count[value]++
		if value != 0 && 2*count[value] > len(others) {
			common = value
		}
	}
	if common == own || common != m.value {
		m.value, m.since = common, now
		return false
	}
	if now-m.since < patience {
		return false
	}
	m.since = now // asks again only after another patience
	return true
}

// wait returns how long watches wait: as long as a bound allows on two hosts of each
// availability zone, longer on the others, which hear from these by heartbeats.
func (r *Runner) wait(bound clocker.Millis) func() clocker.Millis {
	return func() clocker.Millis {
		if r.isScout() {
			return bound
		}
		return longWait
	}
}

// isScout reports whether this host is among those that watch the store closely: the
// holders of budgets, which call it anyway.
func (r *Runner) isScout() bool {
	zone := []string{r.cfg.Settings.Host}
	for _, p := range r.zonePeers() {
		zone = append(zone, p.Host)
	}
	for _, host := range allotter.Holders(0, zone) {
		if host == r.cfg.Settings.Host {
			return true
		}
	}
	return false
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

// compare lists again what most other hosts know otherwise.
func (r *Runner) compare(ctx context.Context, configurations, servers *watcher.Watcher) {
	var version, fingerprint majority
	for r.cfg.Clock.Sleep(ctx, comparePause) == nil {
		now := r.cfg.Clock.Now()
		var versions, fingerprints []uint64
		own := uint64(0)
		if t := r.table.Load(); t != nil {
			own = uint64(t.Version)
		}
		for _, p := range r.livePeers() {
			versions = append(versions, max(own, uint64(p.ConfigurationVersion)))
			fingerprints = append(fingerprints, p.ServersFingerprint)
		}
		if version.differs(own, versions, r.cfg.Settings.ConfigurationMs/gatherPart, now) {
			configurations.ListAgain()
		}
		if fingerprint.differs(r.backends.fingerprint(), fingerprints, 2*r.cfg.Settings.LeaveMs/gatherPart, now) {
			servers.ListAgain()
		}
	}
}
