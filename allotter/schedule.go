package allotter

import (
	"math/bits"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// Once a lease has ended, guarded tokens open at the rates that the entry states. If an incarnation dies
// then, the next one at its address computes from the entry and from the time at which it began to
// listen how many can have been open, charges these, and returns the others.
//
// Nothing is spent twice by that. The incarnation counts from the latest start of its lease that the store
// can have, and the next one from the start that it reads, which is no later. The time that the next one
// counts ends when it began to listen, after the last use by the earlier one, and has a margin for the
// clocks. While several contents are possible in the store, each of them alone bounds what is open.
//
// Earlier builds return guarded tokens only if the next incarnation began to listen before the end of the
// lease. Nothing is open until then, whatever the rates.

// openMarginShare is the share of a time after a lease that is added to it for clocks that run at
// different speeds. System clocks are adjusted by at most 0.05%.
const openMarginShare = 0.01

// openRates are the rates in tokens per second at which the guarded tokens of an entry open after the lease:
// slowly at first, then fast. Without rates all open at once.
type openRates struct {
	slow, fast int64
}

// atOnce reports whether a rate is missing.
func (r openRates) atOnce() bool {
	return r.slow <= 0 || r.fast <= 0
}

// openRates returns the rates for an entry. drawPart is what the holder may leave unguarded by its demand.
func (g *GuardConfig) openRates(h *messenger.Holder, drawPart float64) openRates {
	if g.OpenTime <= 0 || h.Guarded <= 0 {
		return openRates{}
	}
	perSecond := float64(h.PerSecond)
	slow := g.OpenFactor * perSecond
	if slowTime := g.FastAfter - g.LeaseTime; slowTime > 0 {
		slow = min(slow, g.OpenShare*drawPart*float64(clocker.Second)/float64(slowTime))
	}
	fast := max(g.FastFactor*perSecond, float64(h.Guarded)*float64(clocker.Second)/float64(g.OpenTime))
	return openRates{slow: toRate(slow), fast: toRate(fast)}
}

func toRate(perSecond float64) int64 {
	return int64(min(MaxGranted, max(1, perSecond)))
}

// slowerRates returns the lower ones of two pairs of rates.
func slowerRates(r, other openRates) openRates {
	switch {
	case r.atOnce():
		return other
	case other.atOnce():
		return r
	}
	return openRates{slow: min(r.slow, other.slow), fast: min(r.fast, other.fast)}
}

// opened returns how many tokens the rates open in a time since the end of the lease, at most 2 * MaxGranted.
// slowTime is the part of it that has the slow rate.
func (r openRates) opened(elapsed, slowTime clocker.Millis) int64 {
	slowTime = min(max(0, slowTime), elapsed)
	return openedAt(r.slow, slowTime) + openedAt(r.fast, elapsed-slowTime)
}

// openedAt returns how many tokens a rate opens in a time, at most MaxGranted.
func openedAt(perSecond int64, elapsed clocker.Millis) int64 {
	if perSecond <= 0 || elapsed <= 0 {
		return 0
	}
	high, low := bits.Mul64(uint64(perSecond), uint64(elapsed))
	if high >= uint64(clocker.Second) {
		return MaxGranted
	}
	tokens, _ := bits.Div64(high, low, uint64(clocker.Second))
	return int64(min(tokens, MaxGranted))
}

// openedAtMost returns how many guarded tokens may have been open when a time since the end of the lease had
// passed by the clocks.
func (r openRates) openedAtMost(guarded int64, elapsed, slowTime clocker.Millis) int64 {
	margin := leaseMargin + clocker.Millis(openMarginShare*float64(max(0, elapsed)))
	return min(guarded, r.opened(elapsed+margin, slowTime)+1)
}

// openLimit returns the limit that holds now for a content of the store with a limit without guarded tokens,
// the rates at which these open, the start of the lease and its witnesses; MaxGranted without a bound.
func (a *Allotter) openLimit(draw int64, rates openRates, at clocker.Millis, witnesses ...string) int64 {
	if draw < 0 || at <= 0 {
		return MaxGranted
	}
	g := a.cfg.Guard
	elapsed := a.guard.now - at - g.LeaseTime
	switch {
	case elapsed < 0 || !a.agreedTo(at, witnesses...):
		return draw
	case rates.atOnce() || a.faults.opensAtOnce:
		return MaxGranted
	}
	return min(MaxGranted, draw+rates.opened(elapsed, g.FastAfter-g.LeaseTime))
}

// Opened returns the guarded tokens of all budgets that are open, because the store did not answer for longer
// than the lease.
func (a *Allotter) Opened() int64 {
	if a.cfg.Guard == nil {
		return 0
	}
	var sum int64
	for _, b := range a.ordered {
		if least := b.leastDraw(); least >= 0 && !b.closed {
			sum += max(0, min(b.limit, b.drawLimit)-least)
		}
	}
	return sum
}
