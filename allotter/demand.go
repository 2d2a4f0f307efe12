package allotter

import (
	"math"

	"cowsliphinge/clocker"
)

const (
	// defaultSpan is the time constant that follows a rising demand.
	defaultSpan = clocker.Minute
	// slowDemand is the time constant that remembers a pausing demand.
	slowDemand = clocker.Hour
	// idleAfter is the time without a request after which none is expected.
	idleAfter = 10 * clocker.Minute
	// requestWeight is the share of the newest request in the mean size.
	requestWeight = 0.1
)

// demand measures how fast a budget is spent here, in tokens per millisecond,
// and how large its requests are, in tokens.
type demand struct {
	// span is the time constant of fast; 0 means defaultSpan.
	span       clocker.Millis
	fast, slow float64
	updated    clocker.Millis
	size       float64
	requested  clocker.Millis
}

// request observes the reservation of a request.
func (d *demand) request(tokens int64, now clocker.Millis) {
	d.requested = now
	if d.size == 0 {
		d.size = float64(tokens)
		return
	}
	d.size += requestWeight * (float64(tokens) - d.size)
}

// use observes tokens that were spent or given away.
func (d *demand) use(tokens int64, now clocker.Millis) {
	d.decay(now)
	d.fast += float64(tokens) / d.fastSpan()
	d.slow += float64(tokens) / float64(slowDemand)
}

// requests returns the tokens that n requests are expected to reserve.
func (d *demand) requests(n float64, now clocker.Millis) float64 {
	if now-d.requested > idleAfter {
		return 0
	}
	return n * d.size
}

// rate returns tokens per millisecond.
func (d *demand) rate(now clocker.Millis) float64 {
	d.decay(now)
	return max(d.fast, d.slow)
}

func (d *demand) fastSpan() float64 {
	if d.span > 0 {
		return float64(d.span)
	}
	return float64(defaultSpan)
}

func (d *demand) decay(now clocker.Millis) {
	passed := float64(now - d.updated)
	if passed <= 0 {
		return
	}
	d.fast *= math.Exp(-passed / d.fastSpan())
	d.slow *= math.Exp(-passed / float64(slowDemand))
	d.updated = now
}
