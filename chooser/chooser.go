package chooser

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"

	"cowsliphinge/clocker"
	"cowsliphinge/shedder"
)

const (
	// otherZoneCostMs is the cost of a server in another availability zone: two round
	// trips plus the price of cross-zone traffic.
	otherZoneCostMs = 5
	// coldServerCostMs is the cost of a server that has just started.
	coldServerCostMs = 20
	// errorCostMs is the cost of a server that fails all its requests; it is scaled by
	// the error rate.
	errorCostMs = 1000
	// minSharedTokens is the number of shared prompt tokens from which a request has
	// affinity to a server.
	minSharedTokens = 1000
	// maxJitterCostMs bounds a random cost, which keeps hosts with the same view of the
	// servers from all choosing the same one. It is less than the cost of two batched
	// requests.
	maxJitterCostMs = 10
	// meanLoadWeight is the weight of a new load report in the moving average of a service.
	meanLoadWeight = 0.05
	// minUnreachableInZone is the number of unreachable servers from which a whole
	// availability zone counts as unreachable.
	minUnreachableInZone = 2
	// removedRetention is how long the state of a server is kept after its entry is
	// removed, because entries also expire during store outages and reappear later.
	removedRetention = 10 * clocker.Minute
)

// Config configures a Chooser.
type Config struct {
	// AvailabilityZone is the zone of this host.
	AvailabilityZone string
	// CacheTokens returns the prompt cache size of one model engine of a service, in
	// tokens; 0 for application services.
	CacheTokens func(service string) int
	// Hosts returns the number of hosts that share the limit of a server, with this one; 0 if
	// it is not known yet, which permits no request to a limited server.
	Hosts func() int
	// Position returns the position of this host among the Hosts, in an order that all hosts share
	// and that differs between servers; nil means 0.
	Position func(server string) int
	// Admits reports whether requests may be sent to servers of a version of a service; nil
	// admits all.
	Admits func(service, software string) bool
	// AdmitsUnlisted is Admits for the version that stands for an incarnation without an entry.
	AdmitsUnlisted func(service, software string) bool
	// Sheds makes Choose refuse requests that no server can start in time.
	Sheds bool
	// Seed seeds the random choice among servers of similar cost.
	Seed uint64
}

// Chooser tracks the backend servers and selects one for each request. It is not safe
// for concurrent use.
type Chooser struct {
	cfg     Config
	servers map[string]*serverState
	// removed holds servers whose entry was removed; a server that reappears in the
	// same incarnation gets its state back.
	removed map[string]*serverState
	// ended holds the incarnation before the present one, by the ID of the server.
	ended map[string]endedIncarnation
	// meanLoad is the moving average of the reported load, by service.
	meanLoad map[string]float64
	// learned holds the learned rates, by service.
	learned map[string]*Rates
	// ledgers holds the sends of this host, by service.
	ledgers map[string]*sendLedger
	// sharedMachines are the services whose servers have reported a slowdown: they share their machines with
	// other workloads, so that equal shares are not what they can do.
	sharedMachines map[string]bool
	// speedReported is the position of the next server of whose speed others are told.
	speedReported int
	// views and hashInput are reused by each choice.
	views     []serverView
	hashInput []byte
	// brittle holds the services whose servers are or were brittle.
	brittle map[string]*brittleService
	// shedders decide which requests are refused, by service.
	shedders map[string]*shedder.Shedder
	random   *rand.Rand
}

// New returns a Chooser without servers.
func New(cfg Config) *Chooser {
	return &Chooser{
		cfg:      cfg,
		servers:  map[string]*serverState{},
		removed:  map[string]*serverState{},
		ended:    map[string]endedIncarnation{},
		meanLoad: map[string]float64{},
		learned:  map[string]*Rates{},
		ledgers:  map[string]*sendLedger{},

		sharedMachines: map[string]bool{},
		brittle:        map[string]*brittleService{},
		shedders:       map[string]*shedder.Shedder{},
		random:         rand.New(rand.NewPCG(cfg.Seed, 0)),
	}
}

// Set adds a server or updates its entry.
func (c *Chooser) Set(s Server) {
	m := c.servers[s.ID]
	if m == nil {
		m = c.removed[s.ID]
		delete(c.removed, s.ID)
	}
	switch {
	case m == nil || !m.sameIncarnation(s) && !m.isUnlisted(s):
		c.recordEnd(m)
		m = c.newState(s.Service)
		m.sent = c.meanSent(s)
	case m.isUnlisted(s):
		m.unlistedStart = 0
	}
	c.servers[s.ID] = m
	m.Server = s
	m.missingDeadline = 0
}

// newState returns the state of an incarnation of which nothing is known yet.
func (c *Chooser) newState(service string) *serverState {
	m := &serverState{}
	if c.cfg.CacheTokens != nil {
		m.cache.capacity = c.cfg.CacheTokens(service)
	}
	return m
}

// MarkRestarted records that a server has told that it runs as an incarnation started at startedAt. If that is not
// the one of its entry, all that is known of the earlier one is discarded, and the software is not known
// until the new entry is set. It reports whether the incarnation is news.
func (c *Chooser) MarkRestarted(id string, startedAt, now clocker.Millis) bool {
	m := c.servers[id]
	if m == nil || m.running().StartedAt == startedAt {
		return false
	}
	c.recordEnd(m)
	fresh := c.newState(m.Service)
	fresh.sent = c.meanSent(m.Server)
	fresh.Server = m.Server
	fresh.missingDeadline = m.missingDeadline
	if startedAt != m.StartedAt { // else what it told last was wrong
		fresh.unlistedStart, fresh.unlistedSince = startedAt, now
	}
	c.servers[id] = fresh
	return true
}

// Remove removes a server whose entry was deleted. Its state is kept for removedRetention.
func (c *Chooser) Remove(id string, now clocker.Millis) {
	m := c.servers[id]
	if m == nil {
		return
	}
	m.removedAt = now
	c.removed[id] = m
	delete(c.servers, id)
}

// MarkMissing records that the entry of a server was missing right after a store
// outage. The server gets no requests from the deadline on, and Expire removes it, unless
// Set is called for it before.
func (c *Chooser) MarkMissing(id string, deadline clocker.Millis) {
	if m := c.servers[id]; m != nil && m.missingDeadline == 0 {
		m.missingDeadline = deadline
	}
}

// Expire removes the servers whose entries stayed missing and returns their IDs. It also
// discards the state of servers that were removed more than removedRetention ago.
func (c *Chooser) Expire(now clocker.Millis) []string {
	var expired []string
	for id, m := range c.servers {
		if m.missingDeadline > 0 && now >= m.missingDeadline {
			c.Remove(id, now)
			expired = append(expired, id)
		}
	}
	maps.DeleteFunc(c.removed, func(_ string, m *serverState) bool { return now-m.removedAt > removedRetention })
	maps.DeleteFunc(c.ended, func(id string, _ endedIncarnation) bool { return c.servers[id] == nil && c.removed[id] == nil })
	return expired
}

// IDs returns the IDs of all known servers in sorted order.
func (c *Chooser) IDs() []string {
	return slices.Sorted(maps.Keys(c.servers))
}

// Knows reports whether the server is known.
func (c *Chooser) Knows(id string) bool {
	return c.servers[id] != nil
}

// Server returns the current entry of a server.
func (c *Chooser) Server(id string) (Server, bool) {
	m := c.servers[id]
	if m == nil {
		return Server{}, false
	}
	return m.Server, true
}

// Running returns a server as it runs by all that is known: its start is not that of its entry while the entry
// is still that of an earlier incarnation. It returns false if the server is not known.
func (c *Chooser) Running(id string) (Server, bool) {
	m := c.servers[id]
	if m == nil {
		return Server{}, false
	}
	return m.running(), true
}

// Limit returns the requests a second that a server takes from all hosts together, and
// whether it named a limit.
func (c *Chooser) Limit(id string) (perSecond float64, limited bool) {
	if m := c.servers[id]; m != nil {
		return m.limit.perSecond, m.limit.limited
	}
	return 0, false
}

// Leaving reports whether a server is leaving, or is not known any more.
func (c *Chooser) Leaving(id string, now clocker.Millis) bool {
	m := c.servers[id]
	return m == nil || m.leaving(now)
}

// hosts returns the number of hosts that share the limit of a server.
func (c *Chooser) hosts() int {
	if c.cfg.Hosts == nil {
		return 1
	}
	return c.cfg.Hosts()
}

// Ejected reports whether a server is excluded after failures.
func (c *Chooser) Ejected(id string, now clocker.Millis) bool {
	m := c.servers[id]
	return m != nil && m.ejected(now)
}

// Choose returns the server with the lowest estimated cost for a request, if any server
// of the service accepts new requests. Call Start when the request is sent to it.
func (c *Chooser) Choose(r Request, now clocker.Millis) Choice {
	r.Software = c.listed(r.Software)
	usable := c.usable(r, now)
	candidates := usable.best()
	if len(candidates) == 0 {
		return Choice{RetryAt: c.earliestRetry(r, now)}
	}
	if verdict := c.shed(usable, r, now); verdict.Reason != shedder.Sent {
		return Choice{Shed: verdict.Reason, RetryAt: now + verdict.RoomIn}
	}
	view := c.view(candidates, r, now)
	c.preferHomes(view, r)
	best, bestCost := 0, 0.0
	for i := range view.servers {
		cost := c.cost(view, i, r)
		if i == 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	m := candidates[best]
	return Choice{Server: m.running(), Found: true, Restarted: m.restarted(now), Dispatch: view.dispatch(best, r, now)}
}

// serves reports whether a server is of the service and the version that a request needs, and may be used.
func (c *Chooser) serves(m *serverState, r Request, now clocker.Millis) bool {
	running := m.running()
	if m.Service != r.Service || r.Pinned && (running.Software != r.Software || m.restarted(now)) {
		return false
	}
	if r.Resumable && m.unlistedStart > 0 {
		return now-m.unlistedSince >= unlistedDelay && (c.cfg.AdmitsUnlisted == nil || c.cfg.AdmitsUnlisted(m.Service, running.Software))
	}
	return c.cfg.Admits == nil || c.cfg.Admits(m.Service, m.Software)
}

// listed returns the software that an entry names by now for a version that stands for an incarnation without an entry,
// and any other version unchanged.
func (c *Chooser) listed(software string) string {
	id, _, unlisted := strings.Cut(software, unlistedSeparator)
	if m := c.servers[id]; unlisted && m != nil && m.unlistedStart == 0 && unlistedSoftware(m.ID, m.StartedAt) == software {
		return m.Software
	}
	return software
}

// earliestRetry returns when the first server of the service may get a request again that
// backs off or whose limit is used up; 0 if there is none.
func (c *Chooser) earliestRetry(r Request, now clocker.Millis) clocker.Millis {
	var earliest clocker.Millis
	hosts := c.hosts()
	estimate := c.roomEstimate(r.Service, now)
	for _, m := range c.servers {
		if !c.serves(m, r, now) || m.leaving(now) {
			continue
		}
		at := m.retryAt(hosts, now)
		if !c.hasRoom(m, estimate, now) {
			at = max(at, now+brittleRetryDelay)
		}
		if at > 0 && (earliest == 0 || at < earliest) {
			earliest = at
		}
	}
	return earliest
}

// usableServers are the servers that may get a request, sorted by ID.
type usableServers struct {
	healthy []*serverState
	// full can't hold more, and fallback are ejected or unreachable.
	full, fallback []*serverState
}

// best returns the servers among which one is chosen: the healthy ones, without those that can't hold more if
// there are others, or the ejected and unreachable ones if there is no other.
func (u usableServers) best() []*serverState {
	switch {
	case len(u.healthy) > 0:
		return u.healthy
	case len(u.full) > 0:
		return u.full
	}
	return u.fallback
}

// usable returns the servers that may get the request. In an unreachable zone, a server that has failed counts as
// healthy once its ejection is over, so that its next request probes whether the zone is reachable again.
func (c *Chooser) usable(r Request, now clocker.Millis) usableServers {
	var u usableServers
	unreachable := c.unreachableZones(now)
	hosts := c.hosts()
	estimate := c.roomEstimate(r.Service, now)
	for _, id := range c.IDs() {
		m := c.servers[id]
		if !c.serves(m, r, now) || m.unavailable(hosts, now) || !c.hasRoom(m, estimate, now) || slices.Contains(r.Avoid, id) {
			continue
		}
		switch {
		case m.ejected(now) || unreachable[m.AvailabilityZone] && m.consecutiveFailures == 0:
			u.fallback = append(u.fallback, m)
		case m.full(now):
			u.full = append(u.full, m)
		default:
			u.healthy = append(u.healthy, m)
		}
	}
	return u
}

// unreachableZones returns the other availability zones in which at least
// minUnreachableInZone servers were ejected since their last response, and no server
// responded within the last minEjection.
func (c *Chooser) unreachableZones(now clocker.Millis) map[string]bool {
	failing := map[string]int{}
	lastByte := map[string]clocker.Millis{}
	for _, m := range c.servers {
		if m.AvailabilityZone == c.cfg.AvailabilityZone || m.Draining {
			continue
		}
		if m.consecutiveFailures > 0 && m.ejectedUntil > 0 {
			failing[m.AvailabilityZone]++
		}
		lastByte[m.AvailabilityZone] = max(lastByte[m.AvailabilityZone], m.lastByteAt)
	}
	unreachable := map[string]bool{}
	for zone, n := range failing {
		unreachable[zone] = n >= minUnreachableInZone && now-lastByte[zone] > minEjection
	}
	return unreachable
}

// Start records that a request is sent to a server.
func (c *Chooser) Start(id string, r Request) {
	m := c.servers[id]
	if m == nil {
		return
	}
	m.inFlight++
	m.outstandingTokens += promptTokens(r.Prompt)
	m.limit.use()
	m.startedSinceLoad++
	m.sent += c.ledger(m.Service).record()
	c.shedder(m.Service).RecordSend(r.Account, r.Rank)
	for _, p := range r.Prompt[:max(0, len(r.Prompt)-1)] {
		m.cache.add(p)
	}
}

// Release records that a server no longer holds the prompt of a request, which ended or was not sent.
func (c *Chooser) Release(id string, r Request) {
	m := c.servers[id]
	if m == nil {
		m = c.removed[id]
	}
	if m != nil {
		m.outstandingTokens = max(0, m.outstandingTokens-promptTokens(r.Prompt))
	}
}

// Finish records how an attempt ended. It reports whether the server is ejected.
func (c *Chooser) Finish(id string, o Outcome, now clocker.Millis) bool {
	m := c.servers[id]
	if m == nil {
		m = c.removed[id]
	}
	if m == nil {
		return false
	}
	m.inFlight = max(0, m.inFlight-1)
	if o == Refused {
		c.rejected(m, now)
		m.recordRejection(now)
	}
	wasFailing := m.consecutiveFailures > 0
	ejected := m.recordOutcome(o, now)
	if wasFailing && m.consecutiveFailures == 0 {
		m.sent = max(m.sent, c.meanSent(m.Server))
	}
	return ejected
}

// ForgetFailures ends all ejections. It is called when this host's path to the servers has turned
// out to be the cause of the failures.
func (c *Chooser) ForgetFailures() {
	for _, m := range c.servers {
		m.consecutiveFailures, m.ejectedUntil, m.errorRate = 0, 0, 0
	}
}

// MarkDown records that nothing listens at the address of a server.
func (c *Chooser) MarkDown(id string, now clocker.Millis) {
	if m := c.servers[id]; m != nil {
		m.downAt = now
	}
}

// RecordActivity records that bytes were received from a server, and the status that it
// reported with them. The result is true if the server newly reports that it is leaving
// or requests a back-off while none is in force.
func (c *Chooser) RecordActivity(id string, report StatusReport, now clocker.Millis) bool {
	m := c.servers[id]
	if m == nil {
		m = c.removed[id]
	}
	if m == nil {
		return false
	}
	if report.Load != nil {
		mean := c.meanLoad[m.Service]
		m.share.observe(*report.Load, false, now)
		c.meanLoad[m.Service] = mean + meanLoadWeight*(float64(report.Load.Running+report.Load.Queued)-mean)
	}
	if report.Slowdown > 0 {
		c.sharedMachines[m.Service] = true
	}
	if report.Brittleness != nil {
		c.applyBrittleness(m.Service, *report.Brittleness, now)
	}
	if report.Limit != nil {
		m.limit.apply(*report.Limit, c.random.Float64, now)
	}
	isNew := report.Leaving && !m.reportedLeaving || report.BackOff > 0 && now >= m.backOffUntil
	m.applyReport(report, now)
	if report.FirstEvent != nil {
		c.recordFirstEvent(m, *report.FirstEvent)
	}
	if report.Completion != nil {
		c.recordCompletion(m.Service, *report.Completion)
	}
	return isNew
}

// LastActivity returns when a byte was last received from a server, or when an attempt last
// ended without a failure to get a response; 0 if neither happened.
func (c *Chooser) LastActivity(id string) clocker.Millis {
	if m := c.servers[id]; m != nil {
		return m.lastByteAt
	}
	return 0
}
