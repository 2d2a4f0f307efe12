package watcher

import (
	"context"
	"io"
	"log/slog"
	"runtime"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/storer"
)

// fakeStore is a Source with scripted responses and a Sink that records its calls.
type fakeStore struct {
	clock         *clocker.Clock
	err           error
	listCalls     int
	watchTimeouts []clocker.Millis
	changes       []storer.Change
	gracePeriods  []clocker.Millis
	applied       []storer.Change
}

func (w *fakeStore) List(context.Context, string, bool) ([]storer.Object, int64, error) {
	w.listCalls++
	return []storer.Object{{Key: "k/a"}}, 10, w.err
}

func (w *fakeStore) Watch(_ context.Context, _ string, _ int64, wait clocker.Millis) ([]storer.Change, int64, error) {
	w.watchTimeouts = append(w.watchTimeouts, wait)
	return w.changes, 11, w.err
}

func (w *fakeStore) Replace(_ []storer.Object, grace clocker.Millis) {
	w.gracePeriods = append(w.gracePeriods, grace)
}

func (w *fakeStore) Apply(changes []storer.Change, grace clocker.Millis) {
	w.gracePeriods = append(w.gracePeriods, grace)
	w.applied = append(w.applied, changes...)
}

func newTestWatcher() (*Watcher, *fakeStore) {
	w := &fakeStore{clock: clocker.NewManual(1000)}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	return &Watcher{cfg: Config{Kind: "k", Source: w, Sink: w, Clock: w.clock, Log: log, WatchTimeout: 3000, RemovalDeadline: testRemovalDeadline, RecoveryTime: testRecoveryTime}, backoff: initialBackoff}, w
}

// pollOnce makes one call and advances the clock past the backoff of a failed one.
func pollOnce(w *Watcher) {
	ctx, cancel := context.WithCancel(context.Background())
	if w.cfg.Source.(*fakeStore).err == nil {
		defer cancel()
		w.poll(ctx)
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.poll(ctx)
	}()
	for w.cfg.Clock.WaiterCount() == 0 {
		runtime.Gosched() // until the backoff starts
	}
	w.cfg.Clock.Advance(maxBackoff)
	<-done
	cancel()
}

func TestListsThenWatches(t *testing.T) {
	w, store := newTestWatcher()
	pollOnce(w)
	store.changes = []storer.Change{{Object: storer.Object{Key: "k/b"}}}
	pollOnce(w)
	assert.Equal(t, store.listCalls, 1)
	assert.Equal(t, len(store.applied), 1)
	assert.Equal(t, w.revision, int64(11))
	assert.DeepEqual(t, store.gracePeriods, []clocker.Millis{0, 0})
}

func TestRelistsWhenHistoryIsGone(t *testing.T) {
	w, store := newTestWatcher()
	pollOnce(w)
	store.err = storer.ErrHistoryGone{}
	w.poll(context.Background())
	store.err = nil
	pollOnce(w)
	assert.Equal(t, store.listCalls, 2)
}

// Guards against late configurations: the store is unreachable from one host for seconds
// while many changes are made. If the host watches a dead connection again and again, or
// fetches all the changes over a slow link, it learns the current state late.
func TestListsAfterFailedWatch(t *testing.T) {
	w, store := newTestWatcher()
	pollOnce(w)
	store.err = storer.ErrOutcomeUnknown{}
	pollOnce(w)
	pollOnce(w)
	store.err = nil
	pollOnce(w)
	pollOnce(w)
	assert.Equal(t, store.listCalls, 3)
	assert.DeepEqual(t, store.watchTimeouts, []clocker.Millis{3000, 3000})
}

// Guards against one call per change: many servers start within seconds, each of them a
// change. Hosts that watch again right after each change make as many calls as there
// are changes.
func TestBatchesChangesIntoOneCall(t *testing.T) {
	w, store := newTestWatcher()
	w.cfg.BatchDelay = 400
	pollOnce(w)
	store.changes = []storer.Change{{Object: storer.Object{Key: "k/b"}}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			w.poll(ctx)
		}
	}()
	for range 10 {
		for store.clock.WaiterCount() == 0 {
			runtime.Gosched() // until the batch delay starts
		}
		store.clock.Advance(100)
	}
	for store.clock.WaiterCount() == 0 {
		runtime.Gosched()
	}
	cancel()
	<-done
	assert.Equal(t, len(store.watchTimeouts), 3, "calls in one second")
	assert.Equal(t, len(store.applied), 3)
}

// Guards against an overloaded link: a large configuration changes several times a
// second. Each change holds the complete configuration, together more than a slow link
// carries; a list holds the newest version only.
func TestRelistsAfterBurstOfLargeChanges(t *testing.T) {
	w, store := newTestWatcher()
	w.cfg.RelistAfterBurst = true
	pollOnce(w)
	store.changes = make([]storer.Change, 1)
	pollOnce(w)
	pollOnce(w)
	assert.Equal(t, store.listCalls, 1)
	store.changes = make([]storer.Change, 2)
	pollOnce(w)
	pollOnce(w)
	assert.Equal(t, store.listCalls, 2)
	assert.Equal(t, len(store.watchTimeouts), 3)
}

// hangingStore is a Source whose watch calls wait until they are canceled.
type hangingStore struct {
	fakeStore
	watchStarted chan struct{}
}

func (h *hangingStore) Watch(ctx context.Context, _ string, _ int64, _ clocker.Millis) ([]storer.Change, int64, error) {
	h.watchStarted <- struct{}{}
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// The store compacts its change history and leaves a watch hanging, while other hosts
// receive changes. The hanging host lists again and still considers the store reachable.
func TestRelistInterruptsHangingWatch(t *testing.T) {
	w, store := newTestWatcher()
	h := &hangingStore{watchStarted: make(chan struct{})}
	w.cfg.Source, w.cfg.Sink = h, store
	w.poll(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.poll(context.Background())
	}()
	<-h.watchStarted
	w.Relist()
	<-done
	w.poll(context.Background())
	assert.Equal(t, h.listCalls, 2)
	assert.Assert(t, !w.unreachable)
	assert.Assert(t, !w.needsRelist())
}

// Entries may expire while the store is unreachable, and only the first response after
// the outage reports them. A server removed later is out of use within two seconds. The
// last failed call started maxBackoff before the response.
func TestGracePeriodAfterOutage(t *testing.T) {
	w, store := newTestWatcher()
	pollOnce(w)
	store.err = storer.ErrOutcomeUnknown{}
	for range 4 {
		pollOnce(w)
	}
	store.err = nil
	store.changes = []storer.Change{{Deleted: true}}
	pollOnce(w)
	pollOnce(w)
	store.clock.Advance(reappearWindow)
	pollOnce(w)
	assert.DeepEqual(t, store.gracePeriods, []clocker.Millis{0, testRecoveryTime - deliveryAllowance - maxBackoff, deletionGrace, 0})
}

// Guards against needless lists: other hosts are ahead during the batch delay, and the next
// watch call brings their changes. After the delay Relist lists.
func TestRelistHasNoEffectDuringBatchDelay(t *testing.T) {
	w, store := newTestWatcher()
	w.cfg.BatchDelay = 400
	pollOnce(w)
	store.changes = []storer.Change{{Object: storer.Object{Key: "k/b"}}}
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.poll(t.Context())
	}()
	for store.clock.WaiterCount() == 0 {
		runtime.Gosched() // until the batch delay starts
	}
	w.Relist()
	store.clock.Advance(400)
	<-done
	store.changes = nil
	pollOnce(w)
	assert.Equal(t, store.listCalls, 1)
	w.Relist()
	pollOnce(w)
	assert.Equal(t, store.listCalls, 2)
}

// Guards against a watch that keeps a long timeout after the reason for it has gone: it is ended
// once it has lasted longer than a new one would, and goes on from its revision without a list.
func TestOverdueWatchIsRenewed(t *testing.T) {
	clock := clocker.NewManual(1000)
	source := &hangingStore{fakeStore: fakeStore{clock: clock}, watchStarted: make(chan struct{})}
	var timeout atomic.Int64
	timeout.Store(12_000)
	w := New(context.Background(), Config{
		Kind: "k", Source: source, Sink: source, Clock: clock, Log: slog.New(slog.DiscardHandler),
		WatchTimeoutFunc: func() clocker.Millis { return clocker.Millis(timeout.Load()) },
	})
	<-source.watchStarted
	clock.Advance(3000)
	w.EndOverdueWatch() // its timeout has not changed
	timeout.Store(4000)
	w.EndOverdueWatch() // it has not lasted longer than a new one would
	select {
	case <-source.watchStarted:
		t.Fatal("the watch ended early")
	default:
	}
	clock.Advance(1000)
	w.EndOverdueWatch()
	<-source.watchStarted
	assert.Equal(t, source.listCalls, 1)
	assert.NilError(t, w.Close(context.Background()))
}

// Guards against a fleet whose calls of a store that refuses them add up: with a RetryInterval the second
// failure in a row is followed by a longer delay, which RetryNow ends.
func TestRetriesRarelyUntilOthersReachTheStore(t *testing.T) {
	w, store := newTestWatcher()
	w.cfg.RetryInterval = func() clocker.Millis { return 1500 }
	pollOnce(w)
	store.err = storer.ErrOutcomeUnknown{}
	startedAt := store.clock.Now()
	poll := func() <-chan struct{} {
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.poll(t.Context())
		}()
		for store.clock.WaiterCount() == 0 {
			runtime.Gosched() // until the delay starts
		}
		return done
	}
	done := poll()
	store.clock.Advance(initialBackoff)
	<-done
	done = poll()
	store.clock.Advance(1499)
	assert.Equal(t, store.clock.WaiterCount(), 1, "the delay is over")
	store.clock.Advance(1)
	<-done
	assert.Equal(t, store.clock.Now()-startedAt, initialBackoff+1500)
	done = poll()
	w.RetryNow()
	<-done
	assert.Equal(t, store.clock.Now()-startedAt, initialBackoff+1500)
	w.RetryNow() // no delay is in progress
	store.err = nil
	pollOnce(w)
	pollOnce(w)
	assert.Equal(t, store.listCalls, 4)
}

// slowFailure is a Source whose calls fail after a time.
type slowFailure struct {
	*fakeStore
	after clocker.Millis
}

func (s slowFailure) List(context.Context, string, bool) ([]storer.Object, int64, error) {
	s.clock.Advance(s.after)
	return nil, 0, storer.ErrOutcomeUnknown{}
}

// Guards against a late configuration after an outage in which the store did not answer: the time-out of the
// call counts towards the RetryInterval.
func TestRareRetriesCountFromTheStartOfTheCall(t *testing.T) {
	w, store := newTestWatcher()
	w.cfg.RetryInterval = func() clocker.Millis { return 1500 }
	w.cfg.Source = slowFailure{fakeStore: store, after: 2000}
	for _, delay := range []clocker.Millis{initialBackoff, 2 * initialBackoff} {
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.poll(t.Context())
		}()
		for store.clock.WaiterCount() == 0 {
			runtime.Gosched() // until the delay starts
		}
		store.clock.Advance(delay)
		<-done
	}
	assert.Equal(t, store.clock.Now(), 1000+2*2000+3*initialBackoff)
}
