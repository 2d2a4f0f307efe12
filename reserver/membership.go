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
	// hostsHash is the hash of the known hosts, which are the same since unchangedSince.
	hostsHash      uint64
	unchangedSince clocker.Millis
}

// observe records the known hosts and reports whether membership is stable: the hosts
// did not change for stableFor, or timeout has passed since the first call. Once
// stable, it stays stable.
func (s *membership) observe(hostsHash uint64, noPeers bool, now, stableFor, timeout clocker.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stable {
		return true
	}
	if s.startedAt == 0 {
		s.startedAt = now
	}
	if hostsHash != s.hostsHash || noPeers {
		s.hostsHash, s.unchangedSince = hostsHash, now
	}
	s.stable = now-s.unchangedSince >= stableFor || now-s.startedAt >= timeout
	return s.stable
}
