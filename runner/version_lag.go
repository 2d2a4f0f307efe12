package runner

import (
	"context"
	"log/slog"
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/allotter"
	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
)

const (
	// compareInterval is the interval of the comparisons with the newest configuration
	// version and backend servers that other hosts have heard of, in milliseconds.
	compareInterval = 100 * clocker.Millis(1)
	// lagDivisor divides the time within which a change must be known to get the time that
	// the own watch has to deliver what another host has. The store's link needs some hundred
	// milliseconds to send a large configuration to a large fleet.
	lagDivisor = 10
	// longWatchTimeout is the watch timeout of hosts that are not designated, in
	// milliseconds. The platform bills each watch call. A change ends it at once.
	longWatchTimeout = 12 * clocker.Second
	// designatedHostTimeoutDivisor divides a time limit to get the watch timeout of a
	// designated host, which watches the store on behalf of its zone. The remaining time
	// is for heartbeats to spread the update to the others.
	designatedHostTimeoutDivisor = 4
	// smallZoneTimeoutPercent is the longest watch timeout of the hosts of a zone without
	// designated hosts, in percent of the time limit.
	smallZoneTimeoutPercent = 67
	// minHostsForDesignation is the number of live hosts from which a zone has
	// designated hosts. With fewer, their shorter timeouts cost more calls than the
	// longer timeouts of the others save.
	minHostsForDesignation = 6
	// newsTimeoutPercent is the age from which the news of others is too old to rely on, in percent
	// of a time limit. The remaining time is for a call of the store, which may return a large
	// configuration to the whole fleet. In zones with designated hosts the news has fewer sources and is
	// often older than half of the limit for a moment; without any, their hosts end a watch after
	// smallZoneTimeoutPercent in any case.
	newsTimeoutPercent           = 50
	designatedNewsTimeoutPercent = 60
	// rareRetryDivisor divides the time within which a configuration must be in force to get the interval
	// of the calls of an unreachable store by most hosts of a zone with designated hosts. The
	// remaining time is for the call.
	rareRetryDivisor = 2
	// designationShard is the budget shard whose holders are the designated hosts; they
	// call the store anyway.
	designationShard = 0
)

// configurationLag is the time between the first report of a configuration version by another
// host and that version's coming into force here, in seconds.
var configurationLag = metrics.NewHistogram("cowsliphinge_configuration_lag_seconds")

// lagDetector detects that other hosts have been ahead of this one for some time.
type lagDetector struct {
	behind      bool
	behindSince clocker.Millis
}

// observe records the state of this host and the latest one of another host: versions,
// or 0 and 1 if another host is ahead. It reports whether this host has been behind for
// minDuration, at most once per minDuration.
func (l *lagDetector) observe(own, highest int64, minDuration, now clocker.Millis) bool {
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

// configurationTimeout returns the timeout of the next watch of the configuration. In a zone of
// many hosts one designated host uses short timeouts. A change that the hanging watch of another
// host misses, because the store compacted its change history, is reported by their heartbeats.
// Without recent ones a host relies on its own watch.
func (r *Runner) configurationTimeout() clocker.Millis {
	s, zone := r.cfg.Settings, r.zoneHosts()
	stale := isStale(r.cfg.Clock.Now()-r.heartbeater.Confirmations().Configuration, s.ConfigurationMs, len(zone))
	return watchTimeout(s.Host, zone, r.fleetPosition(), s.ConfigurationMs, stale)
}

// serversTimeout is the same for the backend servers. While heartbeats arrive it is longer than
// LeaveMs alone would allow, since requests detect leaving servers as well.
func (r *Runner) serversTimeout() clocker.Millis {
	s, zone := r.cfg.Settings, r.zoneHosts()
	if isStale(r.cfg.Clock.Now()-r.heartbeater.Confirmations().Servers, s.LeaveMs, len(zone)) {
		return watchTimeout(s.Host, zone, r.fleetPosition(), s.LeaveMs, true)
	}
	return watchTimeout(s.Host, zone, r.fleetPosition(), s.SteadyMs, false)
}

// storeRetryInterval returns the interval of the calls of an unreachable store, 0 for the usual backoff.
func (r *Runner) storeRetryInterval() clocker.Millis {
	s := r.cfg.Settings
	zone := []allotter.Candidate{{Host: s.Host, CapacityMilli: s.capacityMilli()}}
	for _, p := range r.zonePeers() {
		zone = append(zone, allotter.Candidate{Host: p.Host, CapacityMilli: p.CapacityMilli})
	}
	return retryInterval(s.Host, zone, s.ConfigurationMs)
}

// retryInterval returns the interval of the calls of an unreachable store by a host, given the live hosts
// of its zone; 0 for the usual backoff. In a zone of many hosts the designated hosts and the holders of
// budgets keep the usual one. The others are told by heartbeats when the store responds to those again.
func retryInterval(host string, zone []allotter.Candidate, bound clocker.Millis) clocker.Millis {
	if len(zone) < minHostsForDesignation {
		return 0
	}
	hosts := make([]string, 0, len(zone))
	for _, c := range zone {
		hosts = append(hosts, c.Host)
	}
	if slices.Contains(allotter.Holders(designationShard, hosts), host) || slices.Contains(allotter.HoldersByCapacity(designationShard, zone), host) {
		return 0
	}
	return bound / rareRetryDivisor
}

// confirmations returns until when the store has told this host of all changes.
func (r *Runner) confirmations() heartbeater.Confirmations {
	var c heartbeater.Confirmations
	if w := r.configurationWatcher.Load(); w != nil {
		c.Configuration = w.ConfirmedAt()
	}
	if w := r.serverWatcher.Load(); w != nil {
		c.Servers = w.ConfirmedAt()
	}
	return c
}

// zoneHosts returns the live hosts of the own zone with this one.
func (r *Runner) zoneHosts() []string {
	zone := []string{r.cfg.Settings.Host}
	for _, p := range r.zonePeers() {
		zone = append(zone, p.Host)
	}
	return zone
}

// fleetPosition returns the share of the live hosts whose names sort before the own one.
func (r *Runner) fleetPosition() float64 {
	before, hosts := 0, 1
	for _, p := range r.livePeers() {
		hosts++
		if p.Host < r.cfg.Settings.Host {
			before++
		}
	}
	return float64(before) / float64(hosts)
}

// isDesignated reports whether this host is a designated host of its zone.
func (r *Runner) isDesignated() bool {
	return slices.Contains(allotter.Holders(designationShard, r.zoneHosts()), r.cfg.Settings.Host)
}

// watchTimeout returns the watch timeout of a host, given the live hosts of its zone and its
// position in the fleet. Of the designated hosts the first one watches closely, the second one only
// while the news is stale. The watches of all hosts start together after a change; if they all
// hang, the first one that ends by its timeout is enough, so the short ones differ by up to
// a half. staleNews is true if other hosts send nothing recent about the store.
func watchTimeout(host string, zone []string, position float64, bound clocker.Millis, staleNews bool) clocker.Millis {
	longest := bound * smallZoneTimeoutPercent / 100
	if len(zone) >= minHostsForDesignation {
		switch rank := slices.Index(allotter.Holders(designationShard, zone), host); {
		case rank == 0 || rank > 0 && staleNews:
			longest = bound / designatedHostTimeoutDivisor
		case !staleNews:
			return max(longWatchTimeout, bound)
		}
	}
	return longest/2 + clocker.Millis(position*float64(longest)/2)
}

// isStale reports whether news of an age is too old to rely on for changes that must be known
// within bound, in a zone of that many live hosts.
func isStale(newsAge, bound clocker.Millis, zoneHosts int) bool {
	percent := clocker.Millis(newsTimeoutPercent)
	if zoneHosts >= minHostsForDesignation {
		percent = designatedNewsTimeoutPercent
	}
	return newsAge >= bound*percent/100
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

// serversOutdated reports whether another host knows other backend servers than this one, from
// a later response of the store.
func serversOutdated(fingerprint uint64, revision int64, newest heartbeater.ServersState) bool {
	return newest.Revision > revision && newest.Fingerprint != fingerprint
}

// configurationVersion returns the version in force, 0 before the first.
func (r *Runner) configurationVersion() int64 {
	if t := r.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// newerVersionLog logs when another host reports a newer configuration, and measures how long
// it takes to come into force here.
type newerVersionLog struct {
	newest     int64
	reportedAt clocker.Millis
}

func (l *newerVersionLog) observe(log *slog.Logger, own, newest int64, now clocker.Millis) {
	if l.newest > 0 && own >= l.newest {
		configurationLag.Update(float64(now-l.reportedAt) / float64(clocker.Second))
		l.newest = 0
	}
	if newest > own && newest > l.newest {
		log.Info("another host has a newer configuration", "version", own, "newest", newest)
		l.newest, l.reportedAt = newest, now
	}
}

// relistWhenBehindPeers relists the configuration or the backend servers when other
// hosts have had newer ones for some time, and renews long watches once other hosts send no
// news. A watch may hang after the store compacts its change history.
func (r *Runner) relistWhenBehindPeers(ctx context.Context) {
	var version, servers lagDetector
	var reports newerVersionLog
	for r.cfg.Clock.Sleep(ctx, compareInterval) == nil {
		own, newest, now := r.configurationVersion(), r.heartbeater.NewestVersion(), r.cfg.Clock.Now()
		reports.observe(r.cfg.Log, own, newest, now)
		r.announceChanges(own, r.backends.currentFingerprint())
		if version.observe(own, newest, r.cfg.Settings.ConfigurationMs/lagDivisor, now) {
			r.configurationWatcher.Load().Relist()
		}
		if servers.observe(0, r.behindOnServers(), r.cfg.Settings.LeaveMs/lagDivisor, now) {
			r.serverWatcher.Load().Relist()
		}
		r.renewStaleWatches(now)
	}
}

// renewStaleWatches ends long watches in progress while the news of other hosts is too old to rely
// on, and logs when that begins and ends. It is called by one goroutine.
func (r *Runner) renewStaleWatches(now clocker.Millis) {
	news, zoneHosts := r.heartbeater.Confirmations(), len(r.zoneHosts())
	stale := isStale(now-news.Configuration, r.cfg.Settings.ConfigurationMs, zoneHosts)
	if stale != r.newsStale {
		r.newsStale = stale
		if !stale && zoneHosts >= minHostsForDesignation { // the store responds to other hosts again
			r.configurationWatcher.Load().RetryNow()
		}
		r.cfg.Log.Info("news of the store from other hosts changed", "stale", stale, "age_ms", now-news.Configuration, "version", r.configurationVersion())
	}
	if stale {
		r.configurationWatcher.Load().EndOverdueWatch()
	}
	if isStale(now-news.Servers, r.cfg.Settings.LeaveMs, zoneHosts) {
		r.serverWatcher.Load().EndOverdueWatch()
	}
}

// announceChanges makes a designated host tell others of a new version or of other backend
// servers at once, for hosts whose watches hang. It is called by one goroutine.
func (r *Runner) announceChanges(version int64, servers uint64) {
	changed := version != r.announcedVersion || servers != r.announcedServers
	r.announcedVersion, r.announcedServers = version, servers
	if changed && r.isDesignated() {
		r.heartbeater.Announce()
	}
}

// behindOnServers returns 1 if other hosts know other backend servers, else 0.
func (r *Runner) behindOnServers() int64 {
	if serversOutdated(r.backends.currentFingerprint(), r.serverWatcher.Load().LastRevision(), r.heartbeater.NewestServers()) {
		return 1
	}
	return 0
}
