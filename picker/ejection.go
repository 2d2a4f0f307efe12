package picker

import (
	"math"
	"math/rand/v2"

	"cowsliphinge/clocker"
)

const (
	// minFailureStreak is the number of consecutive failures that eject a server, if a
	// streak of that length has a probability below maxStreakProbability at the failure
	// share of the pool.
	minFailureStreak     = 5
	maxStreakProbability = 0.0002
	// minFailureShare is the average share of failures above which a server is ejected.
	// The share must also exceed that of the pool by minFailureRatio.
	minFailureShare = 0.5
	minFailureRatio = 2.5
	// minFailureSamples is the number of answers needed before the failure share is used.
	minFailureSamples = 10
	// failureWeight is the weight of a new answer in the failure share of its server. In
	// that of the pool it has a quarter of this weight.
	failureWeight = 0.1
	// minEjection is the duration of the first ejection; it doubles with each
	// consecutive ejection.
	minEjection = 1 * clocker.Second
	// maxEjection bounds the duration of an ejection.
	maxEjection = 30 * clocker.Second
	// ejectionResetAfter is how long a server must stay healthy after an ejection for the
	// duration to start at minEjection again.
	ejectionResetAfter = 60 * clocker.Second
)

// health is the failure statistics and ejection state of a server.
type health struct {
	failureShare  float64
	samples       int
	failureStreak int
	// consecutiveEjections counts the ejections in a row; ejectedUntil is when the last
	// one ends and a probe is due.
	consecutiveEjections int
	ejectedUntil         clocker.Millis
	// ejected is true from an ejection until a probe succeeds.
	ejected bool
}

// available reports whether the server may get a request: it is not ejected, or a probe
// is due and no request is in flight.
func (h *health) available(now clocker.Millis, inFlight int64) bool {
	return !h.ejected || (now >= h.ejectedUntil && inFlight == 0)
}

// recordSuccess records a valid answer and reports whether it ended an ejection.
func (h *health) recordSuccess(probe bool) bool {
	h.failureStreak = 0
	h.samples++
	h.failureShare -= failureWeight * h.failureShare
	recovered := h.ejected && probe
	if recovered {
		h.ejected = false
		h.failureShare = 0
		h.samples = 0
	}
	return recovered
}

// recordFailure records a failure and reports whether it ejected the server.
func (h *health) recordFailure(now clocker.Millis, probe bool, poolFailureShare float64, random *rand.Rand) bool {
	h.failureStreak++
	h.samples++
	h.failureShare += failureWeight * (1 - h.failureShare)
	if h.ejected {
		// Failures of requests sent before the ejection do not extend it.
		if !probe {
			return false
		}
		h.eject(now, random)
		return true
	}
	outlier := h.samples >= minFailureSamples && h.failureShare > max(minFailureShare, minFailureRatio*poolFailureShare)
	unlikelyStreak := h.failureStreak >= minFailureStreak && math.Pow(poolFailureShare, float64(h.failureStreak)) < maxStreakProbability
	if !unlikelyStreak && !outlier {
		return false
	}
	h.eject(now, random)
	return true
}

// eject ejects the server. The duration doubles with each consecutive ejection and has
// a random jitter of plus or minus a quarter.
func (h *health) eject(now clocker.Millis, random *rand.Rand) {
	if !h.ejected && now-h.ejectedUntil > ejectionResetAfter {
		h.consecutiveEjections = 0
	}
	mean := min(maxEjection, minEjection<<min(h.consecutiveEjections, 10))
	h.consecutiveEjections++
	h.ejected = true
	h.failureStreak = 0
	h.ejectedUntil = now + mean*3/4 + clocker.Millis(random.Int64N(int64(mean)/2))
}
