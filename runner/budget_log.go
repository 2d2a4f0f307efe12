package runner

import (
	"cowsliphinge/clocker"
	"cowsliphinge/reserver"
)

const (
	// budgetLogMaxInterval is the longest time between two log lines of a budget, in milliseconds.
	budgetLogMaxInterval = clocker.Minute
	// budgetLogShare is the share of what is granted by which a figure must have changed for a further line. A
	// line for each account and host every 5 s made 25,968 lines on a day of 62 hosts.
	budgetLogShare = 0.1
)

// budgetLog decides which budgets are logged: those that refused requests or whose figures changed, and all once
// in budgetLogMaxInterval.
type budgetLog struct {
	logged map[string]loggedBudget
}

type loggedBudget struct {
	snapshot reserver.Snapshot
	at       clocker.Millis
}

// due reports whether to log a budget now, and assumes that the caller does so.
func (l *budgetLog) due(s reserver.Snapshot, now clocker.Millis) bool {
	last, ok := l.logged[s.Budget]
	if ok && now-last.at < budgetLogMaxInterval && s.Refused == last.snapshot.Refused && !changedMuch(last.snapshot, s) {
		return false
	}
	if l.logged == nil {
		l.logged = map[string]loggedBudget{}
	}
	l.logged[s.Budget] = loggedBudget{snapshot: s, at: now}
	return true
}

// changedMuch reports whether a figure changed by more than budgetLogShare of what is granted.
func changedMuch(old, s reserver.Snapshot) bool {
	limit := int64(budgetLogShare * float64(max(old.Granted, s.Granted)))
	for _, change := range []int64{s.Granted - old.Granted, s.Unassigned - old.Unassigned, s.Stranded - old.Stranded, s.Headroom - old.Headroom} {
		if max(change, -change) > limit {
			return true
		}
	}
	return false
}
