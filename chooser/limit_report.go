package chooser

import (
	"cmp"
	"slices"

	"cowsliphinge/clocker"
)

const (
	// limitReportPeriod is how long after a limit was last named other hosts are told that it
	// has ended, in milliseconds: many rounds of heartbeats.
	limitReportPeriod = 15 * clocker.Second
	// maxLimitReports bounds the limits of which other hosts are told in one message.
	maxLimitReports = 64
)

// LimitReport is what a host tells others of the limit of a server.
type LimitReport struct {
	Server string
	// StartedAt is the start of the server's incarnation.
	StartedAt clocker.Millis
	Limited   bool
	// PerSecond is the number of requests a second from all hosts together.
	PerSecond float64
	// At is when the server last named the limit. After its end it is when a request was
	// sent whose response named none.
	At clocker.Millis
}

// LimitReports returns the limits in force and those that ended lately, at most
// maxLimitReports, the latest first.
func (c *Chooser) LimitReports(now clocker.Millis) []LimitReport {
	var reports []LimitReport
	for _, m := range c.servers {
		if m.limit.reported(now) {
			reports = append(reports, m.limit.report(m.running()))
		}
	}
	slices.SortFunc(reports, func(a, b LimitReport) int {
		return cmp.Or(cmp.Compare(b.At, a.At), cmp.Compare(a.Server, b.Server))
	})
	return reports[:min(len(reports), maxLimitReports)]
}

// ApplyLimitReports applies the reports of another host, unless this one knows of later ones or
// of another incarnation of the server. It returns the servers whose limits began or ended.
func (c *Chooser) ApplyLimitReports(reports []LimitReport, now clocker.Millis) []string {
	var changed []string
	for _, r := range reports {
		m := c.servers[r.Server]
		if m == nil || m.running().StartedAt != r.StartedAt {
			continue
		}
		wasLimited := m.limit.limited
		if r.Limited {
			m.limit.name(r.PerSecond, r.At, c.random.Float64, now)
		} else {
			m.limit.end(r.At)
		}
		if m.limit.limited != wasLimited {
			changed = append(changed, r.Server)
		}
	}
	return changed
}

// reported reports whether other hosts are told of the limit, or of its end.
func (l *requestLimit) reported(now clocker.Millis) bool {
	return l.limited || l.namedAt > 0 && now-l.namedAt <= limitReportPeriod
}

// report returns what other hosts are told.
func (l *requestLimit) report(s Server) LimitReport {
	r := LimitReport{Server: s.ID, StartedAt: s.StartedAt, Limited: l.limited, PerSecond: l.perSecond, At: l.namedAt}
	if !l.limited {
		r.At = l.endedAt
	}
	return r
}
