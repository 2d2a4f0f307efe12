package watcher

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/storer"
)

const (
	// testRecoveryTime is the time after a disruption from which the removal deadline
	// applies again.
	testRecoveryTime = 3 * clocker.Second
	// testRemovalDeadline is the time after which a removed server gets no new requests.
	testRemovalDeadline = 2 * clocker.Second
	// testServerDialTimeout bounds the dial of a server.
	testServerDialTimeout = 250 * clocker.Millis(1)
	// testStoreDialTimeout bounds the dial of the store.
	testStoreDialTimeout = 400 * clocker.Millis(1)
)

// partitionedStore is a store that the host can reach only from healedAt on.
type partitionedStore struct {
	*fakeStore
	healedAt clocker.Millis
}

func (c *partitionedStore) List(ctx context.Context, kind string, stale bool) ([]storer.Object, int64, error) {
	if c.clock.Now() < c.healedAt {
		c.clock.Advance(testStoreDialTimeout)
		return nil, 0, errors.New("no connection")
	}
	return c.fakeStore.List(ctx, kind, stale)
}

func (c *partitionedStore) Watch(ctx context.Context, kind string, since int64, wait clocker.Millis) ([]storer.Change, int64, error) {
	if c.clock.Now() < c.healedAt {
		return nil, 0, errors.New("connection is lost")
	}
	return c.fakeStore.Watch(ctx, kind, since, wait)
}

// pollUntilReturn makes one call and advances the clock through the delays after it.
func pollUntilReturn(w *Watcher) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.poll(context.Background())
	}()
	for {
		select {
		case <-done:
			return
		default:
		}
		if w.cfg.Clock.WaiterCount() > 0 {
			w.cfg.Clock.Advance(1)
		}
		runtime.Gosched()
	}
}

// Guards against use of a removed server past the recovery time, as seen in a randomized
// run of the scenario in which backend servers leave (DRAIN). A server is removed while one host is partitioned
// from the store. The host found the entry missing a second after the partition healed
// and kept using the server for two more seconds, although the removal deadline applied
// to it again by then.
func TestServerRemovedDuringPartitionIsDroppedWithinRecoveryTime(t *testing.T) {
	for offset := clocker.Millis(0); offset < testStoreDialTimeout+maxBackoff; offset += 25 {
		t.Run(fmt.Sprint("offset ", offset), func(t *testing.T) {
			w, store := newTestWatcher()
			source := &partitionedStore{fakeStore: store}
			w.cfg.Source = source
			pollUntilReturn(w)
			source.healedAt = store.clock.Now() + 8*clocker.Second + offset
			for len(store.gracePeriods) < 2 {
				pollUntilReturn(w)
			}
			droppedAt := store.clock.Now() + store.gracePeriods[1]
			assert.Assert(t, droppedAt <= source.healedAt+testRecoveryTime, "in use until %d ms after the partition", droppedAt-source.healedAt)
		})
	}
}

// Guards the removal deadline when backend servers leave: a server is removed during the
// batch delay of a host, in the seconds after an outage. The batch delay and the full grace
// period together exceed the deadline.
func TestServerRemovedAfterOutageIsDroppedByDeadline(t *testing.T) {
	w, store := newTestWatcher()
	w.cfg.BatchDelay = testRemovalDeadline / 3
	source := &partitionedStore{fakeStore: store}
	w.cfg.Source = source
	pollUntilReturn(w)
	source.healedAt = store.clock.Now() + 2*clocker.Second
	for len(store.gracePeriods) < 2 {
		pollUntilReturn(w)
	}
	store.changes = []storer.Change{{Object: storer.Object{Key: "k/b"}}}
	removedAt := store.clock.Now() // right after the response
	pollUntilReturn(w)
	store.changes = []storer.Change{{Object: storer.Object{Key: "k/a"}, Deleted: true}}
	seenAt := store.clock.Now()
	assert.Equal(t, seenAt-removedAt, w.cfg.BatchDelay)
	pollUntilReturn(w)
	assert.Equal(t, len(store.gracePeriods), 4)
	droppedAt := seenAt + store.gracePeriods[3]
	assert.Assert(t, droppedAt+testServerDialTimeout <= removedAt+testRemovalDeadline, "in use for %d ms, and %d ms for the dial", droppedAt-removedAt, testServerDialTimeout)
}

// Guards the removal deadline when backend servers leave: a watch hangs soon after an
// outage, a server is removed meanwhile, and the next list reports it late. The grace period is
// counted from the last response.
func TestServerRemovedDuringHangingWatchIsDroppedByDeadline(t *testing.T) {
	w, store := newTestWatcher()
	source := &partitionedStore{fakeStore: store}
	w.cfg.Source = source
	pollUntilReturn(w)
	source.healedAt = store.clock.Now() + 2*clocker.Second
	for len(store.gracePeriods) < 2 {
		pollUntilReturn(w)
	}
	removedAt := store.clock.Now()
	store.clock.Advance(1500)
	w.Relist()
	pollUntilReturn(w)
	assert.Equal(t, len(store.gracePeriods), 3)
	droppedAt := store.clock.Now() + store.gracePeriods[2]
	assert.Assert(t, droppedAt+testServerDialTimeout <= removedAt+testRemovalDeadline, "in use for %d ms, and %d ms for the dial", droppedAt-removedAt, testServerDialTimeout)
}

// One watcher of a host probes an unreachable store for all. The others count the grace
// period from its last failed call, since their own is much older.
func TestGracePeriodUsesLastProbeFailure(t *testing.T) {
	w, store := newTestWatcher()
	w.cfg.Health = NewStoreHealth(store.clock)
	pollUntilReturn(w)
	store.err = storer.ErrOutcomeUnknown{}
	pollUntilReturn(w)
	store.clock.Advance(5 * clocker.Second)
	w.cfg.Health.recordFailure(store.clock.Now())
	w.cfg.Health.recordResponse()
	store.clock.Advance(1000)
	store.err = nil
	pollUntilReturn(w)
	assert.DeepEqual(t, store.gracePeriods, []clocker.Millis{0, testRecoveryTime - deliveryAllowance - 1000})
}

// Entries that expired while the store was unreachable come back within two seconds of
// its recovery. A longer recovery time of the host does not extend the grace period.
func TestGracePeriodIsCappedAtReappearWindow(t *testing.T) {
	w, store := newTestWatcher()
	w.cfg.RecoveryTime = clocker.Minute
	pollUntilReturn(w)
	store.err = storer.ErrOutcomeUnknown{}
	for range 4 {
		pollOnce(w)
	}
	store.err = nil
	pollOnce(w)
	assert.DeepEqual(t, store.gracePeriods, []clocker.Millis{0, reappearWindow})
}
