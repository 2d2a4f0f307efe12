package runner

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"cowsliphinge/clocker"
)

// positionLifetime is how long a position is used before it is computed again, in milliseconds:
// two heartbeats.
const positionLifetime = 2 * heartbeatInterval

// sharePositions holds the positions of this host among all hosts, by server.
type sharePositions struct {
	mu         sync.Mutex
	computedAt clocker.Millis
	byServer   map[string]int
}

// sharePosition returns the position of this host among the known hosts, which the hash of their
// names and the server orders. Hosts that know the same hosts agree on the order.
func (r *Runner) sharePosition(server string) int {
	now := r.cfg.Clock.Now()
	r.positions.mu.Lock()
	defer r.positions.mu.Unlock()
	if r.positions.byServer == nil || now-r.positions.computedAt >= positionLifetime {
		r.positions.computedAt, r.positions.byServer = now, map[string]int{}
	}
	position, known := r.positions.byServer[server]
	if known {
		return position
	}
	own := xxhash.Sum64String(server + "/" + r.cfg.Settings.Host)
	for _, p := range r.heartbeater.Peers() {
		if xxhash.Sum64String(server+"/"+p.Host) > own {
			position++
		}
	}
	r.positions.byServer[server] = position
	return position
}
