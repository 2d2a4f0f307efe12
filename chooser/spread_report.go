package chooser

import (
	"maps"

	"cowsliphinge/clocker"
)

// ServiceSpread is what operators see of the choice among the servers of one service.
type ServiceSpread struct {
	Service string
	Rates   Rates
	// Fastest and Slowest are the lowest and the highest slowness of a server.
	Fastest, Slowest float64
	// Busiest is the most requests that this host lately sent to one server, relative to the mean for the speeds
	// of the servers; 0 before any request.
	Busiest float64
	// Full counts the servers that get no requests while others have room.
	Full int
}

// Spreads returns the spread of each service to which requests were sent.
func (c *Chooser) Spreads(now clocker.Millis) []ServiceSpread {
	spreads := map[string]ServiceSpread{}
	sums, counts := map[string]float64{}, map[string]float64{}
	for _, m := range c.servers {
		if c.ledgers[m.Service] == nil {
			continue
		}
		s, known := spreads[m.Service]
		f := m.speed.factor()
		if !known {
			s = ServiceSpread{Service: m.Service, Rates: *c.rates(m.Service), Fastest: f, Slowest: f}
		}
		s.Fastest, s.Slowest = min(s.Fastest, f), max(s.Slowest, f)
		s.Busiest = max(s.Busiest, f*m.sent)
		if m.full(now) {
			s.Full++
		}
		spreads[m.Service] = s
		sums[m.Service] += f * m.sent
		counts[m.Service]++
	}
	var all []ServiceSpread
	for s := range maps.Values(spreads) {
		if sum := sums[s.Service]; sum > 0 {
			s.Busiest *= counts[s.Service] / sum
		}
		all = append(all, s)
	}
	return all
}
