package chooser

import (
	"math"

	"cowsliphinge/clocker"
)

const (
	// maxSpeedReports bounds the servers in one message; further ones follow in the next.
	maxSpeedReports = 48
	// maxSpeedHosts bounds the hosts whose observations of one server are kept.
	maxSpeedHosts = 256
)

// SpeedReport is what a host tells others of the speed of a server. Each host sees the first events of few requests
// at each of many servers. A host tells only what it observed itself, so that nothing counts twice.
type SpeedReport struct {
	Server string
	// StartedAt is the start of the server's incarnation.
	StartedAt clocker.Millis
	// Slowness is the mean ratio of observed times to those of the service.
	Slowness float64
	// Evidence is the number of observations, of which earlier ones fade.
	Evidence float64
}

// SpeedReports returns the speeds of up to maxSpeedReports servers, in turn.
func (c *Chooser) SpeedReports() []SpeedReport {
	var reports []SpeedReport
	ids := c.IDs()
	for n := range ids {
		i := (c.speedReported + n) % len(ids)
		m := c.servers[ids[i]]
		if own := m.speed.own; own.evidence > 0 {
			reports = append(reports, SpeedReport{Server: m.ID, StartedAt: m.running().StartedAt, Slowness: math.Exp(own.sum / own.evidence), Evidence: own.evidence})
		}
		if len(reports) == maxSpeedReports {
			c.speedReported = i + 1
			break
		}
	}
	return reports
}

// ApplySpeedReports applies what another host tells of the speed of servers, in place of what it told before. Values
// out of range are bounded.
func (c *Chooser) ApplySpeedReports(host string, reports []SpeedReport) {
	for _, r := range reports {
		m := c.servers[r.Server]
		if m == nil || m.running().StartedAt != r.StartedAt || !(r.Slowness > 0) || !(r.Evidence > 0) {
			continue
		}
		evidence := min(r.Evidence, maxSpeedEvidence)
		m.speed.hear(host, speedTally{sum: evidence * clampLog(math.Log(r.Slowness)), evidence: evidence})
	}
}
