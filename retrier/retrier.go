// Package retrier decides whether and when a request may be retried. Retries are
// limited to a fraction of recent first attempts, so that they cannot multiply the
// load of an overloaded or failing fleet.
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
	// budget, in hundredths of a retry. It lets a router with little traffic retry a
	// few times.
	reserveHundredths = 300
	// baseBackoff is the mean delay before the first retry, in milliseconds.
	baseBackoff clocker.Millis = 20
	// maxBackoff bounds the delay before any retry, in milliseconds.
	maxBackoff clocker.Millis = 1 * clocker.Second
)

// Config configures a Retrier.
type Config struct {
	// Percent returns how many retries are allowed per hundred first attempts.
	Percent func() int64
	// Seed seeds the jitter of the backoff.
	Seed uint64
}

// Retrier holds the retry budget of one router. It is safe for concurrent use.
type Retrier struct {
	cfg Config

	mu         sync.Mutex
	random     *rand.Rand
	hundredths int64
}

// New returns a Retrier whose budget allows a few retries from the start.
func New(cfg Config) *Retrier {
	return &Retrier{
		cfg:        cfg,
		random:     rand.New(rand.NewPCG(cfg.Seed, 0)),
		hundredths: reserveHundredths,
	}
}

// CountFirstAttempt counts a first attempt, which adds Percent hundredths to the retry budget.
func (r *Retrier) CountFirstAttempt() {
	percent := r.cfg.Percent()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hundredths = min(r.hundredths+percent, max(reserveHundredths, percent*maxCountedAttempts))
}

// Allow takes one retry from the retry budget. It returns false if the budget is used
// up. Both outcomes are counted in a metric by reason.
func (r *Retrier) Allow(reason string) bool {
	r.mu.Lock()
	allowed := r.hundredths >= 100
	if allowed {
		r.hundredths -= 100
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
func (r *Retrier) Backoff(attempt int) clocker.Millis {
	mean := baseBackoff
	for i := 1; i < attempt && mean < maxBackoff; i++ {
		mean *= 2
	}
	mean = min(mean, maxBackoff*2/3)
	r.mu.Lock()
	defer r.mu.Unlock()
	return mean/2 + clocker.Millis(r.random.Int64N(int64(mean)+1))
}
