package watcher

import (
	"context"
	"io"
	"log/slog"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/storer"
)

// world is a source that follows a script and a sink that records.
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

// step makes one call; the pause behind a failed one is over at once.
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
	for w.cfg.Clock.Waiting() == 0 {
		runtime.Gosched() // until it waits
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

// Pattern: the store turns one host away for seconds while many changes are made. A
// host that waits at a dead connection again and again, or that asks for all the
// changes over a slow link, learns late what is in force.
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

// Pattern: many servers start within seconds, each a change of its own. Hosts that
// ask again after each change make as many calls as there are changes.
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
		for store.clock.Waiting() == 0 {
			runtime.Gosched() // until it gathers
		}
		store.clock.Advance(100)
	}
	for store.clock.Waiting() == 0 {
		runtime.Gosched()
	}
	cancel()
	<-done
	assert.Equal(t, len(store.watchTimeouts), 3, "calls in one second")
	assert.Equal(t, len(store.applied), 3)
}

// Pattern: a large configuration changes several times a second. Each change is the
// whole of it again, more than a slow link carries; a list is the newest alone.
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

// hanging is a source whose watches wait until they are ended.
type hangingStore struct {
	fakeStore
	watchStarted chan struct{}
}

func (h *hangingStore) Watch(ctx context.Context, _ string, _ int64, _ clocker.Millis) ([]storer.Change, int64, error) {
	h.watchStarted <- struct{}{}
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// Pattern: the store drops its history and leaves a watch hanging, while other hosts
// hear of changes. The host that hangs lists again; it takes the store for no worse.
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

// Entries may lapse while the store is away, and only the first answer after it
// tells of them; a server that leaves later is out of use within two seconds. The last
// call in vain began maxPause before the answer.
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
