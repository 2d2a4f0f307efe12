package allotter

import (
	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

const (
	// floorRequests is the least headroom ahead of demand, in requests.
	floorRequests = 4
	// returnPause is the least time between two returns of one budget.
	returnPause = clocker.Minute
	// grantAhead is the demand that a host keeps which is no holder.
	grantAhead = clocker.Second
)

// target is the headroom that the policy wants, given the unassigned rest.
func (b *allotment) target(policy *messenger.Policy, rest int64, now clocker.Millis) int64 {
	ahead := float64(policy.HeadroomMs + policy.OfflineReserveMs)
	wanted := max(b.demand.rate(now)*ahead, floorRequests*b.demand.size)
	share := float64(policy.MaxShareOfRestMilli) / 1000
	bound := share * float64(rest+max(0, b.headroom()))
	return int64(min(wanted, bound))
}

// change returns by how much the limit is to be raised, or lowered if negative.
func (b *allotment) change(policy *messenger.Policy, rest int64, now clocker.Millis) int64 {
	headroom := b.headroom() - b.need
	target := b.target(policy, rest, now)
	switch {
	case headroom < 0:
		return min(target-headroom, max(rest, 0))
	case headroom < target/2:
		return min(target-headroom, max(rest, 0))
	case headroom > 2*target && now-b.lowered >= returnPause:
		return -(headroom - target)
	default:
		return 0
	}
}

// SetNeed tells how many tokens the waiting requests of a budget lack, on top
// of the headroom.
func (a *Allotter) SetNeed(name string, tokens int64) {
	a.allotment(name).need = tokens
}
