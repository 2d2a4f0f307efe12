package picker

import "cowsliphinge/clocker"

const (
	// minZoneBlock is how long affinity avoids another availability zone after a failure
	// there; it doubles with each consecutive failure.
	minZoneBlock = 5 * clocker.Second
	// maxZoneBlock bounds that time.
	maxZoneBlock = 60 * clocker.Second
)

// zone is the state of one availability zone.
type zone struct {
	own                 bool
	consecutiveFailures int
	blockedUntil        clocker.Millis
}

// recordFailure makes affinity avoid the zone for a while.
func (z *zone) recordFailure(now clocker.Millis) {
	if now < z.blockedUntil {
		return
	}
	z.blockedUntil = now + min(maxZoneBlock, minZoneBlock<<min(z.consecutiveFailures, 10))
	z.consecutiveFailures++
}

// recordAnswer resets the count of consecutive failures.
func (z *zone) recordAnswer() {
	z.consecutiveFailures = 0
}

// allowsAffinity reports whether affinity may choose servers of the zone.
func (z *zone) allowsAffinity(now clocker.Millis) bool {
	return z.own || now >= z.blockedUntil
}
