package watcher

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

// Pattern: the store is away for seconds before a large fleet, and each call is
// paid: one watcher of a host asks it, the others wait until it answers.
func TestOneWatcherAsksALostStore(t *testing.T) {
	probing, world := newWatcher()
	probing.cfg.Health = NewStoreHealth(world.clock)
	probing.cfg.ProbesStore = true
	step(probing)
	assert.Assert(t, probing.cfg.Health.Reachable())
	world.fail = context.DeadlineExceeded
	step(probing)
	assert.Assert(t, !probing.cfg.Health.Reachable())

	done := make(chan struct{})
	go func() {
		defer close(done)
		probing.cfg.Health.await(context.Background(), clocker.Minute)
	}()
	world.fail = nil
	step(probing)
	<-done
	assert.Assert(t, probing.cfg.Health.Reachable())
}
