package checker

import (
	"slices"
	"sort"

	"cowsliphinge/clocker"
)

// Codes of refusals for want of budget.
const (
	CodeBudgetExhausted   = "BudgetExhausted"
	CodeBudgetUnreachable = "BudgetUnreachable"
)

// callerFaults are refusals of requests that could never run.
var callerFaults = []string{"BadRequest", "Unauthenticated", "UnknownService", "KeyReused", "InProgress", "TooLarge"}

// countFalseRefusals counts refusals as not run of requests that could safely
// have run. It errs on the low side: a request counts only if the room was
// there from the moment at which it was sent until it was refused.
func countFalseRefusals(v *Verdict, h History) {
	budgets := accounts(h)
	work := busy(h)
	for _, r := range h.Requests {
		if r.Outcome != RefusedNotRun || slices.Contains(callerFaults, r.Code) {
			continue
		}
		if r.Code == CodeBudgetExhausted || r.Code == CodeBudgetUnreachable {
			if budgetHadRoom(budgets[r.Budget], r) {
				v.FalseRefusals++
			}
			continue
		}
		if serviceHadRoom(work[r.Service], r) {
			v.FalseRefusals++
		}
	}
}

// budgetHadRoom takes the worst case for each request in flight meanwhile.
func budgetHadRoom(a *account, r Request) bool {
	if a == nil {
		return false
	}
	granted := upTo(a.grants, r.SentAt, false)
	served := upTo(a.served, r.SentAt, false)
	inFlight := upTo(a.begun, r.FinishedAt, true) - upTo(a.ended, r.SentAt, false)
	return granted-served-inFlight >= r.WorstCase
}

// workload is when a service's backend servers began and ended work.
type workload struct {
	slots        int64
	begun, ended []clocker.Millis
}

func busy(h History) map[string]*workload {
	found := map[string]*workload{}
	for _, s := range h.Services {
		found[s.Name] = &workload{slots: s.Slots}
	}
	for _, r := range h.Requests {
		w := found[r.Service]
		if w == nil || r.Outcome == RefusedNotRun || r.Outcome == InProgress {
			continue
		}
		w.begun = append(w.begun, r.SentAt)
		w.ended = append(w.ended, r.FinishedAt)
	}
	for _, w := range found {
		slices.Sort(w.begun)
		slices.Sort(w.ended)
	}
	return found
}

func serviceHadRoom(w *workload, r Request) bool {
	if w == nil || w.slots == 0 {
		return false
	}
	begun := sort.Search(len(w.begun), func(i int) bool { return w.begun[i] > r.FinishedAt })
	ended := sort.Search(len(w.ended), func(i int) bool { return w.ended[i] >= r.SentAt })
	return int64(begun-ended) < w.slots
}
