package chooser

import (
	"math"

	"cowsliphinge/clocker"
)

const (
	// initialPrefillTokensPerMilli is the prefill rate that engines are taken to have before any first event
	// was observed, in prompt tokens per millisecond.
	initialPrefillTokensPerMilli = 92
	// initialBatchedMs is the delay that each request in a server's batch adds to the next one, and
	// initialQueuedMs that of each request beyond its slots, until others are learned.
	initialBatchedMs = 6
	initialQueuedMs  = 50
	// maxPrefillFactor bounds a learned prefill rate on both sides of the initial one, and maxDelayFactor the
	// learned delays above theirs. Delays are not learned below minDelayFactor: a request also delays
	// those that run already, which its own first event does not show.
	maxPrefillFactor = 8
	maxDelayFactor   = 4
	minDelayFactor   = 0.5
	// firstEventBaseMs is the time to the first event of a request without tokens on an idle server: the
	// round trip and one step.
	firstEventBaseMs = 15
	// rateStep is the weight of one observation in the logarithm of a service's rates.
	rateStep = 0.05
	// maxLogError bounds the effect of one observation. A noisy neighbor or a queue that was not reported
	// makes first events late by several times.
	maxLogError = 1
	// speedPrior is the number of observations that count for the mean of the service against those of one
	// server, and maxSpeedEvidence bounds the latter, so that a change shows in the end.
	speedPrior       = 6
	maxSpeedEvidence = 20
	// maxSlowness bounds how much slower or faster than its service a server is taken to be.
	maxSlowness = 3
	// maxLearnedTokens is far above the tokens that a server computes within a request's time; callers choose
	// the numbers.
	maxLearnedTokens = 1 << 22
	// slowdownLifetime is the time over which the weight of a reported slowdown falls to nothing. It
	// changes many times a second.
	slowdownLifetime = 600 * clocker.Millis(1)
	// maxSlowdown bounds the effect of a reported slowdown.
	maxSlowdown = 10
)

// Rates are the learned rates of a service, in milliseconds.
type Rates struct {
	// PerToken is the time to compute one uncached prompt token.
	PerToken float64
	// PerBatched and PerQueued are the delays that a request in the batch and one that waits add.
	PerBatched, PerQueued float64
	// Observations counts the first events that the rates were learned from.
	Observations int
}

// initialRates returns the rates of a service of which nothing was observed.
func initialRates() *Rates {
	return &Rates{PerToken: 1.0 / initialPrefillTokensPerMilli, PerBatched: initialBatchedMs, PerQueued: initialQueuedMs}
}

// Dispatch is what was known when a request was sent to a server. It comes back with the first event.
type Dispatch struct {
	// UncachedTokens is the number of prompt tokens that the server had to compute.
	UncachedTokens int
	// Batched and Queued are the estimated requests in the server's batch and beyond its slots.
	Batched, Queued float64
	// Slowdown is the reported slowdown with its weight at that time; 0 if nothing is to be learned.
	Slowdown float64
	// FreeSlot is true if the server had a free slot by a recent report.
	FreeSlot bool
}

// FirstEvent tells when a server sent the first event of a response.
type FirstEvent struct {
	Dispatch Dispatch
	// After is the time since the request was sent.
	After clocker.Millis
}

// terms returns the parts of the expected time to the first event on a server of mean speed.
func (r *Rates) terms(d Dispatch) (tokens, batched, queued float64) {
	return r.PerToken * float64(d.UncachedTokens), r.PerBatched * d.Batched, r.PerQueued * d.Queued
}

// learn adjusts the rates by the ratio of the observed to the expected time, each by its part in the
// expectation, and returns the logarithm of the ratio, bounded. It leaves the server's slowness out, so that servers stay
// relative to the mean of their service.
func (r *Rates) learn(e FirstEvent) float64 {
	tokens, batched, queued := r.terms(e.Dispatch)
	usual := e.Dispatch.Slowdown * (tokens + batched + queued)
	residual := clampLog(math.Log(max(1, float64(e.After)) / (firstEventBaseMs + usual)))
	step := max(rateStep, 1/(float64(r.Observations)/3+2)) * residual / (firstEventBaseMs/e.Dispatch.Slowdown + tokens + batched + queued)
	r.PerToken = clamp(r.PerToken*math.Exp(step*tokens), 1.0/initialPrefillTokensPerMilli/maxPrefillFactor, maxPrefillFactor/float64(initialPrefillTokensPerMilli))
	r.PerBatched = clamp(r.PerBatched*math.Exp(step*batched), minDelayFactor*initialBatchedMs, maxDelayFactor*initialBatchedMs)
	r.PerQueued = clamp(r.PerQueued*math.Exp(step*queued), minDelayFactor*initialQueuedMs, maxDelayFactor*initialQueuedMs)
	r.Observations++
	return residual
}

// speedTally sums up observations of the speed of a server.
type speedTally struct {
	// sum is that of the logarithms of observed to expected times, and evidence their number; both fade.
	sum, evidence float64
}

// serverSpeed is how much slower than its service a server is, learned from first events.
type serverSpeed struct {
	// own is what this host observed, heard what other hosts told, and pooled their sum.
	own, pooled speedTally
	heard       map[string]speedTally
	// slowness is the factor on expected times, 0 before the first observation.
	slowness float64
}

// factor returns the factor on the expected times of the server.
func (s *serverSpeed) factor() float64 {
	if s.slowness == 0 {
		return 1
	}
	return s.slowness
}

// observe adds the logarithm of a ratio of observed to expected times.
func (s *serverSpeed) observe(logRatio float64) {
	before := s.own
	keep := min(1, maxSpeedEvidence/(before.evidence+1))
	s.own = speedTally{sum: before.sum*keep + logRatio, evidence: before.evidence*keep + 1}
	s.replace(before, s.own)
}

// hear replaces what another host told.
func (s *serverSpeed) hear(host string, t speedTally) {
	before, known := s.heard[host]
	if !known && len(s.heard) >= maxSpeedHosts {
		return
	}
	if s.heard == nil {
		s.heard = map[string]speedTally{}
	}
	s.heard[host] = t
	s.replace(before, t)
}

// replace replaces a part of the pooled observations.
func (s *serverSpeed) replace(before, after speedTally) {
	s.pooled.sum += after.sum - before.sum
	s.pooled.evidence += after.evidence - before.evidence
	s.slowness = clamp(math.Exp(s.pooled.sum/(s.pooled.evidence+speedPrior)), 1.0/maxSlowness, maxSlowness)
}

// recordFirstEvent learns from the first event of a response.
func (c *Chooser) recordFirstEvent(m *serverState, e FirstEvent) {
	if e.Dispatch.Slowdown == 0 || e.After < 0 || e.Dispatch.UncachedTokens < 0 || e.Dispatch.UncachedTokens > maxLearnedTokens {
		return
	}
	m.speed.observe(c.rates(m.Service).learn(e))
}

// rates returns the rates of a service.
func (c *Chooser) rates(service string) *Rates {
	r := c.learned[service]
	if r == nil {
		r = initialRates()
		c.learned[service] = r
	}
	return r
}

// slowdownNow returns the reported slowdown, with a weight that falls with its age. A machine that reports less than
// the usual time counts as usual: all hosts would be drawn to it.
func (m *serverState) slowdownNow(now clocker.Millis) float64 {
	age := now - m.slowdownAt
	if m.slowdown <= 1 || age >= slowdownLifetime {
		return 1
	}
	weight := 1 - float64(max(0, age))/float64(slowdownLifetime)
	return 1 + weight*(min(m.slowdown, maxSlowdown)-1)
}

func clamp(x, low, high float64) float64 {
	return max(low, min(x, high))
}

func clampLog(x float64) float64 {
	return clamp(x, -maxLogError, maxLogError)
}
