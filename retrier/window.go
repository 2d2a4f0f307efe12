package retrier

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/clocker"
)

// windowBuckets is the number of buckets of a window. The newest bucket is incomplete, and
// the oldest one is dropped as soon as it begins to leave the window, so the counts cover
// between windowBuckets-1 and windowBuckets buckets.
const windowBuckets = 20

// RetryWindowConfig configures a RetryWindow.
type RetryWindowConfig struct {
	Clock *clocker.Clock
	// Span is the length of the window, in milliseconds.
	Span clocker.Millis
	// Ratio returns how many retries are allowed per first attempt.
	Ratio func() float64
	// Extra returns how many additional retries of one service the whole fleet may make
	// per Span.
	Extra func() float64
	// Hosts returns the number of hosts that share Extra; less than 1 counts as 1.
	Hosts func() int
}

// RetryWindow bounds the retries of each service within a sliding window. Each host uses
// only its share of Extra, so the fleet keeps its bound without coordination. It is
// safe for concurrent use.
type RetryWindow struct {
	cfg RetryWindowConfig

	mu       sync.Mutex
	services map[string]*serviceCounts
}

// serviceCounts counts the first attempts and retries of a service by bucket.
type serviceCounts struct {
	firstAttempts, retries [windowBuckets]int
	// bucket is the number of the newest bucket since the epoch.
	bucket int64
}

// NewRetryWindow returns an empty RetryWindow.
func NewRetryWindow(cfg RetryWindowConfig) *RetryWindow {
	return &RetryWindow{cfg: cfg, services: map[string]*serviceCounts{}}
}

// Attempted counts the first attempt of a request to a service.
func (w *RetryWindow) Attempted(service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.current(service)
	c.firstAttempts[c.bucket%windowBuckets]++
}

// Allow counts one retry, or returns false if the bound is reached. Both outcomes are
// counted in a metric by reason.
func (w *RetryWindow) Allow(service, reason string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.current(service)
	allowed := w.cfg.Ratio()*float64(sum(c.firstAttempts)) + w.cfg.Extra()/float64(max(1, w.cfg.Hosts()))
	outcome := "allowed"
	if float64(sum(c.retries)+1) > allowed {
		outcome = "refused"
	} else {
		c.retries[c.bucket%windowBuckets]++
	}
	metrics.GetOrCreateCounter(`cowsliphinge_repeats_total{reason="` + reason + `",outcome="` + outcome + `"}`).Inc()
	return outcome == "allowed"
}

// current returns the counts of a service after clearing the buckets that have begun to
// leave the window.
func (w *RetryWindow) current(service string) *serviceCounts {
	c := w.services[service]
	if c == nil {
		c = &serviceCounts{}
		w.services[service] = c
	}
	bucket := int64(w.cfg.Clock.Now() / max(1, w.cfg.Span/windowBuckets))
	for c.bucket < bucket {
		c.bucket = max(c.bucket+1, bucket-windowBuckets+1)
		c.firstAttempts[c.bucket%windowBuckets] = 0
		c.retries[c.bucket%windowBuckets] = 0
	}
	return c
}

func sum(buckets [windowBuckets]int) int {
	n := 0
	for _, v := range buckets {
		n += v
	}
	return n
}
