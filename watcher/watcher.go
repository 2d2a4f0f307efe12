// Package watcher follows the objects of one kind in the platform's store: it
// lists them, watches for changes, and lists again where the history is gone.
package watcher

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"cowsliphinge/clocker"
	"cowsliphinge/storer"
)

const (
	// firstPause is the wait after a failed call, in milliseconds; it doubles up to
	// maxPause, so that a fleet does not call a troubled store without end.
	initialBackoff = 50 * clocker.Millis(1)
	maxBackoff     = 700 * clocker.Millis(1)
	// outageWait is how long a watcher leaves a lost store to the one that asks it,
	// in milliseconds.
	maxProbeWait = 3 * clocker.Second
	// outageAfter is how long the store has to be silent for entries to have
	// lapsed meanwhile, in milliseconds.
	outageThreshold = clocker.Second
	// settleFor is how long after an outage entries may still be missing that
	// come back, in milliseconds.
	reappearWindow = 2 * clocker.Second
	// liveGrace is how long an entry that goes within settleFor may take to come
	// back, in milliseconds, where the bounds leave as much: it may as well have left.
	deletionGrace = clocker.Second
	// onTheWay is how long after its choice a request may reach a server, in
	// milliseconds: the bound of a new connection, with room.
	deliveryAllowance = 400 * clocker.Millis(1)
)

// Source is the part of the store that a Watcher needs.
type Source interface {
	// List returns all objects of a kind and the revision to watch from.
	List(ctx context.Context, kind string, stale bool) ([]storer.Object, int64, error)
	// Watch waits for changes after a revision, up to wait, and returns them with
	// the revision to go on from; storer.ErrHistoryGone asks for a new list.
	Watch(ctx context.Context, kind string, since int64, wait clocker.Millis) ([]storer.Change, int64, error)
}

// Sink takes what is learned. Its methods are called one at a time.
type Sink interface {
	// Replace takes over the whole kind. Right after an outage objects may be
	// missing that come back within grace, in milliseconds; else it is 0.
	Replace(objects []storer.Object, grace clocker.Millis)
	// Apply takes over changes, oldest first; grace as above.
	Apply(changes []storer.Change, grace clocker.Millis)
}

// Config configures a Watcher.
type Config struct {
	Kind   string
	Source Source
	Sink   Sink
	Clock  *clocker.Clock
	// Wait bounds one waiting watch, in milliseconds: a watch that hangs is found after
	// it, unless ListAgain comes first.
	WatchTimeout clocker.Millis
	// Waits, unless nil, returns the wait of the next watch in place of Wait.
	WatchTimeoutFunc func() clocker.Millis
	// Gather is how long after a change the next call is made, in milliseconds:
	// changes that come together take one call.
	BatchDelay clocker.Millis
	// ListBursts makes the call behind several changes a list, which holds the
	// present state alone: for few large objects that change often.
	RelistAfterBurst bool
	// Leave is in what time after a change what is gone has to be out of use, and Steady
	// how long after a disruption of its own a host is bound by that, in milliseconds.
	// 0 gives entries that are missing no time to come back.
	RemovalDeadline clocker.Millis
	RecoveryTime    clocker.Millis
	// Health is shared by the watchers of a host; Probes makes this one ask a store
	// that was lost, while the others wait for its answer. nil makes each ask.
	Health      *StoreHealth
	ProbesStore bool
	Log         *slog.Logger
}

// Watcher follows one kind until Close.
type Watcher struct {
	cfg    Config
	cancel context.CancelFunc
	tasks  errgroup.Group

	mu sync.Mutex
	// behind is true from ListAgain until the list, interrupt ends a waiting watch.
	relistRequested bool
	cancelWatch     context.CancelFunc

	revision int64
	// asOf is the revision of the last answer.
	lastRevision atomic.Int64
	backoff      clocker.Millis
	// heardAt is when the store last answered.
	lastResponseAt clocker.Millis
	// failedFrom is when the last call without an answer began.
	failureStartedAt clocker.Millis
	// returnedAt is when it answered again after an outage.
	recoveredAt clocker.Millis
	// catchingUp is true for the first answer after an outage, which tells what
	// happened meanwhile.
	firstAfterOutage bool
	unreachable      bool
}

// New returns a Watcher and starts it.
func New(ctx context.Context, cfg Config) *Watcher {
	ctx, cancel := context.WithCancel(ctx)
	w := &Watcher{cfg: cfg, cancel: cancel, backoff: initialBackoff}
	w.tasks.Go(func() error {
		for ctx.Err() == nil {
			w.poll(ctx)
		}
		return nil
	})
	return w
}

// Close ends the watch.
func (w *Watcher) Close(context.Context) error {
	w.cancel()
	return w.tasks.Wait()
}

// ListAgain ends a waiting watch and lists: other hosts know of changes that did not
// come here.
func (w *Watcher) Relist() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.relistRequested = true
	if w.cancelWatch != nil {
		w.cancelWatch()
	}
}

// step makes one call and takes in its answer.
func (w *Watcher) poll(ctx context.Context) {
	if w.revision != 0 && w.needsRelist() {
		w.cfg.Log.Info("other hosts know more, listing again", "kind", w.cfg.Kind, "revision", w.revision)
		w.revision = 0
	}
	var err error
	startedAt := w.cfg.Clock.Now()
	if w.revision == 0 {
		err = w.list(ctx)
	} else {
		err = w.watch(ctx)
	}
	if err == nil {
		w.backoff = initialBackoff
		return
	}
	w.handleFailure(ctx, startedAt, err)
}

func (w *Watcher) list(ctx context.Context) error {
	objects, revision, err := w.cfg.Source.List(ctx, w.cfg.Kind, false)
	if err != nil {
		return err
	}
	previousResponseAt := w.lastResponseAt
	w.recordResponse(revision)
	defer func() { w.firstAfterOutage = false }()
	w.cfg.Sink.Replace(objects, w.gracePeriod(previousResponseAt))
	w.revision = revision
	w.lastRevision.Store(revision)
	w.mu.Lock()
	w.relistRequested = false
	w.mu.Unlock()
	return nil
}

func (w *Watcher) needsRelist() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.relistRequested
}

// setInterrupt takes what ends the call that begins, nil behind it. It reports
// whether the call is worth to begin.
func (w *Watcher) setCancelWatch(cancel context.CancelFunc) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelWatch = cancel
	return !w.relistRequested
}

func (w *Watcher) watch(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !w.setCancelWatch(cancel) {
		return nil
	}
	changes, revision, err := w.cfg.Source.Watch(ctx, w.cfg.Kind, w.revision, w.watchTimeout())
	if !w.setCancelWatch(nil) {
		return nil // the list tells all
	}
	if err != nil {
		return err
	}
	w.recordResponse(revision)
	defer func() { w.firstAfterOutage = false }()
	w.revision = max(w.revision, revision)
	if len(changes) > 0 {
		w.cfg.Sink.Apply(changes, w.gracePeriod(w.cfg.Clock.Now()-w.cfg.BatchDelay))
	}
	w.lastRevision.Store(w.revision)
	if len(changes) > 0 {
		if w.cfg.RelistAfterBurst && len(changes) > 1 {
			w.revision = 0
		}
		_ = w.cfg.Clock.Sleep(ctx, w.cfg.BatchDelay) // an ended ctx ends the loop
	}
	return nil
}

// wait returns the wait of the next watch.
func (w *Watcher) watchTimeout() clocker.Millis {
	if w.cfg.WatchTimeoutFunc != nil {
		return w.cfg.WatchTimeoutFunc()
	}
	return w.cfg.WatchTimeout
}

// AsOf returns the revision that the store's last answer told; 0 before the first.
func (w *Watcher) LastRevision() int64 {
	return w.lastRevision.Load()
}

// heard notes that the store answered.
func (w *Watcher) recordResponse(revision int64) {
	now := w.cfg.Clock.Now()
	if w.cfg.ProbesStore {
		w.cfg.Health.recordResponse()
	}
	if w.unreachable {
		w.unreachable = false
		if now-w.lastResponseAt >= outageThreshold {
			w.recoveredAt = now
			w.firstAfterOutage = true
		}
		w.cfg.Log.Info("store answers again", "kind", w.cfg.Kind, "silent_ms", now-w.lastResponseAt, "revision", revision)
	}
	w.lastResponseAt = now
}

// grace returns how long an entry that is missing now, and went at goneAt at the
// earliest, may take to come back.
func (w *Watcher) gracePeriod(earliestDeletedAt clocker.Millis) clocker.Millis {
	now := w.cfg.Clock.Now()
	switch {
	case w.recoveredAt == 0 || now-w.recoveredAt >= reappearWindow:
		return 0
	case w.firstAfterOutage:
		// The store may have been there all the time, and this host cut off from it
		// until its last call in vain.
		return max(0, min(reappearWindow, w.lastUnreachableAt()+w.cfg.RecoveryTime-deliveryAllowance-now))
	default:
		return max(0, min(deletionGrace, earliestDeletedAt+w.cfg.RemovalDeadline-deliveryAllowance-now))
	}
}

// cutUntil returns the last time at which the store is known to have been out of reach.
func (w *Watcher) lastUnreachableAt() clocker.Millis {
	if w.cfg.Health == nil {
		return w.failureStartedAt
	}
	return max(w.failureStartedAt, w.cfg.Health.lastFailureStart())
}

func (w *Watcher) handleFailure(ctx context.Context, startedAt clocker.Millis, err error) {
	metrics.GetOrCreateCounter(`cowsliphinge_watch_failures_total{kind="` + w.cfg.Kind + `"}`).Inc()
	if storer.IsErrHistoryGone(err) {
		w.cfg.Log.Info("history of the store is gone, listing again", "kind", w.cfg.Kind, "revision", w.revision)
		w.revision = 0
		return
	}
	if ctx.Err() != nil {
		return
	}
	if !w.unreachable {
		w.unreachable = true
		w.cfg.Log.Warn("store does not answer", "kind", w.cfg.Kind, "revision", w.revision, "cause", err.Error())
	}
	w.failureStartedAt = startedAt
	// A list does not wait, and holds the present state alone: the changes since may
	// be more than a slow link carries in time.
	w.revision = 0
	if w.cfg.ProbesStore {
		w.cfg.Health.recordFailure(startedAt)
	}
	_ = w.cfg.Clock.Sleep(ctx, w.backoff)
	w.backoff = min(2*w.backoff, maxBackoff)
	if w.cfg.Health != nil && !w.cfg.ProbesStore {
		w.cfg.Health.awaitRecovery(ctx, maxProbeWait)
	}
}
