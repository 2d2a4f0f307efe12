package checker

import (
	"slices"
	"sort"

	"cowsliphinge/clocker"
)

// account follows what one budget was granted and what was served from it.
type account struct {
	grants []amount // by time
	served []amount // by the time at which the answer ended
	begun  []amount // worst cases by the time at which they were sent
	ended  []amount // worst cases by the time at which they ended
}

type amount struct {
	at     clocker.Millis
	tokens int64
	// sum of this and all earlier amounts, set by sum.
	sum int64
}

// sum sorts amounts by time and adds them up.
func sum(amounts []amount) {
	slices.SortStableFunc(amounts, func(a, b amount) int { return int(a.at - b.at) })
	var total int64
	for i := range amounts {
		total += amounts[i].tokens
		amounts[i].sum = total
	}
}

// upTo returns the sum of what came before at, or at it when inclusive.
func upTo(amounts []amount, at clocker.Millis, inclusive bool) int64 {
	n := sort.Search(len(amounts), func(i int) bool {
		return amounts[i].at > at || !inclusive && amounts[i].at == at
	})
	if n == 0 {
		return 0
	}
	return amounts[n-1].sum
}

// mergeBudgets makes one entry of those of a budget: what was granted before
// the run and what the platform holds at the end may be recorded apart.
func mergeBudgets(budgets []Budget) []Budget {
	var merged []Budget
	for _, b := range budgets {
		i := slices.IndexFunc(merged, func(other Budget) bool { return other.Name == b.Name })
		if i < 0 {
			merged = append(merged, b)
			continue
		}
		m := &merged[i]
		m.Initial = max(m.Initial, b.Initial)
		m.Granted = max(m.Granted, b.Granted)
		m.Assigned = max(m.Assigned, b.Assigned)
	}
	return merged
}

func accounts(h History) map[string]*account {
	found := map[string]*account{}
	for _, b := range h.Budgets {
		found[b.Name] = &account{grants: []amount{{tokens: b.Initial}}}
	}
	counted := map[string]bool{}
	for _, t := range h.TopUps {
		if a := found[t.Budget]; a != nil && !counted[t.OperationID] {
			counted[t.OperationID] = true
			a.grants = append(a.grants, amount{at: t.SentAt, tokens: t.Tokens})
		}
	}
	for _, s := range spends(h) {
		if a := found[s.budget]; a != nil {
			a.served = append(a.served, amount{at: s.until, tokens: s.tokens})
			a.begun = append(a.begun, amount{at: s.from, tokens: s.worst})
			a.ended = append(a.ended, amount{at: s.until, tokens: s.worst})
		}
	}
	for _, a := range found {
		for _, list := range [][]amount{a.grants, a.served, a.begun, a.ended} {
			sum(list)
		}
	}
	return found
}

// spend is what one request ID took from a budget, all attempts together.
type spend struct {
	budget      string
	from, until clocker.Millis
	tokens      int64
	worst       int64
}

func spends(h History) []*spend {
	byID := map[string]*spend{}
	var list []*spend
	for _, r := range h.Requests {
		if r.Outcome == RefusedNotRun || r.Outcome == InProgress {
			continue
		}
		s := byID[r.RequestID]
		if s == nil || r.RequestID == "" {
			s = &spend{budget: r.Budget, from: r.SentAt}
			byID[r.RequestID] = s
			list = append(list, s)
		}
		s.from = min(s.from, r.SentAt)
		s.until = max(s.until, r.FinishedAt)
		s.tokens = max(s.tokens, r.Tokens())
		s.worst = max(s.worst, r.WorstCase)
	}
	return list
}

// checkSpend finds tokens served beyond what a budget was granted by then. A
// top-up counts from the moment at which it was sent.
func checkSpend(v *Verdict, h History) {
	for name, a := range accounts(h) {
		var worst int64
		for _, s := range a.served {
			worst = max(worst, s.sum-upTo(a.grants, s.at, true))
		}
		if worst > 0 {
			v.OverspentTokens += worst
			v.note("budget %s was overspent by %d tokens", name, worst)
		}
	}
}

// checkBudgets compares budgets as the platform holds them with the commands
// that were sent, and with their bills.
func checkBudgets(v *Verdict, h History) {
	billed := map[string]int64{}
	seen := map[Bill]bool{}
	for _, b := range h.Bills {
		if !seen[b] {
			billed[b.Budget] += b.Tokens
		}
		seen[b] = true
	}
	for _, b := range h.Budgets {
		least, most := granted(h, b)
		if b.Granted > 0 && (b.Granted < least || b.Granted > most) {
			v.violate(&v.BudgetFaults, "budget %s was granted %d tokens, not %d to %d", b.Name, b.Granted, least, most)
		}
		if b.Granted > 0 && b.Assigned > b.Granted {
			v.violate(&v.BudgetFaults, "budget %s has %d tokens assigned of %d granted", b.Name, b.Assigned, b.Granted)
		}
		if billed[b.Name] > most {
			v.violate(&v.BudgetFaults, "budget %s was billed %d tokens of %d granted", b.Name, billed[b.Name], most)
		}
	}
}

// granted returns the least and the most that the commands allow: unconfirmed
// top-ups may have counted once or not at all.
func granted(h History, b Budget) (least, most int64) {
	least, most = b.Initial, b.Initial
	confirmed := map[string]bool{}
	sent := map[string]bool{}
	for _, t := range h.TopUps {
		if t.Budget != b.Name {
			continue
		}
		if !sent[t.OperationID] {
			most += t.Tokens
		}
		if t.Confirmed && !confirmed[t.OperationID] {
			least += t.Tokens
		}
		sent[t.OperationID] = true
		confirmed[t.OperationID] = confirmed[t.OperationID] || t.Confirmed
	}
	return least, most
}
