package retrier

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/clocker"
)

// windowParts is into how many parts a window is cut; the oldest part counts
// until it has passed whole.
const windowParts = 20

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
	services map[string]*counts
}

// counts are first attempts and repeats in the parts of a window.
type counts struct {
	first, repeats [windowParts]int
	// part is the number of the newest part since the epoch.
	part int64
}

// NewWindow returns a Window without repeats.
func NewWindow(cfg WindowConfig) *Window {
	return &Window{cfg: cfg, services: map[string]*counts{}}
}

// Attempted counts the first attempt of a request.
func (w *Window) Attempted(service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.counts(service)
	c.first[c.part%windowParts]++
}

// Allow takes one repeat and counts it under the reason, or counts the refusal
// and returns false.
func (w *Window) Allow(service, reason string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.counts(service)
	allowed := w.cfg.Ratio()*float64(sum(c.first)) + w.cfg.Extra()/float64(max(1, w.cfg.Hosts()))
	outcome := "allowed"
	if float64(sum(c.repeats)+1) > allowed {
		outcome = "refused"
	} else {
		c.repeats[c.part%windowParts]++
	}
	metrics.GetOrCreateCounter(`cowsliphinge_repeats_total{reason="` + reason + `",outcome="` + outcome + `"}`).Inc()
	return outcome == "allowed"
}

// counts returns the counts of a service, the parts that have passed emptied.
func (w *Window) counts(service string) *counts {
	c := w.services[service]
	if c == nil {
		c = &counts{}
		w.services[service] = c
	}
	part := int64(w.cfg.Clock.Now() / max(1, w.cfg.Span/windowParts))
	for c.part < part {
		c.part = max(c.part+1, part-windowParts+1)
		c.first[c.part%windowParts] = 0
		c.repeats[c.part%windowParts] = 0
	}
	return c
}

func sum(parts [windowParts]int) int {
	n := 0
	for _, v := range parts {
		n += v
	}
	return n
}
