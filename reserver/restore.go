package reserver

import (
	"log/slog"

	"cowsliphinge/allotter"
	"cowsliphinge/clocker"
)

// longDeadAfter is how long an incarnation must not have been seen alive to have raised no limit
// since a copy of the store was made, in milliseconds. Copies are some seconds old.
const longDeadAfter = 30 * clocker.Second

// forgetIfRestored makes the next write read the object first if the store has come back from a copy
// since it was read, or if others may have written their entries again since.
func (s *shard) forgetIfRestored(c allotter.Conditions, era int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.allotter.Version() == 0 {
		return
	}
	if era > s.allotter.Era() {
		slog.Info("budgets of an earlier era, reading them again", "key", s.key, "era", s.allotter.Era(), "store_era", era)
		s.contentKnown = false
		s.restoredAt = c.Now
		s.settling = true
	}
	if s.allotter.SettlementReadDue(c) {
		s.contentKnown = false
	}
}

// unsettled reports whether incarnations still have to write their entries again.
func (s *shard) unsettled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allotter.Unsettled()
}

// restoredWithin reports whether a restore was noticed lately. The caller holds mu.
func (s *shard) restoredWithin(d, now clocker.Millis) bool {
	return s.restoredAt > 0 && now-s.restoredAt < d
}

// logRestore logs, after a call, that this host has written its entries again, and that the budgets may
// be drawn from. The caller holds mu.
func (s *shard) logRestore(wrote bool, now clocker.Millis) {
	if !s.settling {
		return
	}
	settled := !s.allotter.Unsettled()
	s.settling = !settled
	if wrote {
		slog.Info("budget entries are written again after a restore", "key", s.key, "took_ms", now-s.restoredAt, "settled", settled)
	} else if settled {
		slog.Info("budgets are settled after a restore", "key", s.key, "took_ms", now-s.restoredAt)
	}
}

// behindStore reports whether the store has come back from a copy since the object was read.
func (s *shard) behindStore(era int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allotter.Version() > 0 && era > s.allotter.Era()
}

// observeLive records which incarnations are alive.
func (r *Reserver) observeLive(v *fleetView) {
	r.liveMu.Lock()
	defer r.liveMu.Unlock()
	if r.startedAt == 0 {
		r.startedAt = v.now
	}
	for incarnation := range v.live {
		r.lastLive[incarnation] = v.now
	}
	for incarnation, at := range r.lastLive {
		if v.now-at > longDeadAfter {
			delete(r.lastLive, incarnation)
		}
	}
}

// longDead reports whether an incarnation has been dead since before a copy of the store that is
// restored now was made. It is false while this host is too young to know.
func (r *Reserver) longDead(incarnation string) bool {
	r.liveMu.Lock()
	defer r.liveMu.Unlock()
	_, lately := r.lastLive[incarnation]
	return !lately && r.startedAt > 0 && r.cfg.Clock.Now()-r.startedAt > longDeadAfter
}

// mustSpeak returns the live incarnations that hold the shard in their availability zones.
func (r *Reserver) mustSpeak(s *shard, v *fleetView) []string {
	zones := map[string][]allotter.Candidate{r.cfg.AvailabilityZone: {{Host: r.cfg.Host, CapacityMilli: r.cfg.CapacityMilli}}}
	incarnations := map[string]string{r.cfg.Host: r.cfg.Incarnation}
	for _, p := range r.cfg.Peers() {
		if v.live[p.Incarnation] && !p.Draining {
			zones[p.AvailabilityZone] = append(zones[p.AvailabilityZone], allotter.Candidate{Host: p.Host, CapacityMilli: p.CapacityMilli})
			incarnations[p.Host] = p.Incarnation
		}
	}
	var holders []string
	for _, hosts := range zones {
		for _, host := range allotter.HoldersByCapacity(s.number, hosts) {
			holders = append(holders, incarnations[host])
		}
	}
	return holders
}
