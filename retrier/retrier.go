// Package retrier decides whether and when a request may be retried. Retries are
// limited to a fraction of recent first attempts, so that they cannot multiply the
// load of an overloaded or failing fleet. RetryBudget limits all retries of a host and
// serves package dispatcher. RetryWindow limits the retries of each service and serves
// package relayer.
package retrier

import (
	"math/rand/v2"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/clocker"
)

const (
	// maxCountedAttempts is how many first attempts the retry budget counts at most.
	maxCountedAttempts = 1000
	// reserveHundredths is the minimum capacity and the initial value of the retry
	// budget, in hundredths of a retry. It lets a host with little traffic retry a
	// few times.
	reserveHundredths = 300
	// baseBackoff is the mean delay before the first retry, in milliseconds.
	baseBackoff clocker.Millis = 20
	// maxBackoff bounds the delay before any retry, in milliseconds.
	maxBackoff clocker.Millis = 1 * clocker.Second
)

// RetryBudgetConfig configures a RetryBudget.
type RetryBudgetConfig struct {
	// Percent returns how many retries are allowed per hundred first attempts.
	Percent func() int64
	// Seed seeds the jitter of the backoff.
	Seed uint64
}

// RetryBudget holds the retry budget of one host for all services. It is safe for concurrent use.
type RetryBudget struct {
	cfg RetryBudgetConfig

	mu                  sync.Mutex
	random              *rand.Rand
	availableHundredths int64
}

// NewRetryBudget returns a RetryBudget that allows a few retries from the start.
func NewRetryBudget(cfg RetryBudgetConfig) *RetryBudget {
	return &RetryBudget{
		cfg:                 cfg,
		random:              rand.New(rand.NewPCG(cfg.Seed, 0)),
		availableHundredths: reserveHundredths,
	}
}

// CountFirstAttempt counts a first attempt, which adds Percent hundredths to the retry budget.
func (r *RetryBudget) CountFirstAttempt() {
	percent := r.cfg.Percent()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.availableHundredths = min(r.availableHundredths+percent, max(reserveHundredths, percent*maxCountedAttempts))
}

// Allow takes one retry from the retry budget. It returns false if the budget is used
// up. Both outcomes are counted in a metric by reason.
func (r *RetryBudget) Allow(reason string) bool {
	r.mu.Lock()
	allowed := r.availableHundredths >= 100
	if allowed {
		r.availableHundredths -= 100
	}
	r.mu.Unlock()
	name := "cowsliphinge_retries_refused_total"
	if allowed {
		name = "cowsliphinge_retries_total"
	}
	metrics.GetOrCreateCounter(name + `{reason="` + reason + `"}`).Inc()
	return allowed
}

// Backoff returns the delay before retry number attempt, counted from 1. Its mean
// doubles with each attempt. The delay is uniformly distributed between half and one
// and a half of the mean.
func (r *RetryBudget) Backoff(attempt int) clocker.Millis {
	mean := baseBackoff
	for i := 1; i < attempt && mean < maxBackoff; i++ {
		mean *= 2
	}
	mean = min(mean, maxBackoff*2/3)
	r.mu.Lock()
	defer r.mu.Unlock()
	return mean/2 + clocker.Millis(r.random.Int64N(int64(mean)+1))
}
