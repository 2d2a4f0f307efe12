package chooser

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/shedder"
)

// shedRequest must start within a second.
var shedRequest = Request{Service: "desk", Account: "a", StartBefore: 1100}

var fullReport = StatusReport{Load: &Load{Running: 6, Queued: 12, Slots: 6}}

// fullChooser returns a chooser of two servers that have reported at 100 ms that they are full; requests hold their slots for a
// second.
func fullChooser() *Chooser {
	c := newChooser("one", "two")
	c.cfg.Sheds = true
	for range 100 {
		c.RecordActivity("one", StatusReport{Completion: &Completion{Dispatch: Dispatch{FreeSlot: true}, After: clocker.Second}}, 1)
	}
	c.RecordActivity("one", fullReport, 100)
	c.RecordActivity("two", fullReport, 100)
	return c
}

func shed(c *Chooser, r Request, now clocker.Millis) shedder.Reason {
	return c.Choose(r, now).Shed
}

// Guards against requests that are sent to servers which start them after their deadline.
func TestRequestIsRefusedWhileAllServersAreFull(t *testing.T) {
	c := fullChooser()
	choice := c.Choose(shedRequest, 100)
	assert.Equal(t, choice.Shed, shedder.WaitTooLong)
	assert.Assert(t, !choice.Found && choice.RetryAt > 1000 && choice.RetryAt < 2000, choice)
	later := shedRequest
	later.StartBefore = 10_000
	assert.Assert(t, c.Choose(later, 100).Found)
}

// Guards against refusals of requests that may run already, after reports are old, by what an earlier incarnation or a failed server
// reported, while a further server has joined, and in a brittle service, which has bounds of its own.
func TestRequestIsNotRefusedInDoubt(t *testing.T) {
	for name, change := range map[string]func(c *Chooser, r *Request) clocker.Millis{
		"may run already": func(_ *Chooser, r *Request) clocker.Millis { r.StartBefore = 0; return 100 },
		"old reports":     func(_ *Chooser, r *Request) clocker.Millis { r.StartBefore += 500; return 600 },
		"restarted":       func(c *Chooser, _ *Request) clocker.Millis { c.Set(newServer("one", 2)); return 100 },
		"failed": func(c *Chooser, _ *Request) clocker.Millis {
			c.Finish("one", Aborted, 100)
			return 100
		},
		"joined": func(c *Chooser, _ *Request) clocker.Millis { c.Set(newServer("three", 1)); return 100 },
		"other service": func(c *Chooser, r *Request) clocker.Millis {
			s := newServer("four", 1)
			s.Service = "other"
			c.Set(s)
			r.Service = "other"
			return 100
		},
		"brittle": func(c *Chooser, r *Request) clocker.Millis {
			for _, id := range []string{"one", "two"} { // as many wait as run, so that brittle servers get requests
				c.RecordActivity(id, StatusReport{Load: &Load{Running: 6, Queued: 6, Slots: 6}}, 100)
			}
			assert.Equal(t, shed(c, *r, 100), shedder.WaitTooLong)
			c.RecordActivity("one", StatusReport{Brittleness: &Brittleness{Brittle: true, RejectionsPerSecond: 5}}, 100)
			return 100
		},
	} {
		t.Run(name, func(t *testing.T) {
			c, r := fullChooser(), shedRequest
			now := change(c, &r)
			assert.Equal(t, shed(c, r, now), shedder.Sent)
		})
	}
}

// Guards against servers that may not get a request counting as ones with room: one is leaving, one backs off, and one was
// tried before.
func TestServersThatGetNothingHaveNoRoom(t *testing.T) {
	c := fullChooser()
	for _, id := range []string{"leaving", "backing off", "tried"} {
		c.Set(newServer(id, 1))
	}
	c.RecordActivity("leaving", StatusReport{Leaving: true}, 100)
	c.RecordActivity("backing off", StatusReport{BackOff: clocker.Second}, 100)
	r := shedRequest
	r.Avoid = []string{"tried"}
	assert.Equal(t, shed(c, r, 100), shedder.WaitTooLong)
}

// Guards against requests to servers that this host alone has filled, of which it hears nothing until one ends.
func TestOwnSendsFillServersWithOldReports(t *testing.T) {
	c, r := fullChooser(), shedRequest
	r.StartBefore = clocker.Minute + clocker.Second
	for range 12 { // six run, and the last one would start after a second
		c.Start("one", request)
		assert.Equal(t, shed(c, r, clocker.Minute), shedder.Sent)
		c.Start("two", request)
	}
	assert.Equal(t, shed(c, r, clocker.Minute), shedder.WaitTooLong)
	c.Finish("two", NoFailure, clocker.Minute)
	assert.Equal(t, shed(c, r, clocker.Minute), shedder.Sent)
}

// Guards against requests to servers that have rejected one at the load that they report, and against a bound that outlives the
// limit of the server.
func TestServersThatRejectGetNothingUntilTheyHaveRoom(t *testing.T) {
	r := shedRequest
	r.StartBefore = clocker.Minute
	c := fullChooser()
	c.Finish("one", Refused, 100)
	assert.Equal(t, shed(c, r, 100), shedder.Sent)
	c.Finish("two", Refused, 100)
	assert.Equal(t, shed(c, r, 100), shedder.QueuesFull)
	c.RecordActivity("two", StatusReport{Load: &Load{Running: 6, Queued: 13, Slots: 6}}, 110)
	assert.Equal(t, shed(c, r, 110), shedder.Sent)
	c.Finish("two", Refused, 110)
	assert.Equal(t, shed(c, r, 110), shedder.QueuesFull)
	end := 110 + rejectionAge
	c.RecordActivity("one", fullReport, end)
	c.RecordActivity("two", StatusReport{Load: &Load{Running: 6, Queued: 13, Slots: 6}}, end)
	assert.Equal(t, shed(c, r, end+1), shedder.Sent)
}

// Guards against a bound learned from a rejection for another reason than a lack of room: a free slot, a limit or a back-off that the
// server has named, or an old report.
func TestRejectionForAnotherReasonTellsNothingOfRoom(t *testing.T) {
	for name, report := range map[string]StatusReport{
		"free slot": {Load: &Load{Running: 5, Slots: 6}},
		"limit":     {Load: fullReport.Load, Limit: &RequestLimit{Named: true, PerSecond: 1}},
		"back-off":  {Load: fullReport.Load, BackOff: 10},
		"old":       {},
	} {
		t.Run(name, func(t *testing.T) {
			c := fullChooser()
			now := 100 + clocker.Second
			c.RecordActivity("one", report, now)
			c.Finish("one", Refused, now)
			assert.Equal(t, c.servers["one"].rejectsAt, 0)
		})
	}
}

// Guards against times that include a wait at the server being taken for the time in a slot.
func TestHoldIsLearnedFromServersWithAFreeSlot(t *testing.T) {
	c := newChooser("one")
	c.RecordActivity("one", StatusReport{Load: &Load{Running: 5, Slots: 6}}, 100)
	assert.Assert(t, c.Choose(request, 100).Dispatch.FreeSlot)
	c.RecordActivity("one", StatusReport{Load: &Load{Running: 6, Slots: 6}}, 100)
	assert.Assert(t, !c.Choose(request, 100).Dispatch.FreeSlot)
	c.RecordActivity("one", StatusReport{Load: &Load{Slots: 6}}, 100)
	assert.Assert(t, !c.Choose(request, 101+maxLoadAge).Dispatch.FreeSlot)
}

// Guards against refusals in deployments whose settings do not ask for them.
func TestNothingIsRefusedWithoutTheSetting(t *testing.T) {
	c := fullChooser()
	c.cfg.Sheds = false
	assert.Equal(t, shed(c, shedRequest, 100), shedder.Sent)
	assert.Assert(t, c.Choose(shedRequest, 100).Found)
}
