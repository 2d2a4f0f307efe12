package reserver

import (
	"cmp"
	"slices"

	"cowsliphinge/clocker"
)

// earliest returns the earlier of two times of which 0 is none.
func earliest(x, y clocker.Millis) clocker.Millis {
	if x == 0 || y != 0 && y < x {
		return y
	}
	return x
}

// expectedAt returns when tokens of budgets are expected at the earliest; a budget is left out if that may be at any
// time. While the platform does not answer, it is the end of the pauses that the holders asked for, or the time from
// which guarded tokens may be spent, else the next call that tries the platform.
func (r *Reserver) expectedAt(s *shard, budgets ...string) map[string]clocker.Millis {
	if len(budgets) == 0 || !r.platformUnreachable() {
		return nil
	}
	next := r.cfg.Clock.Now() + probeInterval
	expected := map[string]clocker.Millis{}
	for _, budget := range budgets {
		expected[budget] = cmp.Or(earliest(r.holdersPausedUntil(s, budget), s.guardOpensAt(budget)), next)
	}
	return expected
}

// waitedFor returns the budgets that requests wait for.
func (s *shard) waitedFor() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var budgets []string
	for _, w := range s.waiters {
		budgets = append(budgets, w.budget)
	}
	return budgets
}

// holdersPausedUntil returns until when all holders of the own availability zone are not to be asked for any of
// the budgets, while the platform does not answer either. It returns 0 if one may be asked, or if this host is a holder.
func (r *Reserver) holdersPausedUntil(s *shard, budgets ...string) clocker.Millis {
	if !r.cfg.HoldersFirst || !r.platformUnreachable() {
		return 0
	}
	v := r.viewFleet()
	if r.isHolder(s, v) {
		return 0
	}
	holders := v.zoneHolders(s)
	var until clocker.Millis
	for _, p := range v.peers {
		if p.AvailabilityZone != r.cfg.AvailabilityZone || !slices.Contains(holders, p.Host) {
			continue
		}
		pausedUntil := r.pauses.until(p.Incarnation, budgets)
		if pausedUntil <= v.now {
			return 0
		}
		until = earliest(until, pausedUntil)
	}
	return until
}

// guardOpensAt returns when guarded tokens of a budget may be spent, 0 without any.
func (s *shard) guardOpensAt(budget string) clocker.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allotter.GuardOpensAt(budget)
}
