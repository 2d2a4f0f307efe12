package balancer_test

import (
	"context"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/balancer"
	"cowsliphinge/clocker"
	"cowsliphinge/indexer"
	"cowsliphinge/messenger"
	"cowsliphinge/picker"
)

const startTime clocker.Millis = 1_000_000

// fixture is a balancer with a manual clock and declarations that a test may replace.
type fixture struct {
	*balancer.Balancer
	clock *clocker.Clock
	index *indexer.Index
}

func newFixture(t *testing.T, d *messenger.Declarations) *fixture {
	t.Helper()
	f := &fixture{clock: clocker.NewManual(startTime)}
	f.index = indexer.New(&messenger.Configuration{Version: 1, Declarations: d})
	f.Balancer = balancer.New(context.Background(), balancer.Config{
		AvailabilityZone: "akl-a",
		Clock:            f.clock,
		Index:            func() *indexer.Index { return f.index },
		Seed:             1,
	})
	t.Cleanup(func() { assert.NilError(t, f.Close(context.Background())) })
	return f
}

func twoServers() *messenger.Declarations {
	return &messenger.Declarations{
		Services: []*messenger.Service{{Name: "draft", QueueLimit: 2}},
		BackendServers: []*messenger.BackendServer{
			{Name: "near", AvailabilityZone: "akl-a", Service: "draft", Models: []string{"m"}, Slots: 1},
			{Name: "far", AvailabilityZone: "ham-a", Service: "draft", Models: []string{"m"}, Slots: 1},
		},
	}
}

func newRequest() picker.Request {
	return picker.Request{Service: "draft", Model: "m", ClientAccount: "mason", Tokens: 100, Deadline: startTime + 1000}
}

// acquireInQueue calls Acquire in the background and returns once the request is queued.
func (f *fixture) acquireInQueue(r picker.Request) chan error {
	done := make(chan error, 1)
	before := f.QueueLength("draft")
	go func() {
		_, err := f.Acquire(context.Background(), r)
		done <- err
	}()
	for f.QueueLength("draft") == before {
		runtime.Gosched()
	}
	return done
}

// advance waits until the background task sleeps on the clock and then advances it, so
// that the task wakes up.
func (f *fixture) advance(d clocker.Millis) {
	for f.clock.WaiterCount() == 0 {
		runtime.Gosched()
	}
	f.clock.Advance(d)
}

func TestOwnZoneThenOthersThenQueue(t *testing.T) {
	f := newFixture(t, twoServers())
	first, err := f.Acquire(context.Background(), newRequest())
	assert.NilError(t, err)
	assert.Equal(t, first.Server.Name, "near")
	second, err := f.Acquire(context.Background(), newRequest())
	assert.NilError(t, err)
	assert.Equal(t, second.Server.Name, "far")

	waiting := f.acquireInQueue(newRequest())
	f.Release(first, picker.Succeeded)
	assert.NilError(t, <-waiting)
}

func TestQueueBoundAndDeadline(t *testing.T) {
	f := newFixture(t, twoServers())
	for range 2 {
		_, err := f.Acquire(context.Background(), newRequest())
		assert.NilError(t, err)
	}
	one, two := f.acquireInQueue(newRequest()), f.acquireInQueue(newRequest())
	_, err := f.Acquire(context.Background(), newRequest())
	assert.Equal(t, reason(err), picker.ReasonQueueFull)
	f.advance(1000)
	assert.Equal(t, reason(<-one), picker.ReasonDeadline)
	assert.Equal(t, reason(<-two), picker.ReasonDeadline)
}

func TestLeavingServerIsNeverPicked(t *testing.T) {
	d := twoServers()
	d.Moves = []*messenger.Move{{State: messenger.MoveState_STARTED, LeavingBackendServers: []string{"near", "far"}, DrainAtMs: int64(startTime) + 500}}
	f := newFixture(t, d)
	c, err := f.Acquire(context.Background(), newRequest())
	assert.NilError(t, err)
	_, err = f.Acquire(context.Background(), newRequest())
	assert.NilError(t, err)
	waiting := f.acquireInQueue(newRequest())
	f.advance(500)
	f.Release(c, picker.Succeeded)
	assert.Equal(t, reason(<-waiting), picker.ReasonNoServer)
	_, err = f.Acquire(context.Background(), newRequest())
	assert.Equal(t, reason(err), picker.ReasonNoServer)
}

func TestCallerLeavesQueue(t *testing.T) {
	f := newFixture(t, twoServers())
	held, err := f.Acquire(context.Background(), newRequest())
	assert.NilError(t, err)
	_, err = f.Acquire(context.Background(), newRequest())
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = f.Acquire(ctx, newRequest())
	assert.Equal(t, reason(err), picker.ReasonCallerDisconnected)
	f.Release(held, picker.Succeeded)
	again, err := f.Acquire(context.Background(), newRequest())
	assert.NilError(t, err)
	assert.Equal(t, again.Server.Name, "near")
}

func reason(err error) string {
	if refusal, ok := err.(picker.ErrRefused); ok {
		return refusal.Reason
	}
	return ""
}
