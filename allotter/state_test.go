package allotter

import (
	"encoding/binary"
	"maps"
	"slices"
)

// Clone returns a copy that shares no mutable state with a, and a function that
// translates writes of a into writes of the copy.
func (a *Allotter) Clone() (*Allotter, func(Write) Write) {
	c := *a
	c.budgets = make(map[string]*budgetState, len(a.budgets))
	c.ordered = make([]*budgetState, len(a.ordered))
	c.knownBudgets = maps.Clone(a.knownBudgets)
	c.reservations.slots, c.reservations.free = slices.Clone(a.reservations.slots), slices.Clone(a.reservations.free)
	for i, b := range a.ordered {
		copied := *b
		copied.received.byIncarnation, copied.sent.byIncarnation, copied.lateReceived.byIncarnation = maps.Clone(b.received.byIncarnation), maps.Clone(b.sent.byIncarnation), maps.Clone(b.lateReceived.byIncarnation)
		copied.byRank, copied.peerDemands = slices.Clone(b.byRank), maps.Clone(b.peerDemands)
		c.ordered[i], c.budgets[b.name] = &copied, &copied
	}
	return &c, func(w Write) Write {
		entries := make([]plannedEntry, len(w.entries))
		for i, e := range w.entries {
			entries[i] = plannedEntry{budget: c.budgets[e.budget.name], limit: e.limit, closed: e.closed}
		}
		return Write{Version: w.Version, Value: w.Value, entries: entries}
	}
}

// ResetMeasurements clears the measured demand and the times of limit changes. The
// search then decides freely which tokens to request and when.
func (a *Allotter) ResetMeasurements() {
	a.plannedAt = 0
	for _, b := range a.ordered {
		b.demand, b.unusedShare, b.loweredAt, b.raisedAt, b.peerDemands = demand{}, 1, 0, 0, nil
		for i := range b.byRank {
			b.byRank[i].demand = demand{}
		}
	}
}

// AppendState appends to buf all state that decides what the allotter does next. It
// omits what ResetMeasurements clears, the IDs of open reservations, and the known
// content, which is determined by its version.
func (a *Allotter) AppendState(buf []byte) []byte {
	buf = append(buf, packBits(a.closing, a.platformUnreachable))
	buf = binary.AppendVarint(buf, a.version)
	for _, b := range a.ordered {
		buf = append(buf, packBits(b.inDoubt, b.entryExists, b.closePlanned, b.closed))
		for _, n := range []int64{b.limit, b.foldedLimit, b.spent, b.reserved} {
			buf = binary.AppendVarint(buf, n)
		}
		for _, t := range []totals{b.received, b.sent, b.lateReceived} {
			buf = binary.AppendVarint(buf, int64(len(t.byIncarnation)))
			for _, name := range slices.Sorted(maps.Keys(t.byIncarnation)) {
				buf = binary.AppendVarint(append(buf, name...), t.byIncarnation[name])
			}
		}
	}
	return buf
}

func packBits(all ...bool) (b byte) {
	for i, set := range all {
		if set {
			b |= 1 << i
		}
	}
	return b
}
