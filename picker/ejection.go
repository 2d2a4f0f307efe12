package picker

import (
	"math"
	"math/rand/v2"

	"cowsliphinge/clocker"
)

const (
	// failStreak is how many failures in a row eject a server, if a row as long
	// is rarer than streakChance at the pool's share of failures.
	failStreak   = 5
	streakChance = 0.0002
	// failShare is the smoothed share of failures that ejects a server, and
	// failRatio how many times that of its pool it must be besides.
	failShare = 0.5
	failRatio = 2.5
	// failSamples is how many answers the share needs before it counts.
	failSamples = 10
	// failWeight is the weight of a new answer in the share of failures.
	failWeight = 0.1
	// firstEjection is the first time out; it doubles with each one in a row.
	firstEjection = 1 * clocker.Second
	// maxEjection bounds the time out.
	maxEjection = 30 * clocker.Second
	// ejectionMemory is how long a server must be well to be ejected briefly again.
	ejectionMemory = 60 * clocker.Second
)

// health is what a server's answers say of it.
type health struct {
	share   float64
	samples int
	streak  int
	// ejections in a row, and when the last one ends.
	ejections int
	until     clocker.Millis
	// out is true from an ejection until a probe succeeds.
	out bool
}

// live reports whether the server may get work: it is not ejected, or it is
// due for a probe and has none.
func (h *health) live(now clocker.Millis, inFlight int64) bool {
	return !h.out || (now >= h.until && inFlight == 0)
}

// succeeded records a good answer and reports whether it ended an ejection.
func (h *health) succeeded(probe bool) bool {
	h.streak = 0
	h.samples++
	h.share -= failWeight * h.share
	back := h.out && probe
	if back {
		h.out = false
		h.share = 0
		h.samples = 0
	}
	return back
}

// failed records a failure and reports whether it ejected the server.
func (h *health) failed(now clocker.Millis, probe bool, poolShare float64, random *rand.Rand) bool {
	h.streak++
	h.samples++
	h.share += failWeight * (1 - h.share)
	if h.out {
		// Requests taken before the ejection tell nothing new.
		if !probe {
			return false
		}
		h.eject(now, random)
		return true
	}
	outlier := h.samples >= failSamples && h.share > max(failShare, failRatio*poolShare)
	row := h.streak >= failStreak && math.Pow(poolShare, float64(h.streak)) < streakChance
	if !row && !outlier {
		return false
	}
	h.eject(now, random)
	return true
}

// eject takes the server out for a time that doubles, spread by a quarter.
func (h *health) eject(now clocker.Millis, random *rand.Rand) {
	if !h.out && now-h.until > ejectionMemory {
		h.ejections = 0
	}
	mean := min(maxEjection, firstEjection<<min(h.ejections, 10))
	h.ejections++
	h.out = true
	h.streak = 0
	h.until = now + mean*3/4 + clocker.Millis(random.Int64N(int64(mean)/2))
}
