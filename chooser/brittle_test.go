package chooser

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

const (
	// brittleNotice is how long after a service becomes brittle its servers let fewer requests wait.
	brittleNotice = 3 * clocker.Second
	// brittleDowntime is how long a server that fell over is down.
	brittleDowntime = 3 * clocker.Second
	// brittleBears is the number of rejections in a second that a server bears.
	brittleBears = 5
)

// brittleServer is a server with slots, a queue, and the times of its rejections.
type brittleServer struct {
	id      string
	running []brittleRequest
	// rejections are those in the last second.
	rejections []clocker.Millis
	downUntil  clocker.Millis
	falls      int
}

type brittleRequest struct {
	host   *Chooser
	sentAt clocker.Millis
	// workMs is what is left of the work; only the first requests of a server are worked on.
	workMs clocker.Millis
}

// brittleFleet is many hosts before the servers of one service.
type brittleFleet struct {
	rng     *rand.Rand
	hosts   []*Chooser
	servers []*brittleServer
	slots   int
	queue   int
	// room is the number of requests that a server runs, at most slots: long prompts need memory.
	room int
	// reported is true if the servers' responses say that they are brittle.
	reported bool
	brittle  bool
	// cut are the positions of hosts that hear nothing of others.
	cut               map[int]bool
	served, notServed int
}

func newBrittleFleet(hosts, servers, slots int) *brittleFleet {
	f := &brittleFleet{rng: rand.New(rand.NewPCG(uint64(hosts), 1)), slots: slots, room: slots, queue: 2 * slots, reported: true, cut: map[int]bool{}}
	for n := range servers {
		f.servers = append(f.servers, &brittleServer{id: fmt.Sprintf("s%03d", n)})
	}
	for i := range hosts {
		c := New(Config{AvailabilityZone: "a", Seed: f.rng.Uint64(), Hosts: func() int { return hosts }, Position: func(server string) int {
			var n int
			_, _ = fmt.Sscanf(server, "s%d", &n)
			return (i + n*slots) % hosts
		}})
		for _, s := range f.servers {
			c.Set(newServerWithSlots(s.id, slots))
		}
		f.hosts = append(f.hosts, c)
	}
	return f
}

func newServerWithSlots(id string, slots int) Server {
	s := newServer(id, 1)
	s.Slots = slots
	return s
}

// run plays the time between two moments with a demand in requests a second.
func (f *brittleFleet) run(from, to clocker.Millis, perSecond float64) {
	const step = 10
	for now := from; now < to; now += step {
		for _, s := range f.servers {
			f.work(s, step, now)
		}
		if now%500 == 0 {
			f.gossip(now)
		}
		for n := perSecond * step / 1000; n > f.rng.Float64(); n-- {
			f.send(f.hosts[f.rng.IntN(len(f.hosts))], now)
		}
	}
}

func (f *brittleFleet) gossip(now clocker.Millis) {
	for i, h := range f.hosts {
		other := f.rng.IntN(len(f.hosts))
		if !f.cut[i] && !f.cut[other] {
			h.ApplyBrittlenessReports(f.hosts[other].BrittlenessReports(now))
			f.hosts[other].ApplyBrittlenessReports(h.BrittlenessReports(now))
		}
	}
}

// work advances the first requests of a server and answers those that are done.
func (f *brittleFleet) work(s *brittleServer, step, now clocker.Millis) {
	var left []brittleRequest
	for i, r := range s.running {
		if i < f.room {
			r.workMs -= step
		}
		if r.workMs > 0 {
			left = append(left, r)
			continue
		}
		f.served++
		f.respond(s, r, NoFailure, now)
	}
	s.running = left
}

func (f *brittleFleet) respond(s *brittleServer, r brittleRequest, o Outcome, now clocker.Millis) {
	report := StatusReport{Load: &Load{Running: min(len(s.running), f.room), Queued: max(0, len(s.running)-f.room), Slots: f.slots}}
	if f.reported {
		report.Brittleness = &Brittleness{Brittle: f.brittle, RejectionsPerSecond: brittleBears, SentAt: r.sentAt}
	}
	r.host.RecordActivity(s.id, report, now)
	r.host.Finish(s.id, o, now)
}

func (f *brittleFleet) send(h *Chooser, now clocker.Millis) {
	choice := h.Choose(request, now)
	if !choice.Found {
		f.notServed++
		return
	}
	h.Start(choice.Server.ID, request)
	var n int
	_, _ = fmt.Sscanf(choice.Server.ID, "s%d", &n)
	s := f.servers[n]
	r := brittleRequest{host: h, sentAt: now, workMs: 200 + clocker.Millis(f.rng.IntN(800))}
	switch {
	case now < s.downUntil:
		f.notServed++
		h.Finish(s.id, Unreachable, now)
	case len(s.running) >= f.room+f.queue:
		f.notServed++
		f.respond(s, r, Refused, now)
		f.reject(s, now)
	default:
		s.running = append(s.running, r)
	}
}

// reject counts a rejection; a brittle server falls over beyond what it bears in a second.
func (f *brittleFleet) reject(s *brittleServer, now clocker.Millis) {
	s.rejections = append(s.rejections, now)
	for s.rejections[0] <= now-clocker.Second {
		s.rejections = s.rejections[1:]
	}
	if !f.brittle || len(s.rejections) <= brittleBears {
		return
	}
	s.falls++
	s.downUntil = now + brittleDowntime
	for _, r := range s.running {
		f.notServed++
		r.host.Finish(s.id, Aborted, now)
	}
	s.running, s.rejections = nil, nil
}

func (f *brittleFleet) falls() int {
	falls := 0
	for _, s := range f.servers {
		falls += s.falls
	}
	return falls
}

// play plays a time in which the service is brittle under a demand relative to what it can do.
func (f *brittleFleet) play(demand float64) {
	const meanWorkMs = 600
	perSecond := demand * float64(len(f.servers)*f.slots) * 1000 / meanWorkMs
	f.run(0, 2000, perSecond/demand*0.8)
	f.brittle = true
	f.run(2000, 2000+brittleNotice, perSecond)
	f.queue = 0
	f.run(2000+brittleNotice, 12_000, perSecond)
}

// Guards against servers that fall over because hosts send them more than they have room for: the
// demand is half as much again as the service can do, its servers let nothing wait, and hosts know nothing of what
// others send. At 8, 90 and 195 hosts. The bound is that of the operators: 2 and a tenth of the servers.
func TestBrittleServersDoNotFallOver(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ hosts, servers, slots int }{{8, 12, 64}, {8, 4, 6}, {90, 94, 12}, {195, 124, 12}, {195, 6, 6}} {
		t.Run(fmt.Sprintf("%d hosts, %d servers of %d slots", size.hosts, size.servers, size.slots), func(t *testing.T) {
			t.Parallel()
			unaware := newBrittleFleet(size.hosts, size.servers, size.slots)
			unaware.reported = false
			unaware.play(1.5)
			f := newBrittleFleet(size.hosts, size.servers, size.slots)
			f.play(1.5)
			t.Logf("%d falls (%d if not told), served %d (%d)", f.falls(), unaware.falls(), f.served, unaware.served)
			assert.Check(t, f.falls() <= 2+size.servers/10)
			assert.Check(t, unaware.falls() > 2+size.servers/10, "the test shows nothing")
			assert.Check(t, f.served > unaware.served)
		})
	}
}

// Servers run fewer requests than they have slots, since long prompts fill their memory: a host learns it
// from rejections alone.
func TestBrittleServersWithLessRoomThanSlotsDoNotFallOver(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ hosts, servers, slots, room int }{{8, 12, 64, 40}, {8, 12, 64, 10}, {90, 94, 12, 8}} {
		f := newBrittleFleet(size.hosts, size.servers, size.slots)
		f.room = size.room
		f.play(1.5)
		t.Logf("%d falls, served %d", f.falls(), f.served)
		assert.Check(t, f.falls() <= 2+size.servers/10, "%d falls at %d hosts", f.falls(), size.hosts)
	}
}

// Guards against the same where many hosts share servers that run less than half of their slots: a host hears
// from few of them.
func TestBrittleServersOfManyHostsWithLittleRoomDoNotFallOver(t *testing.T) {
	t.Parallel()
	f := newBrittleFleet(195, 40, 12)
	f.room = 5
	f.play(1.5)
	t.Logf("%d falls, served %d", f.falls(), f.served)
	assert.Check(t, f.falls() <= 2+40/10, "%d", f.falls())
}

// A tenth of the hosts hears nothing of others, and learns that the service is brittle from its servers alone.
func TestBrittleServersDoNotFallOverWhileHostsAreCutOff(t *testing.T) {
	t.Parallel()
	f := newBrittleFleet(90, 94, 12)
	for i := range 9 {
		f.cut[i*10] = true
	}
	f.play(1.5)
	assert.Check(t, f.falls() <= 2+94/10, "%d", f.falls())
}

// The service is no longer brittle: hosts send as before, also those that hear of it from others.
func TestEndOfBrittleness(t *testing.T) {
	c := New(Config{AvailabilityZone: "a", Hosts: func() int { return 20 }, Position: func(string) int { return 19 }})
	c.Set(newServerWithSlots("s000", 4))
	c.RecordActivity("s000", StatusReport{Brittleness: &Brittleness{Brittle: true, RejectionsPerSecond: 2, SentAt: 900}}, 1000)
	choice := c.Choose(request, 1000)
	assert.Assert(t, !choice.Found && choice.RetryAt == 1000+brittleRetryDelay)
	c.RecordActivity("s000", StatusReport{Brittleness: &Brittleness{SentAt: 950}}, 1100) // sent before
	assert.Assert(t, !c.Choose(request, 1100).Found)
	reports := c.BrittlenessReports(1200)
	c.RecordActivity("s000", StatusReport{Brittleness: &Brittleness{SentAt: 1150}}, 1300)
	assert.Assert(t, c.Choose(request, 1300).Found)
	assert.Equal(t, len(c.ApplyBrittlenessReports(reports)), 0)

	other := New(Config{AvailabilityZone: "a"})
	assert.DeepEqual(t, other.ApplyBrittlenessReports(reports), []string{"desk"})
	assert.DeepEqual(t, other.ApplyBrittlenessReports(c.BrittlenessReports(1400)), []string{"desk"})
	_, brittle := other.Brittle("desk")
	assert.Assert(t, !brittle)
	assert.Equal(t, len(c.BrittlenessReports(1150+brittleReportPeriod+1)), 0)
}

// A server that rejects a request is left alone for a while, then gets less than before, and in time its share
// again.
func TestRejectionCutsTheShareOfABrittleServer(t *testing.T) {
	c := New(Config{AvailabilityZone: "a", Hosts: func() int { return 2 }})
	c.Set(newServerWithSlots("s000", 20))
	c.RecordActivity("s000", StatusReport{Brittleness: &Brittleness{Brittle: true, RejectionsPerSecond: 4, SentAt: 900}}, 1000)
	taken := func(now clocker.Millis) int {
		n := 0
		for ; c.Choose(request, now).Found; n++ {
			c.Start("s000", request)
		}
		for range n {
			c.Finish("s000", NoFailure, now)
		}
		return n
	}
	assert.Equal(t, taken(1000), 10)
	c.Finish("s000", Refused, 1000)
	const pause = 1000 // two hosts, two rejections a second
	assert.Equal(t, taken(1000+pause-1), 0)
	assert.Equal(t, taken(1000+pause), 6)
	assert.Equal(t, taken(1000+6*clocker.Second), 10)
}

// The shares of all hosts are exactly the slots.
func TestSlotSharesMakeUpTheSlots(t *testing.T) {
	for _, hosts := range []int{1, 8, 90, 195} {
		for _, slots := range []int{1, 6, 12, 64} {
			sum := 0
			for position := range hosts {
				sum += slotShare(slots, position, hosts)
			}
			assert.Equal(t, sum, slots)
		}
	}
	assert.Equal(t, slotShare(12, 0, 0), 0)
}
