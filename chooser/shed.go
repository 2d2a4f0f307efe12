package chooser

import (
	"iter"

	"cowsliphinge/clocker"
	"cowsliphinge/shedder"
)

// rejectionAge is how long a rejection tells how many requests a server holds at most, in milliseconds: it may run
// with another limit later.
const rejectionAge = 5 * clocker.Second

// Completion is the end of a complete response.
type Completion struct {
	Dispatch Dispatch
	// After is the time since the request was sent.
	After clocker.Millis
}

// shedder returns the shedder of a service.
func (c *Chooser) shedder(service string) *shedder.Shedder {
	s := c.shedders[service]
	if s == nil {
		s = shedder.New()
		c.shedders[service] = s
	}
	return s
}

// shed decides whether a request is refused because no usable server can start it in time. Requests that may run already
// have no StartBefore. Brittle services have bounds of their own, and servers that fail may have lost what
// they reported.
func (c *Chooser) shed(u usableServers, r Request, now clocker.Millis) shedder.Verdict {
	if _, brittle := c.Brittle(r.Service); !c.cfg.Sheds || r.StartBefore == 0 || brittle {
		return shedder.Verdict{}
	}
	request := shedder.Request{Account: r.Account, Rank: r.Rank, Ordered: r.Ordered, TimeLeft: r.StartBefore - now}
	return c.shedder(r.Service).Decide(request, u.loads(now))
}

// loads returns what is known of the load of the servers that are not ejected or unreachable.
func (u usableServers) loads(now clocker.Millis) iter.Seq[shedder.Server] {
	return func(yield func(shedder.Server) bool) {
		for _, servers := range [][]*serverState{u.healthy, u.full} {
			for _, m := range servers {
				if !yield(m.knownLoad(now)) {
					return
				}
			}
		}
	}
}

// knownLoad returns what is known of the load of a server.
func (m *serverState) knownLoad(now clocker.Millis) shedder.Server {
	s := shedder.Server{Slots: m.slots(), Running: m.load.Running, Queued: m.load.Queued, ReportAge: -1, SentSince: m.startedSinceLoad, InFlight: m.inFlight}
	if m.loadReportedAt > 0 && m.consecutiveFailures == 0 {
		s.ReportAge = max(0, now-m.loadReportedAt)
	}
	if m.rejectsAt > 0 && now-m.rejectedAt <= rejectionAge {
		s.RejectsAt = m.rejectsAt
	}
	return s
}

// recordRejection records that the server rejected a request, if it reported its load with that and had no free slot. A server
// that has named a limit or a back-off, or is leaving, also rejects what it has room for.
func (m *serverState) recordRejection(now clocker.Millis) {
	held := m.load.Running + m.load.Queued
	if m.limit.limited || m.unavailable(1, now) || !m.reportedWithin(rejectionLoadAge, now) || held < m.slots() {
		return
	}
	m.rejectsAt, m.rejectedAt = held, now
}

// recordCompletion learns how long a request held its slot, if its server had a free one.
func (c *Chooser) recordCompletion(service string, e Completion) {
	if e.Dispatch.FreeSlot && e.After >= 0 {
		c.shedder(service).RecordHold(e.After)
	}
}
