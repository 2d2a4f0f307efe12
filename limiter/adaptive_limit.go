package limiter

import (
	"cowsliphinge/clocker"
	"cowsliphinge/picker"
)

const (
	// refusalFactor and queuedFactor scale the limit after a refusal and after a
	// load report with too many requests queued in the backend server.
	refusalFactor = 0.7
	queuedFactor  = 0.9
	// highLatencyFactor scales the limit while the latency to the first byte is high.
	highLatencyFactor = 0.9
	// highLatencyRatio is the multiple of the usual latency above which the
	// recent latency is high.
	highLatencyRatio = 3
	// highLatencySlackMs is added to that bound.
	highLatencySlackMs = 50
	// minDecreaseInterval is the minimum time between two decreases of the limit.
	minDecreaseInterval = 200 * clocker.Millis(1)
	// maxQueuedShare is the number of requests that may be queued in a backend
	// server without a decrease, as a share of its slots.
	maxQueuedShare = 0.1
	// recentLatencyWeight and usualLatencyWeight are the weights of a sample in
	// the moving averages of the recent and the usual latency.
	recentLatencyWeight = 0.2
	usualLatencyWeight  = 0.01
)

// AdaptiveLimit is the concurrency limit of one host for one backend server.
// It increases by one for each full round of answers and decreases by a factor on
// refusals, reported queues and high latency (AIMD). Hosts that share a server
// therefore converge to equal limits without communicating with each other.
type AdaptiveLimit struct {
	slots         float64
	limit         float64
	recentLatency float64
	usualLatency  float64
	decreasedAt   clocker.Millis
}

// NewAdaptiveLimit returns a limit that starts at the number of slots.
func NewAdaptiveLimit(slots int64) *AdaptiveLimit {
	return &AdaptiveLimit{slots: float64(slots), limit: float64(slots)}
}

// Limit returns the number of requests that may be in flight, at least 1.
func (l *AdaptiveLimit) Limit() int64 {
	return max(1, int64(l.limit))
}

// SetSlots applies a changed number of declared slots. Added slots are added to
// the limit.
func (l *AdaptiveLimit) SetSlots(slots int64) {
	if increase := float64(slots) - l.slots; increase > 0 {
		l.limit += increase
	}
	l.slots = float64(slots)
	l.limit = min(l.limit, l.slots)
}

// RecordAnswer updates the limit after a complete answer whose first byte arrived
// after firstByteLatency, while inFlight requests were in flight, including this one.
func (l *AdaptiveLimit) RecordAnswer(now, firstByteLatency clocker.Millis, inFlight int64) {
	l.recentLatency = updateAverage(l.recentLatency, float64(firstByteLatency), recentLatencyWeight)
	l.usualLatency = updateAverage(l.usualLatency, float64(firstByteLatency), usualLatencyWeight)
	if l.recentLatency > highLatencyRatio*l.usualLatency+highLatencySlackMs {
		l.decrease(now, highLatencyFactor)
		return
	}
	if float64(inFlight) >= l.limit-1 {
		l.limit = min(l.slots, l.limit+1/l.limit)
	}
}

// RecordRefusal updates the limit after an authoritative refusal.
func (l *AdaptiveLimit) RecordRefusal(now clocker.Millis) {
	l.decrease(now, refusalFactor)
}

// RecordLoadReport updates the limit from a load report.
func (l *AdaptiveLimit) RecordLoadReport(now clocker.Millis, report picker.LoadReport) {
	if float64(report.Queued) > maxQueuedShare*l.slots {
		l.decrease(now, queuedFactor)
	}
}

func (l *AdaptiveLimit) decrease(now clocker.Millis, factor float64) {
	if now-l.decreasedAt < minDecreaseInterval {
		return
	}
	l.decreasedAt = now
	l.limit = max(1, l.limit*factor)
}

// updateAverage returns the exponential moving average after a sample. The first
// sample sets the average.
func updateAverage(value, sample, weight float64) float64 {
	if value == 0 {
		return sample
	}
	return value + weight*(sample-value)
}
