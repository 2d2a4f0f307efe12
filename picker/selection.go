package picker

import (
	"math"
	"slices"

	"cowsliphinge/clocker"
)

const (
	// maxLoadFactor bounds the load that affinity may put on a server, as a multiple of
	// the mean load.
	maxLoadFactor = 1.5
	// minAffinityLoad is the share of its capacity up to which a server gets requests by
	// affinity regardless of the mean load.
	minAffinityLoad = 0.5
	// maxScannedServers bounds the servers that one pick examines in the own availability
	// zone, and likewise in the other zones together.
	maxScannedServers = 1024
)

// relaxation lists the rules that a pick ignores because no server satisfies them.
type relaxation struct {
	allowAvoided bool
	allowEjected bool
}

// relaxations are applied in order until some server is eligible.
var relaxations = []relaxation{{}, {allowAvoided: true}, {allowAvoided: true, allowEjected: true}}

// query is a request with the rules that exclude servers.
type query struct {
	Request
	leaving    func(string) bool
	relaxation relaxation
}

// allows reports whether s is eligible for the query, regardless of free slots.
func (q *query) allows(now clocker.Millis, s *server) bool {
	if !q.relaxation.allowEjected && !s.health.available(now, s.inFlight) {
		return false
	}
	if !q.relaxation.allowAvoided && slices.Contains(q.Avoid, s.name) {
		return false
	}
	return !q.leaving(s.name)
}

// candidate is an eligible server with a free slot.
type candidate struct {
	server   *server
	load     float64
	capacity float64
	slowness float64
}

// cost is the relative load of the server with one more request; lower is better.
func (c *candidate) cost() float64 {
	return (c.load + 1) / c.capacity
}

// scanResult collects the candidates and totals of a scan over servers.
type scanResult struct {
	candidates []candidate
	load       float64
	capacity   float64
	// anyEligible is true if a server is eligible, with or without a free slot.
	anyEligible bool
}

// mean is the mean relative load of the scanned servers with one more request.
func (v *scanResult) mean() float64 {
	return (v.load + 1) / v.capacity
}

// scan examines servers and adds the eligible ones with a free slot to the candidates.
func (p *Picker) scan(now clocker.Millis, v *scanResult, servers []*server, q *query) {
	start, n := p.scanWindow(len(servers), q.Prefix)
	for i := range n {
		s := servers[(start+i)%len(servers)]
		if !q.allows(now, s) {
			continue
		}
		v.anyEligible = true
		ramp := s.rampShare(now)
		c := candidate{server: s, load: s.load(now), slowness: s.slowness(now)}
		c.capacity = float64(s.slots) * ramp / c.slowness
		v.load += c.load
		v.capacity += c.capacity
		if s.hasFreeSlot(now, ramp) {
			v.candidates = append(v.candidates, c)
		}
	}
}

// choose returns the best server for the query, or nil. The boolean result reports
// whether any server is eligible, with or without a free slot.
func (p *Picker) choose(now clocker.Millis, servers []*server, q *query) (*server, bool) {
	v := scanResult{candidates: p.scratch[:0]}
	p.scan(now, &v, servers, q)
	p.scratch = v.candidates
	if len(v.candidates) == 0 {
		return nil, v.anyEligible
	}
	if q.Prefix != 0 {
		if s := p.byAffinity(now, &v, q.Prefix); s != nil {
			return s, true
		}
	}
	return p.byLoad(v.candidates), true
}

// chooseAcrossZones returns the server preferred by affinity among all availability
// zones. It returns nil if the own zone has enough servers to cache the prefixes itself.
func (p *Picker) chooseAcrossZones(now clocker.Millis, pool *serverPool, q *query) *server {
	if q.Prefix == 0 || len(pool.own) >= p.minOwnZoneServers || len(pool.others) == 0 {
		return nil
	}
	v := scanResult{candidates: p.scratch[:0]}
	p.scan(now, &v, pool.own, q)
	p.scan(now, &v, pool.others, q)
	p.scratch = v.candidates
	return p.byAffinity(now, &v, q.Prefix)
}

// scanWindow returns the index of the first of n servers to examine and the number of
// servers to examine. All requests with the same prefix examine the same servers.
func (p *Picker) scanWindow(n int, prefix uint64) (start, length int) {
	if n <= maxScannedServers {
		return 0, n
	}
	if prefix != 0 {
		return int(rendezvousWeight(0, prefix) % uint64(n)), maxScannedServers
	}
	return p.random.IntN(n), maxScannedServers
}

// byAffinity returns the least loaded server that probably caches the prefix, or else the
// server with the highest rendezvous weight. It considers only servers below the load
// bound and returns nil if there are none. The load of prompts in prefill does not count
// towards the bound; it passes within prefillDuration.
func (p *Picker) byAffinity(now clocker.Millis, v *scanResult, prefix uint64) *server {
	var holder, preferred *candidate
	var highest uint64
	entry := p.hints.entries[prefix]
	mean := v.mean()
	for i := range v.candidates {
		c := &v.candidates[i]
		bound := max(minAffinityLoad*c.capacity, math.Ceil(maxLoadFactor*mean*c.capacity))
		if c.load-c.server.prefillLoad(now)+1 > bound || c.slowness >= maxAffinitySlowness || !c.server.zone.allowsAffinity(now) {
			continue
		}
		if entry.holds(now, c.server) && (holder == nil || c.cost() < holder.cost()) {
			holder = c
		}
		if weight := rendezvousWeight(c.server.hash, prefix); preferred == nil || weight > highest {
			preferred, highest = c, weight
		}
	}
	if holder != nil {
		return holder.server
	}
	if preferred != nil {
		return preferred.server
	}
	return nil
}

// byLoad returns the server with the lowest cost; ties are broken at random.
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
