// Package allotter decides what one incarnation may spend of the budgets of one
// shard. It decides without input, output, goroutines or wall clock.
//
// The method is escrow: the platform's object gives each incarnation a limit,
// cumulative and absolute, and the sum of all limits stays within what was
// granted. A raised limit counts once the write is known to have taken effect;
// a lowered one counts before the write is sent. Transfers move allowance
// between incarnations as pairwise cumulative totals, lowered at the giver
// first. No entry is ever taken back by time.
package allotter

import (
	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// Config configures an Allotter.
type Config struct {
	// Incarnation is this process life, the name of its entries.
	Incarnation string
	// DemandSpan is the time constant that follows a rising demand, in
	// milliseconds; 0 means a minute.
	DemandTimeConstant clocker.Millis
	// KeepAhead is how much of the demand of more urgent requests is kept for them
	// while no more tokens can be got, in milliseconds; 0 means none.
	UrgentReserve clocker.Millis
}

// Allotter holds the state of one incarnation for the budgets of one shard. The
// caller serializes all calls.
type Allotter struct {
	cfg     Config
	budgets map[string]*allotment
	// all lists the budgets in the order of their first use.
	all     []*allotment
	slots   slots
	closing bool
	// away is true while the platform cannot be reached.
	away bool

	// version is the highest version of the shard's object that was seen.
	version int64
	// planned is when a write was last planned that was not turned away.
	planned clocker.Millis
	// readAt is when the platform last told the content.
	readAt clocker.Millis
	// object is the content at version and is never changed in place.
	object *messenger.BudgetShard
	index  map[string]*messenger.Budget

	// mistakes are planted by tests to show that the checks find them.
	mistakes mistakes
}

// mistakes that tests plant; none is made outside of them.
type mistakes struct {
	raiseBeforeConfirm bool
	lowerAfterWrite    bool
	unknownIsSuccess   bool
	settleTwice        bool
	// tamper changes the object before it is written.
	tamper func(*messenger.BudgetShard)
}

// allotment is the state of one budget.
type allotment struct {
	name string
	// limit is the most that may be put into use, as far as that is certain.
	limit int64
	// base is the part of limit that another host folded into the charges.
	base int64
	// inDoubt is true while a write that names the budget may still take effect.
	inDoubt bool
	// listed is true while an entry of this incarnation is known to exist.
	listed bool
	// closeSent is true once a write that closes the entry was handed out.
	closeSent bool
	closed    bool

	spent    int64
	reserved int64
	received totals
	given    totals
	// late are totals that arrived after the entry was closed, beyond received.
	late totals

	demand demand
	// kept is true if a holder keeps the policy's floor of it.
	kept bool
	// declared is the sum of all top-ups by the declarations; 0 if they name none.
	declared int64
	// need is what waiting requests ask for, ranks the same by their urgency.
	need  int64
	ranks []ranked
	// supplied is the urgent demand of hosts that get their tokens here.
	supplied map[string]supply
	// fleetUrgent is what urgent requests of all hosts reserve, in tokens per second, as
	// the known content tells.
	fleetUrgent int64
	// unused is the share of reserved tokens that settling frees.
	unused float64
	// lowered is when the limit was last lowered.
	lowered clocker.Millis
	// extended is when an extension ahead of demand was last planned.
	extended clocker.Millis
}

// New returns an Allotter that holds nothing.
func New(cfg Config) *Allotter {
	return &Allotter{cfg: cfg, budgets: map[string]*allotment{}, index: map[string]*messenger.Budget{}}
}

// Reserve takes tokens from the headroom of a budget and returns the
// reservation's ID, or false if the headroom does not hold them beside what it
// keeps for requests of a lower rank.
func (a *Allotter) Reserve(name string, tokens int64, rank int, now clocker.Millis) (int64, bool) {
	b := a.allotment(name)
	if a.closing || tokens < 0 || b.headroom()-a.leftToUrgent(b, rank, tokens, now) < tokens {
		return 0, false
	}
	id, ok := a.slots.open(tokens)
	if !ok {
		return 0, false
	}
	b.reserved += tokens
	b.demand.request(tokens, now)
	if a.cfg.UrgentReserve > 0 {
		b.of(rank).taken.use(tokens, now)
	}
	return id, true
}

// Settle ends a reservation: used tokens, at most the reserved ones, are spent
// and the rest is free again. It returns false, and changes nothing, if the
// reservation is not open.
func (a *Allotter) Settle(name string, id, used int64, now clocker.Millis) bool {
	tokens, ok := a.slots.close(id, a.mistakes.settleTwice)
	if !ok {
		return false
	}
	b := a.allotment(name)
	used = min(max(used, 0), tokens)
	b.noteUnused(tokens, used)
	b.reserved -= tokens
	b.spent += used
	b.demand.use(used, now)
	return true
}

// Cancel ends a reservation as if it had not been made. It returns false, and changes
// nothing, if the reservation is not open.
func (a *Allotter) Cancel(name string, id int64) bool {
	tokens, ok := a.slots.close(id, a.mistakes.settleTwice)
	if ok {
		a.allotment(name).reserved -= tokens
	}
	return ok
}

// Headroom returns the tokens of a budget that may be reserved at once.
func (a *Allotter) Headroom(name string) int64 {
	b, ok := a.budgets[name]
	if !ok || a.closing {
		return 0
	}
	return max(0, b.headroom())
}

// Reserved returns the tokens of a budget in open reservations.
func (a *Allotter) Reserved(name string) int64 {
	b, ok := a.budgets[name]
	if !ok {
		return 0
	}
	return b.reserved
}

// MayFree returns the tokens of a budget that open reservations are expected to
// free.
func (a *Allotter) ExpectedUnused(name string) int64 {
	b, ok := a.budgets[name]
	if !ok {
		return 0
	}
	return int64(b.unused * float64(b.reserved))
}

// noteUnused observes how much of a reservation was free again in the end.
func (b *allotment) noteUnused(tokens, used int64) {
	if tokens <= 0 {
		return
	}
	share := float64(tokens-used) / float64(tokens)
	b.unused += requestWeight * (share - b.unused)
}

// Held returns the tokens of all budgets that are held and not spent.
func (a *Allotter) Held() int64 {
	var sum int64
	for _, b := range a.all {
		if !b.closed {
			sum += max(0, b.headroom()) + b.reserved
		}
	}
	return sum
}

// Strand returns the tokens that arrived after their entry was closed.
func (a *Allotter) LateTokens() int64 {
	var sum int64
	for _, b := range a.all {
		sum += b.late.sum
	}
	return sum
}

func (a *Allotter) allotment(name string) *allotment {
	b, ok := a.budgets[name]
	if !ok {
		b = &allotment{name: name, unused: 1} // nothing is known: all may be freed
		b.demand.span = a.cfg.DemandTimeConstant
		a.budgets[name] = b
		a.all = append(a.all, b)
		a.adopt(b)
	}
	return b
}

func (b *allotment) headroom() int64 {
	if b.closeSent || b.closed {
		return 0
	}
	return b.limit + b.received.sum - b.given.sum - b.spent - b.reserved
}

// charge is what the incarnation took out of the budget for good beyond what
// was folded already, open reservations counted as used.
func (b *allotment) charge() int64 {
	return max(0, b.spent+b.reserved+b.given.sum-b.received.sum-b.base)
}
