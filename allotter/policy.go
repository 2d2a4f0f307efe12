package allotter

import (
	"google.golang.org/protobuf/proto"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

const (
	// floorRequests is the least headroom ahead of demand, in requests.
	floorRequests = 4
	// defaultChangePause is the least time between two extensions ahead of demand,
	// or between two returns, of one budget.
	defaultChangePause = 5 * clocker.Second
	// defaultExtendShare is the share of the wanted headroom below which it is
	// extended.
	defaultExtendShare = 0.5
	// grantAhead is the demand that a host keeps which is no holder.
	grantAhead = clocker.Second
	// loanAhead is the demand that is asked for beyond what requests wait for.
	loanAhead = 10 * clocker.Second
)

// AddNeed tells that requests of a rank began to wait for tokens of a budget, or
// ended their wait if negative.
func (a *Allotter) AddWaiting(name string, tokens int64, rank int) {
	b := a.allotment(name)
	b.need += tokens
	b.of(rank).need += tokens
}

// target is the headroom that the policy wants a holder to have, given the
// unassigned rest: demand times the time ahead, or the floor within the share of what
// is left that each holder may have.
func (b *allotment) target(c Conditions, object *messenger.Budget, rest int64) int64 {
	reserve := float64(c.Policy.OfflineReserveMs) * (1 - lossShare(c, object))
	ahead := clocker.Millis(c.Policy.HeadroomMs + int64(reserve))
	left := float64(rest + max(0, b.headroom()))
	demand := b.ahead(ahead, c.Now)
	even := min(max(demand, b.floor(c)), int64(maxShare(c)*left))
	return max(even, min(demand, int64(busyShare(c)*left)))
}

// floor is the headroom that a holder keeps whatever the demand, so that a
// client account is not refused where it was not seen before a zone was cut off.
func (b *allotment) floor(c Conditions) int64 {
	if !b.kept {
		return 0
	}
	return c.Policy.FloorTokens
}

// lossShare is 0 while no host was lost and nears 1 as the limits that crashed
// incarnations took with them near the policy's share of the budget: the more
// crashes, the smaller the reserve that the next one strands.
func lossShare(c Conditions, object *messenger.Budget) float64 {
	if c.IsReplaced == nil || object.GetGranted() == 0 {
		return 0
	}
	var lost int64
	for _, h := range object.Holders {
		if !h.Closed && c.IsReplaced(h.Incarnation) {
			lost += h.Limit
		}
	}
	return min(1, float64(lost)/(maxShare(c)*float64(object.Granted)))
}

// busyShare is the share of what is left that a holder may hold for its demand.
func busyShare(c Conditions) float64 {
	return float64(max(c.Policy.BusyShareOfRestMilli, c.Policy.MaxShareOfRestMilli)) / 1000
}

func maxShare(c Conditions) float64 {
	return float64(c.Policy.MaxShareOfRestMilli) / 1000
}

// grantTarget is the headroom of a host that is no holder.
func (b *allotment) grantTarget(c Conditions) int64 {
	return b.askedAhead(grantAhead, c)
}

// askedAhead is the expected demand of the given time, or that of a few requests
// within the host's part of AheadShare: the more hosts there are, the fewer requests
// each one sees, and the more would lie idle with all of them.
func (b *allotment) askedAhead(d clocker.Millis, c Conditions) int64 {
	few := b.demand.requests(floorRequests, c.Now)
	if c.PrefetchShare > 0 && b.declared > 0 {
		few = min(few, c.PrefetchShare*float64(b.declared)/float64(max(1, c.HostCount)))
	}
	return int64(max(b.demand.rate(c.Now)*float64(d), few))
}

// WithinLeft returns what a host asks for, without what it asks too much: it counts its
// part of the declared budget, and has a part of what is left.
func (a *Allotter) CapAsk(ask *messenger.TransferAsk, c Conditions) *messenger.TransferAsk {
	b := a.allotment(ask.Budget)
	object := a.content(b)
	if c.PrefetchShare <= 0 || b.declared == 0 || object == nil || ask.Loan {
		return ask
	}
	left := Unassigned(object) + max(0, b.headroom())
	excess := int64(c.PrefetchShare * float64(max(0, b.declared-left)) / float64(max(1, c.HostCount)))
	within := proto.CloneOf(ask)
	within.Tokens = max(ask.Needed, ask.Tokens-excess)
	return within
}

// ahead is the expected demand of the given time, at least of a few requests.
func (b *allotment) ahead(d, now clocker.Millis) int64 {
	return int64(max(b.demand.rate(now)*float64(d), b.demand.requests(floorRequests, now)))
}

// change returns by how much the limit is to be raised, or lowered if negative.
// free is what waiting requests leave of the headroom. What they lack is not bounded
// by the policy's share.
func (b *allotment) change(c Conditions, object *messenger.Budget, rest, free int64) int64 {
	var target int64
	returnAbove := 2 * b.grantTarget(c)
	switch {
	case c.Holder:
		target = b.target(c, object, rest)
		returnAbove = 2 * target
	case free < 0:
		target = b.grantTarget(c) // its holders did not have enough
	}
	switch {
	case free < 0 && float64(rest) < min(float64(-free), b.demand.size):
		return 0 // serves no request that waits
	case free < 0:
		return min(target-free, rest)
	case float64(free) < c.extendShare()*float64(target) && c.Now-b.extended >= c.changePause():
		return min(target-free, rest)
	case free > returnAbove && c.Now-b.lowered >= c.changePause():
		return -min(free-max(target, returnAbove/2), b.limit-b.base)
	default:
		return 0
	}
}

// Asks returns what to ask peers for: what waiting requests lack and, for a host
// that is no holder, its demand of the near future. With loan, only the former.
func (a *Allotter) TransferAsks(c Conditions, loan bool) []*messenger.TransferAsk {
	var asks []*messenger.TransferAsk
	for _, b := range a.all {
		if b.closeSent || b.closed {
			continue
		}
		lacks := a.lacks(b, c.Now)
		ahead, urgent := b.askAhead(c), b.urgentPerSecond(c.Now)
		if loan {
			ahead = b.askedAhead(loanAhead, c)
		} else if len(lacks) == 0 && ahead > 0 {
			lacks = []lack{{}}
		}
		for _, l := range lacks {
			asks = append(asks, &messenger.TransferAsk{Budget: b.name, Tokens: l.tokens + ahead, Needed: l.tokens, Rank: int32(l.rank), Loan: loan, UrgentPerSecond: urgent})
			ahead = 0
		}
	}
	return asks
}

// askAhead is what a host that is no holder asks for beyond what requests wait for.
func (b *allotment) askAhead(c Conditions) int64 {
	free := b.headroom() - b.need
	if target := b.grantTarget(c); !c.Holder && free < target/2 {
		return target - max(0, free)
	}
	return 0
}

// Keep makes a holder keep the policy's floor of a budget from now on. It
// returns false if the platform has not told of the budget yet.
func (a *Allotter) KeepFloor(name string) bool {
	b := a.allotment(name)
	b.kept = true
	return a.index[name] != nil
}
