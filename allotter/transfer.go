package allotter

import (
	"maps"
	"slices"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// totals are cumulative amounts by incarnation.
type totals struct {
	by  map[string]int64
	sum int64
}

// raise merges a total by maximum and returns by how much it grew.
func (t *totals) raise(incarnation string, total int64) int64 {
	grown := total - t.by[incarnation]
	if grown <= 0 {
		return 0
	}
	if t.by == nil {
		t.by = map[string]int64{}
	}
	t.by[incarnation] = total
	t.sum += grown
	return grown
}

// Receive merges the total that another incarnation says it gave to this one.
// Repeats and reordered totals are harmless. It returns by how much the
// allowance grew; what arrives after closing is counted as stranded.
func (a *Allotter) Receive(from string, t *messenger.TransferTotal) int64 {
	if from == a.cfg.Incarnation {
		return 0
	}
	b := a.allotment(t.Budget)
	if b.closeSent || b.closed {
		b.late.raise(from, t.Given-b.received.by[from])
		return 0
	}
	return b.received.raise(from, t.Given)
}

// Received returns the total of a budget received from an incarnation.
func (a *Allotter) ReceivedFrom(from, name string) int64 {
	return a.allotment(name).received.by[from]
}

// Give lowers the own allowance by up to the asked tokens in favour of another
// incarnation and returns the cumulative total to tell it. needed of them are
// for requests that wait now and may take the whole headroom; the rest may take
// half of what is left.
func (a *Allotter) TransferTo(to string, ask *messenger.TransferAsk, now clocker.Millis) *messenger.TransferTotal {
	b := a.allotment(ask.Budget)
	if a.cfg.UrgentReserve > 0 {
		b.noteSupply(to, ask, now)
	}
	amount := a.lendable(b, ask, now)
	if a.closing || to == a.cfg.Incarnation {
		amount = 0
	}
	if amount > 0 {
		b.given.raise(to, b.given.by[to]+amount)
		b.demand.use(amount, now)
	}
	return b.totalTo(to)
}

func (a *Allotter) lendable(b *allotment, ask *messenger.TransferAsk, now clocker.Millis) int64 {
	headroom := max(0, b.headroom()-b.need-a.leftToUrgent(b, int(ask.Rank), ask.Needed, now))
	needed := min(max(0, min(ask.Needed, ask.Tokens)), headroom)
	ahead := min(max(0, ask.Tokens-needed), (headroom-needed)/2)
	return needed + ahead
}

// Return is a total that tells a peer of tokens given back.
type ReturnTransfer struct {
	To    string
	Total *messenger.TransferTotal
}

// GiveBack lowers the own allowance by what was received from peers and is not
// wanted here, if the peer is live: all that would be lost by closing, or beyond the near demand of a
// host that is no holder. The caller tells the peers.
func (a *Allotter) ReturnSurplus(c Conditions) []ReturnTransfer {
	var returns []ReturnTransfer
	for _, b := range a.all {
		returns = append(returns, b.giveBack(b.surplus(c, a.closing), c.IsLive)...)
	}
	return returns
}

// surplus returns the tokens to give back.
func (b *allotment) surplus(c Conditions, closing bool) int64 {
	fromPeers := b.received.sum - b.given.sum - b.spent - b.reserved + b.base
	if closing {
		return min(b.headroom(), fromPeers)
	}
	target := b.grantTarget(c)
	free := b.headroom() - b.need
	if c.Holder || free <= 2*target {
		return 0
	}
	return min(free-target, fromPeers)
}

func (b *allotment) giveBack(surplus int64, live func(string) bool) []ReturnTransfer {
	var returns []ReturnTransfer
	for _, from := range slices.Sorted(maps.Keys(b.received.by)) {
		amount := min(surplus, b.received.by[from]-b.given.by[from])
		if amount <= 0 || !live(from) {
			continue
		}
		surplus -= amount
		b.given.raise(from, b.given.by[from]+amount)
		returns = append(returns, ReturnTransfer{To: from, Total: b.totalTo(from)})
	}
	return returns
}

// TotalTo returns the cumulative total of a budget given to an incarnation.
func (a *Allotter) TransferTotalTo(incarnation, name string) *messenger.TransferTotal {
	return a.allotment(name).totalTo(incarnation)
}

func (b *allotment) totalTo(incarnation string) *messenger.TransferTotal {
	return &messenger.TransferTotal{Budget: b.name, Given: b.given.by[incarnation]}
}
