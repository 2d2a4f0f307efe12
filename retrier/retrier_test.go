package retrier_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/retrier"
)

func newRetryBudget(seed uint64) *retrier.RetryBudget {
	return retrier.NewRetryBudget(retrier.RetryBudgetConfig{Percent: func() int64 { return 10 }, Seed: seed})
}

func TestBudgetIsShareOfFirstAttempts(t *testing.T) {
	r := newRetryBudget(1)
	retries := 0
	for range 10_000 {
		r.CountFirstAttempt()
		if r.Allow("test") {
			retries++
		}
	}
	assert.Assert(t, retries >= 1000 && retries <= 1003, "%d retries for 10000 attempts", retries)
}

func TestBudgetCountsOnlyRecentAttempts(t *testing.T) {
	r := newRetryBudget(1)
	for range 100_000 {
		r.CountFirstAttempt()
	}
	retries := 0
	for r.Allow("test") {
		retries++
	}
	assert.Equal(t, retries, 100)
}

func TestBackoffGrowsWithinBounds(t *testing.T) {
	r, same := newRetryBudget(7), newRetryBudget(7)
	for attempt := 1; attempt < 12; attempt++ {
		wait := r.Backoff(attempt)
		mean := min(int64(20)<<(attempt-1), 666)
		assert.Assert(t, int64(wait) >= mean/2 && int64(wait) <= mean/2+mean, "attempt %d: %d ms", attempt, wait)
		assert.Equal(t, same.Backoff(attempt), wait)
	}
}
