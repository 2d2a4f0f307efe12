package reserver

import (
	"sync"

	"cowsliphinge/clocker"
)

// membership detects when the set of known hosts is complete after the start. A host
// that does not know the others yet would consider itself the only holder of all
// budgets.
type membership struct {
	mu        sync.Mutex
	stable    bool
	startedAt clocker.Millis
	// hostsHash is the hash of the known hosts, which have not changed since
	// unchangedSince. While no peers are known, unchangedSince is the current time.
	hostsHash      uint64
	unchangedSince clocker.Millis
}

// observe records the known hosts and reports whether membership is stable: the hosts
// did not change for stableFor, which starts anew while no peers are known, or timeout
// has passed since the first call. Once stable, it stays stable.
func (m *membership) observe(hostsHash uint64, noPeers bool, now, stableFor, timeout clocker.Millis) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stable {
		return true
	}
	if m.startedAt == 0 {
		m.startedAt = now
	}
	if hostsHash != m.hostsHash || noPeers {
		m.hostsHash, m.unchangedSince = hostsHash, now
	}
	m.stable = now-m.unchangedSince >= stableFor || now-m.startedAt >= timeout
	return m.stable
}
