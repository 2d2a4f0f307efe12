package reserver

import (
	"cowsliphinge/allotter"
	"cowsliphinge/clocker"
)

// Snapshot is what this process believes of one budget.
type Snapshot struct {
	Budget string
	// Granted is the sum of all top-ups, Rest what no holder was given, Stranded
	// what holders that are gone were given.
	Granted, Rest, Stranded int64
	// Headroom may be reserved here at once, Reserved is in open reservations.
	Headroom, Reserved int64
	// ReadAt is when the platform last told; 0 for never.
	ReadAt clocker.Millis
}

// Snapshots returns what is believed of the given budgets.
func (r *Reserver) Snapshots(budgets []string) []Snapshot {
	v := r.look()
	snapshots := make([]Snapshot, 0, len(budgets))
	for _, name := range budgets {
		s := r.shard(name)
		s.mu.Lock()
		object := s.allotter.KnownBudget(name)
		snapshots = append(snapshots, Snapshot{
			Budget:   name,
			Granted:  object.GetGranted(),
			Rest:     allotter.Unassigned(object),
			Stranded: allotter.Stranded(object, v.isLive),
			Headroom: s.allotter.Headroom(name),
			Reserved: s.allotter.Reserved(name),
			ReadAt:   s.allotter.ReadAt(),
		})
		s.mu.Unlock()
	}
	return snapshots
}
