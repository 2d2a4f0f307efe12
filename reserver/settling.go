package reserver

import (
	"sync"

	"cowsliphinge/clocker"
)

// settling tells when the fleet is known after the start: a host that knows no other
// takes itself for the only holder of all budgets.
type settling struct {
	mu      sync.Mutex
	settled bool
	started clocker.Millis
	// hosts were known since.
	hosts uint64
	since clocker.Millis
}

// note takes in the known hosts and reports whether the fleet is known: the hosts
// stayed the same for a while, or the longest wait is over. Once known, it stays so.
func (s *settling) note(hosts uint64, alone bool, now, settleFor, most clocker.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.settled {
		return true
	}
	if s.started == 0 {
		s.started = now
	}
	if hosts != s.hosts || alone {
		s.hosts, s.since = hosts, now
	}
	s.settled = now-s.since >= settleFor || now-s.started >= most
	return s.settled
}
