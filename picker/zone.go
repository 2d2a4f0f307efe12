package picker

import "cowsliphinge/clocker"

const (
	// firstHold is how long affinity stays out of another availability zone
	// after a failure there; it doubles with each in a row.
	firstHold = 5 * clocker.Second
	// maxHold bounds that time.
	maxHold = 60 * clocker.Second
)

// zone is what the picker knows of one availability zone.
type zone struct {
	own       bool
	failures  int
	heldUntil clocker.Millis
}

// failed keeps affinity out of the zone for a while.
func (z *zone) failed(now clocker.Millis) {
	if now < z.heldUntil {
		return
	}
	z.heldUntil = now + min(maxHold, firstHold<<min(z.failures, 10))
	z.failures++
}

// answered ends a row of failures.
func (z *zone) answered() {
	z.failures = 0
}

// open reports whether affinity may choose servers of the zone.
func (z *zone) open(now clocker.Millis) bool {
	return z.own || now >= z.heldUntil
}
