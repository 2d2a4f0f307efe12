package picker

import (
	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

const (
	// rampDuration is how long a new server takes to reach its full share of requests.
	rampDuration = 10 * clocker.Second
	// initialRampShare is the share of its slots that a new server starts with.
	initialRampShare = 0.1
	// reportLifetime is how long a load report is used; its weight decreases linearly.
	reportLifetime = 10 * clocker.Second
	// maxFreshReportAge is the age up to which a load report can mark a server as full.
	maxFreshReportAge = 1 * clocker.Second
	// overloadFactor is the estimated load from which a server is full, as a multiple of
	// its slots.
	overloadFactor = 1.1
	// prefillLoadShare is the load of a prompt that is probably in prefill, as a share of
	// the slots. prefillDuration is how long a prefill is assumed to take.
	prefillLoadShare = 0.5
	prefillDuration  = 200 * clocker.Millis(1)
	// minSlowRatio is the ratio of a server's time per token to that of its pool above
	// which the server counts as slow.
	minSlowRatio = 1.5
	// minStuckRatio is the ratio of the age per token of the requests in flight to the
	// time per token of the pool above which the server counts as slow.
	minStuckRatio = 3
	// maxAffinitySlowness is the slowness from which affinity does not choose a server.
	maxAffinitySlowness = 3
	// maxSlowness bounds the factor by which the capacity of a slow server is divided.
	maxSlowness = 20
	// msPerTokenLifetime is how long a server's time per token is used without a new
	// sample; its weight decreases linearly.
	msPerTokenLifetime = 60 * clocker.Second
	// msPerTokenWeight is the weight of a new sample in a server's time per token. In
	// that of the pool it has a quarter of this weight.
	msPerTokenWeight = 0.1
	// minRefusalBackOff is the back-off after the first refusal; it doubles with each
	// consecutive refusal.
	minRefusalBackOff = 50 * clocker.Millis(1)
	// maxRefusalBackOff bounds that back-off.
	maxRefusalBackOff = 2 * clocker.Second
)

// server is the state of one backend server.
type server struct {
	name        string
	hash        uint64
	declaration *messenger.BackendServer
	// pool is the pool of the last model of the declaration. The statistics of the server
	// and the holders of prefixes refer to this pool only, even if the server has several
	// models and is in several pools.
	pool  *serverPool
	zone  *zone
	slots int64
	// limit is how many slots this host may take concurrently.
	limit int64

	// inFlight is the number of slots that this host has taken, takenAtSum the sum of
	// the times when it took them, and tokens the sum of the worst-case token counts of
	// their requests.
	inFlight        int64
	takenAtSum      clocker.Millis
	tokens          int64
	inFlightHistory history

	// rampStartedAt is when the server was added or recovered from an ejection; 0 if it
	// needs no ramp.
	rampStartedAt clocker.Millis

	// otherLoad is the load caused by other hosts according to the last report, in
	// requests.
	otherLoad  float64
	reportedAt clocker.Millis

	// msPerToken is the average time of a complete answer, in milliseconds per worst-case
	// token.
	msPerToken   float64
	msPerTokenAt clocker.Millis

	// recentPrefills counts the prompts recently sent to the server whose prefix it
	// probably did not cache.
	recentPrefills   float64
	recentPrefillsAt clocker.Millis

	consecutiveRefusals int
	backOffUntil        clocker.Millis
	health              health
}

func newServer(name string, now clocker.Millis, arrival bool) *server {
	s := &server{name: name, hash: hashString(name)}
	if arrival {
		s.rampStartedAt = now
	}
	return s
}

func (s *server) setDeclaration(d *messenger.BackendServer) {
	s.declaration = d
	s.slots = SlotsOf(d)
	if s.limit == 0 {
		s.limit = s.slots
	}
}

// SlotsOf returns how many requests a backend server runs concurrently.
func SlotsOf(d *messenger.BackendServer) int64 {
	if d.GetSlots() <= 0 {
		return DefaultSlots
	}
	return d.GetSlots()
}

func (s *server) takeSlot(now clocker.Millis, tokens int64) {
	s.inFlight++
	s.takenAtSum += now
	s.tokens += tokens
	s.inFlightHistory.record(now, s.inFlight)
}

func (s *server) releaseSlot(now clocker.Millis, c Choice) {
	s.inFlight--
	s.takenAtSum -= c.TakenAt
	s.tokens -= c.Tokens
	s.inFlightHistory.record(now, s.inFlight)
}

// rampShare returns the share of its capacity that the server gets at now.
func (s *server) rampShare(now clocker.Millis) float64 {
	if s.rampStartedAt == 0 {
		return 1
	}
	share := float64(now-s.rampStartedAt) / float64(rampDuration)
	return min(1, max(initialRampShare, share))
}

// hasFreeSlot reports whether this host may take another slot on the server.
func (s *server) hasFreeSlot(now clocker.Millis, ramp float64) bool {
	limit := float64(min(s.limit, s.slots)) * ramp
	if s.inFlight > 0 && float64(s.inFlight) >= limit {
		return false
	}
	if now < s.backOffUntil {
		return false
	}
	fresh := now-s.reportedAt <= maxFreshReportAge
	return !fresh || float64(s.inFlight)+s.otherLoad < overloadFactor*float64(s.slots)
}

// load estimates the requests on the server, including those of other hosts.
func (s *server) load(now clocker.Millis) float64 {
	load := float64(s.inFlight) + s.prefillLoad(now)
	if age := now - s.reportedAt; age < reportLifetime {
		load += s.otherLoad * (1 - float64(age)/float64(reportLifetime))
	}
	return load
}

// prefillLoad estimates the load of the prompts in prefill.
func (s *server) prefillLoad(now clocker.Millis) float64 {
	return prefillLoadShare * float64(s.slots) * s.activePrefills(now)
}

// activePrefills estimates how many prompts are in prefill.
func (s *server) activePrefills(now clocker.Millis) float64 {
	return s.recentPrefills * max(0, 1-float64(now-s.recentPrefillsAt)/float64(prefillDuration))
}

// slowness returns how many times slower than its pool the server is; 1 if it is not
// slow.
func (s *server) slowness(now clocker.Millis) float64 {
	if s.pool.msPerToken == 0 {
		return 1
	}
	slowest := 1.0
	decay := max(0, 1-float64(now-s.msPerTokenAt)/float64(msPerTokenLifetime))
	if ratio := s.msPerToken / s.pool.msPerToken * decay; ratio > minSlowRatio {
		slowest = ratio
	}
	if s.tokens > 0 {
		age := float64(now)*float64(s.inFlight) - float64(s.takenAtSum)
		if ratio := age / float64(s.tokens) / s.pool.msPerToken; ratio > minStuckRatio {
			slowest = max(slowest, ratio)
		}
	}
	return min(slowest, maxSlowness)
}

// recordAnswer updates the time per token with a complete answer.
func (s *server) recordAnswer(now clocker.Millis, c Choice) {
	msPerToken := c.msPerToken(now)
	s.msPerToken = updateAverage(s.msPerToken, msPerToken, msPerTokenWeight)
	s.msPerTokenAt = now
	s.pool.msPerToken = updateAverage(s.pool.msPerToken, msPerToken, msPerTokenWeight/4)
	s.consecutiveRefusals = 0
}

// recordAbandoned updates the time per token with an abandoned answer, if it was already
// slow by then.
func (s *server) recordAbandoned(now clocker.Millis, c Choice) {
	msPerToken := c.msPerToken(now)
	if s.pool.msPerToken > 0 && msPerToken > minSlowRatio*s.pool.msPerToken && msPerToken > s.msPerToken {
		s.msPerToken = updateAverage(s.msPerToken, msPerToken, msPerTokenWeight)
		s.msPerTokenAt = now
	}
}

// msPerToken returns the time since the slot was taken per worst-case token, in
// milliseconds.
func (c Choice) msPerToken(now clocker.Millis) float64 {
	return float64(now-c.TakenAt) / float64(max(1, c.Tokens))
}

// recordRefusal starts a back-off after the server reported that it did not run a request.
func (s *server) recordRefusal(now clocker.Millis) {
	duration := min(maxRefusalBackOff, minRefusalBackOff<<min(s.consecutiveRefusals, 10))
	s.consecutiveRefusals++
	s.backOffUntil = now + duration
}

// recordLoadReport stores a load report, less the requests of this host at the sample time.
func (s *server) recordLoadReport(now clocker.Millis, report LoadReport) {
	ownInFlight := s.inFlightHistory.valueAt(report.SampledAtMs)
	s.otherLoad = max(0, float64(report.Running+report.Queued-ownInFlight))
	s.reportedAt = now
}

// updateAverage returns the exponential moving average after a sample. The first sample
// sets the average.
func updateAverage(value, sample, weight float64) float64 {
	if value == 0 {
		return sample
	}
	return value + weight*(sample-value)
}

// historyLength times historyStep is the oldest sample time of a load report for which the
// number of this host's own requests is known, to within historyStep. That number is
// subtracted from the reported load.
const (
	historyLength = 16
	historyStep   = 100 * clocker.Millis(1)
)

// history is a ring of the recent number of requests in flight.
type history struct {
	times  [historyLength]clocker.Millis
	values [historyLength]int64
	last   int
}

// record sets the value from now on. Values within one historyStep share an entry.
func (h *history) record(now clocker.Millis, value int64) {
	if now-h.times[h.last] >= historyStep {
		h.last = (h.last + 1) % historyLength
		h.times[h.last] = now
	}
	h.values[h.last] = value
}

// valueAt returns the value at a past time, or the oldest recorded one.
func (h *history) valueAt(past clocker.Millis) int64 {
	for i := range historyLength {
		n := (h.last - i + historyLength) % historyLength
		if h.times[n] <= past {
			return h.values[n]
		}
	}
	return h.values[(h.last+1)%historyLength]
}
