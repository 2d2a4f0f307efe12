package limiter

import (
	"cowsliphinge/clocker"
	"cowsliphinge/picker"
)

const (
	// rateShare is the weight of a new sample in the smoothed queue rate.
	rateShare = 0.1
	// paceShare is the weight of an answer in the smoothed service time.
	paceShare = 0.05
	// hopeless is the share of the expected service time that must be left
	// before the deadline for a request to be tried.
	hopeless = 0.5
	// highShare is the share of answers that the high pace covers.
	highShare = 0.9
	// overloadShare is the share of the time to its deadline that a request may
	// be expected to wait in an overload.
	overloadShare = 0.25
	// quantileStep is the largest relative step of a quantile's estimate.
	quantileStep = 0.05
	// shortWait is a wait that says that there is no overload.
	shortWait = 500 * clocker.Millis(1)
	// overloadAfter is how long all waits must have been long to call it overload.
	overloadAfter = 5 * clocker.Second
	// minRetryAfter is the least wait that a refusal advises.
	minRetryAfter = 100 * clocker.Millis(1)
)

// serviceQueue is a queue and how fast it moves.
type serviceQueue struct {
	*Queue
	key queueKey
	// interval is the smoothed time between two requests served, in milliseconds.
	interval float64
	servedAt clocker.Millis
	// pace is the smoothed time of a whole answer per token, highPace the one
	// that highShare of the answers keep to, in milliseconds.
	pace     float64
	highPace float64
	// shortAt is when the wait was last short.
	shortAt clocker.Millis
}

// learnWait learns from an item that is served now. The time while the queue
// was empty does not count.
func (q *serviceQueue) learnWait(now clocker.Millis, item *Item) {
	since := max(q.servedAt, item.EnqueuedAt)
	q.interval = average(q.interval, float64(now-since), rateShare)
	q.servedAt = now
	if now-item.EnqueuedAt < shortWait {
		q.shortAt = now
	}
}

// expectedWait is how long a new item of r would wait.
func (q *serviceQueue) expectedWait(r picker.Request) clocker.Millis {
	return clocker.Millis(float64(q.ItemsAhead(r)+1) * q.interval)
}

// refusal says why a new item of r is refused at once, or is empty.
func (q *serviceQueue) refusal(now clocker.Millis, r picker.Request) string {
	if q.Len() == 0 {
		q.shortAt = now
	}
	wait := q.expectedWait(r)
	if q.tooLate(now+wait, r) {
		return picker.ReasonDeadline
	}
	overloaded := now-q.shortAt > overloadAfter
	if overloaded && r.Deadline > 0 && float64(wait) > overloadShare*float64(r.Deadline-now) {
		return picker.ReasonOverload
	}
	return ""
}

// tooLate reports whether a request that starts at start will probably not be
// answered before its deadline. While others wait it must be likelier.
func (q *serviceQueue) tooLate(start clocker.Millis, r picker.Request) bool {
	if r.Deadline <= 0 {
		return false
	}
	pace := hopeless * q.pace
	if q.Len() > 1 {
		pace = q.highPace
	}
	return start+clocker.Millis(pace*float64(r.Tokens)) >= r.Deadline
}

func retryAfter(wait clocker.Millis) clocker.Millis {
	return max(minRetryAfter, wait)
}

// quantile moves an estimate of the value that share of the samples keep to.
func quantile(value, sample, share float64) float64 {
	switch {
	case value == 0:
		return sample
	case sample > value:
		return value * (1 + quantileStep*share)
	default:
		return value * (1 - quantileStep*(1-share))
	}
}
