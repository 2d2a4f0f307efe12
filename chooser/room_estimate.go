package chooser

import (
	"cowsliphinge/clocker"
)

// roomReportAge is how long a reported load tells what room its server has, in milliseconds.
const roomReportAge = 10 * clocker.Second

// roomEstimate sums up what this host knows of the servers of one brittle service. Many hosts hear little from
// each server; the servers of a service get similar requests, so that those which a host has heard
// from stand for the others.
type roomEstimate struct {
	// room is the number of requests that the servers which have reported a load are taken to run, and slots
	// is the number of their slots.
	room, slots int
	// waiting counts the servers that reported lately that more requests wait than run, notWaiting
	// the others that reported lately.
	waiting, notWaiting int
}

// roomEstimate returns the estimate of a service, nil if its servers are not brittle.
func (c *Chooser) roomEstimate(service string, now clocker.Millis) *roomEstimate {
	if _, brittle := c.Brittle(service); !brittle {
		return nil
	}
	e := &roomEstimate{}
	for _, m := range c.servers {
		if m.Service == service && m.reportedWithin(roomReportAge, now) {
			e.add(m, now)
		}
	}
	return e
}

// add adds a server that has reported its load.
func (e *roomEstimate) add(m *serverState, now clocker.Millis) {
	e.room += m.share.limit(m.slots(), now)
	e.slots += m.slots()
	switch {
	case !m.reportedWithin(maxLoadAge, now):
	case m.load.Queued > m.load.Running:
		e.waiting++
	default:
		e.notWaiting++
	}
}

// limit returns how many requests a server is taken to run, at most as many as the others are if it has
// not reported for long.
func (e *roomEstimate) limit(m *serverState, now clocker.Millis) int {
	limit := m.share.limit(m.slots(), now)
	if m.reportedWithin(roomReportAge, now) || e.slots == 0 {
		return limit
	}
	return max(1, min(limit, m.slots()*e.room/e.slots))
}

// requestsWait reports whether more requests are taken to wait at a server than it runs. None wait at
// one that has failed.
func (e *roomEstimate) requestsWait(m *serverState, now clocker.Millis) bool {
	switch {
	case m.consecutiveFailures > 0:
		return false
	case m.reportedWithin(maxLoadAge, now):
		return m.load.Queued > m.load.Running
	}
	return e.waiting > e.notWaiting
}
