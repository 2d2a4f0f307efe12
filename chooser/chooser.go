package chooser

import (
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cowsliphinge/clocker"
)

const (
	// prefillTokensPerMilli is how fast a model engine reads a prompt.
	prefillTokensPerMilli = 92
	// rereadWeight makes reading a part again dearer than its time: it takes the
	// memory of another part as well.
	rereadWeight = 2
	// workCost is what one request in a server's batch costs the next one, in
	// milliseconds.
	workCost = 6
	// queueCost is what one request beyond a server's slots costs the next one, in
	// milliseconds.
	queueCost = 50
	// zoneCost is what another availability zone costs, in milliseconds: two
	// round trips and the price of the bytes.
	zoneCost = 5
	// coldCost is what a server costs that has just started, in milliseconds.
	coldCost = 20
	// errorCost is what a server costs that fails all its requests, in
	// milliseconds.
	errorCost = 1000
	// minShared is how many tokens of shared parts make a request stay with the
	// server that has them.
	minShared = 1000
	// spreadCost bounds a random cost, in milliseconds: hosts that know the same of
	// their servers do not all choose the same one. It is less than two requests in a
	// batch cost.
	spreadCost = 10
	// meanWeight is the weight of the newest told load in the mean of a service.
	meanWeight = 0.05
	// zoneFailures is how many servers of an availability zone have to be out of
	// reach at once for the zone to be taken as cut off.
	zoneFailures = 2
	// rememberFor is how long a server without an entry is remembered, in
	// milliseconds: entries also lapse in outages of the store, and come back.
	rememberFor = 10 * clocker.Minute
)

// Config configures a Chooser.
type Config struct {
	// AvailabilityZone of this host.
	AvailabilityZone string
	// CacheTokens returns the memory of one model engine of a service; 0 for
	// plain services.
	CacheTokens func(service string) int
	// Seed of the random choice among servers that cost about the same.
	Seed uint64
}

// Chooser knows the backend servers. It is not safe for concurrent use.
type Chooser struct {
	cfg     Config
	members map[string]*member
	// removed are servers whose entry went; one that comes back in the same life is
	// what it was.
	removed map[string]*member
	// meanWork is what servers of a service told of their work lately, on average.
	meanWork map[string]float64
	random   *rand.Rand
}

// New returns a Chooser that knows no server.
func New(cfg Config) *Chooser {
	return &Chooser{
		cfg:      cfg,
		members:  map[string]*member{},
		removed:  map[string]*member{},
		meanWork: map[string]float64{},
		random:   rand.New(rand.NewPCG(cfg.Seed, 0)),
	}
}

// Set takes over the entry of a server.
func (c *Chooser) Set(s Server) {
	m := c.members[s.ID]
	if m == nil {
		m = c.removed[s.ID]
		delete(c.removed, s.ID)
	}
	if m == nil || !m.sameLife(s) {
		m = &member{}
		if c.cfg.CacheTokens != nil {
			m.cache.capacity = c.cfg.CacheTokens(s.Service)
		}
	}
	c.members[s.ID] = m
	m.Server = s
	m.missingUntil = 0
}

// Remove drops a server whose entry is gone.
func (c *Chooser) Remove(id string, now clocker.Millis) {
	m := c.members[id]
	if m == nil {
		return
	}
	m.removedAt = now
	c.removed[id] = m
	delete(c.members, id)
}

// Miss notes that the entry of a server was missing right after an outage of the
// store. It is forgotten by Expire at the given time unless it is set again.
func (c *Chooser) MarkMissing(id string, until clocker.Millis) {
	if m := c.members[id]; m != nil && m.missingUntil == 0 {
		m.missingUntil = until
	}
}

// Expire drops the servers whose entries stayed missing and returns their IDs. It
// forgets those that were dropped long ago.
func (c *Chooser) Expire(now clocker.Millis) []string {
	var gone []string
	for id, m := range c.members {
		if m.missingUntil > 0 && now >= m.missingUntil {
			c.Remove(id, now)
			gone = append(gone, id)
		}
	}
	maps.DeleteFunc(c.removed, func(_ string, m *member) bool { return now-m.removedAt > rememberFor })
	return gone
}

// IDs returns the IDs of all known servers, ordered.
func (c *Chooser) IDs() []string {
	return slices.Sorted(maps.Keys(c.members))
}

// Knows reports whether the server is known.
func (c *Chooser) Knows(id string) bool {
	return c.members[id] != nil
}

// Server returns what a server last said of itself.
func (c *Chooser) Server(id string) (Server, bool) {
	m := c.members[id]
	if m == nil {
		return Server{}, false
	}
	return m.Server, true
}

// Ejected reports whether a server is left out after failures.
func (c *Chooser) Ejected(id string, now clocker.Millis) bool {
	m := c.members[id]
	return m != nil && m.ejected(now)
}

// Choose returns the server that serves a request soonest, if one of the service
// takes new work. The caller calls Start once it sends the request there.
func (c *Chooser) Choose(r Request, now clocker.Millis) Choice {
	candidates := c.candidates(r, now)
	if len(candidates) == 0 {
		return Choice{RetryAt: c.backAt(r, now)}
	}
	home := c.home(candidates, r)
	best, bestCost := (*member)(nil), 0.0
	for _, m := range candidates {
		cost := c.cost(m, r, m == home, now)
		if best == nil || cost < bestCost {
			best, bestCost = m, cost
		}
	}
	return Choice{Server: best.Server, Found: true}
}

// backAt returns when the first server of the service ends its pause; 0 if none
// has one.
func (c *Chooser) backAt(r Request, now clocker.Millis) clocker.Millis {
	var first clocker.Millis
	for _, m := range c.members {
		if m.Service != r.Service || m.leaves(now) || m.pausedUntil <= now {
			continue
		}
		if first == 0 || m.pausedUntil < first {
			first = m.pausedUntil
		}
	}
	return first
}

// candidates returns the servers that may get the request: those that answer, or
// else all, ordered by ID.
func (c *Chooser) candidates(r Request, now clocker.Millis) []*member {
	var good, poor []*member
	cut := c.cutZones(now)
	for _, id := range c.IDs() {
		m := c.members[id]
		if m.Service != r.Service || m.closed(now) || slices.Contains(r.Avoid, id) {
			continue
		}
		if m.ejected(now) || cut[m.AvailabilityZone] && m.failures == 0 {
			poor = append(poor, m)
			continue
		}
		good = append(good, m)
	}
	if len(good) > 0 {
		return good
	}
	return poor
}

// cutZones returns the availability zones of which several servers, and no other
// server of late, were out of reach.
func (c *Chooser) cutZones(now clocker.Millis) map[string]bool {
	out := map[string]int{}
	answered := map[string]clocker.Millis{}
	for _, m := range c.members {
		if m.AvailabilityZone == c.cfg.AvailabilityZone || m.Draining {
			continue
		}
		if m.failures > 0 && m.ejectedUntil > 0 {
			out[m.AvailabilityZone]++
		}
		answered[m.AvailabilityZone] = max(answered[m.AvailabilityZone], m.answeredAt)
	}
	cut := map[string]bool{}
	for zone, n := range out {
		cut[zone] = n >= zoneFailures && now-answered[zone] > ejectFirst
	}
	return cut
}

// home returns the server that all hosts prefer for the shared parts of a
// prompt, by rendezvous hashing, or nil if too little is shared.
func (c *Chooser) home(candidates []*member, r Request) *member {
	if shared(r.Prompt) < minShared {
		return nil
	}
	key := r.Prompt[len(r.Prompt)-2].ID
	var best *member
	var bestHash uint64
	for _, m := range candidates {
		if h := xxhash.Sum64String(key + "/" + m.ID); best == nil || h > bestHash {
			best, bestHash = m, h
		}
	}
	return best
}

func shared(prompt []PromptPart) int {
	tokens := 0
	for _, p := range prompt[:max(0, len(prompt)-1)] {
		tokens += p.Tokens
	}
	return tokens
}

// cost estimates the time that a request takes longer at a server than at an
// idle near one, in milliseconds.
func (c *Chooser) cost(m *member, r Request, home bool, now clocker.Millis) float64 {
	work := m.work(now, c.meanWork[m.Service])
	cost := workCost*work + spreadCost*c.random.Float64()
	if over := work + 1 - float64(m.slots()); over > 0 {
		cost += queueCost * over
	}
	if m.AvailabilityZone != c.cfg.AvailabilityZone {
		cost += zoneCost
	}
	if m.ColdRemaining > 0 {
		cost += coldCost
	}
	cost += errorCost * m.errorShare
	if !home {
		cost += rereadWeight * float64(c.uncached(m, r.Prompt)) / prefillTokensPerMilli
	}
	return cost
}

// uncached returns the tokens of shared parts that the server has to read.
func (c *Chooser) uncached(m *member, prompt []PromptPart) int {
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

// Start notes that a request is sent to a server.
func (c *Chooser) Start(id string, r Request) {
	m := c.members[id]
	if m == nil {
		return
	}
	m.inFlight++
	m.startedSince++
	for _, p := range r.Prompt[:max(0, len(r.Prompt)-1)] {
		m.cache.add(p)
	}
}

// Finish notes how the exchange ended. It reports whether the server is ejected.
func (c *Chooser) Finish(id string, o Outcome, now clocker.Millis) bool {
	m := c.members[id]
	if m == nil {
		return false
	}
	m.inFlight = max(0, m.inFlight-1)
	return m.note(o, now)
}

// Heard notes that bytes came from a server, and what it told of itself. It reports
// whether the server asked for something that it had not asked for before.
func (c *Chooser) RecordActivity(id string, w StatusReport, now clocker.Millis) bool {
	m := c.members[id]
	if m == nil {
		m = c.removed[id]
	}
	if m == nil {
		return false
	}
	if w.Load != nil {
		mean := c.meanWork[m.Service]
		c.meanWork[m.Service] = mean + meanWeight*(float64(w.Load.Running+w.Load.Waiting)-mean)
	}
	asks := w.Leaving && !m.toldLeaving || w.BackOff > 0 && now >= m.pausedUntil
	m.take(w, now)
	return asks
}

// HeardAt returns when a byte last came from a server; 0 for never.
func (c *Chooser) LastActivity(id string) clocker.Millis {
	if m := c.members[id]; m != nil {
		return m.answeredAt
	}
	return 0
}
