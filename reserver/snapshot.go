package reserver

import (
	"cowsliphinge/allotter"
	"cowsliphinge/clocker"
)

// Snapshot is one budget as this process knows it; it may be out of date.
type Snapshot struct {
	Budget string
	// Granted is the sum of all top-ups. Unassigned is not assigned to any
	// entry. Stranded is the sum of the limits of open entries of dead incarnations.
	Granted, Unassigned, Stranded int64
	// Headroom can be reserved here immediately. Reserved is in open reservations.
	Headroom, Reserved int64
	// ContentAt is when the budget was last read from the platform or written; 0 means
	// never.
	ContentAt clocker.Millis
	// Refused is the number of requests that this incarnation refused for lack of tokens.
	Refused int64
}

// Snapshots returns the locally known state of the given budgets.
func (r *Reserver) Snapshots(budgets []string) []Snapshot {
	v := r.viewFleet()
	snapshots := make([]Snapshot, 0, len(budgets))
	for _, name := range budgets {
		s := r.shard(name)
		s.mu.Lock()
		stored := s.allotter.KnownBudget(name)
		snapshots = append(snapshots, Snapshot{
			Budget:     name,
			Granted:    stored.GetGranted(),
			Unassigned: allotter.Unassigned(stored),
			Stranded:   allotter.Stranded(stored, v.isLive),
			Headroom:   s.allotter.Headroom(name),
			Reserved:   s.allotter.Reserved(name),
			ContentAt:  s.allotter.ContentAt(),
			Refused:    s.refused[name],
		})
		s.mu.Unlock()
	}
	return snapshots
}
