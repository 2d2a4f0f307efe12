package allotter

import (
	"cowsliphinge/messenger"
)

const (
	// keptClosed is how many closed entries of a budget stay visible.
	keptClosed = 8
	// keptOpen is how many open entries of a budget are kept before those of
	// incarnations that are not heard of are charged in full.
	keptOpen = 64
)

// Assigned returns the sum of what all holders of a budget were given, closed
// ones counted with their charge.
func Assigned(b *messenger.Budget) int64 {
	sum := b.GetFoldedCharge()
	for _, h := range b.GetHolders() {
		sum += taken(h)
	}
	return sum
}

func taken(h *messenger.Holder) int64 {
	if h.Closed {
		return h.Charge
	}
	return h.Limit
}

// Rest returns the tokens of a budget that no holder was given.
func Unassigned(b *messenger.Budget) int64 {
	return b.GetGranted() - Assigned(b)
}

// fold adds the oldest entries beyond the kept ones to FoldedCharge, so that the
// object stays small: closed entries with their charge, open ones of
// incarnations that are not heard of with their whole limit. An incarnation that
// comes back may therefore still use what it held.
func fold(b *messenger.Budget, live func(string) bool) {
	closed, open := 0, 0
	for _, h := range b.Holders {
		if h.Closed {
			closed++
		} else {
			open++
		}
	}
	kept := b.Holders[:0]
	for _, h := range b.Holders {
		switch {
		case h.Closed && closed > keptClosed:
			closed--
			b.FoldedCharge += h.Charge
		case !h.Closed && open > keptOpen && live != nil && !live(h.Incarnation):
			open--
			b.FoldedCharge += h.Limit
		default:
			kept = append(kept, h)
		}
	}
	clear(b.Holders[len(kept):])
	b.Holders = kept
}

// Object returns the last known content of a budget, or nil. It must not be changed.
func (a *Allotter) KnownBudget(name string) *messenger.Budget {
	return a.index[name]
}

// Stranded returns the limits of open entries whose incarnation is not live.
func Stranded(b *messenger.Budget, live func(string) bool) int64 {
	var sum int64
	for _, h := range b.GetHolders() {
		if !h.Closed && !live(h.Incarnation) {
			sum += h.Limit
		}
	}
	return sum
}

// Report sums up a budget. An open entry counts as stranded unless its
// incarnation is live.
func Report(b *messenger.Budget, live func(string) bool) *messenger.BudgetReport {
	report := &messenger.BudgetReport{
		Budget:     b.Name,
		Granted:    b.Granted,
		Assigned:   Assigned(b),
		Charged:    b.FoldedCharge,
		Unassigned: Unassigned(b),
		Stranded:   Stranded(b, live),
		Holders:    b.Holders,
	}
	for _, h := range b.Holders {
		if h.Closed {
			report.Charged += h.Charge
		}
	}
	return report
}

// Stranded returns the limits of open entries of all known budgets whose
// incarnation is not live.
func (a *Allotter) Stranded(live func(string) bool) int64 {
	var sum int64
	for _, b := range a.object.GetBudgets() {
		sum += Stranded(b, live)
	}
	return sum
}
