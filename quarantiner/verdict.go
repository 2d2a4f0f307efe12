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

// suspect is a part with the evidence against it.
type suspect struct {
	part uint64
	// crashes are indices of crashes, the earliest first.
	crashes  []int
	requests map[uint64]bool
	accounts map[uint64]bool
	// together are the parts that all suspect requests with the part have.
	together []uint64
}

// findQuarantines returns the fewest parts that explain repeated crashes. A crash that one part
// explains does not count against another: requests beside the one that crashed their server
// would be blamed with it.
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
	byPart := map[uint64]*suspect{}
	for i, c := range crashes {
		for _, r := range c.Requests {
			for _, p := range r.Parts {
				s := byPart[p]
				if s == nil {
					s = &suspect{part: p, requests: map[uint64]bool{}, accounts: map[uint64]bool{}, together: slices.Clone(r.Parts)}
					byPart[p] = s
				}
				s.add(i, r)
			}
		}
	}
	return slices.Collect(maps.Values(byPart))
}

func (s *suspect) add(crash int, r Request) {
	if len(s.crashes) == 0 || s.crashes[len(s.crashes)-1] != crash {
		s.crashes = append(s.crashes, crash)
	}
	s.requests[r.ID] = true
	s.accounts[r.Account] = true
	s.together = slices.DeleteFunc(s.together, func(p uint64) bool { return !slices.Contains(r.Parts, p) })
}

// worstSuspect returns the part with most unexplained crashes and their number, or nil if no
// part has enough. Of parts with equally many it is the one with the fewest requests, whose
// refusal affects the fewest callers.
func worstSuspect(suspects []*suspect, crashes []Crash, explained []bool) (*suspect, int) {
	var worst *suspect
	most := 0
	for _, s := range suspects {
		moments := s.moments(crashes, explained)
		if moments < minCrashes || moments < minCrashesOfOneRequest && len(s.requests) == 1 {
			continue
		}
		if worst == nil || cmp.Or(cmp.Compare(moments, most), cmp.Compare(len(worst.requests), len(s.requests)), cmp.Compare(s.part, worst.part)) > 0 {
			worst, most = s, moments
		}
	}
	return worst, most
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
	if len(s.accounts) < maxAccounts {
		held.Accounts = slices.Sorted(maps.Keys(s.accounts))
	}
	return held
}
