package allotter

import (
	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// Each write of an incarnation renews its lease. With many holders such writes would cost more than all
// other calls of the store, so one write renews the leases of all: the writer asks the others for a
// promise not to spend guarded tokens before a lease from now has passed, and moves their leases on to
// what they promised.

const (
	// excessFactor is how many times its part of the unguarded tokens a holder may leave before it
	// guards them again.
	excessFactor = 1.1
	// excessRenewShare is the share of the renewal interval after which such a holder renews the
	// leases: its write serves both.
	excessRenewShare = 0.75
)

// PromiseGuard promises not to spend guarded tokens before the lease has passed since now. It returns the
// start of the promised lease, 0 without a promise: guarded tokens were spent, or there are none.
func (a *Allotter) PromiseGuard(now clocker.Millis) clocker.Millis {
	a.observeTime(now)
	if !a.mayPromise() {
		return 0
	}
	if a.faults.forgetsPromises {
		return now
	}
	a.guard.promisedAt = max(a.guard.promisedAt, now)
	for _, b := range a.ordered {
		a.updateDrawLimit(b)
	}
	return a.guard.promisedAt
}

// mayPromise reports whether there are guarded tokens and none of them was spent, whichever content of
// writes in doubt is the one in the store.
func (a *Allotter) mayPromise() bool {
	if a.cfg.Guard == nil || a.closing || !a.guard.conditions.KeepsHeadroom || a.Unsettled() {
		return false
	}
	guards := false
	for _, b := range a.ordered {
		limit := b.leastDraw()
		if limit < 0 {
			continue
		}
		if b.foldedLimit+b.charge() > limit && !a.faults.promisesSpent {
			return false
		}
		guards = guards || b.confirmedDraw >= 0 && b.confirmedDraw < b.limit
	}
	return guards
}

// leastDraw returns the least limit without guarded tokens that the store may have, -1 without an entry.
func (b *budgetState) leastDraw() int64 {
	if b.confirmedDraw >= 0 && b.pendingDraw >= 0 {
		return min(b.confirmedDraw, b.pendingDraw)
	}
	return max(b.confirmedDraw, b.pendingDraw)
}

// leaseAge returns the time since the start of the own lease, as known or as promised: whoever asked for
// the promise writes it.
func (a *Allotter) leaseAge(now clocker.Millis) clocker.Millis {
	if a.mayPromise() {
		return now - max(a.guard.confirmedAt, a.guard.promisedAt)
	}
	return now - a.guard.confirmedAt
}

// renewalDue reports whether the leases have to be renewed. An incarnation that has asked the others for
// their promises judges by the known content alone: these rely on its write.
func (a *Allotter) renewalDue(c Conditions) bool {
	age := a.leaseAge(c.Now)
	if c.GuardPromises != nil {
		age = c.Now - a.guard.confirmedAt
	}
	interval := a.cfg.Guard.RenewInterval
	early := clocker.Millis(excessRenewShare * float64(interval))
	return age >= interval || age >= early && (a.unguardsTooMuch(c) || a.witnessDue(c))
}

// unguardsTooMuch reports whether this incarnation leaves more tokens unguarded than its present demand
// needs, and than an even part of what all holders may. Its write guards them again, so that it renews the leases before others do.
func (a *Allotter) unguardsTooMuch(c Conditions) bool {
	for _, b := range a.ordered {
		stored := a.knownBudgets[b.name]
		if b.confirmedDraw < 0 || stored == nil {
			continue
		}
		unguarded := b.confirmedDraw - b.foldedLimit - b.charge()
		if float64(unguarded) > excessFactor*max(float64(b.drawTarget(a, stored, c)), a.evenDraw(stored, c)) {
			return true
		}
	}
	return false
}

// AnyBudget returns the name of a budget of the shard, "" without one.
func (a *Allotter) AnyBudget() string {
	if len(a.ordered) == 0 {
		return ""
	}
	return a.ordered[0].name
}

// PromisesWanted returns the other incarnations whose promises the next write should carry, none if the
// leases were renewed lately.
func (a *Allotter) PromisesWanted(now clocker.Millis) []string {
	a.observeTime(now)
	if a.cfg.Guard == nil || a.closing || a.Unsettled() || a.anyShortfall() || 2*a.leaseAge(now) < a.cfg.Guard.RenewInterval {
		return nil
	}
	var wanted []string
	for _, l := range a.object.GetLeases() {
		if a.renewable(l) {
			wanted = append(wanted, l.Incarnation)
		}
	}
	return wanted
}

// renewable reports whether a lease may be moved on. One of an earlier era of the store proves nothing.
func (a *Allotter) renewable(l *messenger.GuardLease) bool {
	return l.Incarnation != a.cfg.Incarnation && l.Era == a.restore.era && l.BootMs > 0
}

// stagePromises moves the leases of other incarnations on to what they promised, in an object to be
// written.
func (a *Allotter) stagePromises(value *messenger.BudgetShard, promises map[string]clocker.Millis) {
	for _, l := range value.Leases {
		if later := int64(promises[l.Incarnation]) - l.AtMs; later > 0 && a.renewable(l) {
			l.AtMs += later
			l.BootMs += later
		}
	}
}
