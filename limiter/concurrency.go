package limiter

import (
	"cowsliphinge/clocker"
	"cowsliphinge/picker"
)

const (
	// refusedCut and queuedCut scale the limit after a refusal and after a
	// report of requests that wait in the backend server.
	refusedCut = 0.7
	queuedCut  = 0.9
	// latencyCut scales the limit while answers start late.
	latencyCut = 0.9
	// latencyRatio is how many times the usual latency counts as late.
	latencyRatio = 3
	// latencySlack is added to that bound, in milliseconds.
	latencySlack = 50
	// cutInterval is the least time between two cuts.
	cutInterval = 200 * clocker.Millis(1)
	// queuedShare is the share of its slots that may wait in a backend server.
	queuedShare = 0.1
	// fastShare and slowShare are the weights of a sample in the present and
	// the usual latency.
	fastShare = 0.2
	slowShare = 0.01
)

// Concurrency is the adaptive limit of one router on one backend server. It
// grows by one for each full round of answers and shrinks by a share on
// refusals, reported queues and late answers, so routers that share a server
// converge to equal limits without talking to each other.
type AdaptiveLimit struct {
	slots float64
	limit float64
	fast  float64
	slow  float64
	cutAt clocker.Millis
}

// NewConcurrency returns a limit that starts at all slots.
func NewAdaptiveLimit(slots int64) *AdaptiveLimit {
	return &AdaptiveLimit{slots: float64(slots), limit: float64(slots)}
}

// Limit returns how many requests may be in flight, at least 1.
func (c *AdaptiveLimit) Limit() int64 {
	return max(1, int64(c.limit))
}

// SetSlots takes over a changed declaration.
func (c *AdaptiveLimit) SetSlots(slots int64) {
	if grown := float64(slots) - c.slots; grown > 0 {
		c.limit += grown
	}
	c.slots = float64(slots)
	c.limit = min(c.limit, c.slots)
}

// Answered learns from a whole answer whose first byte took latency, while
// inFlight requests were in flight, itself included.
func (c *AdaptiveLimit) RecordAnswer(now, latency clocker.Millis, inFlight int64) {
	c.fast = average(c.fast, float64(latency), fastShare)
	c.slow = average(c.slow, float64(latency), slowShare)
	if c.fast > latencyRatio*c.slow+latencySlack {
		c.cut(now, latencyCut)
		return
	}
	if float64(inFlight) >= c.limit-1 {
		c.limit = min(c.slots, c.limit+1/c.limit)
	}
}

// Refused learns from an authoritative refusal.
func (c *AdaptiveLimit) RecordRefusal(now clocker.Millis) {
	c.cut(now, refusedCut)
}

// Reported learns from a load report.
func (c *AdaptiveLimit) RecordLoadReport(now clocker.Millis, report picker.LoadReport) {
	if float64(report.Queued) > queuedShare*c.slots {
		c.cut(now, queuedCut)
	}
}

func (c *AdaptiveLimit) cut(now clocker.Millis, share float64) {
	if now-c.cutAt < cutInterval {
		return
	}
	c.cutAt = now
	c.limit = max(1, c.limit*share)
}

// average moves an average towards a sample; the first sample counts whole.
func average(value, sample, share float64) float64 {
	if value == 0 {
		return sample
	}
	return value + share*(sample-value)
}
