package allotter

import (
	"cowsliphinge/clocker"
)

// GuardOpensAt returns when this incarnation may spend guarded tokens of a budget unless the store answers before: the end
// of its lease. It returns 0 if it guards none.
func (a *Allotter) GuardOpensAt(name string) clocker.Millis {
	b := a.budgets[name]
	if a.cfg.Guard == nil || b == nil || b.closed || !b.guarded || b.drawLimit >= b.limit {
		return 0
	}
	return max(a.guard.confirmedAt, a.guard.pendingAt, a.guard.promisedAt) + a.cfg.Guard.LeaseTime
}
