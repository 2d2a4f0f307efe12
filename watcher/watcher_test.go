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
type world struct {
	clock   *clocker.Clock
	fail    error
	lists   int
	waits   []clocker.Millis
	changes []storer.Change
	graces  []clocker.Millis
	applied []storer.Change
}

func (w *world) List(context.Context, string, bool) ([]storer.Object, int64, error) {
	w.lists++
	return []storer.Object{{Key: "k/a"}}, 10, w.fail
}

func (w *world) Watch(_ context.Context, _ string, _ int64, wait clocker.Millis) ([]storer.Change, int64, error) {
	w.waits = append(w.waits, wait)
	return w.changes, 11, w.fail
}

func (w *world) Replace(_ []storer.Object, grace clocker.Millis) {
	w.graces = append(w.graces, grace)
}

func (w *world) Apply(changes []storer.Change, grace clocker.Millis) {
	w.graces = append(w.graces, grace)
	w.applied = append(w.applied, changes...)
}

func newWatcher() (*Watcher, *world) {
	w := &world{clock: clocker.NewManual(1000)}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	return &Watcher{cfg: Config{Kind: "k", Source: w, Sink: w, Clock: w.clock, Log: log, WatchTimeout: 3000, RemovalDeadline: testLeave, RecoveryTime: testSteady}, pause: firstPause}, w
}

// step makes one call; the pause behind a failed one is over at once.
func step(w *Watcher) {
	ctx, cancel := context.WithCancel(context.Background())
	if w.cfg.Source.(*world).fail == nil {
		defer cancel()
		w.step(ctx)
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.step(ctx)
	}()
	for w.cfg.Clock.Waiting() == 0 {
		runtime.Gosched() // until it waits
	}
	w.cfg.Clock.Advance(maxPause)
	<-done
	cancel()
}

func TestListsThenWatches(t *testing.T) {
	w, world := newWatcher()
	step(w)
	world.changes = []storer.Change{{Object: storer.Object{Key: "k/b"}}}
	step(w)
	assert.Equal(t, world.lists, 1)
	assert.Equal(t, len(world.applied), 1)
	assert.Equal(t, w.revision, int64(11))
	assert.DeepEqual(t, world.graces, []clocker.Millis{0, 0})
}

func TestLostHistoryIsListedAgain(t *testing.T) {
	w, world := newWatcher()
	step(w)
	world.fail = storer.ErrHistoryGone{}
	w.step(context.Background())
	world.fail = nil
	step(w)
	assert.Equal(t, world.lists, 2)
}

// Pattern: the store turns one host away for seconds while many changes are made. A
// host that waits at a dead connection again and again, or that asks for all the
// changes over a slow link, learns late what is in force.
func TestLostStoreIsListedWithoutWaiting(t *testing.T) {
	w, world := newWatcher()
	step(w)
	world.fail = storer.ErrOutcomeUnknown{}
	step(w)
	step(w)
	world.fail = nil
	step(w)
	step(w)
	assert.Equal(t, world.lists, 3)
	assert.DeepEqual(t, world.waits, []clocker.Millis{3000, 3000})
}

// Pattern: many servers start within seconds, each a change of its own. Hosts that
// ask again after each change make as many calls as there are changes.
func TestChangesThatComeTogetherTakeOneCall(t *testing.T) {
	w, world := newWatcher()
	w.cfg.BatchDelay = 400
	step(w)
	world.changes = []storer.Change{{Object: storer.Object{Key: "k/b"}}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			w.step(ctx)
		}
	}()
	for range 10 {
		for world.clock.Waiting() == 0 {
			runtime.Gosched() // until it gathers
		}
		world.clock.Advance(100)
	}
	for world.clock.Waiting() == 0 {
		runtime.Gosched()
	}
	cancel()
	<-done
	assert.Equal(t, len(world.waits), 3, "calls in one second")
	assert.Equal(t, len(world.applied), 3)
}

// Pattern: a large configuration changes several times a second. Each change is the
// whole of it again, more than a slow link carries; a list is the newest alone.
func TestBurstOfLargeChangesIsListed(t *testing.T) {
	w, world := newWatcher()
	w.cfg.RelistAfterBurst = true
	step(w)
	world.changes = make([]storer.Change, 1)
	step(w)
	step(w)
	assert.Equal(t, world.lists, 1)
	world.changes = make([]storer.Change, 2)
	step(w)
	step(w)
	assert.Equal(t, world.lists, 2)
	assert.Equal(t, len(world.waits), 3)
}

// hanging is a source whose watches wait until they are ended.
type hanging struct {
	world
	waiting chan struct{}
}

func (h *hanging) Watch(ctx context.Context, _ string, _ int64, _ clocker.Millis) ([]storer.Change, int64, error) {
	h.waiting <- struct{}{}
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// Pattern: the store drops its history and leaves a watch hanging, while other hosts
// hear of changes. The host that hangs lists again; it takes the store for no worse.
func TestHangingWatchEndsWhenOthersKnowMore(t *testing.T) {
	w, world := newWatcher()
	h := &hanging{waiting: make(chan struct{})}
	w.cfg.Source, w.cfg.Sink = h, world
	w.step(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.step(context.Background())
	}()
	<-h.waiting
	w.Relist()
	<-done
	w.step(context.Background())
	assert.Equal(t, h.lists, 2)
	assert.Assert(t, !w.lost)
	assert.Assert(t, !w.isBehind())
}

// Entries may lapse while the store is away, and only the first answer after it
// tells of them; a server that leaves later is out of use within two seconds. The last
// call in vain began maxPause before the answer.
func TestGraceAfterAnOutage(t *testing.T) {
	w, world := newWatcher()
	step(w)
	world.fail = storer.ErrOutcomeUnknown{}
	for range 4 {
		step(w)
	}
	world.fail = nil
	world.changes = []storer.Change{{Deleted: true}}
	step(w)
	step(w)
	world.clock.Advance(settleFor)
	step(w)
	assert.DeepEqual(t, world.graces, []clocker.Millis{0, testSteady - onTheWay - maxPause, liveGrace, 0})
}
