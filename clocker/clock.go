// Package clocker provides the time in milliseconds. All other packages read the time
// from it only.
package clocker

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Millis is a point in time since the Unix epoch, or a duration, in milliseconds.
type Millis int64

// Common durations in milliseconds.
const (
	Second Millis = 1000
	Minute Millis = 60 * Second
	Hour   Millis = 60 * Minute
)

// Duration returns m as a duration of the standard library.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Format returns m as a date and time in UTC, in a layout of package time. There is no
// conversion to time.Time: a value without a monotonic clock reading would be compared
// with the wall clock.
func (m Millis) Format(layout string) string {
	return time.UnixMilli(int64(m)).UTC().Format(layout)
}

// Clock is a source of the present time and of timeouts. The zero value is not usable:
// call NewWall or NewManual. All methods are safe for concurrent use.
type Clock struct {
	started time.Time // zero for a manual clock

	mu      sync.Mutex
	now     Millis
	waiters []waiter
}

type waiter struct {
	due  Millis
	done chan struct{}
}

// NewWall returns a clock that reads the wall clock once, when it is created, and then
// follows the monotonic clock: later steps of the wall clock do not affect it.
func NewWall() *Clock {
	return &Clock{started: time.Now()}
}

// NewManual returns a clock that starts at start and changes only by Advance.
func NewManual(start Millis) *Clock {
	return &Clock{now: start}
}

// Now returns the present time.
func (c *Clock) Now() Millis {
	if !c.started.IsZero() {
		return Millis(c.started.UnixMilli()) + Millis(time.Since(c.started)/time.Millisecond)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// NowMicros returns the present time in microseconds, for measurements only.
func (c *Clock) NowMicros() int64 {
	if c.started.IsZero() {
		return int64(c.Now()) * 1000
	}
	return c.started.UnixMicro() + time.Since(c.started).Microseconds()
}

// Advance moves a manual clock forward by d and wakes the waiters that are due.
func (c *Clock) Advance(d Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now += d
	c.waiters = slices.DeleteFunc(c.waiters, func(w waiter) bool {
		if w.due > c.now {
			return false
		}
		close(w.done)
		return true
	})
}

// WaiterCount returns the number of sleeps and timeouts that are pending on a manual
// clock. A timeout whose context is cancelled counts until it is due.
func (c *Clock) WaiterCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.waiters)
}

// Sleep waits for d, or returns the error of ctx if that ends first.
func (c *Clock) Sleep(ctx context.Context, d Millis) error {
	if !c.started.IsZero() {
		timer := time.NewTimer(d.Duration())
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			return nil
		}
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-c.wait(d):
		return ctx.Err()
	}
}

// WithTimeout returns a context that is cancelled once d has passed on this clock.
func (c *Clock) WithTimeout(ctx context.Context, d Millis) (context.Context, context.CancelFunc) {
	if !c.started.IsZero() {
		return context.WithTimeout(ctx, d.Duration())
	}
	ctx, cancel := context.WithCancel(ctx)
	due := c.wait(d)
	go func() {
		select {
		case <-ctx.Done():
		case <-due:
			cancel()
		}
	}()
	return ctx, cancel
}

func (c *Clock) wait(d Millis) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	done := make(chan struct{})
	if d <= 0 {
		close(done)
		return done
	}
	c.waiters = append(c.waiters, waiter{due: c.now + d, done: done})
	return done
}

// FromNow returns the machine's time after d, for deadlines of connections. The result
// has a monotonic clock reading, so steps of the wall clock do not move the deadline.
func FromNow(d Millis) time.Time {
	return time.Now().Add(d.Duration())
}

// SleepUncancellable waits for d and cannot be cancelled.
func (c *Clock) SleepUncancellable(d Millis) {
	_ = c.Sleep(context.Background(), d) // the background context is never cancelled
}
