package runner

import (
	"cowsliphinge/clocker"
	"cowsliphinge/matcher"
)

const (
	// firstHeartbeatTimeout is how long a host that starts waits for the first heartbeat of
	// another host, in milliseconds.
	firstHeartbeatTimeout = clocker.Second
	// catchUpTimeout is how long it waits for the newest configuration that others have heard of,
	// in milliseconds. After that it serves by the one that the store has.
	catchUpTimeout = 15 * clocker.Second
)

// servingTable returns the table in force, or nil while this host has not caught up with the others
// since its start: the store may have come back from a copy with an older configuration.
func (r *Runner) servingTable() *matcher.Table {
	t := r.table.Load()
	if t == nil || r.caughtUp.Load() {
		return t
	}
	sinceStart := r.cfg.Clock.Now() - r.startedAt
	newest := r.heartbeater.NewestVersion()
	switch {
	case !r.heardOfOthers() && sinceStart < firstHeartbeatTimeout:
		return nil
	case t.Version < newest && sinceStart < catchUpTimeout:
		return nil
	}
	if r.caughtUp.CompareAndSwap(false, true) {
		r.cfg.Log.Info("caught up with other hosts", "version", t.Version, "newest", newest, "took_ms", sinceStart)
	}
	return t
}

// heardOfOthers reports whether another host has sent a heartbeat, or whether the host list was read
// and has no other host.
func (r *Runner) heardOfOthers() bool {
	peers := r.heartbeater.Peers()
	for _, p := range peers {
		if p.Incarnation != "" {
			return true
		}
	}
	return len(peers) == 0 && r.heartbeater.HostListRead()
}
