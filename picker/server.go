package picker

import (
	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

const (
	// rampTime is how long an arrival takes to get its full share of requests.
	rampTime = 10 * clocker.Second
	// rampStart is the share of the slots that an arrival starts with.
	rampStart = 0.1
	// reportLife is how long a load report counts, less with each millisecond.
	reportLife = 10 * clocker.Second
	// freshReport is the age up to which a report of a full server is believed.
	freshReport = 1 * clocker.Second
	// overload is the estimated load, in slots, from which a server is full.
	overload = 1.1
	// prefillWeight is the load of a prompt that is probably being computed, as a
	// share of the slots, and prefillLife how long that is assumed to last.
	prefillWeight = 0.5
	prefillLife   = 200 * clocker.Millis(1)
	// slowRatio is how much slower than its pool a server must be to count as slow.
	slowRatio = 1.5
	// stuckRatio is the same for the age of requests that are not answered yet.
	stuckRatio = 3
	// verySlow is the slowness from which affinity shuns a server.
	verySlow = 3
	// maxSlowness bounds how much less work a slow server gets.
	maxSlowness = 20
	// paceLife is how long a slow server is remembered without a new sample.
	paceLife = 60 * clocker.Second
	// paceShare is the weight of a new sample of a server's pace.
	paceShare = 0.1
	// refusedHold is the first pause after a refusal; it doubles with each in a row.
	refusedHold = 50 * clocker.Millis(1)
	// maxRefusedHold bounds that pause.
	maxRefusedHold = 2 * clocker.Second
)

// server is what the picker knows of one backend server.
type server struct {
	name     string
	hash     uint64
	declared *messenger.BackendServer
	home     *pool
	zone     *zone
	slots    int64
	// limit is how many slots this router may take at once.
	limit int64

	// inFlight is how many slots this router has taken, takenSum the sum of the
	// times when it took them, tokens the sum of their worst cases.
	inFlight int64
	takenSum clocker.Millis
	tokens   int64
	recent   history

	// rampFrom is when the server arrived or came back; 0 if it needs no ramp.
	rampFrom clocker.Millis

	// others is the load of other routers by the last report, in requests.
	others     float64
	reportedAt clocker.Millis

	// pace is the smoothed time of a whole answer per token, in milliseconds.
	pace    float64
	pacedAt clocker.Millis

	// prefill counts prompts sent lately to a server that did not hold their prefix.
	prefill   float64
	prefillAt clocker.Millis

	refusals  int
	heldUntil clocker.Millis
	health    health
}

func newServer(name string, now clocker.Millis, arrival bool) *server {
	s := &server{name: name, hash: hashString(name)}
	if arrival {
		s.rampFrom = now
	}
	return s
}

func (s *server) declare(d *messenger.BackendServer) {
	s.declared = d
	s.slots = SlotsOf(d)
	if s.limit == 0 {
		s.limit = s.slots
	}
}

// SlotsOf returns how many requests a backend server runs at once.
func SlotsOf(d *messenger.BackendServer) int64 {
	if d.GetSlots() <= 0 {
		return DefaultSlots
	}
	return d.GetSlots()
}

func (s *server) take(now clocker.Millis, tokens int64) {
	s.inFlight++
	s.takenSum += now
	s.tokens += tokens
	s.recent.add(now, s.inFlight)
}

func (s *server) giveBack(now clocker.Millis, c Choice) {
	s.inFlight--
	s.takenSum -= c.TakenAt
	s.tokens -= c.Tokens
	s.recent.add(now, s.inFlight)
}

// ramp is the share of its capacity that the server gets at now.
func (s *server) ramp(now clocker.Millis) float64 {
	if s.rampFrom == 0 {
		return 1
	}
	share := float64(now-s.rampFrom) / float64(rampTime)
	return min(1, max(rampStart, share))
}

// hasSlot reports whether this router may take another slot.
func (s *server) hasSlot(now clocker.Millis, ramp float64) bool {
	limit := float64(min(s.limit, s.slots)) * ramp
	if s.inFlight > 0 && float64(s.inFlight) >= limit {
		return false
	}
	if now < s.heldUntil {
		return false
	}
	fresh := now-s.reportedAt <= freshReport
	return !fresh || float64(s.inFlight)+s.others < overload*float64(s.slots)
}

// load estimates the requests on the server, those of other routers included.
func (s *server) load(now clocker.Millis) float64 {
	load := float64(s.inFlight) + s.prefillLoad(now)
	if age := now - s.reportedAt; age < reportLife {
		load += s.others * (1 - float64(age)/float64(reportLife))
	}
	return load
}

// prefillLoad is the load of the prompts that the server computes.
func (s *server) prefillLoad(now clocker.Millis) float64 {
	return prefillWeight * float64(s.slots) * s.prefilling(now)
}

// prefilling estimates how many prompts the server computes.
func (s *server) prefilling(now clocker.Millis) float64 {
	return s.prefill * max(0, 1-float64(now-s.prefillAt)/float64(prefillLife))
}

// slowness is how many times slower than its pool the server is, 1 if it is not.
func (s *server) slowness(now clocker.Millis) float64 {
	if s.home.pace == 0 {
		return 1
	}
	slowest := 1.0
	rest := max(0, 1-float64(now-s.pacedAt)/float64(paceLife))
	if ratio := s.pace / s.home.pace * rest; ratio > slowRatio {
		slowest = ratio
	}
	if s.tokens > 0 {
		age := float64(now)*float64(s.inFlight) - float64(s.takenSum)
		if ratio := age / float64(s.tokens) / s.home.pace; ratio > stuckRatio {
			slowest = max(slowest, ratio)
		}
	}
	return min(slowest, maxSlowness)
}

// answered learns the pace of a whole answer.
func (s *server) answered(now clocker.Millis, c Choice) {
	pace := c.pace(now)
	s.pace = smooth(s.pace, pace, paceShare)
	s.pacedAt = now
	s.home.pace = smooth(s.home.pace, pace, paceShare/4)
	s.refusals = 0
}

// left learns from an answer that was given up if it already was a slow one.
func (s *server) left(now clocker.Millis, c Choice) {
	pace := c.pace(now)
	if s.home.pace > 0 && pace > slowRatio*s.home.pace && pace > s.pace {
		s.pace = smooth(s.pace, pace, paceShare)
		s.pacedAt = now
	}
}

// pace is the time since the slot was taken per token of the worst case, in
// milliseconds.
func (c Choice) pace(now clocker.Millis) float64 {
	return float64(now-c.TakenAt) / float64(max(1, c.Tokens))
}

// refused pauses the server after it said that it did not run a request.
func (s *server) refused(now clocker.Millis) {
	hold := min(maxRefusedHold, refusedHold<<min(s.refusals, 10))
	s.refusals++
	s.heldUntil = now + hold
}

// reported takes over a load report, less what this router had there itself.
func (s *server) reported(now clocker.Millis, report LoadReport) {
	own := s.recent.at(report.SampledAtMs)
	s.others = max(0, float64(report.Running+report.Queued-own))
	s.reportedAt = now
}

// smooth moves an average towards a sample; the first sample counts whole.
func smooth(average, sample, share float64) float64 {
	if average == 0 {
		return sample
	}
	return average + share*(sample-average)
}

// historyLength times historyStep is how far back a lagging report may lie.
const (
	historyLength = 16
	historyStep   = 100 * clocker.Millis(1)
)

// history keeps how many requests were in flight a short while ago.
type history struct {
	times  [historyLength]clocker.Millis
	values [historyLength]int64
	last   int
}

// add records a value from now on; values within one step share an entry.
func (h *history) add(now clocker.Millis, value int64) {
	if now-h.times[h.last] >= historyStep {
		h.last = (h.last + 1) % historyLength
		h.times[h.last] = now
	}
	h.values[h.last] = value
}

// at returns the value at a past time, or the oldest one kept.
func (h *history) at(past clocker.Millis) int64 {
	for i := range historyLength {
		n := (h.last - i + historyLength) % historyLength
		if h.times[n] <= past {
			return h.values[n]
		}
	}
	return h.values[(h.last+1)%historyLength]
}
