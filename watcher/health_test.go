package watcher

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

// The store is unreachable for seconds for a large fleet, and the platform bills each
// call. One watcher of a host probes it, the others wait until it responds.
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
