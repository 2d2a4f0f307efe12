package allotter

import (
	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// ranked is what requests of one rank want of a budget. Rank 0 is the most urgent.
type ranked struct {
	rank int
	// need is what waiting requests of the rank ask for.
	need int64
	// taken measures the tokens that requests of the rank reserve.
	taken demand
}

// SetAway tells whether neither the platform nor the declarations can bring more
// tokens now.
func (a *Allotter) SetUnreachable(away bool) {
	a.away = away
}

// of returns the state of a rank; ranks are few, and kept in ascending order.
func (b *allotment) of(rank int) *ranked {
	i := 0
	for ; i < len(b.ranks) && b.ranks[i].rank <= rank; i++ {
		if b.ranks[i].rank == rank {
			return &b.ranks[i]
		}
	}
	b.ranks = append(b.ranks, ranked{})
	copy(b.ranks[i+1:], b.ranks[i:])
	b.ranks[i] = ranked{rank: rank, taken: demand{span: b.demand.span}}
	return &b.ranks[i]
}

// leftToUrgent returns the tokens that a request of a rank leaves to more urgent ones:
// what these are expected to reserve in KeepAhead, while the platform cannot be
// reached, or would be left with less than all hosts keep.
func (a *Allotter) leftToUrgent(b *allotment, rank int, tokens int64, now clocker.Millis) int64 {
	if rank == 0 || a.cfg.UrgentReserve == 0 || !a.away && Unassigned(a.content(b)) >= tokens+a.restForUrgent(b) {
		return 0
	}
	return int64((b.rateBelow(rank, now) + b.suppliedRate(now)) * float64(a.cfg.UrgentReserve))
}

// restForUrgent returns the tokens of the rest that are left to urgent requests of all
// hosts, by what the holders' entries tell. The entries of hosts that died count: their
// callers come back to others.
func (a *Allotter) restForUrgent(b *allotment) int64 {
	return b.fleetUrgent * int64(a.cfg.UrgentReserve) / int64(clocker.Second)
}

// urgentOf sums up what the holders of a budget tell of their urgent demand.
func urgentOf(object *messenger.Budget) int64 {
	var sum int64
	for _, h := range object.GetHolders() {
		if !h.Closed {
			sum += h.UrgentPerSecond
		}
	}
	return sum
}

// pressing returns what waiting requests lack beyond the headroom, negative if
// nothing: all of them, or the urgent ones alone if the rest is kept for these.
func (a *Allotter) pressing(b *allotment, rest int64) int64 {
	need := b.need
	if last := len(b.ranks) - 1; last > 0 && rest < need+a.restForUrgent(b) {
		need -= b.ranks[last].need
	}
	return need - b.headroom()
}

// MayExtend reports whether the known content leaves the tokens of a request of a rank
// to it, beside what waits here and what is kept for urgent requests.
func (a *Allotter) MayExtend(name string, tokens int64, rank int) bool {
	b := a.allotment(name)
	object := a.content(b)
	if object == nil {
		return true // not known yet
	}
	rest := Unassigned(object)
	if last := len(b.ranks) - 1; last > 0 && rank >= b.ranks[last].rank {
		rest -= b.need + a.restForUrgent(b)
	}
	return rest >= tokens
}

// suppliedRate returns what urgent requests reserve at the hosts that get their tokens
// here, in tokens per millisecond.
func (b *allotment) suppliedRate(now clocker.Millis) float64 {
	rate := 0.0
	for _, s := range b.supplied {
		if now-s.at < supplyFor {
			rate += s.rate
		}
	}
	return rate
}

// rateBelow returns what requests of lower ranks reserve here, in tokens per
// millisecond.
func (b *allotment) rateBelow(rank int, now clocker.Millis) float64 {
	rate := 0.0
	for i := range b.ranks {
		if b.ranks[i].rank < rank {
			rate += b.ranks[i].taken.rate(now)
		}
	}
	return rate
}

// urgentPerSecond returns what all but the least urgent requests reserve here.
func (b *allotment) urgentPerSecond(now clocker.Millis) int64 {
	if len(b.ranks) == 0 {
		return 0
	}
	return int64(b.rateBelow(b.ranks[len(b.ranks)-1].rank, now) * float64(clocker.Second))
}

// supply is the urgent demand of a host that gets its tokens here, in tokens per
// millisecond.
type supply struct {
	rate float64
	at   clocker.Millis
}

// supplyFor is how long the demand of a host counts that asked, in milliseconds:
// hosts that are no holders ask about once a second.
const supplyFor = 10 * clocker.Second

// noteSupply takes in the urgent demand of a host that asks. The holders of an
// availability zone share it.
func (b *allotment) noteSupply(to string, ask *messenger.TransferAsk, now clocker.Millis) {
	if ask.Loan {
		return
	}
	if b.supplied == nil {
		b.supplied = map[string]supply{}
	}
	for incarnation, s := range b.supplied {
		if now-s.at >= supplyFor {
			delete(b.supplied, incarnation)
		}
	}
	b.supplied[to] = supply{rate: float64(ask.UrgentPerSecond) / float64(clocker.Second) / HoldersPerZone, at: now}
}

// lack is what waiting requests of one rank lack.
type lack struct {
	rank   int
	tokens int64
}

// lacks returns what waiting requests lack, the most urgent ones first.
func (a *Allotter) lacks(b *allotment, now clocker.Millis) []lack {
	var lacks []lack
	free := b.headroom()
	for i := range b.ranks {
		need := b.ranks[i].need
		if need <= 0 {
			continue
		}
		rank := b.ranks[i].rank
		usable := free - a.leftToUrgent(b, rank, need, now)
		if short := need - usable; short > 0 {
			lacks = append(lacks, lack{rank: rank, tokens: short})
		}
		free -= need
	}
	return lacks
}
