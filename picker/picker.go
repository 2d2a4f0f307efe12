package picker

import (
	"maps"
	"math/rand/v2"
	"slices"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// DefaultSlots is the number of requests that a backend server runs concurrently if its
// declaration does not set it.
const DefaultSlots = 16

// Config configures a Picker.
type Config struct {
	// AvailabilityZone is the own zone, whose backend servers are preferred.
	AvailabilityZone string
	// Seed seeds the random choices.
	Seed uint64
}

// Picker selects backend servers. It is not safe for concurrent use.
type Picker struct {
	cfg     Config
	random  *rand.Rand
	servers map[string]*server
	pools   map[poolKey]*serverPool
	hints   *hints
	zones   map[string]*zone
	// remoteInUse holds the names of servers in other zones that may have requests in
	// flight or be ejected. RemoteServersInUse removes those that have neither.
	remoteInUse       map[string]bool
	scratch           []candidate
	minOwnZoneServers int
	initialized       bool
}

// DefaultMinOwnZoneServers is the default number of servers of a model that the own
// availability zone needs for affinity to stay within it. SetMinOwnZoneServers changes it.
const DefaultMinOwnZoneServers = 16

// poolKey identifies the backend servers that can run a request.
type poolKey struct {
	service string
	model   string
	role    string
}

// serverPool holds the backend servers of one key, split into those of the own
// availability zone and those of other zones.
type serverPool struct {
	own    []*server
	others []*server
	// msPerToken is the average time of complete answers over the pool, in milliseconds
	// per worst-case token.
	msPerToken float64
	// failureShare is the average share of failures over the pool. A new answer has a
	// quarter of the weight that it has in the average of its server.
	failureShare float64
}

// New returns a picker without backend servers.
func New(cfg Config) *Picker {
	return &Picker{
		cfg:     cfg,
		random:  rand.New(rand.NewPCG(cfg.Seed, hashString(cfg.AvailabilityZone))),
		servers: map[string]*server{},
		pools:   map[poolKey]*serverPool{},
		hints:   newHints(),
		zones:   map[string]*zone{},

		remoteInUse:       map[string]bool{},
		minOwnZoneServers: DefaultMinOwnZoneServers,
	}
}

// SetServers replaces the declared backend servers. The state of a server that remains
// declared is kept. A server that is no longer declared is dropped by the first call
// that finds no requests in flight on it.
func (p *Picker) SetServers(now clocker.Millis, declared []*messenger.BackendServer) {
	servers := make(map[string]*server, len(declared))
	p.clearPools()
	for _, d := range declared {
		s := p.servers[d.Name]
		if s == nil {
			s = newServer(d.Name, now, p.initialized)
		}
		s.setDeclaration(d)
		s.zone = p.zoneOf(d.AvailabilityZone)
		servers[d.Name] = s
		p.addToPools(s)
	}
	for name, s := range p.servers {
		if servers[name] == nil && s.inFlight > 0 {
			servers[name] = s
		}
	}
	maps.DeleteFunc(p.pools, func(_ poolKey, pool *serverPool) bool {
		return len(pool.own)+len(pool.others) == 0
	})
	p.servers = servers
	p.initialized = true
}

func (p *Picker) zoneOf(name string) *zone {
	if p.zones[name] == nil {
		p.zones[name] = &zone{own: name == p.cfg.AvailabilityZone}
	}
	return p.zones[name]
}

// SetMinOwnZoneServers sets how many servers of a model the own availability zone needs for
// affinity to stay within it. With fewer servers, affinity spans all zones. With 0 it
// never does. The schema calls this number AffinitySpanServers.
func (p *Picker) SetMinOwnZoneServers(servers int) {
	p.minOwnZoneServers = servers
}

// clearPools removes the servers from the pools and keeps the statistics of the pools.
func (p *Picker) clearPools() {
	for _, pool := range p.pools {
		pool.own = nil
		pool.others = nil
	}
}

// addToPools adds the server to the pool of each of its models.
func (p *Picker) addToPools(s *server) {
	d := s.declaration
	models := d.Models
	if len(models) == 0 {
		models = []string{""}
	}
	for _, model := range models {
		key := poolKey{d.Service, model, d.Role}
		if p.pools[key] == nil {
			p.pools[key] = &serverPool{}
		}
		s.pool = p.pools[key]
		if d.AvailabilityZone == p.cfg.AvailabilityZone {
			s.pool.own = append(s.pool.own, s)
		} else {
			s.pool.others = append(s.pool.others, s)
		}
	}
}

// Declared reports whether any backend server is declared for a model.
func (p *Picker) Declared(service, model string) bool {
	for key := range p.pools {
		if key.service == service && key.model == model {
			return true
		}
	}
	return false
}

// Serves reports whether any backend server that accepts new requests can run r.
// Leaving reports which backend servers get no new requests.
func (p *Picker) Serves(r Request, leaving func(string) bool) bool {
	pool := p.poolOf(r)
	if pool == nil {
		return false
	}
	staying := func(s *server) bool { return !leaving(s.name) }
	return slices.ContainsFunc(pool.own, staying) || slices.ContainsFunc(pool.others, staying)
}

// poolOf returns the pool of the role that r needs, or the pool of servers for all
// phases if no server has that role.
func (p *Picker) poolOf(r Request) *serverPool {
	if pool := p.pools[poolKey{r.Service, r.Model, r.Role}]; pool != nil {
		return pool
	}
	return p.pools[poolKey{r.Service, r.Model, ""}]
}

// Pick takes a slot on the best backend server for r. It returns false if none has a
// free slot. Leaving reports which backend servers get no new requests. Ejected servers,
// and those listed in r.Avoid, are used only while no other server is eligible.
func (p *Picker) Pick(now clocker.Millis, r Request, leaving func(string) bool) (Choice, bool) {
	pool := p.poolOf(r)
	if pool == nil {
		return Choice{}, false
	}
	for _, relaxation := range relaxations {
		q := &query{r, leaving, relaxation}
		if best := p.chooseAcrossZones(now, pool, q); best != nil {
			return p.takeSlot(now, best, r), true
		}
		best, eligible := p.chooseByZone(now, pool, q)
		if best != nil {
			return p.takeSlot(now, best, r), true
		}
		if eligible {
			return Choice{}, false
		}
	}
	return Choice{}, false
}

// PickHolder takes a slot on a backend server that probably caches the prefix of r. It
// returns false if none of these has a free slot.
func (p *Picker) PickHolder(now clocker.Millis, r Request, leaving func(string) bool) (Choice, bool) {
	q := &query{r, leaving, relaxation{}}
	var best *server
	for _, s := range p.holders(now, p.poolOf(r), r.Prefix) {
		if s == nil || !q.allows(now, s) || !s.hasFreeSlot(now, s.rampShare(now)) {
			continue
		}
		if best == nil || s.load(now) < best.load(now) {
			best = s
		}
	}
	if best == nil {
		return Choice{}, false
	}
	return p.takeSlot(now, best, r), true
}

// HasHolder reports whether a backend server that is not slow probably caches the prefix
// of r, so that waiting for it is worthwhile.
func (p *Picker) HasHolder(now clocker.Millis, r Request, leaving func(string) bool) bool {
	pool := p.poolOf(r)
	q := &query{r, leaving, relaxation{}}
	for _, s := range p.holders(now, pool, r.Prefix) {
		if s != nil && q.allows(now, s) && s.slowness(now) < minSlowRatio {
			return true
		}
	}
	return false
}

// holders returns the servers of a pool that probably cache a prefix and that affinity
// may choose. Unused elements of the array are nil.
func (p *Picker) holders(now clocker.Millis, pool *serverPool, prefix uint64) [holdersPerHint]*server {
	var holders [holdersPerHint]*server
	entry := p.hints.entries[prefix]
	if entry == nil || pool == nil {
		return holders
	}
	spansZones := len(pool.own) < p.minOwnZoneServers
	for i, s := range entry.holders {
		if s == nil || now >= entry.expiresAt[i] || s.pool != pool {
			continue
		}
		if s.zone.own || spansZones && s.zone.allowsAffinity(now) {
			holders[i] = s
		}
	}
	return holders
}

// chooseByZone chooses a server of the own availability zone, or else of another zone.
// The boolean result reports whether any server is eligible, with or without a free slot.
func (p *Picker) chooseByZone(now clocker.Millis, pool *serverPool, q *query) (*server, bool) {
	best, eligible := p.choose(now, pool.own, q)
	if best != nil {
		return best, true
	}
	best, othersEligible := p.choose(now, pool.others, q)
	return best, eligible || othersEligible
}

func (p *Picker) takeSlot(now clocker.Millis, s *server, r Request) Choice {
	probe := s.health.ejected
	s.takeSlot(now, r.Tokens)
	if !s.zone.own {
		p.remoteInUse[s.name] = true
	}
	if r.Prefix != 0 && !p.hints.entries[r.Prefix].holds(now, s) {
		s.recentPrefills = s.activePrefills(now) + 1
		s.recentPrefillsAt = now
	}
	return Choice{
		Server:  s.declaration,
		TakenAt: now,
		Tokens:  r.Tokens,
		Prefix:  r.Prefix,
		Probe:   probe,
	}
}

// Release returns the slot of a choice and updates the server's statistics with the
// outcome.
func (p *Picker) Release(now clocker.Millis, c Choice, o Outcome) {
	s := p.servers[c.Server.GetName()]
	if s == nil || s.inFlight == 0 {
		return
	}
	s.releaseSlot(now, c)
	switch o {
	case Succeeded:
		s.recordAnswer(now, c)
		s.zone.recordAnswer()
		p.hints.add(now, c.Prefix, s)
		s.pool.failureShare -= failureWeight / 4 * s.pool.failureShare
		if s.health.recordSuccess(c.Probe) {
			s.rampStartedAt = now
		}
	case Failed:
		s.zone.recordFailure(now)
		s.pool.failureShare += failureWeight / 4 * (1 - s.pool.failureShare)
		s.health.recordFailure(now, c.Probe, s.pool.failureShare, p.random)
	case Refused:
		s.recordRefusal(now)
	case Abandoned:
		s.recordAbandoned(now, c)
	}
}

// SetLimit bounds how many slots of a backend server this host uses concurrently.
func (p *Picker) SetLimit(name string, limit int64) {
	if s := p.servers[name]; s != nil {
		s.limit = max(1, limit)
	}
}

// RecordLoadReport stores a load report of a backend server.
func (p *Picker) RecordLoadReport(now clocker.Millis, name string, report LoadReport) {
	if s := p.servers[name]; s != nil {
		s.recordLoadReport(now, report)
	}
}

// RecordPollFailure records that a backend server did not answer a poll. It counts like a
// failed request, and like a failed probe if a probe of the server is due, but not in the
// failure share of the pool.
func (p *Picker) RecordPollFailure(now clocker.Millis, name string) {
	s := p.servers[name]
	if s == nil {
		return
	}
	s.zone.recordFailure(now)
	due := s.health.ejected && now >= s.health.ejectedUntil
	s.health.recordFailure(now, due, s.pool.failureShare, p.random)
	if !s.zone.own {
		p.remoteInUse[s.name] = true
	}
}

// RecordCacheEvent applies a cache event of a backend server.
func (p *Picker) RecordCacheEvent(now clocker.Millis, name string, event CacheEvent) {
	s := p.servers[name]
	if s == nil {
		return
	}
	if event.Kind == CacheEvicted {
		p.hints.remove(event.Prefix, s)
		return
	}
	p.hints.add(now, event.Prefix, s)
}

// InFlight returns how many slots of a backend server this host has taken.
func (p *Picker) InFlight(name string) int64 {
	if s := p.servers[name]; s != nil {
		return s.inFlight
	}
	return 0
}

// RemoteServersInUse returns the names of the backend servers in other availability zones
// that have requests in flight or are ejected, in sorted order.
func (p *Picker) RemoteServersInUse() []string {
	var names []string
	for name := range p.remoteInUse {
		s := p.servers[name]
		if s == nil || s.inFlight == 0 && !s.health.ejected {
			delete(p.remoteInUse, name)
			continue
		}
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Ejected reports whether a backend server is ejected after failures.
func (p *Picker) Ejected(name string) bool {
	s := p.servers[name]
	return s != nil && s.health.ejected
}
