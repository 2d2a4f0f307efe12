package allotter

import (
	"slices"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// A holder keeps far more tokens than it spends between two writes, to go on serving without the
// store. If it dies, nobody knows how many of these it has spent, so that all count as spent. A guard
// bounds this loss: the entry names a part of the limit as guarded, and the incarnation promises not to
// spend it before a lease has run out that each of its writes and its promises renew. So it gets the guarded tokens only
// once it has been without the store for as long as the lease. The next incarnation at the same address
// knows that the earlier one has ended. If that was while the lease ran, the guarded tokens were not spent,
// and it closes the entries with what is left of their limits.

// GuardConfig configures the guard.
type GuardConfig struct {
	// LeaseTime is how long guarded tokens are not spent after a write, in milliseconds.
	LeaseTime clocker.Millis
	// RenewInterval is the time between two renewals, in milliseconds. One holder renews the leases
	// of all, the first that finds this time past, so that it should differ from holder to holder.
	RenewInterval clocker.Millis
	// DrawHorizon is the time whose demand is not guarded, in milliseconds.
	DrawHorizon clocker.Millis
	// Address is where this incarnation listens for other hosts. Whoever listens there
	// proves that no earlier incarnation does.
	Address string
	// SameHost reports whether an incarnation is one of this host.
	SameHost func(incarnation string) bool
	// StartedAt is when this incarnation began to listen, by its clock, and BootAt the same
	// as time since the boot of the machine, 0 if unknown. Both are in milliseconds.
	StartedAt, BootAt clocker.Millis
}

const (
	// leaseMargin is the time by which a lease must still have run when the next incarnation
	// began to listen, in milliseconds. It covers clocks that run at different speeds.
	leaseMargin = 200 * clocker.Millis(1)
	// maxClockDifference is how much the time between a lease and the start of the next
	// incarnation may differ between the two clocks, in milliseconds. A larger difference means
	// that a clock was set or the machine was booted.
	maxClockDifference = 100 * clocker.Millis(1)
)

// guardState is the state of the lease of this incarnation.
type guardState struct {
	// now is the latest time that a call named.
	now clocker.Millis
	// contactAt is when the store last answered.
	contactAt clocker.Millis
	// confirmedAt is the start of the known lease, 0 without a lease. pendingAt is the same for
	// writes whose outcome is not known, 0 without such a write. A lease starts at the last
	// contact before its write.
	confirmedAt, pendingAt clocker.Millis
	// promisedAt is the start of the latest promised lease, 0 without one. Any content in the store
	// may have it.
	promisedAt clocker.Millis
	// inDoubt is true if an earlier write than the last one may still take effect.
	inDoubt bool
	// conditions are those of the last look at all budgets.
	conditions Conditions
}

// observeTime advances the known time. Time that runs late only makes the lease longer.
func (a *Allotter) observeTime(now clocker.Millis) {
	if a.cfg.Guard == nil || now <= a.guard.now {
		return
	}
	a.guard.now = now
	for _, b := range a.ordered {
		a.updateDrawLimit(b)
	}
}

// ObserveContact records that the store has answered.
func (a *Allotter) ObserveContact(now clocker.Millis) {
	a.guard.contactAt = max(a.guard.contactAt, now)
}

// leaseRuns reports whether a lease that was written at a time still runs.
func (a *Allotter) leaseRuns(at clocker.Millis) bool {
	return at > 0 && a.guard.now < at+a.cfg.Guard.LeaseTime
}

// updateDrawLimit updates the limit without guarded tokens. While a write is in doubt, either
// content may be the one that the next incarnation reads.
func (a *Allotter) updateDrawLimit(b *budgetState) {
	b.guarded = false
	if a.cfg.Guard == nil || a.faults.ignoresLease {
		return
	}
	b.drawLimit = MaxGranted
	if b.confirmedDraw >= 0 && a.leaseRuns(max(a.guard.confirmedAt, a.guard.promisedAt)) {
		b.guarded, b.drawLimit = true, b.confirmedDraw
	}
	if b.pendingDraw >= 0 && a.leaseRuns(max(a.guard.pendingAt, a.guard.promisedAt)) {
		b.guarded, b.drawLimit = true, min(b.drawLimit, b.pendingDraw)
	}
}

// adoptGuard updates the guard of a budget from its entry in the known content, nil without one.
func (a *Allotter) adoptGuard(b *budgetState, h *messenger.Holder) {
	b.pendingDraw, b.confirmedDraw = -1, -1
	if h != nil && !h.Closed {
		b.confirmedDraw = b.foldedLimit + h.Limit - h.Guarded
	}
	a.updateDrawLimit(b)
}

// adoptLease updates the lease from the known content. No write is in doubt any more.
func (a *Allotter) adoptLease() {
	a.guard.confirmedAt, a.guard.pendingAt, a.guard.inDoubt = 0, 0, false
	for _, l := range a.object.GetLeases() {
		if l.Incarnation == a.cfg.Incarnation {
			a.guard.confirmedAt = clocker.Millis(l.AtMs)
		}
	}
}

// withdrawLease undoes the lease of a write that certainly had no effect.
func (a *Allotter) withdrawLease() {
	if a.cfg.Guard == nil || a.guard.inDoubt {
		return
	}
	a.guard.pendingAt = 0
	for _, b := range a.ordered {
		b.pendingDraw = -1
		a.updateDrawLimit(b)
	}
}

// stageGuards names the guarded tokens of all own entries in an object to be written, and renews the
// lease. The limits without them take effect before the write is sent.
func (a *Allotter) stageGuards(value *messenger.BudgetShard, c Conditions) {
	if a.cfg.Guard == nil {
		return
	}
	a.observeTime(c.Now)
	if !a.guard.inDoubt || a.guard.pendingAt == 0 {
		a.guard.pendingAt = max(a.guard.contactAt, a.guard.confirmedAt) // writes that fail don't prolong the lease
	}
	guards := false
	for _, stored := range value.Budgets {
		h := findEntry(stored, a.cfg.Incarnation)
		b := a.budgets[stored.Name]
		if h == nil || h.Closed || b == nil {
			continue
		}
		draw := h.Limit
		if c.KeepsHeadroom {
			draw = min(h.Limit, b.draw(a, stored, c))
		}
		h.Guarded = h.Limit - draw
		h.PerSecond = b.perSecond(c.Now)
		guards = guards || h.Guarded > 0
		if total := b.foldedLimit + draw; b.pendingDraw < 0 || !a.guard.inDoubt {
			b.pendingDraw = total
		} else {
			b.pendingDraw = min(b.pendingDraw, total)
		}
		a.updateDrawLimit(b)
	}
	a.stageLease(value, guards)
	a.stagePromises(value, c.GuardPromises)
}

// stageLease writes the own lease if it guards anything, and removes those that guard nothing any more.
func (a *Allotter) stageLease(value *messenger.BudgetShard, guards bool) {
	value.Leases = slices.DeleteFunc(value.Leases, func(l *messenger.GuardLease) bool {
		return l.Incarnation == a.cfg.Incarnation || !hasOpenEntry(value, l.Incarnation)
	})
	if !guards {
		return
	}
	g := a.cfg.Guard
	value.Leases = append(value.Leases, &messenger.GuardLease{
		Incarnation: a.cfg.Incarnation,
		Address:     g.Address,
		AtMs:        int64(a.guard.pendingAt),
		BootMs:      int64(g.BootAt + a.guard.pendingAt - g.StartedAt),
		DurationMs:  int64(g.LeaseTime),
		Era:         a.restore.era,
	})
}

func hasOpenEntry(object *messenger.BudgetShard, incarnation string) bool {
	return slices.ContainsFunc(object.GetBudgets(), func(b *messenger.Budget) bool {
		h := findEntry(b, incarnation)
		return h != nil && !h.Closed
	})
}

// draw returns the part of an entry's limit that is not guarded: what was used, what waiting requests need,
// and what is expected to be used.
func (b *budgetState) draw(a *Allotter, stored *messenger.Budget, c Conditions) int64 {
	return b.charge() + max(0, b.waiting) + b.drawTarget(a, stored, c)
}

// drawTarget returns the headroom that a holder does not guard: the expected demand of DrawHorizon, at most
// the holder's part of DrawShare of the budget, and at least that of a few requests, at most an even part.
func (b *budgetState) drawTarget(a *Allotter, stored *messenger.Budget, c Conditions) int64 {
	own, all := float64(b.perSecond(c.Now)), 0.0
	for _, h := range a.otherHolders(stored, c) {
		all += float64(max(0, h.PerSecond))
	}
	bound := c.DrawShare * float64(stored.GetGranted())
	demand := 0.0
	if own > 0 {
		demand = min(own*float64(a.cfg.Guard.DrawHorizon)/float64(clocker.Second), bound*own/(own+all))
	}
	few := a.evenDraw(stored, c)
	if b.demand.meanSize > 0 { // else no request has shown its size yet
		few = min(b.demand.expectedReserve(minHeadroomRequests, c.Now), few)
	}
	return int64(max(demand, few, b.demand.expectedReserve(1, c.Now)))
}

// evenDraw returns an even part of the tokens that all holders may leave unguarded.
func (a *Allotter) evenDraw(stored *messenger.Budget, c Conditions) float64 {
	return c.DrawShare * float64(stored.GetGranted()) / float64(1+len(a.otherHolders(stored, c)))
}

// otherHolders returns the open entries of other live incarnations.
func (a *Allotter) otherHolders(stored *messenger.Budget, c Conditions) []*messenger.Holder {
	var others []*messenger.Holder
	for _, h := range stored.GetHolders() {
		if !h.Closed && h.Incarnation != a.cfg.Incarnation && (c.IsLive == nil || c.IsLive(h.Incarnation)) {
			others = append(others, h)
		}
	}
	return others
}

// perSecond returns the demand of this host in tokens per second.
func (b *budgetState) perSecond(now clocker.Millis) int64 {
	return int64(b.demand.rate(now) * float64(clocker.Second))
}

// GuardDue reports whether a write is due for the guard, judged by the conditions of the last look at all
// budgets.
func (a *Allotter) GuardDue(now clocker.Millis) bool {
	c := a.guard.conditions
	c.Now = now
	return a.guardDue(c)
}

// guardDue reports whether a write is due for the guard: the lease has to be renewed, or requests need
// guarded tokens.
func (a *Allotter) guardDue(c Conditions) bool {
	if a.cfg.Guard == nil || a.closing || !c.KeepsHeadroom || a.Unsettled() {
		return false
	}
	a.observeTime(c.Now)
	renewal := a.renewalDue(c)
	for _, b := range a.ordered {
		stored := a.knownBudgets[b.name]
		if h := findEntry(stored, a.cfg.Incarnation); h == nil || h.Closed {
			continue
		}
		lacking := b.waiting > b.headroom() && b.heldHeadroom() > b.headroom()
		if lacking || renewal && b.limit-b.foldedLimit > b.draw(a, stored, c) {
			return true
		}
	}
	return false
}

// endedUnderLease reports whether an earlier incarnation at the own address has ended while its lease ran,
// so that it did not spend its guarded tokens. Writes of before a restore of the store prove nothing.
func (a *Allotter) endedUnderLease(l *messenger.GuardLease) bool {
	g := a.cfg.Guard
	if l.Address != g.Address || l.Incarnation == a.cfg.Incarnation || !g.SameHost(l.Incarnation) || l.Era != a.restore.era || l.BootMs <= 0 || g.BootAt <= 0 {
		return false
	}
	if a.faults.trustsOldLeases {
		return true
	}
	byClock, sinceBoot := g.StartedAt-clocker.Millis(l.AtMs), g.BootAt-clocker.Millis(l.BootMs)
	return sinceBoot >= 0 && max(byClock-sinceBoot, sinceBoot-byClock) <= maxClockDifference &&
		max(byClock, sinceBoot) <= clocker.Millis(l.DurationMs)-leaseMargin
}

// reclaimDue reports whether an earlier incarnation at the own address left guarded tokens.
func (a *Allotter) reclaimDue() bool {
	return a.cfg.Guard != nil && !a.closing && !a.Unsettled() && slices.ContainsFunc(a.object.GetLeases(), func(l *messenger.GuardLease) bool {
		return a.endedUnderLease(l) && hasOpenEntry(a.object, l.Incarnation)
	})
}

// stageReclaims closes the entries of earlier incarnations at the own address in an object to be
// written. They are charged with all that they may have spent; the rest is returned.
func (a *Allotter) stageReclaims(value *messenger.BudgetShard) int64 {
	if !a.reclaimDue() {
		return 0
	}
	var returned int64
	for _, l := range value.Leases {
		if !a.endedUnderLease(l) {
			continue
		}
		for _, b := range value.Budgets {
			if h := findEntry(b, l.Incarnation); h != nil && !h.Closed && h.Era == l.Era {
				unspent := min(max(0, h.Guarded), h.Limit)
				h.Closed, h.Charge, h.Limit, h.Guarded = true, h.Limit-unspent, 0, 0
				returned += unspent
			}
		}
	}
	return returned
}

// LacksGuardedOnly reports whether requests wait, and all of them for tokens that are held but guarded.
func (a *Allotter) LacksGuardedOnly() bool {
	lacking := false
	for _, b := range a.ordered {
		if b.waiting <= b.headroom() {
			continue
		}
		if b.waiting > b.heldHeadroom() {
			return false
		}
		lacking = true
	}
	return lacking
}
