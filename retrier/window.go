package retrier

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/clocker"
)

// windowParts is into how many parts a window is cut; the oldest part counts
// until it has passed whole.
const windowBuckets = 20

// WindowConfig is what a Window is built from.
type WindowConfig struct {
	Clock *clocker.Clock
	// Span of the window, in milliseconds.
	Span clocker.Millis
	// Ratio is how many repeats are allowed for each first attempt.
	Ratio func() float64
	// Extra is how many repeats the whole fleet may make besides in one span.
	Extra func() float64
	// Hosts returns among how many hosts Extra is shared, at least 1.
	Hosts func() int
}

// Window bounds the repeats to each service within a sliding window. Hosts that
// keep their share of Extra keep the bound of the fleet together without talking
// to each other. All methods may be called from many goroutines.
type Window struct {
	cfg WindowConfig

	mu       sync.Mutex
	services map[string]*serviceCounts
}

// counts are first attempts and repeats in the parts of a window.
type serviceCounts struct {
	firstAttempts, retries [windowBuckets]int
	// part is the number of the newest part since the epoch.
	bucket int64
}

// NewWindow returns a Window without repeats.
func NewWindow(cfg WindowConfig) *Window {
	return &Window{cfg: cfg, services: map[string]*serviceCounts{}}
}

// Attempted counts the first attempt of a request.
func (w *Window) Attempted(service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.current(service)
	c.firstAttempts[c.bucket%windowBuckets]++
}

// Allow takes one repeat and counts it under the reason, or counts the refusal
// and returns false.
func (w *Window) Allow(service, reason string) bool {
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

// counts returns the counts of a service, the parts that have passed emptied.
func (w *Window) current(service string) *serviceCounts {
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
