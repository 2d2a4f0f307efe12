package retrier

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

func newRetryWindow(clock *clocker.Clock, hosts int) *RetryWindow {
	return NewRetryWindow(RetryWindowConfig{
		Clock: clock,
		Span:  10 * clocker.Second,
		Ratio: func() float64 { return 0.2 },
		Extra: func() float64 { return 20 },
		Hosts: func() int { return hosts },
	})
}

// All requests to a service fail. In any window, the retries stay within Ratio and the
// host's share of Extra.
func TestWindowBoundsRetries(t *testing.T) {
	clock := clocker.NewManual(1_000_000)
	w := newRetryWindow(clock, 4)
	allowed := 0
	for range 100 { // 10 s at 10 requests/s
		w.Attempted("s")
		if w.Allow("s", "test") {
			allowed++
		}
		clock.Advance(100)
	}
	assert.Assert(t, allowed <= 25, "%d retries of 100 requests", allowed)
	assert.Assert(t, allowed >= 22, "%d retries of 100 requests", allowed)
}

func TestWindowDropsOldRetries(t *testing.T) {
	clock := clocker.NewManual(1_000_000)
	w := newRetryWindow(clock, 20)
	assert.Assert(t, w.Allow("s", "test"))
	assert.Assert(t, !w.Allow("s", "test"))
	assert.Assert(t, w.Allow("other", "test"))
	clock.Advance(9 * clocker.Second)
	assert.Assert(t, !w.Allow("s", "test"))
	clock.Advance(2 * clocker.Second)
	assert.Assert(t, w.Allow("s", "test"))
}
