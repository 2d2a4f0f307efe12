package chooser

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

const (
	// limitAllowance and limitSlack make the most requests within limitWindow: the allowance
	// times what the limit allows, plus the slack.
	limitAllowance = 1.5
	limitSlack     = 5
	limitWindow    = 4 * clocker.Second
	// limitNotice is how long after a host has received a named limit its requests count, and
	// limitGrace how long after the limit was first named, in milliseconds.
	limitNotice = 500 * clocker.Millis(1)
	limitGrace  = 3 * clocker.Second
	// limitResponseTime is how long a server takes for a response, in milliseconds.
	limitResponseTime = 60 * clocker.Millis(1)
)

// limitedFleet is many hosts before the servers of one service. The first server names a limit.
type limitedFleet struct {
	rng   *rand.Rand
	hosts []*limitedHost
	// size is the number of hosts that the hosts know.
	size int
	// limit is what the first server names, or negative.
	limit     float64
	namedAt   clocker.Millis
	responses []limitedResponse
	// counted are the times of the requests to the first server that count.
	counted []clocker.Millis
	// toLimited and refused count requests.
	toLimited, refused int
}

type limitedHost struct {
	*Chooser
	// perSecond is the demand of the host's callers.
	perSecond float64
	informed  bool
	// informedAt is when the host first received a named limit.
	informedAt clocker.Millis
	stopped    bool
}

type limitedResponse struct {
	host   *limitedHost
	server string
	sentAt clocker.Millis
	at     clocker.Millis
}

func newLimitedFleet(seed uint64, hosts, servers int, perSecond float64) *limitedFleet {
	f := &limitedFleet{rng: rand.New(rand.NewPCG(seed, 7)), limit: -1, size: hosts}
	for i := range hosts {
		f.addHost(servers, perSecond/float64(hosts)*(0.2+1.6*float64(i%5)/4))
	}
	return f
}

func (f *limitedFleet) addHost(servers int, perSecond float64) *limitedHost {
	h := &limitedHost{perSecond: perSecond, Chooser: New(Config{AvailabilityZone: "a", Seed: f.rng.Uint64()})}
	for i := range servers {
		h.Set(newServer(fmt.Sprintf("s%03d", i), 1))
	}
	f.hosts = append(f.hosts, h)
	return h
}

// run plays the time from one moment to another. The first server has the highest request
// rate, as one in need has: it is the only one without load.
func (f *limitedFleet) run(from, to clocker.Millis) {
	for now := from; now < to; now += 10 {
		f.deliver(now)
		for _, h := range f.hosts {
			for n := h.perSecond / 100; !h.stopped && f.rng.Float64() < n; n-- {
				f.send(h, now)
			}
		}
	}
}

func (f *limitedFleet) send(h *limitedHost, now clocker.Millis) {
	choice := h.Choose(request, now)
	if !choice.Found {
		f.refused++
		return
	}
	h.Start(choice.Server.ID, request)
	f.responses = append(f.responses, limitedResponse{host: h, server: choice.Server.ID, sentAt: now, at: now + limitResponseTime})
	if choice.Server.ID != "s000" {
		return
	}
	f.toLimited++
	if h.informed && now >= h.informedAt+limitNotice {
		f.counted = append(f.counted, now)
	}
}

func (f *limitedFleet) deliver(now clocker.Millis) {
	for len(f.responses) > 0 && f.responses[0].at <= now {
		r := f.responses[0]
		f.responses = f.responses[1:]
		report := StatusReport{Limit: &RequestLimit{SentAt: r.sentAt}, Load: &Load{Running: 8, Slots: 6}}
		if r.server == "s000" {
			report.Load.Running = 0
			if f.limit >= 0 {
				report.Limit.Named, report.Limit.PerSecond = true, f.limit
			}
		}
		r.host.Finish(r.server, NoFailure, now)
		r.host.RecordActivity(r.server, report, now)
		if report.Limit.Named && !r.host.informed {
			r.host.informed, r.host.informedAt = true, now
		}
	}
}

// name makes the first server name a limit from now on.
func (f *limitedFleet) name(limit float64, now clocker.Millis) {
	f.limit, f.namedAt = limit, now
}

// most returns the most requests that count within a window that ends at or after since.
func (f *limitedFleet) most(since clocker.Millis) int {
	most, first := 0, 0
	for last, at := range f.counted {
		for f.counted[first] <= at-limitWindow {
			first++
		}
		if at-limitWindow >= since {
			most = max(most, last-first+1)
		}
	}
	return most
}

func allowed(limit float64) int {
	return int(limitAllowance*limit*float64(limitWindow/clocker.Second)) + limitSlack
}

// Guards against hosts that each send what a server takes from all of them together: a server
// in need names a limit, and every host has more demand for it than its part.
func TestAllHostsTogetherKeepTheLimitOfAServer(t *testing.T) {
	for _, size := range []struct {
		hosts, servers int
		perSecond      float64
	}{{1, 4, 60}, {8, 12, 136}, {90, 60, 680}, {195, 124, 890}} {
		for _, limit := range []float64{0, 0.3, 1.8, 6, 25} {
			t.Run(fmt.Sprintf("%d hosts, limit %v", size.hosts, limit), func(t *testing.T) {
				f := newLimitedFleet(1, size.hosts, size.servers, size.perSecond)
				f.run(0, 2000)
				f.name(limit, 2000)
				f.run(2000, 32_000)
				most := f.most(2000 + limitGrace)
				assert.Assert(t, most <= allowed(limit), "%d requests within 4 s, %d are allowed", most, allowed(limit))
			})
		}
	}
}
