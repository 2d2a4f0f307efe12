package allotter

import (
	"slices"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/versioner"
)

// No other host can tell that a process has ended: what lies between two hosts can refuse, reset or swallow whatever
// one sends to the other. Entries of other incarnations are therefore closed by agreement. A lease names a witness, the
// other holder of the availability zone. Its incarnation spends guarded tokens only after the witness has agreed to that
// for this lease. As long as the witness has not agreed, it may refuse for good and close the entries, charged without the
// guarded tokens. It does so when the other one is silent and its lease is not renewed. If that one lives, it keeps
// what it is charged with, and takes further tokens once it reads the store.

// closeDelay is how long a holder has to be silent, and its lease unchanged, until its witness closes its entries, in
// milliseconds. A process that starts again closes those of the earlier one itself.
const closeDelay = 3 * clocker.Second

// askAhead is how long before the end of a lease the witness is asked, in milliseconds: its answer should have arrived
// by then. Leases that are renewed as planned don't get that old.
const askAhead = 500 * clocker.Millis(1)

// witnessState is what an incarnation knows of its witnesses, and of those whose witness it is.
type witnessState struct {
	// confirmed is the witness that the lease in the known content names, "" for none, and pending are those of
	// writes whose outcome is not known.
	confirmed string
	pending   []string
	// agreed are the latest starts of leases of this incarnation to which others agreed, and granted those of others
	// to which this one agreed, by incarnation.
	agreed, granted map[string]clocker.Millis
	// closings are the attempts to close the entries of others. silences are those whose witness this one is, and
	// that are not known to be alive.
	closings map[string]closing
	silences map[string]silence
}

// closing is an attempt to close the entries of an incarnation. It is refused everything while the write may take effect
// or has done so.
type closing struct {
	// version is the version of the object on which the write is conditional.
	version int64
	// inDoubt is true until the outcome of the write is known.
	inDoubt bool
}

// silence is since when an incarnation is not known to be alive while its lease started at leaseAt.
type silence struct {
	since   clocker.Millis
	leaseAt int64
}

// agreedTo reports whether all the witnesses have agreed that guarded tokens of a lease are spent.
func (a *Allotter) agreedTo(leaseAt clocker.Millis, witnesses ...string) bool {
	return a.faults.opensUnwitnessed || !slices.ContainsFunc(witnesses, func(w string) bool { return w != "" && a.witness.agreed[w] < leaseAt })
}

// confirmedLeaseAt and pendingLeaseAt return the latest start that the lease may have in the known content, and in
// those of writes whose outcome is not known.
func (a *Allotter) confirmedLeaseAt() clocker.Millis {
	return max(a.guard.confirmedAt, a.guard.promisedAt)
}

func (a *Allotter) pendingLeaseAt() clocker.Millis {
	return max(a.guard.pendingAt, a.guard.promisedAt)
}

// certainLimit returns the part of a limit that this incarnation is charged with even if its witness has closed the
// entry.
func (a *Allotter) certainLimit(b *budgetState) int64 {
	limit := b.limit
	if a.faults.keepsLimit {
		return limit
	}
	if b.confirmedDraw >= 0 && !a.agreedTo(a.confirmedLeaseAt(), a.witness.confirmed) {
		limit = min(limit, b.confirmedDraw)
	}
	if b.pendingDraw >= 0 && !a.agreedTo(a.pendingLeaseAt(), a.witness.pending...) {
		limit = min(limit, b.pendingDraw)
	}
	return limit
}

// WitnessesToAsk returns the incarnations that have to agree before guarded tokens are spent, and the start of the
// latest lease that the store may have; none while the lease is not about to end.
func (a *Allotter) WitnessesToAsk(now clocker.Millis) ([]string, clocker.Millis) {
	a.observeTime(now)
	leaseAt := max(a.confirmedLeaseAt(), a.pendingLeaseAt())
	if a.cfg.Guard == nil || a.closing || a.guard.confirmedAt+a.guard.pendingAt == 0 || now-leaseAt < a.cfg.Guard.LeaseTime-askAhead {
		return nil, 0
	}
	var asked []string
	for _, w := range append([]string{a.witness.confirmed}, a.witness.pending...) {
		if !a.agreedTo(leaseAt, w) && !slices.Contains(asked, w) {
			asked = append(asked, w)
		}
	}
	return asked, leaseAt
}

// WitnessAgreed records that a witness has agreed that guarded tokens of leases that started at leaseAt or before are
// spent.
func (a *Allotter) WitnessAgreed(witness string, leaseAt clocker.Millis) {
	if a.witness.agreed == nil {
		a.witness.agreed = map[string]clocker.Millis{}
	}
	a.witness.agreed[witness] = max(a.witness.agreed[witness], leaseAt)
	for _, b := range a.ordered {
		a.updateDrawLimit(b)
	}
}

// AgreeToSpending agrees as the witness of another incarnation that it spends guarded tokens of leases that started at
// leaseAt or before. It returns false if this incarnation closes the entries of that one.
func (a *Allotter) AgreeToSpending(incarnation string, leaseAt clocker.Millis) bool {
	if _, closes := a.witness.closings[incarnation]; closes && !a.faults.agreesAfterClosing {
		return false
	}
	if a.witness.granted == nil {
		a.witness.granted = map[string]clocker.Millis{}
	}
	if !a.faults.forgetsAgreements {
		a.witness.granted[incarnation] = max(a.witness.granted[incarnation], leaseAt)
	}
	return true
}

// observeSilences records since when the incarnations whose witness this one is are silent.
func (a *Allotter) observeSilences(c Conditions) {
	if c.IsLive == nil {
		return
	}
	for _, l := range a.object.GetLeases() {
		if l.Witness != a.cfg.Incarnation {
			continue
		}
		known, silent := a.witness.silences[l.Incarnation]
		switch {
		case c.IsLive(l.Incarnation):
			delete(a.witness.silences, l.Incarnation)
		case !silent || known.leaseAt != l.AtMs:
			if a.witness.silences == nil {
				a.witness.silences = map[string]silence{}
			}
			a.witness.silences[l.Incarnation] = silence{since: c.Now, leaseAt: l.AtMs}
		}
	}
}

// mayClose reports whether this incarnation may close the entries of a lease as its witness, and has a reason to.
func (a *Allotter) mayClose(l *messenger.GuardLease, now clocker.Millis) bool {
	if l.Witness != a.cfg.Incarnation || l.Era != a.restore.era || a.witness.granted[l.Incarnation] >= clocker.Millis(l.AtMs) && !a.faults.closesAgreed {
		return false
	}
	s, silent := a.witness.silences[l.Incarnation]
	return silent && s.leaseAt == l.AtMs && now-s.since >= closeDelay
}

// beginClosing makes this incarnation refuse to agree to anything for another one, whose entries a write is about to
// close.
func (a *Allotter) beginClosing(incarnation string) {
	if a.witness.closings == nil {
		a.witness.closings = map[string]closing{}
	}
	a.witness.closings[incarnation] = closing{version: a.version, inDoubt: true}
}

// endClosings ends the attempts of a write that certainly had no effect.
func (a *Allotter) endClosings(w Write) {
	if a.guard.inDoubt {
		return
	}
	for incarnation, attempt := range a.witness.closings {
		if attempt.version == w.Version {
			delete(a.witness.closings, incarnation)
		}
	}
}

// adoptClosings ends the attempts to close entries that are open in the known content, and whose write can't take effect
// any more: those of another era of the store still may, unless their outcome is known.
func (a *Allotter) adoptClosings() {
	for incarnation, attempt := range a.witness.closings {
		if versioner.Era(attempt.version) == versioner.Era(a.version) && attempt.version < a.version {
			attempt.inDoubt = false
			a.witness.closings[incarnation] = attempt
		}
		if !attempt.inDoubt && slices.ContainsFunc(a.object.GetLeases(), func(l *messenger.GuardLease) bool {
			return l.Incarnation == incarnation && l.Era == a.restore.era
		}) {
			delete(a.witness.closings, incarnation)
		}
	}
}

// witnessDue reports whether the lease names another witness than it should.
func (a *Allotter) witnessDue(c Conditions) bool {
	return a.guard.confirmedAt > 0 && a.witness.confirmed != c.Witness
}
