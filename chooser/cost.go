package chooser

import (
	"maps"

	"github.com/cespare/xxhash/v2"

	"cowsliphinge/clocker"
)

const (
	// recomputeWeight multiplies the prefill time of an uncached part, because
	// computing it also evicts another part from the engine's cache.
	recomputeWeight = 2
	// aheadCostMs is the cost of each request that this host sent to a server beyond the mean of the
	// servers in the same zone, for the server's speed. A host hears too seldom from each of many servers to spread its requests by
	// their reports alone.
	aheadCostMs = 100
	// minAhead bounds that number below: many hosts may find at once that they sent little to a server that has
	// been away.
	minAhead = -1
	// minAheadHeard and maxAheadHeard bound that number where the server reported its load lately: several hosts
	// may have left room there.
	minAheadHeard = -0.3
	maxAheadHeard = 0.8
	// ledgerSends is the number of sends per server after which an earlier one has faded to 1/e.
	ledgerSends = 4
	// maxLedgerWeight is where the weights of a ledger are scaled down.
	maxLedgerWeight = 1e100
	// affinityLoadFactor is the load of a server, relative to the mean, beyond which part of the requests that
	// prefer it go to the next one in the order that all hosts share.
	affinityLoadFactor = 1.15
	// affinityServers is the number of servers in the order of the hash that may share the requests.
	affinityServers = 8
	// minHomes is the number of servers that share the requests with a shared part, and homesPerShare what is added
	// for each server's part of all requests that have it.
	minHomes      = 3
	homesPerShare = 1.5
	// homeRankCostMs is the cost of each step in that order. It is more than the random cost, so that the first server
	// gets the requests of all hosts unless it is loaded.
	homeRankCostMs = 12
	// firstHomeAhead is the number of requests that a host may be ahead at the first server without a cost.
	firstHomeAhead = 0.7
	// maxLedgerKeys bounds the shared parts that are counted. Callers choose their IDs.
	maxLedgerKeys = 4096
	// aheadHeardAge is the age of a report up to which minAheadHeard and maxAheadHeard hold.
	aheadHeardAge = 3 * clocker.Second
	// affinityLoadSlack is added to that load, in requests: small numbers vary much.
	affinityLoadSlack = 1
)

// sendLedger weighs the sends of this host to the servers of one service. The weight of a send grows with
// each, so that earlier ones fade without a pass over the servers.
type sendLedger struct {
	weight float64
	// total is the weight of all sends, and keys those of the requests with each shared part.
	total float64
	keys  map[uint64]float64
	// growth is the factor between the weights of two sends.
	growth float64
}

// record returns the weight of a new send.
func (l *sendLedger) record() float64 {
	l.weight *= l.growth
	l.total += l.weight
	return l.weight
}

// count counts a request with a shared part, and returns the number of them lately.
func (l *sendLedger) count(part []byte) float64 {
	key := xxhash.Sum64(part) // callers choose the lengths of IDs
	if _, known := l.keys[key]; !known && len(l.keys) >= maxLedgerKeys {
		maps.DeleteFunc(l.keys, func(_ uint64, n float64) bool { return n < 2*l.weight })
		if len(l.keys) >= maxLedgerKeys {
			clear(l.keys)
		}
	}
	l.keys[key] += l.weight
	return l.keys[key] / l.weight
}

// ledger returns the ledger of a service.
func (c *Chooser) ledger(service string) *sendLedger {
	l := c.ledgers[service]
	if l == nil {
		l = &sendLedger{weight: 1, growth: 1, keys: map[uint64]float64{}}
		c.ledgers[service] = l
	}
	return l
}

// meanSent returns the mean part in the ledger of the servers with which a server is compared. One that is new, or has
// failed, starts with it: all hosts would send to it at once otherwise.
func (c *Chooser) meanSent(s Server) float64 {
	sum, n := 0.0, 0
	for _, m := range c.servers {
		if m.Service == s.Service && c.local(m.AvailabilityZone) == c.local(s.AvailabilityZone) {
			sum += m.sent
			n++
		}
	}
	return sum / float64(max(1, n))
}

// local reports whether a zone is that of this host.
func (c *Chooser) local(zone string) bool {
	return zone == c.cfg.AvailabilityZone
}

// scaleLedger sets how fast earlier sends fade, given the number of servers, and keeps the weights in the range of numbers.
func (c *Chooser) scaleLedger(l *sendLedger, service string, servers int) {
	l.growth = 1 + 1/float64(ledgerSends*servers)
	if l.weight < maxLedgerWeight {
		return
	}
	for _, m := range c.servers {
		if m.Service == service {
			m.sent /= l.weight
		}
	}
	for _, m := range c.removed {
		if m.Service == service {
			m.sent /= l.weight
		}
	}
	for key := range l.keys {
		l.keys[key] /= l.weight
	}
	l.total /= l.weight
	l.weight = 1
}

// serverView is what a choice takes into account of one server.
type serverView struct {
	*serverState
	load float64
	// slowness is the factor on the times of the service: that of the server, and its present slowdown.
	slowness, slowdown float64
	// ahead is the number of requests that this host sent to the server beyond its part.
	ahead float64
	// sentNow is the number of those requests, for the server's speed.
	sentNow          float64
	local, preferred bool
	rank             int
}

// choiceView is what a choice takes into account of all candidates.
type choiceView struct {
	servers []serverView
	rates   *Rates
	// spreads is true if requests are spread by the sends of this host: the servers are uneven, as their
	// reports tell. Elsewhere that only moves prompts away from the server that has them cached.
	spreads bool
	// meanLoad is that of the service.
	meanLoad float64
	// meanSent is that of sentNow.
	meanSent float64
	ledger   *sendLedger
}

// view collects what is known of the candidates now.
func (c *Chooser) view(candidates []*serverState, r Request, now clocker.Millis) choiceView {
	ledger := c.ledger(r.Service)
	c.scaleLedger(ledger, r.Service, len(candidates))
	v := choiceView{servers: c.views[:0], ledger: ledger, rates: c.rates(r.Service), spreads: c.sharedMachines[r.Service], meanLoad: c.meanLoad[r.Service]}
	var sum, count [2]float64
	for _, m := range candidates {
		s := serverView{serverState: m, load: m.estimatedLoad(now, v.meanLoad), slowdown: m.slowdownNow(now), local: c.local(m.AvailabilityZone)}
		speed := m.speed.factor()
		s.slowness = speed * s.slowdown
		s.sentNow = speed * m.sent / ledger.weight
		s.ahead = s.sentNow
		v.meanSent += s.sentNow / float64(len(candidates))
		zone := zoneIndex(s.local)
		sum[zone] += s.ahead
		count[zone]++
		v.servers = append(v.servers, s)
	}
	for i := range v.servers {
		zone := zoneIndex(v.servers[i].local)
		s := &v.servers[i]
		s.ahead = max(s.ahead-sum[zone]/count[zone], minAhead)
		if s.reportedWithin(aheadHeardAge, now) {
			s.ahead = clamp(s.ahead, minAheadHeard, maxAheadHeard)
		}
	}
	c.views = v.servers
	return v
}

// zoneIndex returns 0 for the own zone and 1 for the others: their sends are compared apart, since the own zone is
// preferred.
func zoneIndex(local bool) int {
	if local {
		return 0
	}
	return 1
}

// dispatch returns what is known of a server when a request is sent to it.
func (v choiceView) dispatch(i int, r Request, now clocker.Millis) Dispatch {
	s := v.servers[i]
	slots := float64(s.slots())
	tokens := s.uncachedTokens(r.Prompt)
	if len(r.Prompt) > 0 {
		tokens += r.Prompt[len(r.Prompt)-1].Tokens
	}
	return Dispatch{UncachedTokens: tokens, Batched: s.load, Queued: max(0, s.load+1-slots), Slowdown: s.slowdown, FreeSlot: s.reportedWithin(maxLoadAge, now) && s.load+1 <= slots}
}

// preferHomes marks the servers that all hosts prefer for the shared parts of a
// prompt, by rendezvous hashing of the last shared part, unless the prompt shares too
// few tokens. A server with more than its part of the load gives the requests beyond it to the next one
// by the hash, which all hosts share, too. Each host gives away a random part, so that not all of them move at once.
func (c *Chooser) preferHomes(v choiceView, r Request) {
	if sharedTokens(r.Prompt) < minSharedTokens {
		return
	}
	key := append(c.hashInput[:0], r.Prompt[len(r.Prompt)-2].ID...)
	key = append(key, '/')
	var order [affinityServers]int
	var hashes [affinityServers]uint64
	n := 0
	for i := range v.servers {
		c.hashInput = append(key, v.servers[i].ID...)
		h := xxhash.Sum64(c.hashInput)
		at := n
		for at > 0 && h > hashes[at-1] {
			at--
		}
		if at == affinityServers {
			continue
		}
		n = min(n+1, affinityServers)
		copy(order[at+1:n], order[at:n-1])
		copy(hashes[at+1:n], hashes[at:n-1])
		order[at], hashes[at] = i, h
	}
	wanted := min(n, c.homes(key, v))
	for rank, i := range order[:n] {
		if wanted > 0 && (rank == n-1 || c.random.Float64() >= v.surplus(i)) {
			v.servers[i].preferred = true
			v.servers[i].rank = rank
			wanted--
		}
	}
}

// homes returns how many servers share the requests with a shared part: more for a part that many requests of this
// host hold lately.
func (c *Chooser) homes(key []byte, v choiceView) int {
	servers := float64(len(v.servers))
	others := v.ledger.count(key) - 1
	if !v.spreads {
		return 1
	}
	return minHomes + int(homesPerShare*others*servers/(v.ledger.total/v.ledger.weight+servers))
}

// surplus returns the part of the requests of a server that exceeds its part of the service's load, or of the sends of
// this host, whichever is more.
func (v choiceView) surplus(i int) float64 {
	if !v.spreads {
		return 0
	}
	s := &v.servers[i]
	return max(0, 1-(affinityLoadFactor*v.meanLoad+affinityLoadSlack)/max(s.load, 1), 1-(affinityLoadFactor*v.meanSent+affinityLoadSlack)/max(s.sentNow, 1))
}

// cost estimates how much longer a request takes on a server than on an idle server of
// the own availability zone, in milliseconds. Uncached tokens cost nothing on the preferred
// servers: the requests of all hosts with the same shared parts go there, so they either have
// them cached or are the ones that should compute them.
func (c *Chooser) cost(v choiceView, i int, r Request) float64 {
	s := &v.servers[i]
	cost := v.rates.PerBatched*s.load + maxJitterCostMs*c.random.Float64()
	if excess := s.load + 1 - float64(s.slots()); excess > 0 {
		cost += v.rates.PerQueued * excess
	}
	if n := len(r.Prompt); n > 0 {
		cost += v.rates.PerToken * float64(r.Prompt[n-1].Tokens)
	}
	if !s.preferred {
		cost += recomputeWeight * v.rates.PerToken * float64(s.uncachedTokens(r.Prompt))
	}
	cost *= s.slowness
	if v.spreads {
		cost += aheadCostMs * s.ahead
	}
	switch {
	case !v.spreads:
	case s.preferred && s.rank == 0:
		cost -= aheadCostMs * firstHomeAhead
	case s.preferred:
		cost += homeRankCostMs * float64(s.rank)
	}
	if !s.local {
		cost += otherZoneCostMs
	}
	if s.ColdRemaining > 0 {
		cost += coldServerCostMs
	}
	return cost + errorCostMs*s.errorRate
}

func sharedTokens(prompt []PromptPart) int {
	tokens := 0
	for _, p := range prompt[:max(0, len(prompt)-1)] {
		tokens += p.Tokens
	}
	return tokens
}

// uncachedTokens returns the number of shared prompt tokens that the server has to
// compute. A part can only be reused if all parts before it are cached.
func (m *serverState) uncachedTokens(prompt []PromptPart) int {
	tokens := 0
	missing := false
	for _, p := range prompt[:max(0, len(prompt)-1)] {
		missing = missing || !m.cache.has(p.ID)
		if missing {
			tokens += p.Tokens
		}
	}
	return tokens
}
