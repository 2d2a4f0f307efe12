package allotter_test

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"cowsliphinge/allotter"
	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

const (
	urgent, large             = 0, 1
	urgentTokens, largeTokens = 1000, 9000
)

// newWarmAllotter returns an allotter with the given headroom, after it served one
// small urgent request and one large request per second for 20 seconds.
func newWarmAllotter(t *testing.T, headroom int64) (*allotter.Allotter, clocker.Millis) {
	t.Helper()
	a := allotter.New(allotter.Config{Incarnation: "host-a-1-00000000", DemandTimeConstant: 4 * clocker.Second, UrgentReserveHorizon: 8 * clocker.Second})
	now := clocker.Hour
	const warmupSeconds = 20
	a.Receive("host-b-1-00000000", &messenger.TransferTotal{Budget: "mason", Given: headroom + warmupSeconds*(urgentTokens+largeTokens)})
	object := &messenger.BudgetShard{Budgets: []*messenger.Budget{{Name: "mason", Granted: 1 << 40}}}
	a.Merge(1, object, now)
	for range warmupSeconds {
		reserveAndSettle(t, a, urgentTokens, urgent, now)
		reserveAndSettle(t, a, largeTokens, large, now)
		now += clocker.Second
	}
	assert.Equal(t, a.Headroom("mason"), headroom)
	return a, now
}

func reserveAndSettle(t *testing.T, a *allotter.Allotter, tokens int64, rank int, now clocker.Millis) {
	t.Helper()
	id, ok := a.Reserve("mason", tokens, rank, now)
	assert.Assert(t, ok)
	assert.Assert(t, a.Settle("mason", id, tokens, now))
}

// serveMix sends the same mix for the given seconds and returns how many requests of
// each kind were served.
func serveMix(a *allotter.Allotter, now clocker.Millis, seconds int) (urgentServed, largeServed int) {
	for range seconds {
		if _, ok := a.Reserve("mason", largeTokens, large, now); ok {
			largeServed++
		}
		if _, ok := a.Reserve("mason", urgentTokens, urgent, now); ok {
			urgentServed++
		}
		now += clocker.Second
	}
	return urgentServed, largeServed
}

// Scenario: the platform is unreachable for eight seconds, and a host holds tokens
// for two seconds of all its requests. All small urgent requests are served.
func TestUrgentRequestsAreServedDuringOutage(t *testing.T) {
	a, now := newWarmAllotter(t, 20_000)
	a.SetPlatformUnreachable(true)
	urgentServed, largeServed := serveMix(a, now, 8)
	assert.Equal(t, urgentServed, 8)
	assert.Equal(t, largeServed, 1)
}

// Scenario: as above, but the platform is reachable and can provide more tokens.
// Nothing is reserved.
func TestNoUrgentReserveWhilePlatformIsReachable(t *testing.T) {
	a, now := newWarmAllotter(t, 20_000)
	_, largeServed := serveMix(a, now, 2)
	assert.Equal(t, largeServed, 2)
}

// Scenario: a peer requests tokens during an outage. For a large request it gets none
// of the reserve for urgent requests of this host, for an urgent one it does.
func TestLoanLeavesUrgentReserve(t *testing.T) {
	a, now := newWarmAllotter(t, 10_000)
	a.SetPlatformUnreachable(true)
	lent := func(rank int32) int64 {
		ask := &messenger.TransferAsk{Budget: "mason", Tokens: largeTokens, Needed: largeTokens, Rank: rank}
		before := a.Headroom("mason")
		a.TransferTo("host-c-1-00000000", ask, now)
		return before - a.Headroom("mason")
	}
	assert.Assert(t, lent(large) < 4000)
	assert.Assert(t, lent(urgent) > 4000)
}

// A request that waits because of the urgent reserve requests its shortfall from peers.
func TestTransferAskIncludesUrgentReserve(t *testing.T) {
	a, now := newWarmAllotter(t, largeTokens)
	a.SetPlatformUnreachable(true)
	_, ok := a.Reserve("mason", largeTokens, large, now)
	assert.Assert(t, !ok)
	a.AddWaiting("mason", largeTokens, large)
	asks := a.TransferAsks(allotter.Conditions{Now: now, Policy: tightPolicy, KeepsHeadroom: true}, true)
	assert.Equal(t, len(asks), 1)
	assert.Equal(t, asks[0].Rank, int32(large))
	a.Receive("host-b-1-00000000", &messenger.TransferTotal{Budget: "mason", Given: 20*(urgentTokens+largeTokens) + largeTokens + asks[0].Needed})
	a.AddWaiting("mason", -largeTokens, large)
	_, ok = a.Reserve("mason", largeTokens, large, now)
	assert.Assert(t, ok)
}

// Scenario: most callers connect to hosts that get their tokens from this one. In an
// outage it reserves its tokens for the urgent requests of these hosts.
func TestHolderReservesForUrgentDemandOfPeers(t *testing.T) {
	a, now := newWarmAllotter(t, 40_000)
	ask := &messenger.TransferAsk{Budget: "mason", Rank: large, Needed: 20_000, Tokens: 20_000, UrgentPerSecond: 10_000}
	a.TransferTo("host-c-1-00000000", &messenger.TransferAsk{Budget: "mason", UrgentPerSecond: ask.UrgentPerSecond}, now)
	a.SetPlatformUnreachable(true)
	ask.Loan = true
	before := a.Headroom("mason")
	a.TransferTo("host-d-1-00000000", ask, now)
	assert.Equal(t, a.Headroom("mason"), before, "a large request used the urgent reserve")
	a.TransferTo("host-d-1-00000000", ask, now+11*clocker.Second)
	assert.Assert(t, a.Headroom("mason") < before, "reserved for a host that no longer requests tokens")
}

// Scenario: a budget is nearly spent, and all hosts have just crashed. The entries of
// the old incarnations contain the urgent demand. Its tokens for eight seconds are
// denied to a large request and available to urgent ones.
func TestEndOfABudgetIsLeftToUrgentRequests(t *testing.T) {
	object := &messenger.BudgetShard{Budgets: []*messenger.Budget{{Name: "mason", Granted: 110_000, Holders: []*messenger.Holder{
		{Incarnation: "host-a-1-00000000", Limit: 60_000, UrgentPerSecond: 3000},
		{Incarnation: "host-b-1-00000000", Limit: 30_000, UrgentPerSecond: 2000},
	}}}}
	a := allotter.New(allotter.Config{Incarnation: "host-a-2-00000000", UrgentReserveHorizon: 8 * clocker.Second})
	a.Merge(7, object, clocker.Hour)
	a.Reserve("mason", urgentTokens, urgent, clocker.Hour) // makes both ranks known
	c := allotter.Conditions{Now: clocker.Hour, Policy: tightPolicy}
	a.AddWaiting("mason", 0, urgent)
	a.AddWaiting("mason", largeTokens, large)
	_, due := a.Plan(c)
	assert.Assert(t, !due, "a large request is planned from the urgent reserve")
	a.AddWaiting("mason", urgentTokens, urgent)
	w, due := a.Plan(c)
	assert.Assert(t, due)
	assert.Assert(t, w.Value.Budgets[0].Holders[2].Limit >= urgentTokens)
	a.Confirm(w, 8, clocker.Hour)
	_, ok := a.Reserve("mason", urgentTokens, urgent, clocker.Hour)
	assert.Assert(t, ok)
}

// Scenario: as above. A holder recognizes without a call to the platform which tokens
// it can't get.
func TestUnassignedTokensRespectUrgentReserve(t *testing.T) {
	object := &messenger.BudgetShard{Budgets: []*messenger.Budget{{Name: "mason", Granted: 110_000, Holders: []*messenger.Holder{
		{Incarnation: "host-a-1-00000000", Limit: 60_000, UrgentPerSecond: 2000},
	}}}}
	a := allotter.New(allotter.Config{Incarnation: "host-a-2-00000000", UrgentReserveHorizon: 8 * clocker.Second})
	assert.Assert(t, a.UnassignedCovers("mason", 1<<40, large), "the budget has not been read")
	a.Merge(7, object, clocker.Hour)
	a.AddWaiting("mason", urgentTokens, urgent)
	a.AddWaiting("mason", 0, large)
	available := int64(110_000 - 60_000 - 8*2000 - urgentTokens)
	assert.Assert(t, a.UnassignedCovers("mason", available, large))
	assert.Assert(t, !a.UnassignedCovers("mason", available+1, large))
	assert.Assert(t, a.UnassignedCovers("mason", 50_000, urgent))
	assert.Assert(t, !a.UnassignedCovers("mason", 50_001, urgent))
}

// Guards against refusals of less urgent requests although enough is unassigned: after the death of all hosts the
// demand of the same callers counted twice, in the entries of the dead and in those of the living. Load:
// 5,000 urgent tokens a second, of which 8 s are reserved, and 60,000 unassigned tokens.
func TestDeadEntriesDoNotReserveTwice(t *testing.T) {
	object := &messenger.BudgetShard{Budgets: []*messenger.Budget{{Name: "mason", Granted: 150_000, Holders: []*messenger.Holder{
		{Incarnation: "host-a-1-00000000", Limit: 60_000, UrgentPerSecond: 3000},
		{Incarnation: "host-b-1-00000000", Limit: 30_000, UrgentPerSecond: 2000},
	}}}}
	a := allotter.New(allotter.Config{Incarnation: "host-a-2-00000000", DemandTimeConstant: 4 * clocker.Second, UrgentReserveHorizon: 8 * clocker.Second})
	c := allotter.Conditions{Now: clocker.Hour, Policy: tightPolicy, IsLive: func(incarnation string) bool { return incarnation == "host-b-2-00000000" }}
	a.Merge(7, object, c.Now)
	a.AddWaiting("mason", 0, urgent) // makes both ranks known
	a.AddWaiting("mason", 0, large)
	a.PlatformCallDue(c)
	assert.Assert(t, !a.UnassignedCovers("mason", 30_000, large), "the callers of the dead have not reconnected yet")
	assert.Assert(t, a.UnassignedCovers("mason", 20_000, large))

	object = proto.CloneOf(object)
	object.Budgets[0].Holders = append(object.Budgets[0].Holders, &messenger.Holder{Incarnation: "host-b-2-00000000", UrgentPerSecond: 5000})
	c.Now += 20 * clocker.Second
	a.Merge(8, object, c.Now)
	a.PlatformCallDue(c)
	assert.Assert(t, a.UnassignedCovers("mason", 19_000, large))
	assert.Assert(t, !a.UnassignedCovers("mason", 21_000, large))
}
