package allotter

import "cowsliphinge/messenger"

// Fault is an injected fault in the decisions, which the checks have to detect.
type Fault string

// Faults that tests inject.
const (
	RaiseBeforeConfirm Fault = "raise before confirm"
	LowerAfterWrite    Fault = "lower after the write"
	UnknownIsSuccess   Fault = "unknown outcome as success"
	SettleTwice        Fault = "settle twice"
	// AdoptsRestoredLimits takes over the limit of a restored entry, and DrawsUnsettled raises
	// limits before others have written their entries again.
	AdoptsRestoredLimits Fault = "adopts restored limits"
	DrawsUnsettled       Fault = "draws unsettled"
	// IgnoresLease spends guarded tokens while the lease runs, and TrustsOldLeases returns those of
	// a lease that had run out.
	IgnoresLease    Fault = "ignores the lease"
	TrustsOldLeases Fault = "trusts old leases"
	// PromisesSpent promises not to spend guarded tokens though some were spent, and
	// ForgetsPromises spends them in spite of a promise.
	PromisesSpent   Fault = "promises spent tokens"
	ForgetsPromises Fault = "forgets promises"
	// OpensAtOnce spends all guarded tokens when the lease has ended, and OpensFasterInDoubt ignores the
	// rate of writes whose outcome is not known.
	OpensAtOnce        Fault = "opens at once"
	OpensFasterInDoubt Fault = "opens faster while a write is in doubt"
	// ReturnsOpened returns half of the tokens that may have been open when a process began to listen.
	ReturnsOpened Fault = "returns opened tokens"
	// ClosesAgreed closes entries of holders that its agreement let spend guarded tokens, ForgetsAgreements does not
	// remember to have agreed, and AgreesAfterClosing agrees while it closes the entries.
	ClosesAgreed       Fault = "closes entries after an agreement"
	ForgetsAgreements  Fault = "forgets agreements"
	AgreesAfterClosing Fault = "agrees after closing"
	// OpensUnwitnessed spends guarded tokens without an agreement, and KeepsLimit goes on with the whole limit where the
	// witness may have closed the entry.
	OpensUnwitnessed Fault = "opens without the witness"
	KeepsLimit       Fault = "keeps the limit of closed entries"
	NoFault          Fault = ""
)

// InjectFault enables one fault and disables the others.
func (a *Allotter) InjectFault(f Fault) {
	a.faults.raiseBeforeConfirm = f == RaiseBeforeConfirm
	a.faults.lowerAfterWrite = f == LowerAfterWrite
	a.faults.unknownIsSuccess = f == UnknownIsSuccess
	a.faults.settleTwice = f == SettleTwice
	a.faults.adoptsRestoredLimits = f == AdoptsRestoredLimits
	a.faults.drawsUnsettled = f == DrawsUnsettled
	a.faults.ignoresLease = f == IgnoresLease
	a.faults.trustsOldLeases = f == TrustsOldLeases
	a.faults.promisesSpent = f == PromisesSpent
	a.faults.forgetsPromises = f == ForgetsPromises
	a.faults.opensAtOnce = f == OpensAtOnce
	a.faults.opensFasterInDoubt = f == OpensFasterInDoubt
	a.faults.returnsOpened = f == ReturnsOpened
	a.faults.closesAgreed = f == ClosesAgreed
	a.faults.forgetsAgreements = f == ForgetsAgreements
	a.faults.agreesAfterClosing = f == AgreesAfterClosing
	a.faults.opensUnwitnessed = f == OpensUnwitnessed
	a.faults.keepsLimit = f == KeepsLimit
}

// TamperWrites sets a function that modifies each object before it is written.
func (a *Allotter) TamperWrites(f func(*messenger.BudgetShard)) {
	a.faults.tamper = f
}
