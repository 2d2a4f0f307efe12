package allotter

import (
	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// BalanceAsks returns the asks by which a holder balances what it has of all budgets with another holder. They tell
// its demand and its headroom.
func (a *Allotter) BalanceAsks(now clocker.Millis) []*messenger.TransferAsk {
	a.observeTime(now)
	var asks []*messenger.TransferAsk
	for _, b := range a.ordered {
		if perSecond := b.perSecond(now); perSecond > 0 && !b.closePlanned && !b.closed {
			asks = append(asks, &messenger.TransferAsk{Budget: b.name, Loan: true, PerSecond: perSecond, Headroom: b.headroom() - a.coverableTokens(b)})
		}
	}
	return asks
}

// BalanceTo transfers the tokens to another holder after which the headroom of both lasts for the same time, if
// this one has more, and returns the cumulative total to report to it. Less than half a request is not worth a transfer.
func (a *Allotter) BalanceTo(to string, ask *messenger.TransferAsk, now clocker.Millis) *messenger.TransferTotal {
	a.observeTime(now)
	b := a.getOrAddBudget(ask.Budget)
	own, asker := float64(b.perSecond(now)), float64(ask.PerSecond)
	free := b.headroom() - a.coverableTokens(b)
	if a.closing || to == a.cfg.Incarnation || asker <= 0 || free <= 0 {
		return b.totalTo(to)
	}
	amount := int64((float64(free)*asker - float64(ask.Headroom)*own) / (own + asker))
	if amount = min(amount, free); amount > 0 && float64(amount) >= b.demand.meanSize/2 {
		b.sent.raise(to, b.sent.byIncarnation[to]+amount)
	}
	return b.totalTo(to)
}

// AvailableBudgets returns the budgets of which the headroom covers a mean request beside those that wait.
func (a *Allotter) AvailableBudgets() []string {
	var available []string
	for _, b := range a.ordered {
		if free := float64(b.headroom() - a.coverableTokens(b)); free > 0 && free >= b.demand.meanSize {
			available = append(available, b.name)
		}
	}
	return available
}

// ReturnFragments transfers to another incarnation the headroom of each budget that covers less than a mean request
// and that no request waits for, and returns the cumulative totals to report to it. Such headroom mostly serves no
// request where it is.
func (a *Allotter) ReturnFragments(to string) []*messenger.TransferTotal {
	if a.closing || to == a.cfg.Incarnation {
		return nil
	}
	var totals []*messenger.TransferTotal
	for _, b := range a.ordered {
		if free := b.headroom(); free > 0 && b.waiting == 0 && float64(free) < b.demand.meanSize {
			b.sent.raise(to, b.sent.byIncarnation[to]+free)
			totals = append(totals, b.totalTo(to))
		}
	}
	return totals
}
