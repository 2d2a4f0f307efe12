package allotter_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/allotter"
	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

const (
	urgent, large           = 0, 1
	urgentTokens, bigTokens = 1000, 9000
)

// warm returns an allotter with a headroom that has served a mix of one small
// urgent request and one large request a second for some seconds.
func warm(t *testing.T, headroom int64) (*allotter.Allotter, clocker.Millis) {
	t.Helper()
	a := allotter.New(allotter.Config{Incarnation: "host-a-1-00000000", DemandTimeConstant: 4 * clocker.Second, UrgentReserve: 8 * clocker.Second})
	now := clocker.Hour
	const warmth = 20
	a.Receive("host-b-1-00000000", &messenger.TransferTotal{Budget: "mason", Given: headroom + warmth*(urgentTokens+bigTokens)})
	object := &messenger.BudgetShard{Budgets: []*messenger.Budget{{Name: "mason", Granted: 1 << 40}}}
	a.Merge(1, object, now)
	for range warmth {
		take(t, a, urgentTokens, urgent, now)
		take(t, a, bigTokens, large, now)
		now += clocker.Second
	}
	assert.Equal(t, a.Headroom("mason"), headroom)
	return a, now
}

func take(t *testing.T, a *allotter.Allotter, tokens int64, rank int, now clocker.Millis) {
	t.Helper()
	id, ok := a.Reserve("mason", tokens, rank, now)
	assert.Assert(t, ok)
	assert.Assert(t, a.Settle("mason", id, tokens, now))
}

// serve plays seconds of the mix and returns how many of each kind were served.
func serve(a *allotter.Allotter, now clocker.Millis, seconds int) (small, big int) {
	for range seconds {
		if _, ok := a.Reserve("mason", bigTokens, large, now); ok {
			big++
		}
		if _, ok := a.Reserve("mason", urgentTokens, urgent, now); ok {
			small++
		}
		now += clocker.Second
	}
	return small, big
}

// Pattern: the platform is away for eight seconds, and a host holds tokens for
// two seconds of all its requests. The small urgent ones are all served.
func TestOutageServesUrgentRequestsThroughout(t *testing.T) {
	a, now := warm(t, 20_000)
	a.SetUnreachable(true)
	small, big := serve(a, now, 8)
	assert.Equal(t, small, 8)
	assert.Equal(t, big, 1)
}

// Pattern: as above, but the platform can be reached: nothing is kept back, more
// tokens are on their way.
func TestNothingIsKeptWhileThePlatformIsReached(t *testing.T) {
	a, now := warm(t, 20_000)
	_, big := serve(a, now, 2)
	assert.Equal(t, big, 2)
}

// Pattern: a peer asks for a loan during an outage. A large request of its gets
// nothing of what urgent requests here will take, an urgent one does.
func TestLoansLeaveWhatUrgentRequestsTake(t *testing.T) {
	a, now := warm(t, 10_000)
	a.SetUnreachable(true)
	lent := func(rank int32) int64 {
		ask := &messenger.TransferAsk{Budget: "mason", Tokens: bigTokens, Needed: bigTokens, Rank: rank}
		before := a.Headroom("mason")
		a.TransferTo("host-c-1-00000000", ask, now)
		return before - a.Headroom("mason")
	}
	assert.Assert(t, lent(large) < 4000)
	assert.Assert(t, lent(urgent) > 4000)
}

// A request that waits behind what is kept asks peers for what it lacks.
func TestAskCoversWhatIsKept(t *testing.T) {
	a, now := warm(t, bigTokens)
	a.SetUnreachable(true)
	_, ok := a.Reserve("mason", bigTokens, large, now)
	assert.Assert(t, !ok)
	a.AddWaiting("mason", bigTokens, large)
	asks := a.TransferAsks(allotter.Conditions{Now: now, Policy: tightPolicy, Holder: true}, true)
	assert.Equal(t, len(asks), 1)
	assert.Equal(t, asks[0].Rank, int32(large))
	a.Receive("host-b-1-00000000", &messenger.TransferTotal{Budget: "mason", Given: 20*(urgentTokens+bigTokens) + bigTokens + asks[0].Needed})
	a.AddWaiting("mason", -bigTokens, large)
	_, ok = a.Reserve("mason", bigTokens, large, now)
	assert.Assert(t, ok)
}

// Pattern: most callers arrive at hosts that get their tokens from this one. In an
// outage their urgent requests need its tokens, not the large ones.
func TestHolderKeepsForTheHostsThatItSupplies(t *testing.T) {
	a, now := warm(t, 40_000)
	ask := &messenger.TransferAsk{Budget: "mason", Rank: large, Needed: 20_000, Tokens: 20_000, UrgentPerSecond: 10_000}
	a.TransferTo("host-c-1-00000000", &messenger.TransferAsk{Budget: "mason", UrgentPerSecond: ask.UrgentPerSecond}, now)
	a.SetUnreachable(true)
	ask.Loan = true
	before := a.Headroom("mason")
	a.TransferTo("host-d-1-00000000", ask, now)
	assert.Equal(t, a.Headroom("mason"), before, "a large request took what urgent ones need")
	a.TransferTo("host-d-1-00000000", ask, now+11*clocker.Second)
	assert.Assert(t, a.Headroom("mason") < before, "kept for a host that no longer asks")
}

// Pattern: a budget nears its end, and all hosts died a moment ago. The entries of
// before tell what urgent requests take in eight seconds: a large request gets none of
// it, urgent ones do.
func TestEndOfABudgetIsLeftToUrgentRequests(t *testing.T) {
	object := &messenger.BudgetShard{Budgets: []*messenger.Budget{{Name: "mason", Granted: 110_000, Holders: []*messenger.Holder{
		{Incarnation: "host-a-1-00000000", Limit: 60_000, UrgentPerSecond: 3000},
		{Incarnation: "host-b-1-00000000", Limit: 30_000, UrgentPerSecond: 2000},
	}}}}
	a := allotter.New(allotter.Config{Incarnation: "host-a-2-00000000", UrgentReserve: 8 * clocker.Second})
	a.Merge(7, object, clocker.Hour)
	a.Reserve("mason", urgentTokens, urgent, clocker.Hour) // knows both ranks
	c := allotter.Conditions{Now: clocker.Hour, Policy: tightPolicy}
	a.AddWaiting("mason", 0, urgent)
	a.AddWaiting("mason", bigTokens, large)
	_, due := a.Plan(c)
	assert.Assert(t, !due, "a large request takes what is kept")
	a.AddWaiting("mason", urgentTokens, urgent)
	w, due := a.Plan(c)
	assert.Assert(t, due)
	assert.Assert(t, w.Value.Budgets[0].Holders[2].Limit >= urgentTokens)
	a.Confirm(w, 8, clocker.Hour)
	_, ok := a.Reserve("mason", urgentTokens, urgent, clocker.Hour)
	assert.Assert(t, ok)
}

// Pattern: as above. A holder knows what it can't get without going to the platform.
func TestWhatIsKeptIsKnownBeforehand(t *testing.T) {
	object := &messenger.BudgetShard{Budgets: []*messenger.Budget{{Name: "mason", Granted: 110_000, Holders: []*messenger.Holder{
		{Incarnation: "host-a-1-00000000", Limit: 60_000, UrgentPerSecond: 2000},
	}}}}
	a := allotter.New(allotter.Config{Incarnation: "host-a-2-00000000", UrgentReserve: 8 * clocker.Second})
	assert.Assert(t, a.MayExtend("mason", 1<<40, large), "nothing is known")
	a.Merge(7, object, clocker.Hour)
	a.AddWaiting("mason", urgentTokens, urgent)
	a.AddWaiting("mason", 0, large)
	most := int64(110_000 - 60_000 - 8*2000 - urgentTokens)
	assert.Assert(t, a.MayExtend("mason", most, large))
	assert.Assert(t, !a.MayExtend("mason", most+1, large))
	assert.Assert(t, a.MayExtend("mason", 50_000, urgent))
	assert.Assert(t, !a.MayExtend("mason", 50_001, urgent))
}
