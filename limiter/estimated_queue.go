package limiter

import (
	"cowsliphinge/clocker"
	"cowsliphinge/picker"
)

const (
	// serveIntervalWeight is the weight of a sample in the average serve interval.
	serveIntervalWeight = 0.1
	// msPerTokenWeight is the weight of an answer in the average service time per token.
	msPerTokenWeight = 0.05
	// minServiceTimeShare is the share of the expected service time that must
	// remain before the deadline for a request to be sent while at most one is queued.
	minServiceTimeShare = 0.5
	// highQuantile is the quantile of the service time per token that highMsPerToken
	// estimates.
	highQuantile = 0.9
	// maxOverloadWaitShare bounds the expected wait of a new request during an
	// overload, as a share of the time to its deadline.
	maxOverloadWaitShare = 0.25
	// quantileStep bounds the relative change of a quantile estimate per sample.
	quantileStep = 0.05
	// shortWait is the wait below which there is no overload.
	shortWait = 500 * clocker.Millis(1)
	// overloadAfter is how long no wait may have been short before the queue counts
	// as overloaded.
	overloadAfter = 5 * clocker.Second
	// minRetryAfter is the minimum Retry-After of a refusal.
	minRetryAfter = 100 * clocker.Millis(1)
)

// estimatedQueue is the queue of one service, model and role with estimates of its
// throughput.
type estimatedQueue struct {
	*Queue
	key queueKey
	// serveInterval is the average time between two requests served, in milliseconds.
	serveInterval float64
	lastServedAt  clocker.Millis
	// msPerToken is the average service time of a complete answer per token, and
	// highMsPerToken its highQuantile, in milliseconds.
	msPerToken     float64
	highMsPerToken float64
	// lastShortWaitAt is when the wait was last short.
	lastShortWaitAt clocker.Millis
}

// recordServed updates the estimates with an item that is served now. Time during
// which the queue was empty is not counted.
func (q *estimatedQueue) recordServed(now clocker.Millis, item *Item) {
	start := max(q.lastServedAt, item.EnqueuedAt)
	q.serveInterval = updateAverage(q.serveInterval, float64(now-start), serveIntervalWeight)
	q.lastServedAt = now
	if now-item.EnqueuedAt < shortWait {
		q.lastShortWaitAt = now
	}
}

// expectedWait returns how long a new item of r would wait.
func (q *estimatedQueue) expectedWait(r picker.Request) clocker.Millis {
	return clocker.Millis(float64(q.ItemsAhead(r)+1) * q.serveInterval)
}

// refusalReason returns why a new item of r is refused immediately, or "" if it
// is not.
func (q *estimatedQueue) refusalReason(now clocker.Millis, r picker.Request) string {
	if q.Len() == 0 {
		q.lastShortWaitAt = now
	}
	wait := q.expectedWait(r)
	if q.missesDeadline(now+wait, r) {
		return picker.ReasonDeadline
	}
	overloaded := now-q.lastShortWaitAt > overloadAfter
	if overloaded && r.Deadline > 0 && float64(wait) > maxOverloadWaitShare*float64(r.Deadline-now) {
		return picker.ReasonOverload
	}
	return ""
}

// missesDeadline reports whether a request that starts at start will probably not
// be answered before its deadline. While more than one request is queued the estimate
// is conservative, because a request that misses its deadline wastes a slot that
// another one could use.
func (q *estimatedQueue) missesDeadline(start clocker.Millis, r picker.Request) bool {
	if r.Deadline <= 0 {
		return false
	}
	msPerToken := minServiceTimeShare * q.msPerToken
	if q.Len() > 1 {
		msPerToken = q.highMsPerToken
	}
	return start+clocker.Millis(msPerToken*float64(r.Tokens)) >= r.Deadline
}

func retryAfter(wait clocker.Millis) clocker.Millis {
	return max(minRetryAfter, wait)
}

// updateQuantile returns the estimate of a quantile after a sample. The first
// sample sets the estimate.
func updateQuantile(value, sample, quantile float64) float64 {
	switch {
	case value == 0:
		return sample
	case sample > value:
		return value * (1 + quantileStep*quantile)
	default:
		return value * (1 - quantileStep*(1-quantile))
	}
}
