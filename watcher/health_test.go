package watcher

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

// Pattern: the store is away for seconds before a large fleet, and each call is
// paid: one watcher of a host asks it, the others wait until it answers.
func TestOneWatcherProbesUnreachableStore(t *testing.T) {
	probing, store := newTestWatcher()
	probing.cfg.Health = NewStoreHealth(store.clock)
	probing.cfg.ProbesStore = true
	pollOnce(probing)
	assert.Assert(t, probing.cfg.Health.Reachable())
	store.err = context.DeadlineExceeded
	pollOnce(probing)
	assert.Assert(t, !probing.cfg.Health.Reachable())

	done := make(chan struct{})
	go func() {
		defer close(done)
		probing.cfg.Health.awaitRecovery(context.Background(), clocker.Minute)
	}()
	store.err = nil
	pollOnce(probing)
	<-done
	assert.Assert(t, probing.cfg.Health.Reachable())
}
