package allotter

import (
	"encoding/binary"
	"maps"
	"slices"
)

// Clone returns a copy that shares nothing that changes, and a function that
// translates writes of a into writes of the copy.
func (a *Allotter) Clone() (*Allotter, func(Write) Write) {
	c := *a
	c.budgets = make(map[string]*allotment, len(a.budgets))
	c.all = make([]*allotment, len(a.all))
	c.index = maps.Clone(a.index)
	c.slots.all, c.slots.free = slices.Clone(a.slots.all), slices.Clone(a.slots.free)
	for i, b := range a.all {
		copied := *b
		copied.received.by, copied.given.by, copied.late.by = maps.Clone(b.received.by), maps.Clone(b.given.by), maps.Clone(b.late.by)
		copied.ranks, copied.supplied = slices.Clone(b.ranks), maps.Clone(b.supplied)
		c.all[i], c.budgets[b.name] = &copied, &copied
	}
	return &c, func(w Write) Write {
		entries := make([]entry, len(w.entries))
		for i, e := range w.entries {
			entries[i] = entry{budget: c.budgets[e.budget.name], limit: e.limit, closed: e.closed}
		}
		return Write{Version: w.Version, Value: w.Value, entries: entries}
	}
}

// Forget sets aside what was measured of demand and when limits changed, so that a
// search chooses freely what to ask for and when.
func (a *Allotter) Forget() {
	a.planned = 0
	for _, b := range a.all {
		b.demand, b.unused, b.lowered, b.extended, b.supplied = demand{}, 1, 0, 0, nil
		for i := range b.ranks {
			b.ranks[i].taken = demand{}
		}
	}
}

// Print appends all state that decides what the allotter does next, but what Forget
// sets aside, the names of open reservations and the known content, which follows
// from its version.
func (a *Allotter) Print(to []byte) []byte {
	to = append(to, bits(a.closing, a.away))
	to = binary.AppendVarint(to, a.version)
	for _, b := range a.all {
		to = append(to, bits(b.inDoubt, b.listed, b.closeSent, b.closed))
		for _, n := range []int64{b.limit, b.base, b.spent, b.reserved} {
			to = binary.AppendVarint(to, n)
		}
		for _, t := range []totals{b.received, b.given, b.late} {
			to = binary.AppendVarint(to, int64(len(t.by)))
			for _, name := range slices.Sorted(maps.Keys(t.by)) {
				to = binary.AppendVarint(append(to, name...), t.by[name])
			}
		}
	}
	return to
}

func bits(all ...bool) (b byte) {
	for i, set := range all {
		if set {
			b |= 1 << i
		}
	}
	return b
}
