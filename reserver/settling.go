package reserver

import (
	"sync"

	"cowsliphinge/clocker"
)

// settling tells when the fleet is known after the start: a host that knows no other
// takes itself for the only holder of all budgets.
type membership struct {
	mu        sync.Mutex
	stable    bool
	startedAt clocker.Millis
	// hosts were known since.
	hostsHash      uint64
	unchangedSince clocker.Millis
}

// note takes in the known hosts and reports whether the fleet is known: the hosts
// stayed the same for a while, or the longest wait is over. Once known, it stays so.
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
