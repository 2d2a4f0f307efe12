package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"

	"cowsliphinge/clocker"
)

const (
	// restartPause is the mean time between two restarts or deaths of backend servers, in milliseconds.
	restartPause = 400
	// maxQuick bounds how long a quick restart takes, and minRefusing and maxRefusing a slow one, in
	// milliseconds. The address refuses connections meanwhile.
	maxQuick    = 5
	minRefusing = 200
	maxRefusing = 800
	// heartbeat is the longest time until a new incarnation writes its entry, in milliseconds.
	heartbeat = 1200
	// minServers are left alone by restarts.
	minServers = 2
)

// restartServers ends one or two backend servers at once and starts each under its ID and address with
// another software version, mostly within milliseconds.
func restartServers(w *world, rng *rand.Rand) string {
	how := []ending{byFin, byFin, byReset}[rng.IntN(3)]
	down := clocker.Millis(rng.IntN(maxQuick))
	if rng.IntN(4) == 0 {
		down = clocker.Millis(minRefusing + rng.IntN(maxRefusing-minRefusing))
	}
	until := clocker.Millis(0)
	if rng.IntN(3) > 0 {
		until = clocker.Millis(rng.IntN(heartbeat))
	}
	var restarted []*backend
	var names []string
	for _, b := range w.takeServers(rng, 1+rng.IntN(2)) {
		w.endServer(b, how)
		names = append(names, b.id)
		restarted = append(restarted, &backend{id: b.id, zone: b.zone, address: b.address, version: otherVersion(b.version), born: b.born + 1})
	}
	w.cfg.Clock.SleepUncancellable(down)
	failed := ""
	for _, b := range restarted {
		if err := w.serveBackend(b); err != nil {
			failed += ", " + err.Error()
			w.unlist(b.id)
		}
	}
	w.cfg.Clock.SleepUncancellable(until)
	for _, b := range restarted {
		w.relist(b)
	}
	return fmt.Sprintf("restart %s with another version, end %s, start after %d ms, entry after %d ms%s", strings.Join(names, ", "), how, down, until, failed)
}

// relist writes the entry of a restarted server unless it has left or restarted meanwhile.
func (w *world) relist(b *backend) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, up := range w.servers {
		if up == b {
			w.entries[b.id] = b.listed
			_ = w.store.Put("servers", b.id, b.listed) // made here and always encodes
		}
	}
}

// killServers ends one or two backend servers at once. Their entries stay for a while; others
// start after that.
func killServers(w *world, rng *rand.Rand) string {
	how := []ending{byFin, byFin, byReset, behindAnswers}[rng.IntN(4)]
	var names []string
	killed := w.takeServers(rng, 1+rng.IntN(2))
	for _, b := range killed {
		w.endServer(b, how)
		names = append(names, b.id)
	}
	w.pause(rng, maxRefusing)
	for _, b := range killed {
		w.unlist(b.id)
		if err := w.addServer(); err != nil {
			names = append(names, err.Error())
		}
	}
	return fmt.Sprintf("processes of %s end %s", strings.Join(names, ", "), how)
}

// takeServers takes up to n servers out of those that other faults may choose.
func (w *world) takeServers(rng *rand.Rand, n int) []*backend {
	w.mu.Lock()
	defer w.mu.Unlock()
	var taken []*backend
	for len(taken) < n && len(w.servers) > minServers {
		at := rng.IntN(len(w.servers))
		taken = append(taken, w.servers[at])
		w.servers = append(w.servers[:at:at], w.servers[at+1:]...)
	}
	return taken
}

// endServer ends the process of a backend server.
func (w *world) endServer(b *backend, how ending) {
	w.record.crash(b.id, w.cfg.Clock.Now())
	b.die(how)
}

func otherVersion(version string) string {
	if version == softwareVersions[0] {
		return softwareVersions[1]
	}
	return softwareVersions[0]
}

// restartServersUntil restarts and ends backend servers until ctx ends.
func (w *world) restartServersUntil(ctx context.Context, rng *rand.Rand) []string {
	var faults []fault
	if w.cfg.Versions {
		faults = append(faults, restartServers)
	}
	if w.cfg.Deaths {
		faults = append(faults, killServers)
	}
	return w.series(ctx, rng, faults, restartPause, func(_, _ clocker.Millis) {})
}
