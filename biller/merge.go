// Package biller records one bill for each request and keeps it through host
// failures. A bill is copied to a second host before its request ends, and either
// host writes it to the platform in batches. Bills form a set with client account
// and request ID as the key and absolute amounts, so a bill that is written twice
// counts once.
package biller

import (
	"cmp"
	"slices"

	"cowsliphinge/messenger"
)

// Key identifies the request of a bill.
type Key struct {
	ClientAccount string
	RequestID     string
}

// KeyOf returns the key of a bill.
func KeyOf(bill *messenger.Bill) Key {
	return Key{ClientAccount: bill.ClientAccount, RequestID: bill.RequestId}
}

// Merge returns the bill that counts of two bills of one request, in whatever order
// they are given. A final amount precedes an upper bound. Then the larger amount
// wins, because both were charged to the budget and the larger one covers what the
// caller received. Ties go to the earlier bill, then by incarnation.
func Merge(a, b *messenger.Bill) *messenger.Bill {
	if compareBills(a, b) <= 0 {
		return a
	}
	return b
}

func compareBills(a, b *messenger.Bill) int {
	if a.Partial != b.Partial {
		if b.Partial {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(b.Tokens, a.Tokens),
		cmp.Compare(a.FinishedAtMs, b.FinishedAtMs),
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Budget, b.Budget),
		cmp.Compare(a.Service, b.Service),
	)
}

// Set holds one bill for each request.
type Set map[Key]*messenger.Bill

// Add merges bills into the set.
func (s Set) Add(bills ...*messenger.Bill) {
	for _, bill := range bills {
		key := KeyOf(bill)
		if known, ok := s[key]; ok {
			bill = Merge(known, bill)
		}
		s[key] = bill
	}
}

// Sum returns the totals, ordered by client account and budget.
func (s Set) Sum() []*messenger.BillSum {
	type group struct{ clientAccount, budget string }
	groups := map[group]*messenger.BillSum{}
	for _, bill := range s {
		g := group{clientAccount: bill.ClientAccount, budget: bill.Budget}
		sum, ok := groups[g]
		if !ok {
			sum = &messenger.BillSum{ClientAccount: g.clientAccount, Budget: g.budget}
			groups[g] = sum
		}
		sum.Requests++
		sum.Tokens += bill.Tokens
	}
	sums := make([]*messenger.BillSum, 0, len(groups))
	for _, sum := range groups {
		sums = append(sums, sum)
	}
	slices.SortFunc(sums, func(a, b *messenger.BillSum) int {
		return cmp.Or(cmp.Compare(a.ClientAccount, b.ClientAccount), cmp.Compare(a.Budget, b.Budget))
	})
	return sums
}
