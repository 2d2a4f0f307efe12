package picker

import (
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
	synced  bool
}

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
}

// New returns a picker without backend servers.
func New(cfg Config) *Picker {
	return &Picker{
		cfg:     cfg,
		random:  rand.New(rand.NewPCG(cfg.Seed, 0)),
		servers: map[string]*server{},
		pools:   map[poolKey]*pool{},
	}
}

// Sync takes over the declared backend servers. What is known of a server
// that stays is kept; one that goes is forgotten once nothing is in flight.
func (p *Picker) Sync(now clocker.Millis, declared []*messenger.BackendServer) {
	servers := make(map[string]*server, len(declared))
	p.pools = map[poolKey]*pool{}
	for _, d := range declared {
		s := p.servers[d.Name]
		if s == nil {
			s = newServer(d.Name, now, p.synced)
		}
		s.declare(d)
		servers[d.Name] = s
		p.addToPools(s)
	}
	for name, s := range p.servers {
		if servers[name] == nil && s.inFlight > 0 {
			servers[name] = s
		}
	}
	p.servers = servers
	p.synced = true
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
		if d.AvailabilityZone == p.cfg.AvailabilityZone {
			p.pools[key].own = append(p.pools[key].own, s)
		} else {
			p.pools[key].others = append(p.pools[key].others, s)
		}
	}
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

func (p *Picker) poolOf(r Request) *pool {
	return p.pools[poolKey{r.Service, r.Model, r.Role}]
}

// Pick takes a slot of the best backend server for r, or returns false if none
// has a free one. Leaving tells which backend servers get no new work.
func (p *Picker) Pick(now clocker.Millis, r Request, leaving func(string) bool) (Choice, bool) {
	found := p.poolOf(r)
	if found == nil {
		return Choice{}, false
	}
	best := p.leastLoaded(found.own, r, leaving)
	if best == nil {
		best = p.leastLoaded(found.others, r, leaving)
	}
	if best == nil {
		return Choice{}, false
	}
	best.inFlight++
	return Choice{Server: best.declared, TakenAt: now, Tokens: r.Tokens}, true
}

func (p *Picker) leastLoaded(servers []*server, r Request, leaving func(string) bool) *server {
	var best *server
	for _, s := range servers {
		if s.inFlight >= s.slots || slices.Contains(r.Avoid, s.name) || leaving(s.name) {
			continue
		}
		if best == nil || s.load() < best.load() {
			best = s
		}
	}
	return best
}

// Release gives the slot of a choice back and learns from its outcome.
func (p *Picker) Release(_ clocker.Millis, c Choice, _ Outcome) {
	s := p.servers[c.Server.GetName()]
	if s == nil || s.inFlight == 0 {
		return
	}
	s.inFlight--
}

// InFlight returns how many slots of a backend server are taken by this router.
func (p *Picker) InFlight(name string) int64 {
	if s := p.servers[name]; s != nil {
		return s.inFlight
	}
	return 0
}
