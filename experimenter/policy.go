package experimenter

import (
	"math/rand/v2"
	"slices"

	"cowsliphinge/clocker"
	"cowsliphinge/indexer"
	"cowsliphinge/limiter"
	"cowsliphinge/messenger"
	"cowsliphinge/picker"
)

// Policy names a way to choose backend servers.
type Policy string

// Policies. Routed is the product's own deciders, InZone the same with affinity
// bound to the own availability zone; the others pick at once among all engines
// and leave waiting to them.
const (
	Routed        Policy = "cowsliphinge"
	InZone        Policy = "affinity in zone"
	Random        Policy = "random"
	RoundRobin    Policy = "round robin"
	LeastInFlight Policy = "least in flight"
)

// Policies lists all of them.
func Policies() []Policy {
	return []Policy{Routed, InZone, LeastInFlight, RoundRobin, Random}
}

// decider is one host's policy.
type decider interface {
	// submit calls done once, now or later.
	submit(now clocker.Millis, r picker.Request, done func(picker.Choice, error))
	release(now clocker.Millis, c picker.Choice, o picker.Outcome)
	reported(now clocker.Millis, name string, report picker.LoadReport)
	cached(now clocker.Millis, name string, event picker.CacheEvent)
	reportFailed(now clocker.Millis, name string)
	wantsReport(name string) bool
	advance(now clocker.Millis)
}

// gated is the product's deciders.
type gated struct {
	gate    *limiter.AdmissionController
	waiting map[*limiter.Item]func(picker.Choice, error)
}

func newGated(zone string, seed uint64, index *indexer.Index) *gated {
	g := &gated{
		gate:    limiter.NewAdmissionController(limiter.AdmissionConfig{AvailabilityZone: zone, Seed: seed}),
		waiting: map[*limiter.Item]func(picker.Choice, error){},
	}
	g.gate.SetConfiguration(0, index)
	return g
}

func (g *gated) submit(now clocker.Millis, r picker.Request, done func(picker.Choice, error)) {
	item := &limiter.Item{Request: r}
	choice, ended, err := g.gate.Submit(now, item)
	if err != nil || choice.Server != nil {
		done(choice, err)
	} else {
		g.waiting[item] = done
	}
	g.finish(ended)
	g.advance(now)
}

func (g *gated) finish(ended []limiter.Decision) {
	for _, e := range ended {
		done := g.waiting[e.Item]
		delete(g.waiting, e.Item)
		done(e.Result.Choice, e.Result.Err)
	}
}

func (g *gated) release(now clocker.Millis, c picker.Choice, o picker.Outcome) {
	g.gate.Release(now, c, o)
	g.advance(now)
}

func (g *gated) advance(now clocker.Millis) {
	g.finish(g.gate.ServeQueues(now))
}

func (g *gated) reported(now clocker.Millis, name string, report picker.LoadReport) {
	g.gate.RecordLoadReport(now, name, report)
}

func (g *gated) cached(now clocker.Millis, name string, event picker.CacheEvent) {
	g.gate.RecordCacheEvent(now, name, event)
}

func (g *gated) reportFailed(now clocker.Millis, name string) {
	g.gate.RecordPollFailure(now, name)
}

func (g *gated) wantsReport(name string) bool {
	return slices.Contains(g.gate.RemoteServersInUse(), name)
}

// plain is a policy without knowledge beyond its own requests in flight.
type plain struct {
	policy   Policy
	random   *rand.Rand
	servers  []*messenger.BackendServer
	inFlight map[string]int
	turn     int
}

func newPlain(policy Policy, seed uint64, servers []*messenger.BackendServer) *plain {
	return &plain{
		policy:   policy,
		random:   rand.New(rand.NewPCG(seed, 2)),
		servers:  servers,
		inFlight: map[string]int{},
		turn:     int(seed) % len(servers),
	}
}

func (p *plain) submit(now clocker.Millis, r picker.Request, done func(picker.Choice, error)) {
	s := p.choose(r.Avoid)
	p.inFlight[s.Name]++
	done(picker.Choice{Server: s, TakenAt: now, Tokens: r.Tokens}, nil)
}

func (p *plain) choose(avoid []string) *messenger.BackendServer {
	var best *messenger.BackendServer
	start := p.random.IntN(len(p.servers))
	if p.policy == RoundRobin {
		p.turn++
		start = p.turn
	}
	for i := range p.servers {
		s := p.servers[(start+i)%len(p.servers)]
		if slices.Contains(avoid, s.Name) {
			continue
		}
		if p.policy != LeastInFlight {
			return s
		}
		if best == nil || p.inFlight[s.Name] < p.inFlight[best.Name] {
			best = s
		}
	}
	if best == nil {
		return p.servers[start%len(p.servers)]
	}
	return best
}

func (p *plain) release(_ clocker.Millis, c picker.Choice, _ picker.Outcome) {
	p.inFlight[c.Server.Name]--
}
func (p *plain) reported(clocker.Millis, string, picker.LoadReport) {}
func (p *plain) cached(clocker.Millis, string, picker.CacheEvent)   {}
func (p *plain) reportFailed(clocker.Millis, string)                {}
func (p *plain) wantsReport(string) bool                            { return false }
func (p *plain) advance(clocker.Millis)                             {}
