package allotter

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// The next write raises the granted sum to the declared one. It is never lowered and
// counts once.
func TestDeclaredGrantIsRaisedByNextWrite(t *testing.T) {
	a := New(Config{Incarnation: "h-1-a"})
	a.SetDeclaredGrant("masons", 1000)
	a.KeepFloor("masons")
	a.Merge(0, &messenger.BudgetShard{}, 1)
	c := Conditions{Now: 10_000, KeepsHeadroom: true, Policy: &messenger.Policy{MaxShareOfRestMilli: 100, FloorTokens: MaxGranted}}
	w, due := a.Plan(c)
	assert.Assert(t, due)
	assert.Equal(t, w.Value.Budgets[0].Granted, int64(1000))
	a.Confirm(w, 2, clocker.Hour)
	assert.Equal(t, a.Headroom("masons"), int64(100))
	a.SetDeclaredGrant("masons", 900)
	assert.Equal(t, a.knownOrDeclaredBudget(a.getOrAddBudget("masons")).Granted, int64(1000))
	a.SetDeclaredGrant("masons", 5000)
	c.Now = 20_000
	w, due = a.Plan(c)
	assert.Assert(t, due)
	assert.Equal(t, w.Value.Budgets[0].Granted, int64(5000))
	assert.Assert(t, Assigned(w.Value.Budgets[0]) <= 5000)
}

// Two incarnations that learn the declared sum at the same time share it: the write
// planned without knowledge of the other one is rejected as a conflict.
func TestDeclaredGrantIsCountedOnce(t *testing.T) {
	one, two := New(Config{Incarnation: "h-1-a"}), New(Config{Incarnation: "g-1-b"})
	c := Conditions{Now: 10_000, KeepsHeadroom: true, Policy: &messenger.Policy{MaxShareOfRestMilli: 900, FloorTokens: MaxGranted}}
	for _, a := range []*Allotter{one, two} {
		a.SetDeclaredGrant("masons", 1000)
		a.KeepFloor("masons")
		a.Merge(0, &messenger.BudgetShard{}, 1)
	}
	first, _ := one.Plan(c)
	second, _ := two.Plan(c)
	one.Confirm(first, 2, clocker.Hour)
	two.Rejected(second)
	two.Merge(2, first.Value, 1)
	second, due := two.Plan(c)
	assert.Assert(t, due)
	two.Confirm(second, 3, clocker.Hour)
	assert.Equal(t, one.Headroom("masons")+two.Headroom("masons"), int64(990))
	assert.Equal(t, second.Value.Budgets[0].Granted, int64(1000))
}
