package allotter

import (
	"math"

	"cowsliphinge/clocker"
)

const (
	// defaultTimeConstant is the time constant of the fast average, which follows a
	// rising demand.
	defaultTimeConstant = clocker.Minute
	// slowTimeConstant is the time constant of the slow average, which retains
	// demand through idle periods.
	slowTimeConstant = clocker.Hour
	// idleAfter is the time since the last request after which none is expected.
	idleAfter = 10 * clocker.Minute
	// requestWeight is the weight of the newest request in the moving averages of
	// the request size and of the unused share.
	requestWeight = 0.1
)

// demand estimates how fast this host spends a budget, in tokens per millisecond,
// and the mean size of its requests, in tokens.
type demand struct {
	// timeConstant is the time constant of fastRate; 0 means defaultTimeConstant.
	timeConstant       clocker.Millis
	fastRate, slowRate float64
	updatedAt          clocker.Millis
	meanSize           float64
	requestedAt        clocker.Millis
}

// observeRequest records the reservation of a request.
func (d *demand) observeRequest(tokens int64, now clocker.Millis) {
	d.requestedAt = now
	if d.meanSize == 0 {
		d.meanSize = float64(tokens)
		return
	}
	d.meanSize += requestWeight * (float64(tokens) - d.meanSize)
}

// observeUse records tokens that were used: spent or transferred, or, in the demand
// of a rank, reserved.
func (d *demand) observeUse(tokens int64, now clocker.Millis) {
	d.decay(now)
	d.fastRate += float64(tokens) / d.fastTimeConstant()
	d.slowRate += float64(tokens) / float64(slowTimeConstant)
}

// expectedReserve returns the tokens that n requests are expected to reserve.
func (d *demand) expectedReserve(n float64, now clocker.Millis) float64 {
	if now-d.requestedAt > idleAfter {
		return 0
	}
	return n * d.meanSize
}

// rate returns the demand in tokens per millisecond.
func (d *demand) rate(now clocker.Millis) float64 {
	d.decay(now)
	return max(d.fastRate, d.slowRate)
}

func (d *demand) fastTimeConstant() float64 {
	if d.timeConstant > 0 {
		return float64(d.timeConstant)
	}
	return float64(defaultTimeConstant)
}

func (d *demand) decay(now clocker.Millis) {
	passed := float64(now - d.updatedAt)
	if passed <= 0 {
		return
	}
	d.fastRate *= math.Exp(-passed / d.fastTimeConstant())
	d.slowRate *= math.Exp(-passed / float64(slowTimeConstant))
	d.updatedAt = now
}
