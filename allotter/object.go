package allotter

import (
	"cowsliphinge/messenger"
)

const (
	// maxClosedEntries is how many closed entries of a budget stay in the object.
	maxClosedEntries = 8
	// maxOpenEntries is how many open entries of a budget stay in the object before
	// entries of incarnations that are not live are charged in full.
	maxOpenEntries = 64
)

// Assigned returns the tokens of a budget that are assigned to entries of
// incarnations. Closed entries count with their charge, open ones with their limit.
func Assigned(b *messenger.Budget) int64 {
	sum := b.GetFoldedCharge()
	for _, h := range b.GetHolders() {
		sum += assignedTo(h)
	}
	return sum
}

func assignedTo(h *messenger.Holder) int64 {
	if h.Closed {
		return h.Charge
	}
	return h.Limit
}

// Unassigned returns the tokens of a budget that are not assigned to any entry.
func Unassigned(b *messenger.Budget) int64 {
	return b.GetGranted() - Assigned(b)
}

// foldEntries bounds the size of the object: it removes the oldest entries above
// the maximum and adds them to FoldedCharge. Closed entries are added with their
// charge, open entries of incarnations that are not live with their full limit. An
// incarnation that comes back can therefore still use the tokens that it held.
func foldEntries(b *messenger.Budget, live func(string) bool) {
	closed, open := 0, 0
	for _, h := range b.Holders {
		if h.Closed {
			closed++
		} else {
			open++
		}
	}
	remaining := b.Holders[:0]
	for _, h := range b.Holders {
		switch {
		case h.Closed && closed > maxClosedEntries:
			closed--
			b.FoldedCharge += h.Charge
		case !h.Closed && open > maxOpenEntries && live != nil && !live(h.Incarnation):
			open--
			b.FoldedCharge += h.Limit
		default:
			remaining = append(remaining, h)
		}
	}
	clear(b.Holders[len(remaining):])
	b.Holders = remaining
}

// KnownBudget returns the last known content of a budget, or nil. The caller must
// not modify it.
func (a *Allotter) KnownBudget(name string) *messenger.Budget {
	return a.knownBudgets[name]
}

// Stranded returns the sum of the limits of open entries whose incarnation is not
// live.
func Stranded(b *messenger.Budget, live func(string) bool) int64 {
	var sum int64
	for _, h := range b.GetHolders() {
		if !h.Closed && !live(h.Incarnation) {
			sum += h.Limit
		}
	}
	return sum
}

// Report summarizes a budget. An open entry counts as stranded unless its
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

// Stranded returns the sum of the limits of open entries of all known budgets
// whose incarnation is not live.
func (a *Allotter) Stranded(live func(string) bool) int64 {
	var sum int64
	for _, b := range a.object.GetBudgets() {
		sum += Stranded(b, live)
	}
	return sum
}
