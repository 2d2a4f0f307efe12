package quarantiner

import (
	"cmp"
	"maps"
	"slices"

	"cowsliphinge/clocker"
)

const (
	// maxQuarantines bounds the quarantines in force.
	maxQuarantines = 8
	// maxAccounts is the number of client accounts from which a quarantine is for all.
	maxAccounts = 2
)

// suspect is a request or a part with the evidence against it.
type suspect struct {
	hash uint64
	// isRequest is true for a request, which has no together.
	isRequest bool
	// crashes are indices of crashes, the earliest first.
	crashes  []int
	requests map[uint64]bool
	accounts map[uint64]bool
	// begun counts the requests that a server had begun to answer.
	begun int
	// together are the parts that all suspect requests with the part have.
	together []uint64
}

// findQuarantines returns the fewest requests and parts that explain repeated crashes. A crash that
// one of them explains does not count against another: requests beside the one that crashed their
// server would be blamed with it.
func findQuarantines(crashes []Crash) []Quarantine {
	suspects := collectSuspects(crashes)
	var quarantines []Quarantine
	explained := make([]bool, len(crashes))
	for len(quarantines) < maxQuarantines {
		worst, moments := worstSuspect(suspects, crashes, explained)
		if worst == nil {
			break
		}
		quarantines = append(quarantines, worst.quarantine(crashes, moments))
		for _, i := range worst.crashes {
			explained[i] = true
		}
	}
	return quarantines
}

func collectSuspects(crashes []Crash) []*suspect {
	byHash := map[uint64]*suspect{}
	for i, c := range crashes {
		for _, r := range c.Requests {
			for j, hash := range append([]uint64{r.ID}, r.Parts...) {
				s := byHash[hash]
				if s == nil {
					s = &suspect{hash: hash, isRequest: j == 0, requests: map[uint64]bool{}, accounts: map[uint64]bool{}}
					if !s.isRequest {
						s.together = slices.Clone(r.Parts)
					}
					byHash[hash] = s
				}
				s.add(i, r)
			}
		}
	}
	return slices.Collect(maps.Values(byHash))
}

func (s *suspect) add(crash int, r Request) {
	if len(s.crashes) == 0 || s.crashes[len(s.crashes)-1] != crash {
		s.crashes = append(s.crashes, crash)
	}
	s.requests[r.ID] = true
	s.accounts[r.Account] = true
	if r.Begun {
		s.begun++
	}
	s.together = slices.DeleteFunc(s.together, func(p uint64) bool { return !slices.Contains(r.Parts, p) })
}

// worstSuspect returns the suspect with most unexplained crashes and the number of their moments, or
// nil if none has enough. Of those with equally many it is the one with the fewest requests, whose
// refusal affects the fewest callers, and of single requests the one that servers had begun to answer
// most often.
func worstSuspect(suspects []*suspect, crashes []Crash, explained []bool) (*suspect, int) {
	var worst *suspect
	most := 0
	for _, s := range suspects {
		moments := s.moments(crashes, explained)
		if !s.isBlamed(moments, s.unexplained(explained)) {
			continue
		}
		if worst == nil || cmp.Or(cmp.Compare(moments, most), s.compare(worst)) > 0 {
			worst, most = s, moments
		}
	}
	return worst, most
}

// isBlamed reports whether the unexplained crashes, and the moments at which they happened, are enough.
func (s *suspect) isBlamed(moments, crashes int) bool {
	switch {
	case s.isRequest:
		return crashes >= minCrashesTogether || crashes >= minCrashes && moments > 1
	case len(s.requests) == 1:
		return moments >= minCrashesOfOneRequest
	}
	return moments >= minCrashes
}

// compare orders suspects with equally many crashes; the greater one is blamed.
func (s *suspect) compare(other *suspect) int {
	return cmp.Or(cmp.Compare(len(other.requests), len(s.requests)), compareBool(s.isRequest, other.isRequest),
		cmp.Compare(s.begun, other.begun), cmp.Compare(s.hash, other.hash))
}

// unexplained returns the number of unexplained crashes.
func (s *suspect) unexplained(explained []bool) int {
	n := 0
	for _, i := range s.crashes {
		if !explained[i] {
			n++
		}
	}
	return n
}

// moments returns the number of unexplained crashes that are minCrashSpacing apart.
func (s *suspect) moments(crashes []Crash, explained []bool) int {
	n := 0
	last := clocker.Millis(0)
	for _, i := range s.crashes {
		if explained[i] || n > 0 && crashes[i].At-last < minCrashSpacing {
			continue
		}
		n++
		last = crashes[i].At
	}
	return n
}

func (s *suspect) quarantine(crashes []Crash, moments int) Quarantine {
	held := Quarantine{
		Parts:   slices.Sorted(slices.Values(s.together)),
		Crashes: moments,
		Until:   crashes[s.crashes[len(s.crashes)-1]].At + HoldTime,
	}
	if s.isRequest {
		held.Request = s.hash
		return held
	}
	if len(s.accounts) < maxAccounts {
		held.Accounts = slices.Sorted(maps.Keys(s.accounts))
	}
	return held
}
