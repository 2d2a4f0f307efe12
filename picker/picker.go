package picker

import (
	"maps"
	"math/rand/v2"
	"slices"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// DefaultSlots is how many requests a backend server runs at once if its
// declaration does not say.
const DefaultSlots = 16

// Config is what a Picker is built from.
type Config struct {
	// AvailabilityZone whose backend servers come first.
	AvailabilityZone string
	// Seed of the random choices.
	Seed uint64
}

// Picker chooses backend servers. It is not safe for concurrent use.
type Picker struct {
	cfg     Config
	random  *rand.Rand
	servers map[string]*server
	pools   map[poolKey]*pool
	hints   *hints
	zones   map[string]*zone
	// elsewhere names servers of other zones that were in use since the last look.
	elsewhere map[string]bool
	scratch   []candidate
	span      int
	synced    bool
}

// DefaultSpan is how many servers of a model the own availability zone needs
// for affinity to stay within it, unless SetSpan says otherwise.
const DefaultAffinitySpan = 16

// poolKey names the backend servers that can run a request.
type poolKey struct {
	service string
	model   string
	role    string
}

// pool is the backend servers of one key, own availability zone apart.
type pool struct {
	own    []*server
	others []*server
	// pace of whole answers, smoothed over the pool, in milliseconds per token.
	pace float64
	// failShare is the smoothed share of failures.
	failShare float64
}

// New returns a picker without backend servers.
func New(cfg Config) *Picker {
	return &Picker{
		cfg:     cfg,
		random:  rand.New(rand.NewPCG(cfg.Seed, hashString(cfg.AvailabilityZone))),
		servers: map[string]*server{},
		pools:   map[poolKey]*pool{},
		hints:   newHints(),
		zones:   map[string]*zone{},

		elsewhere: map[string]bool{},
		span:      DefaultAffinitySpan,
	}
}

// Sync takes over the declared backend servers. What is known of a server
// that stays is kept; one that goes is forgotten once nothing is in flight.
func (p *Picker) SetServers(now clocker.Millis, declared []*messenger.BackendServer) {
	servers := make(map[string]*server, len(declared))
	p.emptyPools()
	for _, d := range declared {
		s := p.servers[d.Name]
		if s == nil {
			s = newServer(d.Name, now, p.synced)
		}
		s.declare(d)
		s.zone = p.zoneOf(d.AvailabilityZone)
		servers[d.Name] = s
		p.addToPools(s)
	}
	for name, s := range p.servers {
		if servers[name] == nil && s.inFlight > 0 {
			servers[name] = s
		}
	}
	maps.DeleteFunc(p.pools, func(_ poolKey, found *pool) bool {
		return len(found.own)+len(found.others) == 0
	})
	p.servers = servers
	p.synced = true
}

func (p *Picker) zoneOf(name string) *zone {
	if p.zones[name] == nil {
		p.zones[name] = &zone{own: name == p.cfg.AvailabilityZone}
	}
	return p.zones[name]
}

// SetSpan sets how many servers of a model the own availability zone needs for
// affinity to stay within it; below that it spans all zones. 0 never spans.
func (p *Picker) SetAffinitySpan(servers int) {
	p.span = servers
}

// emptyPools drops the members and keeps what is known of the pools.
func (p *Picker) emptyPools() {
	for _, found := range p.pools {
		found.own = nil
		found.others = nil
	}
}

func (p *Picker) addToPools(s *server) {
	d := s.declared
	models := d.Models
	if len(models) == 0 {
		models = []string{""}
	}
	for _, model := range models {
		key := poolKey{d.Service, model, d.Role}
		if p.pools[key] == nil {
			p.pools[key] = &pool{}
		}
		s.home = p.pools[key]
		if d.AvailabilityZone == p.cfg.AvailabilityZone {
			s.home.own = append(s.home.own, s)
		} else {
			s.home.others = append(s.home.others, s)
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

// Serves reports whether any backend server that takes new work can run r.
// Leaving tells which backend servers get no new work.
func (p *Picker) Serves(r Request, leaving func(string) bool) bool {
	found := p.poolOf(r)
	if found == nil {
		return false
	}
	staying := func(s *server) bool { return !leaving(s.name) }
	return slices.ContainsFunc(found.own, staying) || slices.ContainsFunc(found.others, staying)
}

// poolOf returns the servers of the role that r needs, or those that serve all
// phases if none has that role.
func (p *Picker) poolOf(r Request) *pool {
	if found := p.pools[poolKey{r.Service, r.Model, r.Role}]; found != nil {
		return found
	}
	return p.pools[poolKey{r.Service, r.Model, ""}]
}

// Pick takes a slot of the best backend server for r, or returns false if none
// has a free one. Leaving tells which backend servers get no new work. Ejected
// servers, and those that r avoids, are taken only while there are no others.
func (p *Picker) Pick(now clocker.Millis, r Request, leaving func(string) bool) (Choice, bool) {
	found := p.poolOf(r)
	if found == nil {
		return Choice{}, false
	}
	for _, ease := range eases {
		q := &query{r, leaving, ease}
		if best := p.chooseAcross(now, found, q); best != nil {
			return p.take(now, best, r), true
		}
		best, live := p.pickZones(now, found, q)
		if best != nil {
			return p.take(now, best, r), true
		}
		if live {
			return Choice{}, false
		}
	}
	return Choice{}, false
}

// PickHolder takes a slot of a backend server that probably holds the prefix of
// r in its cache, or returns false if none of those has a free one.
func (p *Picker) PickHolder(now clocker.Millis, r Request, leaving func(string) bool) (Choice, bool) {
	q := &query{r, leaving, ease{}}
	var best *server
	for _, s := range p.holders(now, p.poolOf(r), r.Prefix) {
		if s == nil || !q.allows(now, s) || !s.hasSlot(now, s.ramp(now)) {
			continue
		}
		if best == nil || s.load(now) < best.load(now) {
			best = s
		}
	}
	if best == nil {
		return Choice{}, false
	}
	return p.take(now, best, r), true
}

// HasHolder reports whether a backend server that is worth waiting for probably
// holds the prefix of r in its cache.
func (p *Picker) HasHolder(now clocker.Millis, r Request, leaving func(string) bool) bool {
	found := p.poolOf(r)
	q := &query{r, leaving, ease{}}
	for _, s := range p.holders(now, found, r.Prefix) {
		if s != nil && q.allows(now, s) && s.slowness(now) < slowRatio {
			return true
		}
	}
	return false
}

// holders returns the servers of a pool that probably hold a prefix and that
// affinity may choose, with nil in between.
func (p *Picker) holders(now clocker.Millis, found *pool, prefix uint64) [hintHolders]*server {
	var holders [hintHolders]*server
	entry := p.hints.entries[prefix]
	if entry == nil || found == nil {
		return holders
	}
	across := len(found.own) < p.span
	for i, s := range entry.holders {
		if s == nil || now >= entry.until[i] || s.home != found {
			continue
		}
		if s.zone.own || across && s.zone.open(now) {
			holders[i] = s
		}
	}
	return holders
}

// pickZones looks at the own availability zone first, then at the others. It
// also reports whether any server would do if it had a free slot.
func (p *Picker) pickZones(now clocker.Millis, found *pool, q *query) (*server, bool) {
	best, live := p.choose(now, found.own, q)
	if best != nil {
		return best, true
	}
	best, liveElsewhere := p.choose(now, found.others, q)
	return best, live || liveElsewhere
}

func (p *Picker) take(now clocker.Millis, s *server, r Request) Choice {
	probe := s.health.out
	s.take(now, r.Tokens)
	if !s.zone.own {
		p.elsewhere[s.name] = true
	}
	if r.Prefix != 0 && !p.hints.entries[r.Prefix].holds(now, s) {
		s.prefill = s.prefilling(now) + 1
		s.prefillAt = now
	}
	return Choice{
		Server:  s.declared,
		TakenAt: now,
		Tokens:  r.Tokens,
		Prefix:  r.Prefix,
		Probe:   probe,
	}
}

// Release gives the slot of a choice back and learns from its outcome.
func (p *Picker) Release(now clocker.Millis, c Choice, o Outcome) {
	s := p.servers[c.Server.GetName()]
	if s == nil || s.inFlight == 0 {
		return
	}
	s.giveBack(now, c)
	switch o {
	case Succeeded:
		s.answered(now, c)
		s.zone.answered()
		p.hints.stored(now, c.Prefix, s)
		s.home.failShare -= failWeight / 4 * s.home.failShare
		if s.health.succeeded(c.Probe) {
			s.rampFrom = now
		}
	case Failed:
		s.zone.failed(now)
		s.home.failShare += failWeight / 4 * (1 - s.home.failShare)
		s.health.failed(now, c.Probe, s.home.failShare, p.random)
	case Refused:
		s.refused(now)
	case CallerLeft:
		s.left(now, c)
	}
}

// SetLimit bounds how many slots of a backend server this router takes at once.
func (p *Picker) SetLimit(name string, limit int64) {
	if s := p.servers[name]; s != nil {
		s.limit = max(1, limit)
	}
}

// Reported takes over a load report of a backend server.
func (p *Picker) RecordLoad(now clocker.Millis, name string, report LoadReport) {
	if s := p.servers[name]; s != nil {
		s.reported(now, report)
	}
}

// ReportFailed notes that a backend server did not answer a load query. It
// counts like a failed request, also for a server that is due for a probe.
func (p *Picker) RecordLoadFailure(now clocker.Millis, name string) {
	s := p.servers[name]
	if s == nil {
		return
	}
	s.zone.failed(now)
	due := s.health.out && now >= s.health.until
	s.health.failed(now, due, s.home.failShare, p.random)
	if !s.zone.own {
		p.elsewhere[s.name] = true
	}
}

// Cached takes over a cache event of a backend server.
func (p *Picker) RecordCacheEvent(now clocker.Millis, name string, event CacheEvent) {
	s := p.servers[name]
	if s == nil {
		return
	}
	if event.Kind == CacheEvicted {
		p.hints.evicted(event.Prefix, s)
		return
	}
	p.hints.stored(now, event.Prefix, s)
}

// InFlight returns how many slots of a backend server are taken by this router.
func (p *Picker) InFlight(name string) int64 {
	if s := p.servers[name]; s != nil {
		return s.inFlight
	}
	return 0
}

// UsedElsewhere returns the backend servers of other availability zones with
// requests in flight, and the ejected ones.
func (p *Picker) ActiveInOtherZones() []string {
	var names []string
	for name := range p.elsewhere {
		s := p.servers[name]
		if s == nil || s.inFlight == 0 && !s.health.out {
			delete(p.elsewhere, name)
			continue
		}
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Ejected reports whether a backend server is out after failures.
func (p *Picker) Ejected(name string) bool {
	s := p.servers[name]
	return s != nil && s.health.out
}
