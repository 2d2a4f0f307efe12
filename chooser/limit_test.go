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
	// gossip makes each host tell another one of limits every 500 ms.
	gossip bool
	// all are the times of all requests to the first server.
	all []clocker.Millis
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
	h := &limitedHost{perSecond: perSecond}
	h.Chooser = New(Config{AvailabilityZone: "a", Seed: f.rng.Uint64(), Hosts: func() int { return f.size }})
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
		if f.gossip && now%500 == 0 {
			for _, h := range f.hosts {
				other := f.hosts[f.rng.IntN(len(f.hosts))]
				other.ApplyLimitReports(h.LimitReports(now), now)
				h.ApplyLimitReports(other.LimitReports(now), now)
			}
		}
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
	f.all = append(f.all, now)
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

// most returns the most of the requests within a window that starts at or after since.
func most(requests []clocker.Millis, since clocker.Millis) int {
	most, first := 0, 0
	for last, at := range requests {
		for requests[first] <= at-limitWindow {
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
// in need names a limit, alone or beside others, and every host has more demand for it than its
// part.
func TestAllHostsTogetherKeepTheLimitOfAServer(t *testing.T) {
	for _, size := range []struct {
		hosts, servers int
		perSecond      float64
	}{{1, 4, 60}, {8, 12, 136}, {8, 1, 136}, {90, 60, 680}, {90, 1, 680}, {195, 124, 890}, {195, 1, 890}} {
		for _, limit := range []float64{0, 0.3, 1.8, 6, 25} {
			t.Run(fmt.Sprintf("%d hosts, %d servers, limit %v", size.hosts, size.servers, limit), func(t *testing.T) {
				t.Parallel()
				f := newLimitedFleet(1, size.hosts, size.servers, size.perSecond)
				f.run(0, 2000)
				f.name(limit, 2000)
				f.run(2000, 32_000)
				got := most(f.counted, 2000+limitGrace)
				t.Logf("%d requests within 4 s, %d allowed; %d in 30 s", got, allowed(limit), f.toLimited)
				assert.Assert(t, got <= allowed(limit), "%d requests within 4 s, %d are allowed", got, allowed(limit))
			})
		}
	}
}

// Guards against a limit that is exceeded while the fleet changes: hosts join and die, and the
// others learn of it seconds later.
func TestLimitIsKeptWhileHostsJoinAndDie(t *testing.T) {
	const limit = 2
	for _, hosts := range []int{8, 90} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			f := newLimitedFleet(2, hosts, 1, 17*float64(hosts))
			f.name(limit, 0)
			f.run(0, 10_000)
			for range hosts / 2 {
				f.addHost(1, 17) // knows the present size at once
			}
			f.run(10_000, 13_000)
			f.size = len(f.hosts)
			f.run(13_000, 23_000)
			for _, h := range f.hosts[:hosts] {
				h.stopped = true // the others go on with the old size
			}
			f.run(23_000, 40_000)
			got := most(f.counted, limitGrace)
			assert.Assert(t, got <= allowed(limit), "%d requests within 4 s, %d are allowed", got, allowed(limit))
			assert.Assert(t, f.toLimited >= 40, "the server got %d requests in 40 s", f.toLimited)
		})
	}
}

// Guards against a burst of a host that does not know yet how many hosts share a limit.
func TestHostThatKnowsNoFleetSendsNothingToALimitedServer(t *testing.T) {
	f := newLimitedFleet(3, 1, 1, 50)
	f.size = 0
	f.run(0, 1000)
	f.name(5, 1000)
	f.run(1000, 3000)
	before := f.toLimited
	f.run(3000, 6000)
	assert.Equal(t, f.toLimited, before)
	f.size = 1
	f.run(6000, 9000)
	assert.Assert(t, f.toLimited > before)
}

// A limit that rises holds at once, one that ends frees the server, and a response to a request
// from before the limit does not end it.
func TestLimitChangesAndEnds(t *testing.T) {
	f := newLimitedFleet(4, 8, 12, 136)
	f.name(1, 0)
	f.run(0, 20_000)
	low := f.toLimited
	f.name(20, 20_000)
	f.run(20_000, 40_000)
	high := f.toLimited - low
	assert.Assert(t, high > 5*low && high <= 400, "%d requests in 20 s at 1 a second, %d at 20", low, high)
	f.name(-1, 40_000)
	f.run(40_000, 50_000)
	assert.Assert(t, f.toLimited-low-high > 600, "%d requests in 10 s after the limit", f.toLimited-low-high)

	c := newChooser("one")
	c.RecordActivity("one", StatusReport{Limit: &RequestLimit{Named: true, PerSecond: 1, SentAt: 100}}, 200)
	c.RecordActivity("one", StatusReport{Limit: &RequestLimit{SentAt: 150}}, 300)
	_, limited := c.Limit("one")
	assert.Assert(t, limited)
	c.RecordActivity("one", StatusReport{Limit: &RequestLimit{SentAt: 250}}, 400)
	_, limited = c.Limit("one")
	assert.Assert(t, !limited)
}

// All servers of a service are limited. A request beyond the limits is refused at once, and one
// that comes back at the time given is served.
func TestRequestBeyondAllLimitsIsRefusedUntilTheNextPermit(t *testing.T) {
	c := newChooser("one", "two", "three")
	c.RecordActivity("three", StatusReport{BackOff: clocker.Minute}, 0)
	for _, id := range []string{"one", "two", "three"} {
		c.RecordActivity(id, StatusReport{Limit: &RequestLimit{Named: true, PerSecond: 0.5}}, 0)
	}
	now, served := clocker.Millis(0), 0
	for range 20 {
		choice := c.Choose(request, now)
		if choice.Found {
			c.Start(choice.Server.ID, request)
			served++
			continue
		}
		assert.Assert(t, choice.RetryAt > now && choice.RetryAt <= now+3000, "%d at %d", choice.RetryAt, now)
		now = choice.RetryAt
		assert.Assert(t, c.Choose(request, now).Found, "refused at the time given, %d", now)
	}
	assert.Assert(t, served >= 9 && now >= 4*clocker.Second, "%d served by %d ms", served, now)
}

// Second tries, and probes of a server after failures, count like other requests.
func TestRetriesAndProbesCountTowardsALimit(t *testing.T) {
	c := newChooser("one", "two")
	c.RecordActivity("one", StatusReport{Limit: &RequestLimit{Named: true, PerSecond: 1}}, 0)
	retry := Request{Service: "desk", Avoid: []string{"two"}}
	sent := 0
	for now := clocker.Millis(0); now < 20*clocker.Second; now += 10 {
		if c.Choose(retry, now).Found {
			c.Start("one", retry)
			c.Finish("one", Unreachable, now) // ejected: the only candidate is a fallback
			sent++
		}
	}
	assert.Assert(t, sent >= 10 && sent <= 20, "%d requests in 20 s at 1 a second", sent)
}

// Guards against hosts that learn late of a limit: most hosts of a large fleet send the server a
// request only now and then, so that it can't tell them itself. All requests count, not only
// those of the hosts that it told.
func TestHostsThatTheServerDidNotTellKeepItsLimit(t *testing.T) {
	const limit, learned = 3, 5 * clocker.Second
	f := newLimitedFleet(5, 195, 12, 300)
	f.gossip = true
	f.run(0, 3000)
	f.name(limit, 3000)
	f.run(3000, 30_000)
	got := most(f.all, 3000+learned)
	assert.Assert(t, got <= allowed(limit), "%d requests within 4 s, %d are allowed", got, allowed(limit))
}

// Guards against a server that gets hardly any requests after its limit has ended: its part
// lets a host of a large fleet send it a request, and so learn of the end, once in a minute.
func TestEndOfALimitReachesAllHosts(t *testing.T) {
	f := newLimitedFleet(6, 195, 12, 900)
	f.gossip = true
	f.name(2, 0)
	f.run(0, 20_000)
	f.name(-1, 20_000)
	f.run(20_000, 27_000)
	limited := 0
	for _, h := range f.hosts {
		if _, ok := h.Limit("s000"); ok {
			limited++
		}
	}
	assert.Equal(t, limited, 0, "hosts that keep the limit")
}

// Reports of another incarnation, and those that are older than what a host knows, change
// nothing.
func TestOutdatedReportsOfALimitAreIgnored(t *testing.T) {
	c := newChooser("one")
	name := func(at clocker.Millis) LimitReport {
		return LimitReport{Server: "one", StartedAt: 1, Limited: true, PerSecond: 2, At: at}
	}
	end := func(at clocker.Millis) LimitReport { return LimitReport{Server: "one", StartedAt: 1, At: at} }
	other := name(500)
	other.StartedAt = 2
	for i, step := range []struct {
		report  LimitReport
		limited bool
	}{{other, false}, {name(100), true}, {end(90), true}, {end(110), false}, {name(105), false}, {name(120), true}} {
		c.ApplyLimitReports([]LimitReport{step.report}, 1000)
		_, limited := c.Limit("one")
		assert.Equal(t, limited, step.limited, "step %d", i)
	}
}
