package allotter

import (
	"maps"
	"slices"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// minReturnShare is the share of a request below which surplus tokens are not returned to peers: what each
// request reserves and does not use is not worth a message.
const minReturnShare = 0.25

// totals are cumulative numbers of tokens by incarnation.
type totals struct {
	byIncarnation map[string]int64
	sum           int64
}

// raise sets a total to the maximum of the old and the new one and returns the
// increase.
func (t *totals) raise(incarnation string, total int64) int64 {
	grown := total - t.byIncarnation[incarnation]
	if grown <= 0 {
		return 0
	}
	if t.byIncarnation == nil {
		t.byIncarnation = map[string]int64{}
	}
	t.byIncarnation[incarnation] = total
	t.sum += grown
	return grown
}

// Receive merges the total that another incarnation reports to have transferred to
// this one. Repeated and reordered totals have no effect. It returns the increase of
// the allowance; tokens that arrive after closing are counted as late.
func (a *Allotter) Receive(from string, t *messenger.TransferTotal) int64 {
	if from == a.cfg.Incarnation {
		return 0
	}
	b := a.getOrAddBudget(t.Budget)
	if b.closePlanned || b.closed {
		b.lateReceived.raise(from, t.Given-b.received.byIncarnation[from])
		return 0
	}
	return b.received.raise(from, t.Given)
}

// ReceivedFrom returns the total of a budget received from an incarnation.
func (a *Allotter) ReceivedFrom(from, name string) int64 {
	return a.getOrAddBudget(name).received.byIncarnation[from]
}

// TransferTo transfers up to the requested tokens from the own allowance to another
// incarnation and returns the cumulative total to report to it. Needed tokens are
// for requests that already wait and may use the whole headroom; the others may use
// half of the remaining headroom.
func (a *Allotter) TransferTo(to string, ask *messenger.TransferAsk, now clocker.Millis) *messenger.TransferTotal {
	a.observeTime(now)
	b := a.getOrAddBudget(ask.Budget)
	if a.cfg.UrgentReserveHorizon > 0 {
		b.observePeerDemand(to, ask, now)
	}
	amount := a.transferable(b, ask, now)
	if a.closing || to == a.cfg.Incarnation {
		amount = 0
	}
	if amount > 0 {
		b.sent.raise(to, b.sent.byIncarnation[to]+amount)
		b.demand.observeUse(amount, now)
	}
	return b.totalTo(to)
}

func (a *Allotter) transferable(b *budgetState, ask *messenger.TransferAsk, now clocker.Millis) int64 {
	headroom := max(0, b.headroom()-a.coverableTokens(b)-a.urgentReserve(b, int(ask.Rank), ask.Needed, now))
	needed := min(max(0, min(ask.Needed, ask.Tokens)), headroom)
	prefetch := min(max(0, ask.Tokens-needed), (headroom-needed)/2)
	return needed + prefetch
}

// ReturnTransfer is the cumulative total to report to a peer after tokens were
// returned to it.
type ReturnTransfer struct {
	To    string
	Total *messenger.TransferTotal
}

// ReturnSurplus returns surplus tokens to the live peers that they were received
// from. When closing, the surplus is all that would otherwise be lost; on a host
// that is not a holder, it is the headroom beyond the expected demand. The caller
// reports the totals to the peers.
func (a *Allotter) ReturnSurplus(c Conditions) []ReturnTransfer {
	var returns []ReturnTransfer
	for _, b := range a.ordered {
		returns = append(returns, b.returnSurplus(a.surplus(b, c), c.IsLive)...)
	}
	return returns
}

// surplus returns the number of tokens to return to peers: at most those that closing
// the entry would not return to the platform. Closing returns the entry's limit minus
// the charge, which is not negative. Used tokens therefore come off the received tokens
// and foldedLimit first, and what is left of these can only go back to peers.
func (a *Allotter) surplus(b *budgetState, c Conditions) int64 {
	unreturnable := b.received.sum - b.sent.sum - b.spent - b.reserved + b.foldedLimit
	if a.closing {
		return min(b.headroom(), unreturnable)
	}
	target := b.nonHolderTarget(c)
	free := b.headroom() - a.coverableTokens(b)
	if c.KeepsHeadroom || free <= 2*target || float64(free) < minReturnShare*b.demand.meanSize {
		return 0
	}
	return min(free-target, unreturnable)
}

func (b *budgetState) returnSurplus(surplus int64, live func(string) bool) []ReturnTransfer {
	var returns []ReturnTransfer
	for _, from := range slices.Sorted(maps.Keys(b.received.byIncarnation)) {
		amount := min(surplus, b.received.byIncarnation[from]-b.sent.byIncarnation[from])
		if amount <= 0 || !live(from) {
			continue
		}
		surplus -= amount
		b.sent.raise(from, b.sent.byIncarnation[from]+amount)
		returns = append(returns, ReturnTransfer{To: from, Total: b.totalTo(from)})
	}
	return returns
}

// TransferTotalTo returns the cumulative total of a budget transferred to an
// incarnation.
func (a *Allotter) TransferTotalTo(incarnation, name string) *messenger.TransferTotal {
	return a.getOrAddBudget(name).totalTo(incarnation)
}

func (b *budgetState) totalTo(incarnation string) *messenger.TransferTotal {
	return &messenger.TransferTotal{Budget: b.name, Given: b.sent.byIncarnation[incarnation]}
}
