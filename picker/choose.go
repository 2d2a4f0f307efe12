package picker

import (
	"math"
	"slices"

	"cowsliphinge/clocker"
)

const (
	// loadFactor is how far above the mean load affinity may fill a server.
	loadFactor = 1.25
	// affinityFloor is the share of its capacity up to which a server takes
	// requests by affinity whatever the mean.
	affinityFloor = 0.25
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
}

// cost compares servers: the load with one more request per capacity.
func (c *candidate) cost() float64 {
	return (c.load + 1) / c.capacity
}

// choose returns the best server for the query, or nil, and whether any would
// do if it had a free slot.
func (p *Picker) choose(now clocker.Millis, servers []*server, q query) (*server, bool) {
	candidates := p.scratch[:0]
	var load, capacity float64
	live := false
	start, n := p.window(len(servers), q.Prefix)
	for i := range n {
		s := servers[(start+i)%len(servers)]
		if !q.allows(now, s) {
			continue
		}
		live = true
		ramp := s.ramp(now)
		c := candidate{server: s, load: s.load(now), capacity: float64(s.slots) * ramp / s.slowness(now)}
		load += c.load
		capacity += c.capacity
		if s.hasSlot(now, ramp) {
			candidates = append(candidates, c)
		}
	}
	p.scratch = candidates
	if len(candidates) == 0 {
		return nil, live
	}
	if q.Prefix != 0 {
		if s := p.byAffinity(now, candidates, q.Prefix, (load+1)/capacity); s != nil {
			return s, true
		}
	}
	return p.byLoad(candidates), true
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
func (p *Picker) byAffinity(now clocker.Millis, candidates []candidate, prefix uint64, mean float64) *server {
	var holder, first *candidate
	var highest uint64
	entry := p.hints.entries[prefix]
	for i := range candidates {
		c := &candidates[i]
		bound := max(affinityFloor*c.capacity, math.Ceil(loadFactor*mean*c.capacity))
		if c.load+1 > bound {
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
