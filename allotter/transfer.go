package allotter

import (
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
	b := a.allotment(t.Budget)
	if b.closeSent || b.closed {
		b.stranded += max(0, t.Given-b.received.by[from])
		return 0
	}
	return b.received.raise(from, t.Given)
}

// Received returns the total of a budget received from an incarnation.
func (a *Allotter) Received(from, name string) int64 {
	return a.allotment(name).received.by[from]
}

// Give lowers the own allowance by up to the asked tokens in favour of another
// incarnation and returns the cumulative total to tell it. needed of them are
// for requests that wait now and may take the whole headroom; the rest may take
// half of what is left.
func (a *Allotter) Give(to string, ask *messenger.TransferAsk, now clocker.Millis) *messenger.TransferTotal {
	b := a.allotment(ask.Budget)
	amount := b.spare(ask)
	if a.closing || to == a.cfg.Incarnation {
		amount = 0
	}
	if amount > 0 {
		b.given.raise(to, b.given.by[to]+amount)
		b.demand.use(amount, now)
	}
	return &messenger.TransferTotal{Budget: ask.Budget, Given: b.given.by[to]}
}

func (b *allotment) spare(ask *messenger.TransferAsk) int64 {
	headroom := max(0, b.headroom()-b.need)
	needed := min(max(0, min(ask.Needed, ask.Tokens)), headroom)
	ahead := min(max(0, ask.Tokens-needed), (headroom-needed)/2)
	return needed + ahead
}

// GiveBack lowers the own allowance by what was received from another
// incarnation and not used, beyond keep tokens of headroom, and returns the
// totals to tell it.
func (a *Allotter) GiveBack(to, name string, keep int64) *messenger.TransferTotal {
	b := a.allotment(name)
	owed := b.received.by[to] - b.given.by[to]
	amount := min(owed, b.headroom()-keep)
	if amount > 0 {
		b.given.raise(to, b.given.by[to]+amount)
	}
	return &messenger.TransferTotal{Budget: name, Given: b.given.by[to]}
}
