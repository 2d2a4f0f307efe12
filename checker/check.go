package checker

import (
	"fmt"
	"slices"
)

// maxViolations bounds the list of a verdict; all are counted.
const maxViolations = 200

// Verdict is what a history shows. All counts but the first four are
// violations, except for FalseRefusals, which is a measure.
type Verdict struct {
	Requests       int
	Answered       int
	RefusedNotRun  int
	OutcomeUnknown int
	// FalseRefusals could safely have run.
	FalseRefusals int
	// OverspentTokens were served beyond a prepaid budget.
	OverspentTokens int64
	DoubleRuns      int
	DoubleBills     int
	// MissingBills were answered and not billed.
	MissingBills int
	// WrongBills have another amount than the answer, or belong to no request.
	WrongBills int
	// WrongAnswers were not whole, or of another request.
	WrongAnswers int
	// FalseNotRun ran, or were billed, although the refusal denied it.
	FalseNotRun      int
	CutRequests      int
	WorkAfterLeaving int
	// VersionFaults are configurations that went back or were accepted twice.
	VersionFaults int
	// BudgetFaults are budgets assigned beyond what was granted, or top-ups
	// counted other than once.
	BudgetFaults int
	// Violations describe the first faults found.
	Violations []string
}

// Holds reports whether the history keeps every promise.
func (v Verdict) Holds() bool {
	return v.faults() == 0 && len(v.Violations) == 0
}

func (v Verdict) faults() int64 {
	n := v.DoubleRuns + v.DoubleBills + v.MissingBills + v.WrongBills + v.WrongAnswers +
		v.FalseNotRun + v.CutRequests + v.WorkAfterLeaving + v.VersionFaults + v.BudgetFaults
	return v.OverspentTokens + int64(n)
}

func (v *Verdict) violate(counter *int, format string, args ...any) {
	*counter++
	v.note(format, args...)
}

func (v *Verdict) note(format string, args ...any) {
	if len(v.Violations) < maxViolations {
		v.Violations = append(v.Violations, fmt.Sprintf(format, args...))
	}
}

// Check verifies a history against every promise.
func Check(h History) Verdict {
	v := &Verdict{Requests: len(h.Requests)}
	h.Budgets = mergeBudgets(h.Budgets)
	countOutcomes(v, h)
	j := join(h)
	checkAnswers(v, h)
	checkRuns(v, j)
	checkBills(v, h, j)
	checkSpend(v, h)
	checkBudgets(v, h)
	countFalseRefusals(v, h)
	checkLeavings(v, h)
	checkStops(v, h, j)
	checkVersions(v, h)
	checkApplies(v, h)
	checkClaims(v, j)
	return *v
}

func countOutcomes(v *Verdict, h History) {
	for _, r := range h.Requests {
		switch r.Outcome {
		case Answered:
			v.Answered++
		case RefusedNotRun:
			v.RefusedNotRun++
		case OutcomeUnknown, Broken:
			v.OutcomeUnknown++
		}
	}
}

// call is all attempts of one request: those of a client account with the same
// idempotency key, or one attempt without a key.
type call struct {
	key      string
	attempts []Request
	runs     []Run
	bills    []Bill
}

func (c *call) nonIdempotent() bool {
	return slices.ContainsFunc(c.attempts, func(r Request) bool { return r.NonIdempotent })
}

func (c *call) has(outcomes ...Outcome) bool {
	return slices.ContainsFunc(c.attempts, func(r Request) bool { return slices.Contains(outcomes, r.Outcome) })
}

// joined are calls with their runs and bills.
type joined struct {
	calls []*call
	// strayBills belong to no known request ID.
	strayBills []Bill
	byRequest  map[string]*call
}

func join(h History) joined {
	j := joined{byRequest: map[string]*call{}}
	byKey := map[string]*call{}
	for _, r := range h.Requests {
		c := byKey[callKey(r)]
		if c == nil || r.IdempotencyKey == "" {
			c = &call{key: callKey(r)}
			j.calls = append(j.calls, c)
			byKey[c.key] = c
		}
		c.attempts = append(c.attempts, r)
		if r.RequestID != "" {
			j.byRequest[r.RequestID] = c
		}
		if r.IdempotencyKey != "" {
			j.byRequest["key "+r.IdempotencyKey] = c
		}
	}
	j.joinRuns(h.Runs)
	j.joinBills(h.Bills)
	return j
}

func callKey(r Request) string {
	if r.IdempotencyKey != "" {
		return r.ClientAccount + " key " + r.IdempotencyKey
	}
	return r.ClientAccount + " request " + r.RequestID
}

func (j *joined) joinRuns(runs []Run) {
	for _, run := range runs {
		c := j.byRequest[run.RequestID]
		if c == nil && run.IdempotencyKey != "" {
			c = j.byRequest["key "+run.IdempotencyKey]
		}
		if c != nil {
			c.runs = append(c.runs, run)
		}
	}
}

// joinBills takes a bill that was written twice as one.
func (j *joined) joinBills(bills []Bill) {
	seen := map[Bill]bool{}
	byRun := map[string]*call{}
	for _, c := range j.calls {
		for _, run := range c.runs {
			byRun[run.RequestID] = c
		}
	}
	for _, b := range bills {
		if seen[b] {
			continue
		}
		seen[b] = true
		c := j.byRequest[b.RequestID]
		if c == nil {
			c = byRun[b.RequestID]
		}
		if c == nil {
			j.strayBills = append(j.strayBills, b)
			continue
		}
		c.bills = append(c.bills, b)
	}
}
