package picker

import (
	"math"
	"slices"

	"cowsliphinge/clocker"
)

const (
	// loadFactor is how far above the mean load affinity may fill a server.
	loadFactor = 1.5
	// affinityFloor is the share of its capacity up to which a server takes
	// requests by affinity whatever the mean.
	affinityFloor = 0.5
	// maxScan bounds the servers that one pick looks at in each of the own and
	// the other availability zones.
	maxScan = 1024
)

// ease says which rules a pick sets aside because no server meets them.
type ease struct {
	avoided bool
	ejected bool
}

// eases are tried in turn until some server would do.
var eases = []ease{{}, {avoided: true}, {avoided: true, ejected: true}}

// query is a request, and what it excludes.
type query struct {
	Request
	leaving func(string) bool
	ease    ease
}

// allows reports whether the query may go to s at all.
func (q *query) allows(now clocker.Millis, s *server) bool {
	if !q.ease.ejected && !s.health.live(now, s.inFlight) {
		return false
	}
	if !q.ease.avoided && slices.Contains(q.Avoid, s.name) {
		return false
	}
	return !q.leaving(s.name)
}

// candidate is a server that has a free slot.
type candidate struct {
	server   *server
	load     float64
	capacity float64
	slowness float64
}

// cost compares servers: the load with one more request per capacity.
func (c *candidate) cost() float64 {
	return (c.load + 1) / c.capacity
}

// survey is what one pass over servers found.
type survey struct {
	candidates []candidate
	load       float64
	capacity   float64
	// live is true if any server would do if it had a free slot.
	live bool
}

// mean is the load per capacity with one more request.
func (v *survey) mean() float64 {
	return (v.load + 1) / v.capacity
}

// survey looks at servers and adds those with a free slot to the candidates.
func (p *Picker) survey(now clocker.Millis, v *survey, servers []*server, q *query) {
	start, n := p.window(len(servers), q.Prefix)
	for i := range n {
		s := servers[(start+i)%len(servers)]
		if !q.allows(now, s) {
			continue
		}
		v.live = true
		ramp := s.ramp(now)
		c := candidate{server: s, load: s.load(now), slowness: s.slowness(now)}
		c.capacity = float64(s.slots) * ramp / c.slowness
		v.load += c.load
		v.capacity += c.capacity
		if s.hasSlot(now, ramp) {
			v.candidates = append(v.candidates, c)
		}
	}
}

// choose returns the best server for the query, or nil, and whether any would
// do if it had a free slot.
func (p *Picker) choose(now clocker.Millis, servers []*server, q *query) (*server, bool) {
	v := survey{candidates: p.scratch[:0]}
	p.survey(now, &v, servers, q)
	p.scratch = v.candidates
	if len(v.candidates) == 0 {
		return nil, v.live
	}
	if q.Prefix != 0 {
		if s := p.byAffinity(now, &v, q.Prefix); s != nil {
			return s, true
		}
	}
	return p.byLoad(v.candidates), true
}

// chooseAcross returns the server that affinity prefers among all availability
// zones, or nil if the own zone is large enough to hold the prefixes itself.
func (p *Picker) chooseAcross(now clocker.Millis, found *pool, q *query) *server {
	if q.Prefix == 0 || len(found.own) >= p.span || len(found.others) == 0 {
		return nil
	}
	v := survey{candidates: p.scratch[:0]}
	p.survey(now, &v, found.own, q)
	p.survey(now, &v, found.others, q)
	p.scratch = v.candidates
	return p.byAffinity(now, &v, q.Prefix)
}

// window returns where to start among n servers and how many to look at. The
// requests of one prefix always look at the same ones.
func (p *Picker) window(n int, prefix uint64) (start, length int) {
	if n <= maxScan {
		return 0, n
	}
	if prefix != 0 {
		return int(rendezvous(0, prefix) % uint64(n)), maxScan
	}
	return p.random.IntN(n), maxScan
}

// byAffinity returns the least loaded probable holder of the prefix, else the
// server of highest rendezvous weight, both only up to the load bound; nil if
// all are above it.
func (p *Picker) byAffinity(now clocker.Millis, v *survey, prefix uint64) *server {
	var holder, first *candidate
	var highest uint64
	entry := p.hints.entries[prefix]
	mean := v.mean()
	for i := range v.candidates {
		c := &v.candidates[i]
		bound := max(affinityFloor*c.capacity, math.Ceil(loadFactor*mean*c.capacity))
		if c.load-c.server.prefillLoad(now)+1 > bound || c.slowness >= verySlow || !c.server.zone.open(now) {
			continue
		}
		if entry.holds(now, c.server) && (holder == nil || c.cost() < holder.cost()) {
			holder = c
		}
		if weight := rendezvous(c.server.hash, prefix); first == nil || weight > highest {
			first, highest = c, weight
		}
	}
	if holder != nil {
		return holder.server
	}
	if first != nil {
		return first.server
	}
	return nil
}

// byLoad returns the server of least cost, ties broken at random.
func (p *Picker) byLoad(candidates []candidate) *server {
	start := p.random.IntN(len(candidates))
	best := &candidates[start]
	for i := range candidates {
		c := &candidates[(start+i)%len(candidates)]
		if c.cost() < best.cost() {
			best = c
		}
	}
	return best.server
}
