// Package watcher follows the objects of one kind in the platform's store. It
// lists them, watches for changes, and lists again when the store no longer has
// the history since the last revision.
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
	"cowsliphinge/versioner"
)

const (
	// initialBackoff is the delay after a failed call, in milliseconds. It doubles up
	// to maxBackoff, so that a fleet does not flood a failing store with calls.
	initialBackoff = 50 * clocker.Millis(1)
	maxBackoff     = 700 * clocker.Millis(1)
	// maxProbeWait is how long a watcher waits for the probing watcher to reach the
	// store again before it calls the store itself, in milliseconds.
	maxProbeWait = 3 * clocker.Second
	// outageThreshold is how long the store has to be unreachable before entries may
	// have expired in the meantime, in milliseconds.
	outageThreshold = clocker.Second
	// reappearWindow is how long after an outage live entries may still be missing,
	// in milliseconds.
	reappearWindow = 2 * clocker.Second
	// deletionGrace is the grace period of an entry that is deleted within
	// reappearWindow, in milliseconds. It is cut to what RemovalDeadline allows, since
	// the entry may have been removed for good.
	deletionGrace = clocker.Second
	// deliveryAllowance is how long after a server is chosen a request may still reach
	// it, in milliseconds: the dial timeout of a new connection plus a margin.
	deliveryAllowance = 400 * clocker.Millis(1)
)

// Source is the part of the store that a Watcher needs. The store compacts its change
// history: changes after an older revision can then no longer be watched. A watch from
// such a revision fails with storer.ErrHistoryGone, or hangs until its timeout.
type Source interface {
	// List returns all objects of a kind and the revision to watch from. With stale, it
	// may return an older state and is cheaper.
	List(ctx context.Context, kind string, stale bool) ([]storer.Object, int64, error)
	// Watch waits up to wait for changes after a revision and returns them with the
	// revision to continue from. After storer.ErrHistoryGone a new list is needed.
	Watch(ctx context.Context, kind string, since int64, wait clocker.Millis) ([]storer.Change, int64, error)
}

// Sink receives the objects and changes. Its methods are called one at a time.
type Sink interface {
	// Replace replaces all objects of the kind. Right after an outage, objects that
	// are missing may come back within grace, in milliseconds; otherwise grace is 0.
	Replace(objects []storer.Object, grace clocker.Millis)
	// Apply applies changes, oldest first; grace as for Replace.
	Apply(changes []storer.Change, grace clocker.Millis)
}

// Config configures a Watcher.
type Config struct {
	Kind   string
	Source Source
	Sink   Sink
	Clock  *clocker.Clock
	// WatchTimeout is the timeout of one watch call, in milliseconds. A watch that hangs
	// is detected after it, unless Relist is called first.
	WatchTimeout clocker.Millis
	// WatchTimeoutFunc, unless nil, returns the timeout of the next watch call in place
	// of WatchTimeout.
	WatchTimeoutFunc func() clocker.Millis
	// RetryInterval, unless nil, returns the time between the starts of failed calls from the second
	// failure in a row on, in milliseconds, unless RetryNow is called. 0 means the usual backoff.
	RetryInterval func() clocker.Millis
	// BatchDelay is the delay of the next call after a change, in milliseconds: one call
	// returns all changes made during the delay.
	BatchDelay clocker.Millis
	// RelistAfterBurst makes the next call a list after a watch that returned several
	// changes. A list holds the current state only, which is less data for a few large
	// objects that change often.
	RelistAfterBurst bool
	// RemovalDeadline is the time from the deletion of an entry by which it must be out
	// of use, and RecoveryTime the time after a disruption of this host from which the
	// deadline applies again, in milliseconds. With 0 missing entries get no grace
	// period.
	RemovalDeadline clocker.Millis
	RecoveryTime    clocker.Millis
	// Health is shared by the watchers of a host. The watcher with ProbesStore calls an
	// unreachable store while the others wait for it to be reachable. With a nil Health
	// each watcher calls the store.
	Health      *StoreHealth
	ProbesStore bool
	Log         *slog.Logger
}

var (
	overdueWatches = metrics.NewCounter("cowsliphinge_overdue_watches_total")
	earlyRetries   = metrics.NewCounter("cowsliphinge_early_retries_total")
)

// Watcher follows the objects of one kind until Close.
type Watcher struct {
	cfg    Config
	cancel context.CancelFunc
	tasks  errgroup.Group

	mu sync.Mutex
	// relistRequested is true from Relist until the next list; cancelWatch ends the
	// watch call in progress.
	relistRequested bool
	cancelWatch     context.CancelFunc
	// watchStartedAt and currentTimeout are the start and the timeout of the watch call in
	// progress, and renewed is true once EndOverdueWatch has ended it.
	watchStartedAt clocker.Millis
	currentTimeout clocker.Millis
	renewed        bool
	// batching is true during the batch delay after a change.
	batching bool
	// endRetryDelay ends the delay after a failed call in progress; nil if there is none.
	endRetryDelay context.CancelFunc

	revision int64
	// lastRevision is the revision of the store's last response, and confirmedAt the time
	// until which the responses tell of all changes, in milliseconds.
	lastRevision atomic.Int64
	confirmedAt  atomic.Int64
	backoff      clocker.Millis
	// lastResponseAt is the time of the store's last response.
	lastResponseAt clocker.Millis
	// lastFailedCallAt is the start time of the last call without a response.
	lastFailedCallAt clocker.Millis
	// recoveredAt is when the store responded again after an outage.
	recoveredAt clocker.Millis
	// firstAfterOutage is true while the first response after an outage is processed:
	// it reports what changed during the outage.
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

// Close stops the Watcher.
func (w *Watcher) Close(context.Context) error {
	w.cancel()
	return w.tasks.Wait()
}

// Relist ends the watch call in progress and lists. It is called when other hosts have
// seen changes that this one has not. It has no effect during a batch delay: the next watch
// call returns these changes at once.
func (w *Watcher) Relist() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.batching {
		return
	}
	w.relistRequested = true
	if w.cancelWatch != nil {
		w.cancelWatch()
	}
}

// EndOverdueWatch ends the watch call in progress if it has lasted longer than the timeout that a
// new one would get, and is shorter than its own. The next watch goes on from the same revision.
// It is called when the reason for a long timeout may have gone.
func (w *Watcher) EndOverdueWatch() {
	timeout := w.watchTimeout()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancelWatch == nil || timeout >= w.currentTimeout || w.cfg.Clock.Now()-w.watchStartedAt < timeout {
		return
	}
	overdueWatches.Inc()
	w.renewed = true
	w.cancelWatch()
}

// RetryNow ends the delay after a failed call in progress. It is called when other hosts reach the
// store again.
func (w *Watcher) RetryNow() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.endRetryDelay != nil {
		earlyRetries.Inc()
		w.endRetryDelay()
	}
}

// ConfirmedAt returns the time until which the store has told of all changes, in milliseconds; 0
// before its first response.
func (w *Watcher) ConfirmedAt() clocker.Millis {
	return clocker.Millis(w.confirmedAt.Load())
}

// poll makes one call and processes its response.
func (w *Watcher) poll(ctx context.Context) {
	if w.revision != 0 && w.needsRelist() {
		w.cfg.Log.Info("other hosts know more, listing again", "kind", w.cfg.Kind, versioner.Attr(w.revision))
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
	startedAt := w.cfg.Clock.Now()
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
	w.confirmedAt.Store(int64(startedAt))
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

// beginWatch records that a watch call with the timeout is about to start; cancel ends it. It
// returns false if Relist was called, in which case the next call is a list.
func (w *Watcher) beginWatch(cancel context.CancelFunc, timeout clocker.Millis) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelWatch = cancel
	w.watchStartedAt, w.currentTimeout, w.renewed = w.cfg.Clock.Now(), timeout, false
	return !w.relistRequested
}

// endWatch records that the watch call has ended. It reports whether Relist or EndOverdueWatch
// ended it.
func (w *Watcher) endWatch() (relist, renewed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelWatch = nil
	return w.relistRequested, w.renewed
}

func (w *Watcher) watch(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := w.watchTimeout()
	if !w.beginWatch(cancel, timeout) {
		return nil
	}
	changes, revision, err := w.cfg.Source.Watch(ctx, w.cfg.Kind, w.revision, timeout)
	relist, renewed := w.endWatch()
	if relist || renewed && err != nil {
		return nil // the next call tells of the changes
	}
	if err != nil {
		return err
	}
	w.recordResponse(revision)
	w.confirmedAt.Store(int64(w.cfg.Clock.Now()))
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
		w.setBatching(true)
		_ = w.cfg.Clock.Sleep(ctx, w.cfg.BatchDelay) // the loop ends with ctx
		w.setBatching(false)
	}
	return nil
}

func (w *Watcher) setBatching(batching bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.batching = batching
}

// watchTimeout returns the timeout of the next watch call.
func (w *Watcher) watchTimeout() clocker.Millis {
	if w.cfg.WatchTimeoutFunc != nil {
		return w.cfg.WatchTimeoutFunc()
	}
	return w.cfg.WatchTimeout
}

// LastRevision returns the revision of the store's last response, 0 before the first.
func (w *Watcher) LastRevision() int64 {
	return w.lastRevision.Load()
}

// recordResponse records that the store responded.
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
		w.cfg.Log.Info("store answers again", "kind", w.cfg.Kind, "silent_ms", now-w.lastResponseAt, versioner.Attr(revision))
	}
	w.lastResponseAt = now
}

// gracePeriod returns how long an entry that is missing now, and was deleted at
// earliestDeletedAt at the earliest, may take to come back.
func (w *Watcher) gracePeriod(earliestDeletedAt clocker.Millis) clocker.Millis {
	now := w.cfg.Clock.Now()
	switch {
	case w.recoveredAt == 0 || now-w.recoveredAt >= reappearWindow:
		return 0
	case w.firstAfterOutage:
		// Perhaps only this host was partitioned from the store. RemovalDeadline then
		// applies again RecoveryTime after the partition ended. The start of the last
		// failed call is the last time known to be within the partition.
		return max(0, min(reappearWindow, w.lastUnreachableAt()+w.cfg.RecoveryTime-deliveryAllowance-now))
	default:
		return max(0, min(deletionGrace, earliestDeletedAt+w.cfg.RemovalDeadline-deliveryAllowance-now))
	}
}

// lastUnreachableAt returns the last time at which the store is known to have been
// unreachable: the start of the last failed call of this watcher or the probing one.
func (w *Watcher) lastUnreachableAt() clocker.Millis {
	if w.cfg.Health == nil {
		return w.lastFailedCallAt
	}
	return max(w.lastFailedCallAt, w.cfg.Health.lastFailedCall())
}

func (w *Watcher) handleFailure(ctx context.Context, startedAt clocker.Millis, err error) {
	metrics.GetOrCreateCounter(`cowsliphinge_watch_failures_total{kind="` + w.cfg.Kind + `"}`).Inc()
	if storer.IsErrHistoryGone(err) {
		w.cfg.Log.Info("history of the store is gone, listing again", "kind", w.cfg.Kind, versioner.Attr(w.revision))
		w.revision = 0
		return
	}
	if ctx.Err() != nil {
		return
	}
	if !w.unreachable {
		w.unreachable = true
		w.cfg.Log.Warn("store does not answer", "kind", w.cfg.Kind, versioner.Attr(w.revision), "cause", err.Error())
	}
	w.lastFailedCallAt = startedAt
	// A list returns at once and holds the current state only. The changes since the
	// last revision may be more than a slow link can carry in time.
	w.revision = 0
	if w.cfg.ProbesStore {
		w.cfg.Health.recordFailure(startedAt)
	}
	w.awaitRetry(ctx, startedAt)
	w.backoff = min(2*w.backoff, maxBackoff)
	if w.cfg.Health != nil && !w.cfg.ProbesStore {
		w.cfg.Health.awaitRecovery(ctx, maxProbeWait)
	}
}

// awaitRetry waits before the call after a failed one that started at startedAt. With RetryInterval it
// counts from that start: a call that took long to fail is retried no later than by the backoff.
func (w *Watcher) awaitRetry(ctx context.Context, startedAt clocker.Millis) {
	delay := w.backoff
	if w.cfg.RetryInterval != nil && w.backoff > initialBackoff {
		delay = max(delay, startedAt+w.cfg.RetryInterval()-w.cfg.Clock.Now())
	}
	ctx, cancel := w.cfg.Clock.WithTimeout(ctx, delay)
	defer cancel()
	w.setEndRetryDelay(cancel)
	<-ctx.Done()
	w.setEndRetryDelay(nil)
}

func (w *Watcher) setEndRetryDelay(end context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endRetryDelay = end
}
