package experimenter

import (
	"maps"
	"slices"
)

// Result is what one run measured, requests of the warm-up left out.
type Result struct {
	Policy Policy
	// Offered requests, Answered ones whole and in time, Attempts made in all.
	Offered  int
	Answered int
	Attempts int
	// Attempted requests reached a backend server at least once.
	Attempted int
	// Ends counts how requests ended.
	Ends map[string]int
	// Goodput is whole answers in time, per second.
	Goodput float64
	// P50, P95 and P99 of the time to the first token, in milliseconds. A
	// request without an answer counts as its deadline.
	P50, P95, P99 float64
	// AnsweredP95 is the same over answered requests alone.
	AnsweredP95 float64
	// HitShare is the share of started answers whose prefix was cached.
	HitShare float64
	// Shares is how much of its demand each client account got.
	Shares []float64

	parameters Parameters
	firsts     []float64
	answered   []float64
	hits       int
	started    int
	demand     []int
	served     []int
}

func newResult(p Parameters, policy Policy) Result {
	return Result{
		Policy:     policy,
		Ends:       map[string]int{},
		parameters: p,
		demand:     make([]int, len(p.Demand)),
		served:     make([]int, len(p.Demand)),
	}
}

// counts reports whether a request is within the measured time and old enough
// at its end to have ended.
func (m *Result) counts(r *request) bool {
	p := m.parameters
	return r.at >= p.Warmup && r.at < p.Warmup+p.Length-p.Deadline
}

func (m *Result) arrived(r *request) {
	if m.counts(r) {
		m.Offered++
		m.demand[r.account]++
	}
}

func (m *Result) attempted(r *request) {
	if m.counts(r) {
		m.Attempts++
		if r.attempts == 1 {
			m.Attempted++
		}
	}
}

func (m *Result) dispatched(r *request) {
	if !m.counts(r) {
		return
	}
	m.started++
	if r.job.hit {
		m.hits++
	}
}

func (m *Result) ended(r *request, how string) {
	if !m.counts(r) {
		return
	}
	m.Ends[how]++
	first := m.parameters.Deadline
	if how == "answered" {
		m.Answered++
		m.served[r.account]++
		first = r.first - r.at
		m.answered = append(m.answered, first)
	}
	m.firsts = append(m.firsts, first)
}

func (m *Result) finish() {
	slices.Sort(m.firsts)
	slices.Sort(m.answered)
	m.P50 = percentile(m.firsts, 0.50)
	m.P95 = percentile(m.firsts, 0.95)
	m.P99 = percentile(m.firsts, 0.99)
	m.AnsweredP95 = percentile(m.answered, 0.95)
	p := m.parameters
	m.Goodput = float64(m.Answered) * 1000 / (p.Length - p.Deadline)
	m.HitShare = float64(m.hits) / float64(max(1, m.started))
	for i, demand := range m.demand {
		m.Shares = append(m.Shares, float64(m.served[i])/float64(max(1, demand)))
	}
}

// percentile returns the value that share of the sorted values keep to.
func percentile(sorted []float64, share float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}

// Amplification is attempts per request that reached a backend server.
func (m *Result) Amplification() float64 {
	return float64(m.Attempts) / float64(max(1, m.Attempted))
}

// EndNames lists how requests ended, sorted.
func (m *Result) EndNames() []string {
	return slices.Sorted(maps.Keys(m.Ends))
}
