package allotter

import "cowsliphinge/messenger"

// Mistake is a fault of the decisions that the checks have to find.
type Mistake string

// Mistakes that tests plant.
const (
	RaiseBeforeConfirm Mistake = "raise before confirm"
	LowerAfterWrite    Mistake = "lower after the write"
	UnknownIsSuccess   Mistake = "unknown outcome as success"
	SettleTwice        Mistake = "settle twice"
)

// Plant makes the allotter err.
func (a *Allotter) Plant(m Mistake) {
	a.mistakes.raiseBeforeConfirm = m == RaiseBeforeConfirm
	a.mistakes.lowerAfterWrite = m == LowerAfterWrite
	a.mistakes.unknownIsSuccess = m == UnknownIsSuccess
	a.mistakes.settleTwice = m == SettleTwice
}

// Tamper changes each object before it is written.
func (a *Allotter) Tamper(f func(*messenger.BudgetShard)) {
	a.mistakes.tamper = f
}
