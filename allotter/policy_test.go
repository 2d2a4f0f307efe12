package allotter_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"cowsliphinge/allotter"
	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/standin/platform"
)

// raiseLimit raises the limit of a host to cover the waiting tokens, without faults.
func (f *randomFleet) raiseLimit(t *testing.T, h *host, waiting int64) {
	t.Helper()
	h.allotter.AddWaiting("mason", waiting, 0)
	f.read(h)
	f.plan(h, true)
	f.send(h, platform.Faults{})
	f.deliverAnswer(h, false)
	h.allotter.AddWaiting("mason", -waiting, 0)
	assert.NilError(t, f.check())
}

func (f *randomFleet) masonBudget() *messenger.Budget {
	_, object := f.storedObject()
	for _, b := range object.Budgets {
		if b.Name == "mason" {
			return b
		}
	}
	return nil
}

func TestIdleHeadroomIsReturned(t *testing.T) {
	f := newRandomFleet(1)
	h := f.hosts[0]
	f.raiseLimit(t, h, 300)
	assert.Assert(t, f.reserve(h, "mason", 300, 0))
	f.settle(h, 0, 100)
	assert.Assert(t, allotter.Assigned(f.masonBudget()) > 100)
	for range 50 {
		f.clock.Advance(clocker.Hour)
		f.raiseLimit(t, h, 0)
	}
	assert.Equal(t, allotter.Assigned(f.masonBudget()), int64(100))
}

func TestHeadroomIsShareOfUnassigned(t *testing.T) {
	f := newRandomFleet(1)
	h := f.hosts[0]
	for range 3 { // demand far above the remaining tokens
		f.raiseLimit(t, h, 100)
		assert.Assert(t, f.reserve(h, "mason", 100, 0))
		f.settle(h, 0, 100)
		f.clock.Advance(10 * clocker.Second)
	}
	b := f.masonBudget()
	remaining := b.Granted - 300
	assert.Assert(t, h.allotter.Headroom("mason") <= remaining*tightPolicy.MaxShareOfRestMilli/1000+1)
}

// A host whose entry was folded while it was paused may use the tokens that it held,
// but no others without a new entry.
func TestFoldedHostKeepsOnlyItsHeadroom(t *testing.T) {
	f := newRandomFleet(2)
	paused, other := f.hosts[0], f.hosts[1]
	f.raiseLimit(t, paused, 200)
	held := paused.allotter.Headroom("mason")
	assert.Assert(t, held >= 200)
	for range 80 {
		f.raiseLimit(t, f.startHost(), 1)
		f.crashed = append(f.crashed, f.hosts[len(f.hosts)-1])
		f.hosts = f.hosts[:len(f.hosts)-1]
	}
	f.hosts = []*host{other}
	f.crashed = append(f.crashed, paused)
	f.raiseLimit(t, other, 2)
	f.raiseLimit(t, other, 4)
	for _, entry := range f.masonBudget().Holders {
		assert.Assert(t, entry.Incarnation != paused.incarnation, "not folded")
	}

	f.crashed = f.crashed[:len(f.crashed)-1]
	f.hosts = append(f.hosts, paused)
	f.read(paused)
	assert.Equal(t, paused.allotter.Headroom("mason"), held)
	assert.Assert(t, f.reserve(paused, "mason", held, 0))
	f.raiseLimit(t, paused, 5)
	assert.Assert(t, f.reserve(paused, "mason", 5, 0))
	assert.NilError(t, f.check())
	f.settle(paused, 0, held)
	f.settle(paused, 0, 5)
	paused.allotter.StartClosing()
	f.raiseLimit(t, paused, 0)
	assert.Assert(t, paused.allotter.Closed())
}

func TestOfflineReserveShrinksWithCrashes(t *testing.T) {
	policy := &messenger.Policy{HeadroomMs: 1000, OfflineReserveMs: 3_600_000, MaxShareOfRestMilli: 250}
	target := func(lost int64) int64 {
		object := &messenger.BudgetShard{Budgets: []*messenger.Budget{{Name: "mason", Granted: 1_000_000, Holders: []*messenger.Holder{
			{Incarnation: "gone", Limit: lost}, {Incarnation: "me", Limit: 5000},
		}}}}
		a := allotter.New(allotter.Config{Incarnation: "me"})
		a.Merge(1, object, 0)
		for i := range 10 {
			id, ok := a.Reserve("mason", 500, 0, clocker.Millis(i))
			assert.Assert(t, ok)
			a.Settle("mason", id, 500, clocker.Millis(i))
		}
		w, due := a.Plan(allotter.Conditions{
			Now: 10 * clocker.Second, Policy: policy, KeepsHeadroom: true,
			IsReplaced: func(incarnation string) bool { return incarnation == "gone" },
		})
		assert.Assert(t, due)
		return w.Value.Budgets[0].Holders[1].Limit
	}
	limits := []int64{target(0), target(125_000), target(250_000)}
	assert.Assert(t, limits[0] > limits[1] && limits[1] > limits[2], fmt.Sprint(limits))
}

// A holder keeps the floor of a declared budget without any request for it, capped at
// its share of the unassigned tokens. A host that is not a holder keeps no floor.
func TestFloorOfDeclaredBudget(t *testing.T) {
	for _, c := range []struct {
		holder      bool
		floor, want int64
	}{{true, 50, 50}, {true, 1 << 40, -1}, {false, 50, 0}} {
		policy := proto.CloneOf(tightPolicy)
		policy.FloorTokens = c.floor
		const granted = 10_000
		a := allotter.New(allotter.Config{Incarnation: "h-1-a"})
		assert.Assert(t, !a.KeepFloor("mason"))
		unread := allotter.Conditions{Now: clocker.Minute, Policy: policy, KeepsHeadroom: c.holder}
		assert.Equal(t, a.PlatformCallDue(unread), c.holder)
		a.Merge(1, &messenger.BudgetShard{Budgets: []*messenger.Budget{{Name: "mason", Granted: granted}}}, 0)
		assert.Assert(t, a.KeepFloor("mason"))
		w, due := a.Plan(allotter.Conditions{Now: clocker.Minute, Policy: policy, KeepsHeadroom: c.holder})
		if due {
			a.Confirm(w, 2, clocker.Hour)
		}
		want := c.want
		if want < 0 {
			want = granted * policy.MaxShareOfRestMilli / 1000
		}
		assert.Equal(t, a.Headroom("mason"), want)
	}
}

// Scenario: many budgets of one object are used at the same time. A holder writes the
// object at most once per ChangeInterval; each write includes all budgets.
func TestOneWriteCarriesAllBudgets(t *testing.T) {
	const budgets, seconds, pause = 10, 30, 1500 * clocker.Millis(1)
	a := allotter.New(allotter.Config{Incarnation: "h-1-a", DemandTimeConstant: 4 * clocker.Second})
	object := &messenger.BudgetShard{}
	for i := range budgets {
		object.Budgets = append(object.Budgets, &messenger.Budget{Name: fmt.Sprint("budget-", i), Granted: 10_000_000})
		a.KeepFloor(fmt.Sprint("budget-", i))
	}
	a.Merge(1, object, clocker.Hour)
	c := allotter.Conditions{
		Policy: &messenger.Policy{HeadroomMs: 1000, FloorTokens: 1 << 40, MaxShareOfRestMilli: 25}, KeepsHeadroom: true,
		ChangeInterval: pause, RaiseThreshold: 0.8, BatchRaiseThreshold: 0.95,
	}
	writes, lowest := 0, int64(1<<40)
	for c.Now = clocker.Hour; c.Now < clocker.Hour+seconds*clocker.Second; c.Now += 100 {
		if w, due := a.Plan(c); due {
			writes++
			a.Confirm(w, int64(1+writes), c.Now)
		}
		for i := range budgets {
			id, ok := a.Reserve(fmt.Sprint("budget-", i), 1000+int64(i), 0, c.Now)
			assert.Assert(t, ok)
			a.Settle(fmt.Sprint("budget-", i), id, 1000+int64(i), c.Now)
			lowest = min(lowest, a.Headroom(fmt.Sprint("budget-", i)))
		}
	}
	assert.Assert(t, writes <= 1+int(seconds*clocker.Second/pause), "%d writes", writes)
	assert.Assert(t, lowest > 100_000, "a headroom dropped to %d", lowest)
}

// Scenario: one availability zone receives most of the requests. Its holders hold more
// than an even share, according to their demand and capped at the busy share.
func TestBusyHolderExceedsEvenShare(t *testing.T) {
	const granted = 10_000_000
	policy := &messenger.Policy{HeadroomMs: 2000, FloorTokens: 1 << 40, MaxShareOfRestMilli: 20, BusyShareOfRestMilli: 100}
	held := func(perSecond int64) int64 {
		a := allotter.New(allotter.Config{Incarnation: "h-1-a", DemandTimeConstant: 4 * clocker.Second})
		a.KeepFloor("mason")
		a.Receive("h-2-a", &messenger.TransferTotal{Budget: "mason", Given: 60 * perSecond})
		a.Merge(1, &messenger.BudgetShard{Budgets: []*messenger.Budget{{Name: "mason", Granted: granted}}}, clocker.Hour)
		now := clocker.Hour
		for range 60 {
			id, ok := a.Reserve("mason", perSecond, 0, now)
			assert.Assert(t, ok)
			a.Settle("mason", id, perSecond, now)
			now += clocker.Second
		}
		w, due := a.Plan(allotter.Conditions{Now: now, Policy: policy, KeepsHeadroom: true})
		assert.Assert(t, due)
		return w.Value.Budgets[0].Holders[0].Limit
	}
	assert.Equal(t, held(1000), int64(granted/50))
	assert.Assert(t, held(200_000) > granted/30, "%d", held(200_000))
	assert.Equal(t, held(2_000_000), int64(granted/10))
}
