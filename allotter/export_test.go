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
)

// InjectFault enables one fault and disables the others.
func (a *Allotter) InjectFault(m Fault) {
	a.faults.raiseBeforeConfirm = m == RaiseBeforeConfirm
	a.faults.lowerAfterWrite = m == LowerAfterWrite
	a.faults.unknownIsSuccess = m == UnknownIsSuccess
	a.faults.settleTwice = m == SettleTwice
}

// TamperWrites sets a function that modifies each object before it is written.
func (a *Allotter) TamperWrites(f func(*messenger.BudgetShard)) {
	a.faults.tamper = f
}
