package allotter

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// The store may come back from a copy, which begins an era: writes since the copy are lost, so the
// object has limits that are lower than what their incarnations hold, and lacks entries. Nobody may
// draw from what then looks unassigned. Each incarnation writes its own entry again, with the limit
// that it holds, and adds what it remembers of the others: the content that it knew last. Limits are
// raised again once all live incarnations that may hold tokens have done so. An incarnation that
// does not may have raised its limit unseen; it is charged for that.

const (
	// settleTimeout is how long an incarnation waits for the others to write their entries again,
	// in milliseconds.
	settleTimeout = clocker.Second
	// settlePollInterval is the interval of reads while it waits, in milliseconds.
	settlePollInterval = 100 * clocker.Millis(1)
	// unseenShare is the share of the unassigned tokens that an incarnation is charged with for
	// raises that nobody remembers.
	unseenShare = 0.1
)

// restoreState is what an Allotter knows of restores of the store.
type restoreState struct {
	// era is that of the known content; 0 for a store without eras.
	era int64
	// unsettledSince is when content of this era was first read that is not settled.
	unsettledSince clocker.Millis
	// remembered are the budgets as they were last known before the restore, by name; nil once
	// the store has them again.
	remembered map[string]*messenger.Budget
}

// Era returns the era of the known content.
func (a *Allotter) Era() int64 {
	return a.restore.era
}

// Unsettled reports whether incarnations still have to write their entries again.
func (a *Allotter) Unsettled() bool {
	return a.restore.era > 0 && a.version > 0 && (a.object.GetEra() < a.restore.era || !a.object.GetSettled())
}

// beginEraIfRestored prepares for content that was written in an earlier era than the known one: the
// store came back from a copy, or a write of before the restore took effect late.
func (a *Allotter) beginEraIfRestored(era int64, object *messenger.BudgetShard) {
	restored := era > a.restore.era && a.version > 0 || object.GetEra() < a.object.GetEra()
	a.restore.era = era
	if !restored {
		return
	}
	if a.restore.remembered == nil {
		a.restore.remembered = map[string]*messenger.Budget{}
	}
	for name, b := range a.knownBudgets {
		a.restore.remembered[name] = b
	}
	a.restore.unsettledSince = 0
	for _, b := range a.ordered {
		if b.limit > 0 || b.entryExists || b.inDoubt || b.closePlanned {
			b.rewrite = !a.faults.adoptsRestoredLimits
			b.inDoubt = false
			b.foldedLimit = 0 // the copy may be older than the folding
			b.limit = a.certainLimit(b)
		}
	}
}

// withRemembered returns the object with what this incarnation remembers of others.
func (a *Allotter) withRemembered(object *messenger.BudgetShard) *messenger.BudgetShard {
	if len(a.restore.remembered) == 0 {
		return object
	}
	object = proto.CloneOf(object)
	for name, remembered := range a.restore.remembered {
		i := slices.IndexFunc(object.Budgets, func(b *messenger.Budget) bool { return b.Name == name })
		if i < 0 {
			object.Budgets = append(object.Budgets, &messenger.Budget{Name: name})
			i = len(object.Budgets) - 1
		}
		a.mergeRemembered(object.Budgets[i], remembered)
	}
	return object
}

// mergeRemembered raises the budget of a restored object to what is remembered of it. Entries that
// their incarnations wrote in this era are final.
func (a *Allotter) mergeRemembered(stored, remembered *messenger.Budget) {
	returned := int64(0) // assigned to entries that were folded after the copy was made
	for _, h := range stored.Holders {
		if findEntry(remembered, h.Incarnation) == nil && h.Incarnation != a.cfg.Incarnation && h.Era < a.restore.era {
			returned += assignedTo(h)
		}
	}
	stored.FoldedCharge = max(stored.FoldedCharge, remembered.FoldedCharge-returned)
	for _, h := range remembered.Holders {
		if h.Incarnation == a.cfg.Incarnation {
			continue
		}
		known := findEntry(stored, h.Incarnation)
		switch {
		case known == nil:
			stored.Holders = append(stored.Holders, proto.CloneOf(h))
		case known.Era >= a.restore.era || known.Reopens > h.Reopens:
		case h.Reopens > known.Reopens:
			known.Closed, known.Reopenable, known.Charge, known.Limit, known.Reopens = h.Closed, h.Reopenable, h.Charge, h.Limit, h.Reopens
		case h.Closed:
			known.Closed, known.Reopenable, known.Charge, known.Limit = true, h.Reopenable, h.Charge, 0
		case !known.Closed:
			known.Limit = max(known.Limit, h.Limit)
		}
	}
	for _, t := range remembered.TopUps {
		if !slices.ContainsFunc(stored.TopUps, func(o *messenger.TopUpRecord) bool { return o.OperationId == t.OperationId }) {
			stored.TopUps = append(stored.TopUps, proto.CloneOf(t))
			stored.Granted = min(stored.Granted+t.Tokens, MaxGranted)
		}
	}
}

// adoptRewritten updates a budget whose entry has to be written again. Its limit stays as it is: what
// the object says was written before the restore.
func (a *Allotter) adoptRewritten(b *budgetState, h *messenger.Holder) {
	b.entryExists = h != nil
	if h == nil || h.Era < a.restore.era {
		return
	}
	switch { // a write without an answer took effect
	case h.Closed:
		b.closed = b.closePlanned
		b.rewrite = false
		if !b.closed { // the witness closed what this incarnation had written again
			b.limit = h.Charge
			b.adoptReopens(h)
		}
	case !b.closePlanned && h.Limit == b.limit:
		b.rewrite = false
	}
}

// mustSpeak reports whether this incarnation has something to write again, or has to tell that it
// has nothing.
func (a *Allotter) mustSpeak(c Conditions) bool {
	return !a.spoken(a.cfg.Incarnation) && (c.KeepsHeadroom || len(a.restore.remembered) > 0) || slices.ContainsFunc(a.ordered, func(b *budgetState) bool { return b.rewrite })
}

func (a *Allotter) spoken(incarnation string) bool {
	return a.object.GetEra() == a.restore.era && slices.Contains(a.object.GetSpoken(), incarnation)
}

// maySettle reports whether all live incarnations that may hold tokens have written their entries
// again, or had the time to.
func (a *Allotter) maySettle(c Conditions) bool {
	if c.Now-a.restore.unsettledSince >= settleTimeout || a.faults.drawsUnsettled {
		return true
	}
	awaited := slices.Clone(c.MustSpeak)
	for _, b := range a.object.GetBudgets() {
		for _, h := range b.Holders {
			if !h.Closed && h.Era < a.restore.era && c.IsLive != nil && c.IsLive(h.Incarnation) {
				awaited = append(awaited, h.Incarnation)
			}
		}
	}
	return !slices.ContainsFunc(awaited, func(incarnation string) bool {
		return incarnation != a.cfg.Incarnation && !a.spoken(incarnation)
	})
}

// settlementDue reports whether this incarnation has to write its entries again, or to settle the
// object.
func (a *Allotter) settlementDue(c Conditions) bool {
	return a.mustSpeak(c) || (c.KeepsHeadroom || a.anyShortfall()) && a.maySettle(c)
}

// SettlementReadDue reports whether the object has to be read to see whether others have written
// their entries again.
func (a *Allotter) SettlementReadDue(c Conditions) bool {
	return a.Unsettled() && (c.KeepsHeadroom || a.anyShortfall() || a.mustSpeak(c)) && c.Now-a.contentAt >= settlePollInterval
}

// planSettlement returns the write of the own entries after a restore.
func (a *Allotter) planSettlement(c Conditions) (Write, bool) {
	if !a.settlementDue(c) {
		return Write{}, false
	}
	var entries []plannedEntry
	for _, b := range a.ordered {
		if e, due := a.planEntry(a.knownOrDeclaredBudget(b), b, c); due && (e.closed || b.rewrite) {
			entries = append(entries, e)
		}
	}
	settles := a.maySettle(c)
	w := a.buildWrite(entries, c)
	if w.Value.Era != a.restore.era {
		w.Value.Era, w.Value.Settled, w.Value.Spoken = a.restore.era, false, nil
	}
	if !slices.Contains(w.Value.Spoken, a.cfg.Incarnation) {
		w.Value.Spoken = append(w.Value.Spoken, a.cfg.Incarnation)
	}
	if settles {
		for _, b := range w.Value.Budgets {
			a.chargeUnseen(b, w.Value.Spoken, c)
		}
		w.Value.Settled, w.Value.Spoken = true, nil
	}
	return w, true
}

// chargeUnseen charges incarnations that did not write their entries again with the raises that they
// may have made unseen.
func (a *Allotter) chargeUnseen(b *messenger.Budget, spoken []string, c Conditions) {
	for _, h := range b.Holders {
		if h.Closed && !h.Reopenable || h.Era >= a.restore.era || slices.Contains(spoken, h.Incarnation) || c.LongDead != nil && c.LongDead(h.Incarnation) {
			continue
		}
		unseen := int64(unseenShare * float64(max(0, Unassigned(b))))
		if h.Closed {
			h.Charge += unseen
		} else {
			h.Limit += unseen
		}
		h.Era = a.restore.era
	}
}
