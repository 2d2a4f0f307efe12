// Package retrier decides whether a request may be tried again and when. The
// budget is a share of recent first attempts, so that retries cannot multiply
// the load of a fleet in trouble.
package retrier

import (
	"math/rand/v2"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/clocker"
)

const (
	// recentAttempts is how many first attempts the budget remembers at most.
	maxCountedAttempts = 1000
	// reserveCents lets a quiet router retry a few times, in hundredths of a retry.
	reserveHundredths = 300
	// baseBackoff is the mean wait before the first retry.
	baseBackoff clocker.Millis = 20
	// maxBackoff bounds the wait before any retry.
	maxBackoff clocker.Millis = 1 * clocker.Second
)

// Config is what a Retrier is built from.
type Config struct {
	// Percent returns how many retries are allowed per hundred first attempts.
	Percent func() int64
	// Seed of the jitter.
	Seed uint64
}

// Retrier holds the retry budget of one router. All methods may be called from
// many goroutines.
type Retrier struct {
	cfg Config

	mu         sync.Mutex
	random     *rand.Rand
	hundredths int64
}

// New returns a retrier with a small reserve.
func New(cfg Config) *Retrier {
	return &Retrier{
		cfg:        cfg,
		random:     rand.New(rand.NewPCG(cfg.Seed, 0)),
		hundredths: reserveHundredths,
	}
}

// Attempted counts a first attempt, which adds its share to the budget.
func (r *Retrier) Attempted() {
	percent := r.cfg.Percent()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hundredths = min(r.hundredths+percent, max(reserveHundredths, percent*maxCountedAttempts))
}

// Allow takes one retry from the budget and counts it under the reason, or
// counts the refusal and returns false.
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

// Backoff returns the wait before retry number attempt, counted from 1. It
// doubles with each attempt and is spread evenly over half to one and a half
// of its mean.
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
