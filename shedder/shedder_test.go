package shedder

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

// learned returns a Shedder that knows that requests hold their slots for a second.
func learned() *Shedder {
	s := New()
	for range minHoldSamples {
		s.RecordHold(clocker.Second)
	}
	return s
}

func decide(s *Shedder, r Request, servers ...Server) Verdict {
	return s.Decide(r, slices.Values(servers))
}

// fullServer would start a further request after two seconds.
var fullServer = Server{Slots: 10, Running: 10, Queued: 20}

// Guards against refusals while a server has room or may have: it has a free slot, has never reported a load, its report is old,
// part of the reported requests have ended since, or nothing is known of how long requests hold a slot.
func TestRequestIsSentUnlessAllServersAreKnownToBeFull(t *testing.T) {
	r := Request{TimeLeft: clocker.Second}
	assert.Equal(t, decide(learned(), r, fullServer, fullServer).Reason, WaitTooLong)
	for name, other := range map[string]Server{
		"free slot":        {Slots: 10, Running: 9},
		"no load reported": {Slots: 10, Running: 10, Queued: 20, ReportAge: -1, InFlight: 30},
		"old report":       {Slots: 10, Running: 10, Queued: 20, ReportAge: maxReportAge + 1, InFlight: 9},
		"ended since":      {Slots: 10, Running: 10, Queued: 1, ReportAge: 300},
		"short queue":      {Slots: 10, Running: 10, Queued: 8},
		"few wait":         {Slots: 64, Running: 3, Queued: 10},
		"fewer than run":   {Slots: 64, Running: 25, Queued: 20},
	} {
		t.Run(name, func(t *testing.T) {
			assert.DeepEqual(t, decide(learned(), r, fullServer, other), Verdict{})
		})
	}
	assert.DeepEqual(t, decide(New(), r, fullServer), Verdict{})
	assert.DeepEqual(t, decide(learned(), r), Verdict{})
	assert.DeepEqual(t, decide(learned(), Request{TimeLeft: 3 * clocker.Second}, fullServer), Verdict{})
}

// Guards against requests to a server that this host alone has filled, of which it hears nothing until one ends.
func TestOwnSendsShowThatAServerIsFull(t *testing.T) {
	own := Server{Slots: 10, ReportAge: 5 * clocker.Second, InFlight: 30}
	v := decide(learned(), Request{TimeLeft: clocker.Second}, own)
	assert.Equal(t, v.Reason, WaitTooLong)
	assert.Assert(t, v.RoomIn > clocker.Second && v.RoomIn < 2*clocker.Second, v.RoomIn)
	sent := Server{Slots: 10, Running: 10, SentSince: 20}
	assert.Equal(t, decide(learned(), Request{TimeLeft: clocker.Second}, sent).Reason, WaitTooLong)
}

// Guards against requests to an engine whose memory is full before its slots.
func TestEngineThatRunsFewerThanItsSlotsIsFull(t *testing.T) {
	assert.Equal(t, decide(learned(), Request{TimeLeft: clocker.Second}, Server{Slots: 64, Running: 10, Queued: 20}).Reason, WaitTooLong)
}

// Guards against a request to a server that has just rejected one and reports as many requests since.
func TestServerThatRejectsAtItsLoadGetsNothing(t *testing.T) {
	r := Request{TimeLeft: clocker.Minute}
	m := Server{Slots: 10, Running: 10, Queued: 5, RejectsAt: 15}
	v := decide(learned(), r, m)
	assert.Equal(t, v.Reason, QueuesFull)
	assert.Equal(t, v.RoomIn, 100*clocker.Millis(1))
	m.Queued = 4
	assert.DeepEqual(t, decide(learned(), r, m), Verdict{})
}

// Guards against urgent requests that are rejected because less urgent ones have taken all places to wait.
func TestLeastUrgentRequestsAreRefusedFirst(t *testing.T) {
	s := learned()
	for i := range 1000 {
		s.RecordSend("a", i%2*5)
	}
	m := Server{Slots: 10, Running: 10, Queued: 9, RejectsAt: 20}
	assert.DeepEqual(t, decide(s, Request{Account: "a", Rank: 0, TimeLeft: clocker.Minute}, m), Verdict{})
	assert.Equal(t, decide(s, Request{Account: "a", Rank: 5, TimeLeft: clocker.Minute}, m).Reason, QueuesFull)
	waits := Request{Account: "a", Ordered: true, TimeLeft: 1500}
	assert.DeepEqual(t, decide(s, waits, fullServer), Verdict{})
	waits.Rank = 5
	assert.Equal(t, decide(s, waits, fullServer).Reason, WaitTooLong)
}

// Guards against an account that takes all places to wait, and against refusals of an account that alone uses the service.
func TestAccountBeyondItsShareLeavesPlaces(t *testing.T) {
	m := Server{Slots: 10, Running: 10, Queued: 9, RejectsAt: 20}
	s := learned()
	for range 1000 {
		s.RecordSend("large", 0)
	}
	assert.DeepEqual(t, decide(s, Request{Account: "large", TimeLeft: clocker.Minute}, m), Verdict{})
	for i := range 1000 {
		s.RecordSend("large", 0)
		if i%8 == 0 {
			s.RecordSend("small", 0)
		}
	}
	assert.Equal(t, decide(s, Request{Account: "large", TimeLeft: clocker.Minute}, m).Reason, QueuesFull)
	assert.DeepEqual(t, decide(s, Request{Account: "small", TimeLeft: clocker.Minute}, m), Verdict{})
}

// Guards against sums that overflow, and against accounts that are kept for ever.
func TestSendsStayInRange(t *testing.T) {
	s := New()
	for i := range 100_000 {
		s.RecordSend(fmt.Sprint(i/10), i%ranks)
	}
	assert.Assert(t, len(s.byAccount) <= maxAccounts && s.weight <= maxWeight, "%d accounts, weight %g", len(s.byAccount), s.weight)
	assert.Assert(t, s.share(5) > 0.4 && s.share(5) < 0.6, s.share(5))
}
