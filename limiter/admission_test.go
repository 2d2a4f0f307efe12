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

// newController returns a controller for n servers with the given slots.
func newController(n int, slots, queueLimit int64, moves ...*messenger.Move) *limiter.AdmissionController {
	d := &messenger.Declarations{
		Services: []*messenger.Service{{Name: "draft", QueueLimit: queueLimit}},
		Moves:    moves,
	}
	for i := range n {
		d.BackendServers = append(d.BackendServers, &messenger.BackendServer{
			Name: fmt.Sprint("s", i), AvailabilityZone: "a", Service: "draft", Models: []string{"m"}, Slots: slots,
		})
	}
	a := limiter.NewAdmissionController(limiter.AdmissionConfig{AvailabilityZone: "a", Seed: 1})
	a.SetConfiguration(now, indexer.New(&messenger.Configuration{Version: 1, Declarations: d}))
	return a
}

func newItem(account string, deadline clocker.Millis) *limiter.Item {
	return &limiter.Item{Request: picker.Request{
		Service: "draft", Model: "m", ClientAccount: account, Tokens: 100, Deadline: deadline,
	}}
}

func refusalReason(err error) string {
	var refusal picker.ErrRefused
	errors.As(err, &refusal)
	return refusal.Reason
}

// mustAdmit submits a request that must get a slot immediately.
func mustAdmit(t *testing.T, a *limiter.AdmissionController, at clocker.Millis) picker.Choice {
	t.Helper()
	c, _, err := a.Submit(at, newItem("x", 0))
	assert.NilError(t, err)
	assert.Assert(t, c.Server != nil, "no slot")
	return c
}

// mustQueue submits a request that must be queued.
func mustQueue(t *testing.T, a *limiter.AdmissionController, at clocker.Millis, i *limiter.Item) {
	t.Helper()
	c, _, err := a.Submit(at, i)
	assert.NilError(t, err)
	assert.Assert(t, c.Server == nil)
}

func TestSlotsThenQueueThenRefusal(t *testing.T) {
	a := newController(2, 1, 1)
	held := mustAdmit(t, a, now)
	mustAdmit(t, a, now)
	first := newItem("x", now+10_000)
	mustQueue(t, a, now, first)
	_, _, err := a.Submit(now, newItem("x", now+10_000))
	assert.Equal(t, refusalReason(err), picker.ReasonQueueFull)
	assert.Equal(t, len(a.ServeQueues(now)), 0)
	a.Release(now+5, held, picker.Succeeded)
	ended := a.ServeQueues(now + 5)
	assert.Equal(t, len(ended), 1)
	assert.Assert(t, ended[0].Item == first && ended[0].Result.Choice.Server.Name == held.Server.Name)
}

func TestDeadlineEndsTheWait(t *testing.T) {
	a := newController(1, 1, 10)
	held := mustAdmit(t, a, now)
	mustQueue(t, a, now, newItem("x", now+100))
	assert.Equal(t, len(a.ServeQueues(now+99)), 0)
	ended := a.ServeQueues(now + 100)
	assert.Equal(t, refusalReason(ended[0].Result.Err), picker.ReasonDeadline)
	_, _, err := a.Submit(now+100, newItem("x", now+100))
	assert.Equal(t, refusalReason(err), picker.ReasonDeadline)
	a.Release(now+100, held, picker.Abandoned)
}

func TestEarlyRefusalWhenTheDeadlineCannotBeMet(t *testing.T) {
	a := newController(1, 1, 100)
	at := now
	var last *limiter.Item
	c := mustAdmit(t, a, at)
	for range 20 {
		last = newItem("x", 0)
		mustQueue(t, a, at, last)
	}
	for range 4 {
		at += 1000
		a.Release(at, c, picker.Succeeded)
		c = a.ServeQueues(at)[0].Result.Choice
	}
	// Sixteen requests wait and each takes one second.
	_, _, err := a.Submit(at, newItem("x", at+15_000))
	assert.Equal(t, refusalReason(err), picker.ReasonDeadline)
	var refusal picker.ErrRefused
	assert.Assert(t, errors.As(err, &refusal) && refusal.RetryAfterMs > 10_000, "%v", refusal)
	mustQueue(t, a, at, newItem("x", at+30_000))
	// A request of another client account is served earlier.
	mustQueue(t, a, at, newItem("y", at+9000))
}

func TestProlongedOverloadRefusesLongWaits(t *testing.T) {
	a := newController(1, 1, 100)
	at := now
	c := mustAdmit(t, a, at)
	for range 30 {
		mustQueue(t, a, at, newItem("x", 0))
	}
	for range 3 {
		at += 1000
		a.Release(at, c, picker.Succeeded)
		c = a.ServeQueues(at)[0].Result.Choice
	}
	mustQueue(t, a, at, newItem("x", at+60_000))
	for range 4 {
		at += 1000
		a.Release(at, c, picker.Succeeded)
		c = a.ServeQueues(at)[0].Result.Choice
	}
	_, _, err := a.Submit(at, newItem("x", at+60_000))
	assert.Equal(t, refusalReason(err), picker.ReasonOverload)
}

func TestHighServiceTimeRefusesShortDeadlineBehindAQueue(t *testing.T) {
	a := newController(1, 1, 100)
	at := now
	// One answer in three takes ten seconds, the others take one second.
	for i := range 300 {
		c := mustAdmit(t, a, at)
		at += 1000
		if i%3 == 0 {
			at += 9000
		}
		a.Release(at, c, picker.Succeeded)
	}
	// With an empty queue, a request with eight seconds left is sent.
	c, _, err := a.Submit(at, newItem("x", at+8000))
	assert.NilError(t, err)
	assert.Assert(t, c.Server != nil)
	// With a queue it is refused: it would probably miss its deadline and waste the
	// slot.
	for range 3 {
		mustQueue(t, a, at, newItem("x", at+60_000))
	}
	_, _, err = a.Submit(at, newItem("y", at+8000))
	assert.Equal(t, refusalReason(err), picker.ReasonDeadline)
}

func TestQueuedRequestWaitsForItsCachedPrefix(t *testing.T) {
	a := newController(2, 1, 100)
	holder, other := mustAdmit(t, a, now), mustAdmit(t, a, now)
	a.RecordCacheEvent(now, holder.Server.Name, picker.CacheEvent{Kind: picker.CacheStored, Prefix: 7})
	item := newItem("x", now+60_000)
	item.Request.Prefix = 7
	mustQueue(t, a, now, item)
	a.Release(now+10, other, picker.Abandoned)
	assert.Equal(t, len(a.ServeQueues(now+1999)), 0)
	ended := a.ServeQueues(now + 2000)
	assert.Equal(t, len(ended), 1)
	assert.Equal(t, ended[0].Result.Choice.Server.Name, other.Server.Name)

	// A later request is served first if its prefix is cached on the server with
	// the free slot.
	first, second := newItem("x", now+60_000), newItem("x", now+60_000)
	second.Request.Prefix = 7
	mustQueue(t, a, now+3000, first)
	mustQueue(t, a, now+3000, second)
	a.Release(now+3000, holder, picker.Abandoned)
	ended = a.ServeQueues(now + 3000)
	assert.Equal(t, len(ended), 1)
	assert.Assert(t, ended[0].Item == second)
}

func TestQueuedRequestIsNotSentToALeavingServer(t *testing.T) {
	a := newController(2, 1, 10, &messenger.Move{
		State: messenger.MoveState_STARTED, LeavingBackendServers: []string{"s0"}, DrainAtMs: int64(now) + 50,
	})
	one, two := mustAdmit(t, a, now), mustAdmit(t, a, now)
	mustQueue(t, a, now, newItem("x", now+10_000))
	if one.Server.Name != "s0" {
		one, two = two, one
	}
	a.Release(now+50, one, picker.Succeeded)
	assert.Equal(t, len(a.ServeQueues(now+50)), 0)
	a.Release(now+60, two, picker.Succeeded)
	ended := a.ServeQueues(now + 60)
	assert.Equal(t, ended[0].Result.Choice.Server.Name, "s1")
}

func TestRefusalsLowerTheLimit(t *testing.T) {
	a := newController(1, 16, 100)
	at := now
	for range 20 {
		c := mustAdmit(t, a, at)
		a.Release(at, c, picker.Refused)
		at += 3000
	}
	mustAdmit(t, a, at)
	mustQueue(t, a, at, newItem("x", 0))
}

func TestLimitFollowsRefusalsQueuesAndLatency(t *testing.T) {
	c := limiter.NewAdaptiveLimit(16)
	at := now
	c.RecordRefusal(at)
	assert.Equal(t, c.Limit(), int64(11))
	c.RecordRefusal(at + 100) // ignored: within minDecreaseInterval of the previous decrease
	assert.Equal(t, c.Limit(), int64(11))
	at += 1000
	c.RecordLoadReport(at, picker.LoadReport{Running: 16, Queued: 1})
	assert.Equal(t, c.Limit(), int64(11))
	c.RecordLoadReport(at, picker.LoadReport{Running: 16, Queued: 4})
	assert.Equal(t, c.Limit(), int64(10))
	for range 300 {
		c.RecordAnswer(at, 100, c.Limit())
	}
	assert.Equal(t, c.Limit(), int64(16))
	for range 40 {
		at += 500
		c.RecordAnswer(at, 2000, c.Limit())
	}
	assert.Assert(t, c.Limit() <= 4, "%d", c.Limit())
}

// TestRoutersConverge checks that two hosts that share one server converge to
// similar limits although one starts with a much lower limit.
func TestRoutersConverge(t *testing.T) {
	one, two := limiter.NewAdaptiveLimit(32), limiter.NewAdaptiveLimit(32)
	at := now
	for range 10 {
		at += 300
		two.RecordRefusal(at)
	}
	before := one.Limit() - two.Limit()
	for range 400 {
		at += 300
		queued := one.Limit() + two.Limit() - 32
		for _, c := range []*limiter.AdaptiveLimit{one, two} {
			for range c.Limit() {
				c.RecordAnswer(at, 100, c.Limit())
			}
			c.RecordLoadReport(at, picker.LoadReport{Running: 32, Queued: max(0, queued)})
		}
	}
	after := one.Limit() - two.Limit()
	assert.Assert(t, before > 20 && max(after, -after) <= 4, "%d then %d", before, after)
	assert.Assert(t, one.Limit()+two.Limit() >= 28 && one.Limit()+two.Limit() <= 44)
}

func BenchmarkAdmissionController(b *testing.B) {
	for _, n := range []int{12, 120, 600} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			a := newController(n, 16, 256)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				at := now + clocker.Millis(i)
				item := newItem("x", at+10_000)
				item.Request.Prefix = uint64(i%200) + 1
				c, _, _ := a.Submit(at, item)
				a.Release(at+1, c, picker.Succeeded)
				a.ServeQueues(at + 1)
			}
		})
	}
}
