package allotter

import (
	"google.golang.org/protobuf/proto"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

const (
	// minHeadroomRequests is the minimum headroom ahead of demand, in requests.
	minHeadroomRequests = 4
	// defaultChangeInterval is the minimum time between two raises of a budget's
	// limit ahead of demand, or between two returns.
	defaultChangeInterval = 5 * clocker.Second
	// defaultRaiseThreshold is the share of the target headroom below which the limit
	// is raised.
	defaultRaiseThreshold = 0.5
	// shortfallsAhead is how many times the present shortfall a host that is not a holder takes ahead when it
	// has to write, so that it does not write for each request.
	shortfallsAhead = 3
	// nonHolderHorizon is the time for which a host that is not a holder keeps its
	// expected demand.
	nonHolderHorizon = clocker.Second
	// loanHorizon is the time for which a loan covers the expected demand in addition
	// to the waiting requests. TransferAsks defines loans.
	loanHorizon = 10 * clocker.Second
)

// targetHeadroom returns the headroom that the policy gives a holder: the expected
// demand of the policy's time horizon or the floor, whichever is larger, capped at
// MaxShareOfRestMilli of the sum of the unassigned tokens and the own headroom. The
// part due to demand, not to the floor, may reach BusyShareOfRestMilli of that sum.
func (b *budgetState) targetHeadroom(c Conditions, stored *messenger.Budget, unassigned int64) int64 {
	reserve := float64(c.Policy.OfflineReserveMs) * (1 - replacedShare(c, stored))
	horizon := clocker.Millis(c.Policy.HeadroomMs + int64(reserve))
	remaining := float64(unassigned + max(0, b.heldHeadroom()))
	demand := b.expectedDemand(horizon, c.Now)
	normalTarget := min(max(demand, b.floorTokens(c)), int64(b.holderShare(c, stored)*remaining))
	return max(normalTarget, min(demand, int64(busyShare(c)*remaining)))
}

// maxDemandWeight bounds how many times an even share a holder's share is.
const maxDemandWeight = 3

// holderShare returns the largest share of the remaining tokens that a holder keeps ahead of its demand. Of an
// even share, DemandShare goes by the demand that the entries of the live holders tell: the callers of an
// account often all arrive in one availability zone, and what the holders of other zones keep
// can't be reached from there while zones are cut off from each other.
func (b *budgetState) holderShare(c Conditions, stored *messenger.Budget) float64 {
	even := maxShare(c)
	if c.DemandShare <= 0 || even >= 1 {
		return even
	}
	own := float64(b.perSecond(c.Now))
	all, holders := own, 1.0
	for _, h := range otherHolders(stored, b.incarnation, c) {
		all += float64(max(0, h.PerSecond))
		holders++
	}
	if all <= 0 {
		return even
	}
	weight := min(1-c.DemandShare+c.DemandShare*holders*own/all, maxDemandWeight)
	perUnassigned := weight * even / (1 - even) // the headroom divided by the unassigned tokens
	return perUnassigned / (1 + perUnassigned)
}

// floorTokens returns the headroom that a holder keeps regardless of demand.
// Without it, a client account would be rejected in an availability zone that is
// cut off before the account was first used there.
func (b *budgetState) floorTokens(c Conditions) int64 {
	if !b.keepsFloor {
		return 0
	}
	return c.Policy.FloorTokens
}

// replacedShare grows from 0 to 1 as the limits stranded by incarnations that were
// replaced after a crash approach the policy's share of the budget. It reduces the
// offline reserve after crashes, and so the tokens that the next crash strands.
func replacedShare(c Conditions, stored *messenger.Budget) float64 {
	if c.IsReplaced == nil || stored.GetGranted() == 0 {
		return 0
	}
	var replacedTokens int64
	for _, h := range stored.Holders {
		if !h.Closed && c.IsReplaced(h.Incarnation) {
			replacedTokens += h.Limit
		}
	}
	return min(1, float64(replacedTokens)/(maxShare(c)*float64(stored.Granted)))
}

// busyShare returns the share of the remaining tokens that a holder may hold to
// cover its demand.
func busyShare(c Conditions) float64 {
	return float64(max(c.Policy.BusyShareOfRestMilli, c.Policy.MaxShareOfRestMilli)) / 1000
}

func maxShare(c Conditions) float64 {
	return float64(c.Policy.MaxShareOfRestMilli) / 1000
}

// nonHolderTarget returns the target headroom of a host that is not a holder. Tokens that don't cover a request
// serve none: on many hosts that each keep a part of a request they add up to some percent of a budget, which are
// missing at its end and lost with the hosts.
func (b *budgetState) nonHolderTarget(c Conditions) int64 {
	target := b.boundedDemand(nonHolderHorizon, c)
	if c.PrefetchShare > 0 && float64(target) < b.demand.meanSize {
		return 0
	}
	return target
}

// boundedDemand returns the expected demand in the next d milliseconds, and at
// least that of a few requests. The few requests are capped at the host's part of
// PrefetchShare: with more hosts, each one receives fewer requests, and the tokens
// idle on all of them would add up.
func (b *budgetState) boundedDemand(d clocker.Millis, c Conditions) int64 {
	fewRequests := b.demand.expectedReserve(minHeadroomRequests, c.Now)
	if c.PrefetchShare > 0 && b.declaredGrant > 0 {
		fewRequests = min(fewRequests, c.PrefetchShare*float64(b.declaredGrant)/float64(max(1, c.HostCount)))
	}
	return int64(max(b.demand.rate(c.Now)*float64(d), fewRequests))
}

// CapAsk lowers the prefetched part of a request for tokens. The requesting host
// capped it at its part of PrefetchShare of the declared budget, but only the tokens
// that remain count, so the host's part of PrefetchShare of the tokens that are gone
// is subtracted. Needed tokens and loans are never reduced.
func (a *Allotter) CapAsk(ask *messenger.TransferAsk, c Conditions) *messenger.TransferAsk {
	b := a.getOrAddBudget(ask.Budget)
	stored := a.knownOrDeclaredBudget(b)
	if c.PrefetchShare <= 0 || b.declaredGrant == 0 || stored == nil || ask.Loan {
		return ask
	}
	remaining := Unassigned(stored) + max(0, b.heldHeadroom())
	excess := int64(c.PrefetchShare * float64(max(0, b.declaredGrant-remaining)) / float64(max(1, c.HostCount)))
	capped := proto.CloneOf(ask)
	capped.Tokens = max(ask.Needed, ask.Tokens-excess)
	return capped
}

// expectedDemand returns the expected demand in the next d milliseconds, and at
// least that of a few requests.
func (b *budgetState) expectedDemand(d, now clocker.Millis) int64 {
	return int64(max(b.demand.rate(now)*float64(d), b.demand.expectedReserve(minHeadroomRequests, now)))
}

// limitChange returns by how much to raise the limit, or to lower it if negative.
// free is the headroom minus the tokens of the waiting requests that can be covered, without those of the
// least urgent rank if shortfallTokens leaves them out. Tokens that waiting requests
// lack are not capped at the policy's share.
func (b *budgetState) limitChange(c Conditions, stored *messenger.Budget, unassigned, free int64) int64 {
	var target int64
	returnAbove := 2 * b.nonHolderTarget(c)
	switch {
	case c.KeepsHeadroom:
		target = b.targetHeadroom(c, stored, unassigned)
		returnAbove = 2 * target
	case free < 0:
		// The holders of its zone did not have enough, or are not known yet: more requests will lack tokens.
		ahead := min(shortfallsAhead*-free, int64(maxShare(c)*float64(unassigned)))
		target = max(b.nonHolderTarget(c), ahead)
	}
	switch {
	case free < 0 && float64(unassigned) < min(float64(-free), b.demand.meanSize):
		return 0 // too few tokens for any waiting request
	case free < 0:
		return min(target-free, unassigned)
	case float64(free) < c.raiseThreshold()*float64(target) && c.Now-b.raisedAt >= c.changeInterval():
		return min(target-free, unassigned)
	case free > returnAbove && c.Now-b.loweredAt >= c.changeInterval():
		return -min(free-max(target, returnAbove/2), b.limit-b.foldedLimit)
	default:
		return 0
	}
}

// TransferAsks returns the transfers to request from peers: the tokens that
// waiting requests lack and, for a host that is not a holder, its expected demand.
// With loan set, it returns the loans to request. A loan is a transfer that any host,
// a holder too, requests from any live peer, not only from the holders of its zone,
// while requests lack tokens. It adds the expected demand of loanHorizon.
func (a *Allotter) TransferAsks(c Conditions, loan bool) []*messenger.TransferAsk {
	var asks []*messenger.TransferAsk
	for _, b := range a.ordered {
		if b.closePlanned || b.closed {
			continue
		}
		shortfalls := a.shortfalls(b, c)
		prefetch, urgent := a.prefetchTokens(b, c), b.urgentPerSecond(c.Now)
		if loan {
			prefetch = b.boundedDemand(loanHorizon, c)
		} else if len(shortfalls) == 0 && prefetch > 0 {
			shortfalls = []shortfall{{}}
		}
		for _, s := range shortfalls {
			asks = append(asks, &messenger.TransferAsk{Budget: b.name, Tokens: s.tokens + prefetch, Needed: s.tokens, Rank: int32(s.rank), Loan: loan, UrgentPerSecond: urgent})
			prefetch = 0
		}
	}
	return asks
}

// prefetchTokens returns the tokens that a host that is not a holder requests in
// addition to those of waiting requests.
func (a *Allotter) prefetchTokens(b *budgetState, c Conditions) int64 {
	free := b.headroom() - a.coverableTokens(b)
	if target := b.nonHolderTarget(c); !c.KeepsHeadroom && free < target/2 {
		return target - max(0, free)
	}
	return 0
}

// KeepFloor makes a holder keep the policy's floor of a budget from now on. It
// returns false if the budget has not been read from the platform yet.
func (a *Allotter) KeepFloor(name string) bool {
	b := a.getOrAddBudget(name)
	b.keepsFloor = true
	return a.knownBudgets[name] != nil
}
