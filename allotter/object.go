package allotter

import (
	"cowsliphinge/messenger"
)

const (
	// keptClosed is how many closed entries of a budget stay visible.
	keptClosed = 8
)

// Assigned returns the sum of what all holders of a budget were given, closed
// ones counted with their charge.
func Assigned(b *messenger.Budget) int64 {
	sum := b.GetFoldedCharge()
	for _, h := range b.GetHolders() {
		if h.Closed {
			sum += h.Charge
		} else {
			sum += h.Limit
		}
	}
	return sum
}

// Rest returns the tokens of a budget that no holder was given.
func Rest(b *messenger.Budget) int64 {
	return b.GetGranted() - Assigned(b)
}

// fold adds the charges of the oldest closed entries to FoldedCharge, so that
// the object stays small.
func fold(b *messenger.Budget) {
	closed := 0
	for _, h := range b.Holders {
		if h.Closed {
			closed++
		}
	}
	kept := b.Holders[:0]
	for _, h := range b.Holders {
		if h.Closed && closed > keptClosed {
			closed--
			b.FoldedCharge += h.Charge
			continue
		}
		kept = append(kept, h)
	}
	b.Holders = kept
}

// Object returns the last known content of a budget, or nil. It must not be changed.
func (a *Allotter) Object(name string) *messenger.Budget {
	return a.index[name]
}

// Report sums up a budget. An open entry counts as stranded unless its
// incarnation is live.
func Report(b *messenger.Budget, live map[string]bool) *messenger.BudgetReport {
	report := &messenger.BudgetReport{
		Budget:     b.Name,
		Granted:    b.Granted,
		Assigned:   Assigned(b),
		Charged:    b.FoldedCharge,
		Unassigned: Rest(b),
		Holders:    b.Holders,
	}
	for _, h := range b.Holders {
		switch {
		case h.Closed:
			report.Charged += h.Charge
		case !live[h.Incarnation]:
			report.Stranded += h.Limit
		}
	}
	return report
}
