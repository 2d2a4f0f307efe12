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
// once it has been without the store for as long as the lease, and then by the rate that the entry states
// (schedule.go). The next incarnation at the same address knows that the earlier one has ended, and when it
// began to listen itself. What had not opened by then was not spent, and it closes the entries charged
// without that. Tokens of incarnations that no later one replaces are returned by their witness (witness.go).

// GuardConfig configures the guard.
type GuardConfig struct {
	// LeaseTime is how long guarded tokens are not spent after a write, in milliseconds.
	LeaseTime clocker.Millis
	// RenewInterval is the time between two renewals, in milliseconds. One holder renews the leases
	// of all, the first that finds this time past, so that it should differ from holder to holder.
	RenewInterval clocker.Millis
	// OpenFactor is how many times the measured demand of this host the rate is at which guarded tokens
	// open after the lease. Until FastAfter, a time since the start of the lease in milliseconds, at most
	// as many open as OpenShare of what a holder leaves unguarded.
	OpenFactor, OpenShare float64
	FastAfter             clocker.Millis
	// FastFactor is the same as OpenFactor from then on. OpenTime is the time from then on in which all of
	// them open at the latest, in milliseconds; 0 means all at once when the lease has ended.
	FastFactor float64
	OpenTime   clocker.Millis
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
	// leaseMargin is added to the time between a lease and the start of the next incarnation, in
	// milliseconds. It covers maxClockDifference and the rounding of the four times.
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

// updateDrawLimit updates the limit without guarded tokens. While a write is in doubt, either
// content may be the one that the next incarnation reads.
func (a *Allotter) updateDrawLimit(b *budgetState) {
	b.guarded = false
	if a.cfg.Guard == nil || a.faults.ignoresLease {
		return
	}
	confirmed := a.openLimit(b.confirmedDraw, b.confirmedOpen, a.confirmedLeaseAt(), a.witness.confirmed)
	pending := a.openLimit(b.pendingDraw, b.pendingOpen, a.pendingLeaseAt(), a.witness.pending...)
	b.drawLimit = min(confirmed, pending)
	b.guarded = b.drawLimit < MaxGranted
}

// adoptGuard updates the guard of a budget from its entry in the known content, nil without one.
func (a *Allotter) adoptGuard(b *budgetState, h *messenger.Holder) {
	b.pendingDraw, b.confirmedDraw = -1, -1
	if h != nil && !h.Closed {
		b.confirmedDraw, b.confirmedOpen = b.foldedLimit+h.Limit-h.Guarded, openRates{h.OpenPerSecond, h.FastPerSecond}
	}
	a.updateDrawLimit(b)
}

// adoptLease updates the lease from the known content. No write is in doubt any more.
func (a *Allotter) adoptLease() {
	a.guard.confirmedAt, a.guard.pendingAt, a.guard.inDoubt = 0, 0, false
	a.witness.confirmed, a.witness.pending = "", nil
	for _, l := range a.object.GetLeases() {
		if l.Incarnation == a.cfg.Incarnation {
			a.guard.confirmedAt, a.witness.confirmed = clocker.Millis(l.AtMs), l.Witness
		}
	}
}

// withdrawLease undoes the lease of a write that certainly had no effect.
func (a *Allotter) withdrawLease() {
	if a.cfg.Guard == nil || a.guard.inDoubt {
		return
	}
	a.guard.pendingAt, a.witness.pending = 0, nil
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
	if !a.guard.inDoubt {
		a.witness.pending = nil
	}
	if !slices.Contains(a.witness.pending, c.Witness) {
		a.witness.pending = append(a.witness.pending, c.Witness)
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
		rates := a.cfg.Guard.openRates(h, a.drawPart(b, stored, c))
		h.OpenPerSecond, h.FastPerSecond = rates.slow, rates.fast
		if total := b.foldedLimit + draw; b.pendingDraw < 0 || !a.guard.inDoubt {
			b.pendingDraw, b.pendingOpen = total, rates
		} else {
			b.pendingDraw, b.pendingOpen = min(b.pendingDraw, total), slowerRates(b.pendingOpen, rates)
		}
		a.updateDrawLimit(b)
	}
	if a.faults.opensFasterInDoubt {
		for _, b := range a.ordered {
			b.pendingOpen = openRates{}
		}
	}
	a.stageLease(value, guards, c.Witness)
	a.stagePromises(value, c.GuardPromises)
}

// stageLease writes the own lease if it guards anything, and removes those that guard nothing any more.
func (a *Allotter) stageLease(value *messenger.BudgetShard, guards bool, witness string) {
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
		FastAfterMs: int64(g.FastAfter),
		Witness:     witness,
	})
}

func hasOpenEntry(object *messenger.BudgetShard, incarnation string) bool {
	return slices.ContainsFunc(object.GetBudgets(), func(b *messenger.Budget) bool {
		h := findEntry(b, incarnation)
		return h != nil && !h.Closed
	})
}

// draw returns the part of an entry's limit that is not guarded: what was used, what the waiting requests need that
// can be covered, and what is expected to be used.
func (b *budgetState) draw(a *Allotter, stored *messenger.Budget, c Conditions) int64 {
	return b.charge() + a.coverableTokens(b) + b.drawTarget(a, stored, c)
}

// drawTarget returns the headroom that a holder does not guard: the expected demand of DrawHorizon, at most
// the holder's part of DrawShare of what remains, and at least that of a few requests, at most an even part.
func (b *budgetState) drawTarget(a *Allotter, stored *messenger.Budget, c Conditions) int64 {
	demand := min(float64(b.perSecond(c.Now))*float64(a.cfg.Guard.DrawHorizon)/float64(clocker.Second), a.drawPart(b, stored, c))
	few := a.evenDraw(stored, c)
	if b.demand.meanSize > 0 { // else no request has shown its size yet
		few = min(b.demand.expectedReserve(minHeadroomRequests, c.Now), few)
	}
	return int64(max(demand, few, b.demand.expectedReserve(1, c.Now)))
}

// drawPart returns the holder's part, by its demand, of the tokens that all holders may leave unguarded: a share of what
// remains of the budget.
func (a *Allotter) drawPart(b *budgetState, stored *messenger.Budget, c Conditions) float64 {
	own, all := float64(b.perSecond(c.Now)), 0.0
	if own <= 0 {
		return 0
	}
	for _, h := range otherHolders(stored, a.cfg.Incarnation, c) {
		all += float64(max(0, h.PerSecond))
	}
	return c.DrawShare * float64(a.remaining(b, stored, c)) * own / (own + all)
}

// evenDraw returns an even part of the tokens that all holders may leave unguarded for a few requests each: a share of
// the whole budget, since each request of a small one would cause a write near its end.
func (a *Allotter) evenDraw(stored *messenger.Budget, c Conditions) float64 {
	return c.DrawShare * float64(stored.GetGranted()) / float64(1+len(otherHolders(stored, a.cfg.Incarnation, c)))
}

// remaining returns about how many tokens of a budget are unspent: those that are unassigned, and those that live
// holders guard or this one holds.
func (a *Allotter) remaining(b *budgetState, stored *messenger.Budget, c Conditions) int64 {
	sum := max(0, Unassigned(stored)) + max(0, b.heldHeadroom())
	for _, h := range otherHolders(stored, a.cfg.Incarnation, c) {
		sum += h.Guarded
	}
	return sum
}

// otherHolders returns the open entries of live incarnations other than this one.
func otherHolders(stored *messenger.Budget, incarnation string, c Conditions) []*messenger.Holder {
	var others []*messenger.Holder
	for _, h := range stored.GetHolders() {
		if !h.Closed && h.Incarnation != incarnation && (c.IsLive == nil || c.IsLive(h.Incarnation)) {
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
		lacking := a.coverableTokens(b) > b.headroom() && b.heldHeadroom() > b.headroom()
		if lacking || renewal && b.limit-b.foldedLimit > b.draw(a, stored, c) {
			return true
		}
	}
	return false
}

// timeSinceLease returns for how long guarded tokens may have opened by a lease, if its incarnation has ended: until
// this incarnation began to listen at its address. Leases of before a restore of the store prove nothing, and neither do
// two clocks that differ.
func (a *Allotter) timeSinceLease(l *messenger.GuardLease) (clocker.Millis, bool) {
	g := a.cfg.Guard
	if l.Address != g.Address || l.Incarnation == a.cfg.Incarnation || !g.SameHost(l.Incarnation) || l.Era != a.restore.era || l.BootMs <= 0 || l.DurationMs <= 0 || g.BootAt <= 0 {
		return 0, false
	}
	byClock, sinceBoot := g.StartedAt-clocker.Millis(l.AtMs), g.BootAt-clocker.Millis(l.BootMs)
	if sinceBoot < 0 || max(byClock-sinceBoot, sinceBoot-byClock) > maxClockDifference {
		return 0, false
	}
	return max(byClock, sinceBoot), true
}

// returnable returns how many tokens of an entry its incarnation can't have spent before it ended, or can't spend without
// the agreement of this one; false if the lease and the entry prove nothing about it.
func (a *Allotter) returnable(l *messenger.GuardLease, h *messenger.Holder, now clocker.Millis) (int64, bool) {
	if h == nil || h.Closed || h.Era != l.Era {
		return 0, false
	}
	guarded := min(max(0, h.Guarded), h.Limit)
	if a.mayClose(l, now) {
		return guarded, guarded > 0
	}
	elapsed, known := a.timeSinceLease(l)
	if !known {
		return 0, false
	}
	if a.faults.trustsOldLeases || elapsed <= clocker.Millis(l.DurationMs)-leaseMargin {
		return guarded, true
	}
	rates := openRates{h.OpenPerSecond, h.FastPerSecond}
	if rates.atOnce() || a.faults.reclaimsAsEarlierBuilds {
		return 0, false
	}
	charged := rates.openedAtMost(guarded, elapsed-clocker.Millis(l.DurationMs), clocker.Millis(max(l.FastAfterMs, l.DurationMs)-l.DurationMs))
	if a.faults.returnsOpened {
		charged /= 2
	}
	return guarded - charged, true
}

// reclaimDue reports whether guarded tokens of other incarnations can be returned.
func (a *Allotter) reclaimDue(now clocker.Millis) bool {
	return a.cfg.Guard != nil && !a.closing && !a.Unsettled() && slices.ContainsFunc(a.object.GetLeases(), func(l *messenger.GuardLease) bool {
		return slices.ContainsFunc(a.object.GetBudgets(), func(b *messenger.Budget) bool {
			unspent, _ := a.returnable(l, findEntry(b, l.Incarnation), now)
			return unspent > 0
		})
	})
}

// reclaimed is what a write returns of other incarnations.
type reclaimed struct {
	// returned are tokens that are free again, and opened guarded ones that are charged.
	returned, opened int64
	// silent are the incarnations whose entries are closed without a proof that they have ended.
	silent []string
}

// stageReclaims closes the entries of incarnations that have ended, and of silent ones whose witness this one is, in an
// object to be written. They are charged with all that they may have spent; the rest is returned.
func (a *Allotter) stageReclaims(value *messenger.BudgetShard, now clocker.Millis) reclaimed {
	var r reclaimed
	if !a.reclaimDue(now) {
		return r
	}
	for _, l := range value.Leases {
		closes := a.mayClose(l, now)
		for _, b := range value.Budgets {
			h := findEntry(b, l.Incarnation)
			unspent, proved := a.returnable(l, h, now)
			if !proved {
				continue
			}
			r.returned += unspent
			r.opened += h.Guarded - unspent
			h.Closed, h.Charge, h.Limit, h.Guarded, h.OpenPerSecond, h.FastPerSecond = true, h.Limit-unspent, 0, 0, 0, 0
			h.Reopenable = closes
			if closes && !slices.Contains(r.silent, l.Incarnation) {
				r.silent = append(r.silent, l.Incarnation)
				a.beginClosing(l.Incarnation)
			}
		}
	}
	return r
}

// LacksGuardedOnly reports whether requests wait, and all of them for tokens that are held but guarded.
func (a *Allotter) LacksGuardedOnly() bool {
	lacking := false
	for _, b := range a.ordered {
		waiting := a.coverableTokens(b)
		if waiting <= b.headroom() {
			continue
		}
		if waiting > b.heldHeadroom() {
			return false
		}
		lacking = true
	}
	return lacking
}
