package limiter_test

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/indexer"
	"cowsliphinge/limiter"
	"cowsliphinge/messenger"
	"cowsliphinge/picker"
)

// newGate returns a gate before n servers with the given slots.
func newGate(n int, slots, queueLimit int64, moves ...*messenger.Move) *limiter.Gate {
	d := &messenger.Declarations{
		Services: []*messenger.Service{{Name: "draft", QueueLimit: queueLimit}},
		Moves:    moves,
	}
	for i := range n {
		d.BackendServers = append(d.BackendServers, &messenger.BackendServer{
			Name: fmt.Sprint("s", i), AvailabilityZone: "a", Service: "draft", Models: []string{"m"}, Slots: slots,
		})
	}
	g := limiter.NewGate(limiter.GateConfig{AvailabilityZone: "a", Seed: 1})
	g.Sync(now, indexer.New(&messenger.Configuration{Version: 1, Declarations: d}))
	return g
}

func waiting(account string, deadline clocker.Millis) *limiter.Item {
	return &limiter.Item{Request: picker.Request{
		Service: "draft", Model: "m", ClientAccount: account, Tokens: 100, Deadline: deadline,
	}}
}

func reason(err error) string {
	var refusal picker.ErrNoServer
	errors.As(err, &refusal)
	return refusal.Reason
}

// served submits a request that gets a slot at once.
func served(t *testing.T, g *limiter.Gate, at clocker.Millis) picker.Choice {
	t.Helper()
	c, _, err := g.Submit(at, waiting("x", 0))
	assert.NilError(t, err)
	assert.Assert(t, c.Server != nil, "no slot")
	return c
}

// queued submits a request that has to wait.
func queued(t *testing.T, g *limiter.Gate, at clocker.Millis, i *limiter.Item) {
	t.Helper()
	c, _, err := g.Submit(at, i)
	assert.NilError(t, err)
	assert.Assert(t, c.Server == nil)
}

func TestSlotsThenQueueThenRefusal(t *testing.T) {
	g := newGate(2, 1, 1)
	held := served(t, g, now)
	served(t, g, now)
	first := waiting("x", now+10_000)
	queued(t, g, now, first)
	_, _, err := g.Submit(now, waiting("x", now+10_000))
	assert.Equal(t, reason(err), picker.ReasonQueueFull)
	assert.Equal(t, len(g.Advance(now)), 0)
	g.Release(now+5, held, picker.Succeeded)
	ended := g.Advance(now + 5)
	assert.Equal(t, len(ended), 1)
	assert.Assert(t, ended[0].Item == first && ended[0].Result.Choice.Server.Name == held.Server.Name)
}

func TestDeadlineEndsTheWait(t *testing.T) {
	g := newGate(1, 1, 10)
	held := served(t, g, now)
	queued(t, g, now, waiting("x", now+100))
	assert.Equal(t, len(g.Advance(now+99)), 0)
	ended := g.Advance(now + 100)
	assert.Equal(t, reason(ended[0].Result.Err), picker.ReasonDeadline)
	_, _, err := g.Submit(now+100, waiting("x", now+100))
	assert.Equal(t, reason(err), picker.ReasonDeadline)
	g.Release(now+100, held, picker.CallerLeft)
}

func TestEarlyRefusalWhenTheDeadlineCannotBeMet(t *testing.T) {
	g := newGate(1, 1, 100)
	at := now
	var last *limiter.Item
	c := served(t, g, at)
	for range 20 {
		last = waiting("x", 0)
		queued(t, g, at, last)
	}
	for range 4 {
		at += 1000
		g.Release(at, c, picker.Succeeded)
		c = g.Advance(at)[0].Result.Choice
	}
	// Sixteen wait and each takes a second.
	_, _, err := g.Submit(at, waiting("x", at+15_000))
	assert.Equal(t, reason(err), picker.ReasonDeadline)
	var refusal picker.ErrNoServer
	assert.Assert(t, errors.As(err, &refusal) && refusal.RetryAfterMs > 10_000, "%v", refusal)
	queued(t, g, at, waiting("x", at+30_000))
	// Another client account has its turn sooner.
	queued(t, g, at, waiting("y", at+9000))
}

func TestLongOverloadShedsEarlier(t *testing.T) {
	g := newGate(1, 1, 100)
	at := now
	c := served(t, g, at)
	for range 30 {
		queued(t, g, at, waiting("x", 0))
	}
	for range 3 {
		at += 1000
		g.Release(at, c, picker.Succeeded)
		c = g.Advance(at)[0].Result.Choice
	}
	queued(t, g, at, waiting("x", at+60_000))
	for range 4 {
		at += 1000
		g.Release(at, c, picker.Succeeded)
		c = g.Advance(at)[0].Result.Choice
	}
	_, _, err := g.Submit(at, waiting("x", at+60_000))
	assert.Equal(t, reason(err), picker.ReasonOverload)
}

func TestWaitingRequestsWantTimeForMostAnswers(t *testing.T) {
	g := newGate(1, 1, 100)
	at := now
	// One answer of three takes ten seconds, the others one.
	for i := range 300 {
		c := served(t, g, at)
		at += 1000
		if i%3 == 0 {
			at += 9000
		}
		g.Release(at, c, picker.Succeeded)
	}
	// Alone, a request with eight seconds is worth a try.
	c, _, err := g.Submit(at, waiting("x", at+8000))
	assert.NilError(t, err)
	assert.Assert(t, c.Server != nil)
	// Before others that wait, it would probably waste the slot.
	for range 3 {
		queued(t, g, at, waiting("x", at+60_000))
	}
	_, _, err = g.Submit(at, waiting("y", at+8000))
	assert.Equal(t, reason(err), picker.ReasonDeadline)
}

func TestWaitingRequestHoldsOutForItsPrefix(t *testing.T) {
	g := newGate(2, 1, 100)
	holder, other := served(t, g, now), served(t, g, now)
	g.Cached(now, holder.Server.Name, picker.CacheEvent{Kind: picker.CacheStored, Prefix: 7})
	item := waiting("x", now+60_000)
	item.Request.Prefix = 7
	queued(t, g, now, item)
	g.Release(now+10, other, picker.CallerLeft)
	assert.Equal(t, len(g.Advance(now+1999)), 0)
	ended := g.Advance(now + 2000)
	assert.Equal(t, len(ended), 1)
	assert.Equal(t, ended[0].Result.Choice.Server.Name, other.Server.Name)

	// A later request whose prefix is where the slot is free goes first.
	first, second := waiting("x", now+60_000), waiting("x", now+60_000)
	second.Request.Prefix = 7
	queued(t, g, now+3000, first)
	queued(t, g, now+3000, second)
	g.Release(now+3000, holder, picker.CallerLeft)
	ended = g.Advance(now + 3000)
	assert.Equal(t, len(ended), 1)
	assert.Assert(t, ended[0].Item == second)
}

func TestWaitingRequestIsNotGivenToALeavingServer(t *testing.T) {
	g := newGate(2, 1, 10, &messenger.Move{
		State: messenger.MoveState_STARTED, LeavingBackendServers: []string{"s0"}, DrainAtMs: int64(now) + 50,
	})
	one, two := served(t, g, now), served(t, g, now)
	queued(t, g, now, waiting("x", now+10_000))
	if one.Server.Name != "s0" {
		one, two = two, one
	}
	g.Release(now+50, one, picker.Succeeded)
	assert.Equal(t, len(g.Advance(now+50)), 0)
	g.Release(now+60, two, picker.Succeeded)
	ended := g.Advance(now + 60)
	assert.Equal(t, ended[0].Result.Choice.Server.Name, "s1")
}

func TestRefusedServersTakeLess(t *testing.T) {
	g := newGate(1, 16, 100)
	at := now
	for range 20 {
		c := served(t, g, at)
		g.Release(at, c, picker.Refused)
		at += 3000
	}
	served(t, g, at)
	queued(t, g, at, waiting("x", 0))
}

func TestConcurrencyFollowsRefusalsQueuesAndLatency(t *testing.T) {
	c := limiter.NewConcurrency(16)
	at := now
	c.Refused(at)
	assert.Equal(t, c.Limit(), int64(11))
	c.Refused(at + 100) // within one interval it counts once
	assert.Equal(t, c.Limit(), int64(11))
	at += 1000
	c.Reported(at, picker.LoadReport{Running: 16, Queued: 1})
	assert.Equal(t, c.Limit(), int64(11))
	c.Reported(at, picker.LoadReport{Running: 16, Queued: 4})
	assert.Equal(t, c.Limit(), int64(10))
	for range 300 {
		c.Answered(at, 100, c.Limit())
	}
	assert.Equal(t, c.Limit(), int64(16))
	for range 40 {
		at += 500
		c.Answered(at, 2000, c.Limit())
	}
	assert.Assert(t, c.Limit() <= 4, "%d", c.Limit())
}

// TestRoutersConverge shares one server between two routers of which one was
// there first.
func TestRoutersConverge(t *testing.T) {
	one, two := limiter.NewConcurrency(32), limiter.NewConcurrency(32)
	at := now
	for range 10 {
		at += 300
		two.Refused(at)
	}
	before := one.Limit() - two.Limit()
	for range 400 {
		at += 300
		queued := one.Limit() + two.Limit() - 32
		for _, c := range []*limiter.Concurrency{one, two} {
			for range c.Limit() {
				c.Answered(at, 100, c.Limit())
			}
			c.Reported(at, picker.LoadReport{Running: 32, Queued: max(0, queued)})
		}
	}
	after := one.Limit() - two.Limit()
	assert.Assert(t, before > 20 && max(after, -after) <= 4, "%d then %d", before, after)
	assert.Assert(t, one.Limit()+two.Limit() >= 28 && one.Limit()+two.Limit() <= 44)
}

func BenchmarkGate(b *testing.B) {
	for _, n := range []int{12, 120, 600} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			g := newGate(n, 16, 256)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				at := now + clocker.Millis(i)
				item := waiting("x", at+10_000)
				item.Request.Prefix = uint64(i%200) + 1
				c, _, _ := g.Submit(at, item)
				g.Release(at+1, c, picker.Succeeded)
				g.Advance(at + 1)
			}
		})
	}
}
