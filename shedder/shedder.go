// Package shedder decides whether a request is refused before it is sent, because no server of its service can start it in
// time. It is pure logic: it does no I/O, starts no goroutines and does not read the wall clock.
//
// Package chooser uses it for servers that report their load. In doubt, a request is sent: a server of which nothing
// was heard lately counts as one with room, unless this host's own requests fill it.
package shedder

import (
	"iter"

	"cowsliphinge/clocker"
)

const (
	// maxReportAge is how long a reported load shows that a server is full, in milliseconds.
	maxReportAge = 400 * clocker.Millis(1)
	// holdWeight is the weight of a new sample in the average time that a request holds its slot.
	holdWeight = 0.05
	// minHoldSamples is the number of samples from which waits are estimated.
	minHoldSamples = 20
	// ranks is the number of priorities that are told apart.
	ranks = 10
	// sendWeight is the weight of a send in the shares of accounts and priorities relative to those of all earlier sends.
	sendWeight = 0.01
	// maxWeight is where the weights of sends are scaled down.
	maxWeight = 1e100
	// maxAccounts bounds the accounts that are told apart.
	maxAccounts = 4096
	// minActive is the number of recent sends from which an account counts as one that competes for room.
	minActive = 0.5
	// laterArrivals is how much of the more urgent share of the requests is taken to arrive while a request waits.
	laterArrivals = 0.5
	// urgentPart is the part of the places for waiting requests that is kept for more urgent ones, if all others
	// are. accountPart is the part that an account with nearly all requests leaves to other accounts.
	urgentPart  = 0.4
	accountPart = 0.5
	// accountSlack is how far an account may exceed an equal share before it leaves places to others.
	accountSlack = 1.3
)

// Server is what a host knows of one server that may get a request.
type Server struct {
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// Running and Queued are what the server reported, and ReportAge is how long ago, in milliseconds; negative for never.
	Running, Queued int
	ReportAge       clocker.Millis
	// SentSince is the number of requests that this host sent to the server since that report, and InFlight that of its
	// requests in flight.
	SentSince, InFlight int
	// RejectsAt is the number of requests that the server held when it rejected one lately; 0 if unknown.
	RejectsAt int
}

// Request is what a decision depends on.
type Request struct {
	// Account is the client account.
	Account string
	// Rank is the priority; requests of a lower one are more urgent.
	Rank int
	// Ordered is true if the servers start the most urgent requests first, false if they start them as they arrive.
	Ordered bool
	// TimeLeft is the time to the deadline of the request, in milliseconds.
	TimeLeft clocker.Millis
}

// Reason says why a request is refused.
type Reason string

const (
	// Sent means that the request is not refused.
	Sent Reason = ""
	// WaitTooLong means that each server is full and would start the request after its deadline.
	WaitTooLong Reason = "wait_too_long"
	// QueuesFull means that each server is full, and at least one of them has no place for the request to wait; the
	// others would start it after its deadline.
	QueuesFull Reason = "queues_full"
)

// Verdict is the decision about a request.
type Verdict struct {
	Reason Reason
	// RoomIn is the expected time until a server has room for such a request, in milliseconds. It is only set if the
	// request is refused.
	RoomIn clocker.Millis
}

// Shedder decides for the requests of one service. It is not safe for concurrent use.
type Shedder struct {
	// holdMs is the average time that a request holds its slot, 0 before the first sample.
	holdMs      float64
	holdSamples int
	// weight is that of the last send. It grows with each send, so that earlier ones fade.
	weight    float64
	total     float64
	byRank    [ranks]float64
	byAccount map[string]float64
}

// New returns a Shedder that has observed nothing.
func New() *Shedder {
	return &Shedder{weight: 1, byAccount: map[string]float64{}}
}

// RecordHold records how long a request held its slot that did not wait for one, in milliseconds.
func (s *Shedder) RecordHold(held clocker.Millis) {
	s.holdSamples++
	s.holdMs += max(holdWeight, 1/float64(s.holdSamples)) * (float64(held) - s.holdMs)
}

// RecordSend records that a request was sent to a server.
func (s *Shedder) RecordSend(account string, rank int) {
	s.weight /= 1 - sendWeight
	if s.weight > maxWeight {
		s.rescale()
	}
	s.total += s.weight
	s.byRank[clampRank(rank)] += s.weight
	if _, known := s.byAccount[account]; known || len(s.byAccount) < maxAccounts {
		s.byAccount[account] += s.weight
	}
}

// rescale keeps the weights in the range of numbers and discards the accounts without recent sends.
func (s *Shedder) rescale() {
	s.total /= s.weight
	for i := range s.byRank {
		s.byRank[i] /= s.weight
	}
	for account, n := range s.byAccount {
		s.byAccount[account] = n / s.weight
		if n < minActive*s.weight {
			delete(s.byAccount, account)
		}
	}
	s.weight = 1
}

// Decide decides about a request, given all servers that may get it.
func (s *Shedder) Decide(r Request, servers iter.Seq[Server]) Verdict {
	v := Verdict{}
	moreUrgent, keptFree := -1.0, 0.0
	for m := range servers {
		held, full := s.held(m)
		if !full {
			return Verdict{}
		}
		if moreUrgent < 0 {
			moreUrgent = s.share(clampRank(r.Rank))
			keptFree = min(1, urgentPart*moreUrgent+accountPart*s.excess(r.Account))
		}
		wait := s.wait(m, held, r, moreUrgent)
		rejected := m.rejects(held, keptFree)
		if !rejected && wait <= r.TimeLeft {
			return Verdict{}
		}
		roomIn := max(0, wait-r.TimeLeft)
		if rejected {
			roomIn = max(roomIn, clocker.Millis(s.holdMs/float64(m.capacity())))
		}
		if v.Reason == Sent || roomIn < v.RoomIn {
			v.RoomIn = roomIn
		}
		if v.Reason == Sent || rejected {
			v.Reason = WaitTooLong
			if rejected {
				v.Reason = QueuesFull
			}
		}
	}
	return v
}

// held returns how many requests the server is taken to hold, and whether it is known to be full. Of the requests in a
// report, as many are taken to have ended since as end in that time, and none to have arrived from other hosts.
func (s *Shedder) held(m Server) (int, bool) {
	if m.ReportAge < 0 {
		return 0, false
	}
	held := m.InFlight
	if m.recent() && s.holdMs > 0 {
		ended := int(float64(m.ReportAge) * float64(m.capacity()) / s.holdMs)
		held = max(held, m.Running+m.Queued+m.SentSince-ended)
	}
	return held, held >= m.capacity()
}

// wait returns the time until a full server is expected to start the request, in milliseconds; 0 before that can be
// estimated. moreUrgent is the share of the requests that are more urgent.
func (s *Shedder) wait(m Server, held int, r Request, moreUrgent float64) clocker.Millis {
	if s.holdSamples < minHoldSamples {
		return 0
	}
	ahead, rate := float64(held-m.capacity()), float64(m.capacity())/s.holdMs
	if r.Ordered {
		ahead *= s.share(clampRank(r.Rank) + 1)
		rate *= 1 - laterArrivals*moreUrgent
	}
	return clocker.Millis((ahead + 1) / rate)
}

// share returns the share of the recent sends of this host with a rank below the given one.
func (s *Shedder) share(below int) float64 {
	if s.total == 0 {
		return 0
	}
	sum := 0.0
	for _, n := range s.byRank[:below] {
		sum += n
	}
	return sum / s.total
}

// excess returns the part of an account's recent sends that exceeds an equal share of all accounts with recent sends.
func (s *Shedder) excess(account string) float64 {
	own, active := s.byAccount[account], 0.0
	for _, n := range s.byAccount {
		if n >= minActive*s.weight {
			active++
		}
	}
	if own == 0 || active < 2 {
		return 0
	}
	return max(0, 1-accountSlack*s.total/active/own)
}

// recent reports whether the report tells what the server holds now.
func (m Server) recent() bool {
	return m.ReportAge >= 0 && m.ReportAge <= maxReportAge
}

// capacity returns how many requests the server runs: fewer than its slots if many others wait nevertheless, for example
// for memory. A few wait for the next step of an engine at any load.
func (m Server) capacity() int {
	slots := max(1, m.Slots)
	if m.recent() && m.Queued > max(m.Running, slots/4) {
		return min(max(1, m.Running), slots)
	}
	return slots
}

// rejects reports whether the server has no place for a request to wait that leaves a part of the places free.
func (m Server) rejects(held int, keptFree float64) bool {
	if m.RejectsAt == 0 {
		return false
	}
	places := max(0, m.RejectsAt-m.capacity())
	return float64(held) >= float64(m.RejectsAt)-keptFree*float64(places)
}

func clampRank(rank int) int {
	return min(max(rank, 0), ranks-1)
}
