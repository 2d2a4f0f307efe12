package chooser

import (
	"cowsliphinge/clocker"
)

const (
	// brittleRetryDelay is when a request may find room at a brittle service again, in
	// milliseconds: several short requests.
	brittleRetryDelay = 200 * clocker.Millis(1)
	// rejectionUse is the share of the rejections that a brittle server bears which all hosts
	// together risk. Those of many hosts come unevenly.
	rejectionUse = 0.5
	// rejectedShareFactor cuts a host's share of a brittle server after a rejection, and
	// shareRegrowth is the part of the share that it gets back a second.
	rejectedShareFactor = 0.5
	shareRegrowth       = 0.1
	// minRejectionPause and maxRejectionPause bound how long a host leaves a brittle server alone
	// after a rejection, in milliseconds.
	minRejectionPause = 500 * clocker.Millis(1)
	maxRejectionPause = 10 * clocker.Second
	// roomGrowthInterval is the time in which the room that a server is taken to have grows by one
	// request, in milliseconds.
	roomGrowthInterval = 2 * clocker.Second
	// rejectionLoadAge is how old a load may be that counts as reported with a rejection, in
	// milliseconds.
	rejectionLoadAge = 50 * clocker.Millis(1)
	// brittleReportPeriod is how long after its end other hosts are told that a service is no
	// longer brittle, in milliseconds: many rounds of heartbeats.
	brittleReportPeriod = 15 * clocker.Second
)

// Brittleness is what a response says of its service: whether its servers fall over when they have
// to reject many requests.
type Brittleness struct {
	// Brittle is true if they do, beyond RejectionsPerSecond at one server.
	Brittle             bool
	RejectionsPerSecond float64
	// SentAt is when the request of the response was sent.
	SentAt clocker.Millis
}

// BrittlenessReport is what a host tells others of a service.
type BrittlenessReport struct {
	Service             string
	Brittle             bool
	RejectionsPerSecond float64
	// At is when a server last said so. After the end it is when a request was sent whose
	// response said it no more.
	At clocker.Millis
}

// brittleService is the state of a service whose servers are or were brittle. It outlives the
// servers that said so: one that fell over comes back without room to learn it again.
type brittleService struct {
	brittle             bool
	rejectionsPerSecond float64
	namedAt, endedAt    clocker.Millis
}

func (b *brittleService) name(perSecond float64, at clocker.Millis) {
	if at < b.namedAt || at < b.endedAt {
		return
	}
	b.brittle, b.rejectionsPerSecond, b.namedAt = true, perSecond, at
}

func (b *brittleService) end(sentAt clocker.Millis) {
	if sentAt > b.namedAt {
		b.brittle, b.endedAt = false, max(b.endedAt, sentAt)
	}
}

// serverShare is a host's share of one brittle server.
type serverShare struct {
	// cut is the part of the share that is not used after rejections, as of cutAt.
	cut   float64
	cutAt clocker.Millis
	// pausedUntil is when the server may get requests again after a rejection.
	pausedUntil clocker.Millis
	// room is the number of requests that the server was last seen to run while others waited, 0 for
	// never: long prompts fill the memory of an engine before its slots. It grows again by one each
	// roomGrowthInterval from roomSeenAt on.
	room       int
	roomSeenAt clocker.Millis
}

// observe records the load that the server reported; full is true if it rejected a request.
func (s *serverShare) observe(load Load, full bool, now clocker.Millis) {
	if load.Queued > 0 || full {
		s.room, s.roomSeenAt = max(1, load.Running), now
	}
}

// limit returns how many requests the server is taken to run, given its slots.
func (s *serverShare) limit(slots int, now clocker.Millis) int {
	if s.room == 0 {
		return slots
	}
	return min(slots, s.room+int((now-s.roomSeenAt)/roomGrowthInterval))
}

// reject records that the server rejected a request.
func (s *serverShare) reject(pause, now clocker.Millis) {
	s.cut = 1 - (1-s.cutNow(now))*rejectedShareFactor
	s.cutAt = now
	s.pausedUntil = now + pause
}

func (s *serverShare) cutNow(now clocker.Millis) float64 {
	return max(0, s.cut-shareRegrowth*float64(now-s.cutAt)/float64(clocker.Second))
}

// slotShare returns how many of a server's slots a host may use. The shares of all hosts make
// up the slots exactly; a server with fewer slots than there are hosts is used by some of them.
func slotShare(slots, position, hosts int) int {
	if hosts <= 0 || slots <= 0 {
		return 0
	}
	share := slots / hosts
	if position < slots%hosts {
		share++
	}
	return share
}

// Brittle reports whether the servers of a service are brittle, and the rejections a second that
// one bears.
func (c *Chooser) Brittle(service string) (rejectionsPerSecond float64, brittle bool) {
	if b := c.brittle[service]; b != nil {
		return b.rejectionsPerSecond, b.brittle
	}
	return 0, false
}

// applyBrittleness applies what a response of a server of the service says.
func (c *Chooser) applyBrittleness(service string, r Brittleness, now clocker.Millis) {
	b := c.brittle[service]
	switch {
	case b == nil && !r.Brittle:
		return
	case b == nil:
		b = &brittleService{}
		c.brittle[service] = b
	}
	if r.Brittle {
		b.name(r.RejectionsPerSecond, now)
	} else {
		b.end(r.SentAt)
	}
}

// hasRoom reports whether the server has room for a request of this host, given the estimate of its
// service. Servers that are not brittle always have: they say so where they have none.
func (c *Chooser) hasRoom(m *serverState, e *roomEstimate, now clocker.Millis) bool {
	if e == nil {
		return true
	}
	if now < m.share.pausedUntil || e.requestsWait(m, now) {
		return false
	}
	share := slotShare(e.limit(m, now), c.position(m.ID), c.hosts())
	if share > 0 {
		share = max(1, int(float64(share)*(1-m.share.cutNow(now))))
	}
	return m.inFlight < share
}

// position returns the position of this host among those that share a server.
func (c *Chooser) position(server string) int {
	if c.cfg.Position == nil {
		return 0
	}
	return c.cfg.Position(server)
}

// rejected records that a brittle server rejected a request. All hosts that use the server pause for as
// long as keeps their rejections together below what it bears.
func (c *Chooser) rejected(m *serverState, now clocker.Millis) {
	perSecond, brittle := c.Brittle(m.Service)
	if !brittle {
		return
	}
	if now-m.loadReportedAt <= rejectionLoadAge {
		m.share.observe(m.load, true, now)
	}
	users := float64(min(max(1, c.hosts()), m.slots()))
	pause := maxRejectionPause
	if perSecond > 0 {
		pause = clocker.Millis(min(users/(perSecond*rejectionUse)*float64(clocker.Second), float64(maxRejectionPause)))
	}
	m.share.reject(max(pause, minRejectionPause), now)
}

// BrittlenessReports returns the services that are brittle and those that were lately.
func (c *Chooser) BrittlenessReports(now clocker.Millis) []BrittlenessReport {
	var reports []BrittlenessReport
	for service, b := range c.brittle {
		switch {
		case b.brittle:
			reports = append(reports, BrittlenessReport{Service: service, Brittle: true, RejectionsPerSecond: b.rejectionsPerSecond, At: b.namedAt})
		case now-b.endedAt <= brittleReportPeriod:
			reports = append(reports, BrittlenessReport{Service: service, At: b.endedAt})
		}
	}
	return reports
}

// ApplyBrittlenessReports applies the reports of another host, unless this one knows of later ones. It
// returns the services that became brittle or ended to be.
func (c *Chooser) ApplyBrittlenessReports(reports []BrittlenessReport) []string {
	var changed []string
	for _, r := range reports {
		_, before := c.Brittle(r.Service)
		b := c.brittle[r.Service]
		if b == nil {
			if !r.Brittle {
				continue
			}
			b = &brittleService{}
			c.brittle[r.Service] = b
		}
		if r.Brittle {
			b.name(r.RejectionsPerSecond, r.At)
		} else {
			b.end(r.At)
		}
		if b.brittle != before {
			changed = append(changed, r.Service)
		}
	}
	return changed
}
