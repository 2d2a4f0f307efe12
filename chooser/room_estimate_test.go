package chooser

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

// newBrittleChooser returns the host at position 5 of 20 before n brittle servers of 12 slots each.
func newBrittleChooser(n int) *Chooser {
	c := New(Config{AvailabilityZone: "a", Hosts: func() int { return 20 }, Position: func(string) int { return 5 }})
	for i := range n {
		c.Set(newServerWithSlots(fmt.Sprintf("s%d", i), 12))
	}
	c.RecordActivity("s0", StatusReport{Brittleness: &Brittleness{Brittle: true, RejectionsPerSecond: 5}}, 1)
	return c
}

func report(c *Chooser, server string, running, queued int, now clocker.Millis) {
	c.RecordActivity(server, StatusReport{Load: &Load{Running: running, Queued: queued, Slots: 12}}, now)
}

// Guards against a host that sends requests to full brittle servers because it has not heard from them lately,
// though those that it has heard from are full.
func TestServersNotHeardFromAreTakenForThoseHeardFrom(t *testing.T) {
	const now = clocker.Minute
	hasRoom := func(c *Chooser, server string, now clocker.Millis) bool {
		return c.hasRoom(c.servers[server], c.roomEstimate("desk", now), now)
	}
	c := newBrittleChooser(4)
	assert.Assert(t, hasRoom(c, "s3", now), "nothing is known")

	// Two servers run 4 and 5 requests of 12; the third one was last heard from long ago.
	report(c, "s2", 12, 0, 100)
	report(c, "s0", 4, 1, now)
	report(c, "s1", 5, 1, now)
	assert.Assert(t, !hasRoom(c, "s3", now), "4 requests fit, the host is the sixth")
	assert.Assert(t, !hasRoom(c, "s2", now))
	report(c, "s2", 6, 0, now)
	assert.Assert(t, hasRoom(c, "s2", now), "it has just reported that none wait")
	assert.Assert(t, hasRoom(c, "s3", now), "7 requests fit")

	// Servers at which more requests wait than run drain first.
	report(c, "s0", 9, 10, now)
	report(c, "s1", 9, 10, now)
	assert.Assert(t, !hasRoom(c, "s3", now))
	assert.Assert(t, !hasRoom(c, "s1", now))
	assert.Assert(t, hasRoom(c, "s2", now), "none wait at this one")
	assert.Assert(t, hasRoom(c, "s3", now+maxLoadAge+1), "the reports are old")

	// A server that fell over has nothing waiting.
	c.Start("s3", request)
	c.Finish("s3", Aborted, now)
	assert.Assert(t, hasRoom(c, "s3", now))

	// The estimate ends with the reports, and holds for brittle services alone.
	assert.Equal(t, c.roomEstimate("desk", now+roomReportAge+1).slots, 0)
	c.RecordActivity("s0", StatusReport{Brittleness: &Brittleness{SentAt: now}}, now)
	assert.Assert(t, c.roomEstimate("desk", now) == nil)
	assert.Assert(t, hasRoom(c, "s2", now))
}

// Guards against hosts that take what servers reported a minute ago, under little load, for the room that they
// have: the fleet is that of TestBrittleServersOfManyHostsWithLittleRoomDoNotFallOver after a quiet minute.
func TestBrittleServersOfManyHostsDoNotFallOverAfterAQuietMinute(t *testing.T) {
	t.Parallel()
	const (
		busyAt    = clocker.Minute
		brittleAt = busyAt + 2*clocker.Second
		noQueueAt = brittleAt + brittleNotice
		endAt     = busyAt + 12*clocker.Second
	)
	f := newBrittleFleet(195, 40, 12)
	f.run(0, busyAt, 160)
	f.room = 5
	f.run(busyAt, brittleAt, 640)
	f.brittle = true
	f.run(brittleAt, noQueueAt, 1200)
	f.queue = 0
	f.run(noQueueAt, endAt, 1200)
	t.Logf("%d falls, served %d", f.falls(), f.served)
	assert.Check(t, f.falls() <= 2+40/10, "%d", f.falls())
}

func BenchmarkChoose(b *testing.B) {
	for _, brittle := range []bool{false, true} {
		b.Run(fmt.Sprintf("brittle=%t", brittle), func(b *testing.B) {
			c := New(Config{AvailabilityZone: "a", Hosts: func() int { return 195 }, Position: func(string) int { return 0 }})
			for i := range 124 {
				id := fmt.Sprintf("s%03d", i)
				c.Set(newServerWithSlots(id, 12))
				c.RecordActivity(id, StatusReport{Load: &Load{Running: 5, Slots: 12}, Brittleness: &Brittleness{Brittle: brittle, RejectionsPerSecond: 5}}, 1)
			}
			b.ReportAllocs()
			for b.Loop() {
				c.Choose(request, 2)
			}
		})
	}
}
