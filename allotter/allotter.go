// Package allotter decides how many tokens one incarnation may spend from the
// budgets of one shard. It is pure logic: no I/O, no goroutines, no wall clock.
//
// It implements escrow: each incarnation holds a limit in advance and spends it
// without a call. The shard's object on the platform has an entry with the limit
// of each incarnation. A limit is a total, not an increment, and the sum of all
// limits never exceeds the granted tokens. A raised limit takes effect once the
// write is confirmed; a lowered limit takes effect before the write is sent.
//
// The allowance of an incarnation is its limit, plus the tokens received from
// other incarnations, minus those sent to them. Each pair of incarnations exchanges
// transfers as totals since their start; the sender lowers its own allowance
// first. Entries never expire.
package allotter

import (
	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// Config configures an Allotter.
type Config struct {
	// Incarnation identifies this process life and names its entries.
	Incarnation string
	// DemandTimeConstant is the time constant of the fast demand average, in
	// milliseconds; 0 means one minute.
	DemandTimeConstant clocker.Millis
	// UrgentReserveHorizon is the time span whose expected demand of more urgent
	// requests is reserved for them while the platform is unreachable or few tokens
	// are unassigned, in milliseconds; 0 disables the reserve.
	UrgentReserveHorizon clocker.Millis
	// Guard bounds the tokens that are lost if this incarnation dies; nil means no bound.
	Guard *GuardConfig
}

// Allotter holds the state of one incarnation for the budgets of one shard. It
// is not safe for concurrent use.
type Allotter struct {
	cfg     Config
	budgets map[string]*budgetState
	// ordered lists the budgets in order of first use.
	ordered      []*budgetState
	reservations reservations
	closing      bool
	// platformUnreachable is true while the platform is believed to be unreachable.
	platformUnreachable bool

	// version is the highest version of the shard's object seen so far.
	version int64
	// plannedAt is when the last write was planned; 0 after a rejected write.
	plannedAt clocker.Millis
	// contentAt is when the content was last read or written.
	contentAt clocker.Millis
	// object is the content at version. It is never modified in place.
	object       *messenger.BudgetShard
	knownBudgets map[string]*messenger.Budget

	restore restoreState
	guard   guardState
	witness witnessState

	// faults are injected by tests to prove that the checks detect them.
	faults injectedFaults

	// deadSince is when this host noticed that the incarnation of an open entry is dead, and urgentRefreshedAt is
	// when the urgent demand in the entries was summed up last.
	deadSince         map[string]clocker.Millis
	urgentRefreshedAt clocker.Millis
}

// injectedFaults are set by tests only.
type injectedFaults struct {
	raiseBeforeConfirm bool
	lowerAfterWrite    bool
	unknownIsSuccess   bool
	settleTwice        bool

	adoptsRestoredLimits bool
	drawsUnsettled       bool

	// ignoresLease spends guarded tokens while the lease runs, and trustsOldLeases returns those
	// of a lease that had run out.
	ignoresLease    bool
	trustsOldLeases bool
	// opensAtOnce spends all guarded tokens when the lease has ended, whatever rate the entry states,
	// and opensFasterInDoubt ignores the rate of writes whose outcome is not known.
	opensAtOnce        bool
	opensFasterInDoubt bool
	// returnsOpened returns half of the tokens that may have been open when a process began to listen.
	returnsOpened bool
	// opensUnwitnessed spends guarded tokens without the agreement of the witness, agreesAfterClosing agrees though the
	// entries are being closed, and forgetsAgreements and closesAgreed close them after an agreement.
	opensUnwitnessed   bool
	agreesAfterClosing bool
	forgetsAgreements  bool
	closesAgreed       bool
	// keepsLimit goes on with the whole limit where the witness may have closed the entry.
	keepsLimit bool
	// reclaimsAsEarlierBuilds returns nothing after the end of a lease. It is no fault.
	reclaimsAsEarlierBuilds bool
	// promisesSpent promises not to spend guarded tokens though some were spent, and
	// forgetsPromises spends them in spite of a promise.
	promisesSpent   bool
	forgetsPromises bool
	// tamper modifies the object before it is written.
	tamper func(*messenger.BudgetShard)
}

// budgetState is the state of one budget.
type budgetState struct {
	// incarnation is this one.
	incarnation string
	name        string
	// limit is the limit in effect: it is raised once a write is confirmed, and
	// lowered when one is planned. Tokens received from peers come on top.
	limit int64
	// foldedLimit is the part of limit whose entry another host folded: it removed
	// the entry and added its limit to FoldedCharge, to bound the object's size.
	foldedLimit int64
	// certainLimit is the part of limit with which the content before the known one charged this incarnation even if
	// its witness closed the entry.
	certainLimit int64
	// inDoubt is true from planning a write of this budget until a higher version of
	// the object is known.
	inDoubt bool
	// rewrite is true while the entry has to be written again after a restore of the store.
	rewrite bool
	// entryExists is true while an entry of this incarnation is known to exist.
	entryExists bool
	// reopens counts how often the entry was opened again after its witness had closed it.
	reopens int64
	// closePlanned is true once a write that closes the entry was planned.
	closePlanned bool
	closed       bool

	// confirmedDraw is the limit without guarded tokens in the known content, and pendingDraw
	// that of writes whose outcome is not known; -1 without one. While guarded is true,
	// drawLimit bounds what may be spent.
	confirmedDraw, pendingDraw int64
	// confirmedOpen and pendingOpen are the rates at which guarded tokens open after the lease in
	// these contents, the lowest ones of several writes.
	confirmedOpen, pendingOpen openRates
	guarded                    bool
	drawLimit                  int64

	spent    int64
	reserved int64
	received totals
	sent     totals
	// lateReceived are the totals that arrived after the entry was closed, beyond
	// received.
	lateReceived totals

	demand demand
	// keepsFloor is true if a holder keeps the policy's floor of this budget.
	keepsFloor bool
	// declaredGrant is the sum of all top-ups in the declarations; 0 if there are
	// none.
	declaredGrant int64
	// waiting is the number of tokens that the waiting requests need, and waits are these in the order of their
	// arrival. byRank are the ranks of requests in ascending order.
	waiting int64
	waits   []wait
	byRank  []rankState
	// peerDemands is the urgent demand of hosts that get their tokens from this
	// one, by incarnation.
	peerDemands map[string]peerDemand
	// fleetUrgentPerSecond is the urgent demand of all hosts in tokens per second,
	// according to the known content.
	fleetUrgentPerSecond int64
	// unusedShare is the average share of a reservation that is unused when it is
	// settled.
	unusedShare float64
	// loweredAt is when the limit was last lowered.
	loweredAt clocker.Millis
	// raisedAt is when a higher limit was last planned; 0 after a rejected write.
	raisedAt clocker.Millis
}

// New returns an Allotter without tokens.
func New(cfg Config) *Allotter {
	return &Allotter{cfg: cfg, budgets: map[string]*budgetState{}, knownBudgets: map[string]*messenger.Budget{}}
}

// Reserve takes tokens from the headroom of a budget and returns the ID of the
// reservation. It returns false if the headroom, without the reserve for requests
// of a lower (more urgent) rank, does not cover the tokens.
func (a *Allotter) Reserve(name string, tokens int64, rank int, now clocker.Millis) (int64, bool) {
	a.observeTime(now)
	b := a.getOrAddBudget(name)
	if a.closing || tokens < 0 || b.headroom()-a.urgentReserve(b, rank, tokens, now) < tokens {
		return 0, false
	}
	id, ok := a.reservations.open(tokens)
	if !ok {
		return 0, false
	}
	b.reserved += tokens
	b.demand.observeRequest(tokens, now)
	if a.cfg.UrgentReserveHorizon > 0 {
		b.rankState(rank).demand.observeUse(tokens, now)
	}
	return id, true
}

// Settle closes a reservation: used tokens, capped at the reserved number, are
// spent and the remainder is freed. It returns false and changes nothing if the
// reservation is not open.
func (a *Allotter) Settle(name string, id, used int64, now clocker.Millis) bool {
	tokens, ok := a.reservations.close(id, a.faults.settleTwice)
	if !ok {
		return false
	}
	b := a.getOrAddBudget(name)
	used = min(max(used, 0), tokens)
	b.observeUnused(tokens, used)
	b.reserved -= tokens
	b.spent += used
	b.demand.observeUse(used, now)
	return true
}

// Cancel closes a reservation without spending any of it. It returns false and
// changes nothing if the reservation is not open.
func (a *Allotter) Cancel(name string, id int64) bool {
	tokens, ok := a.reservations.close(id, a.faults.settleTwice)
	if ok {
		a.getOrAddBudget(name).reserved -= tokens
	}
	return ok
}

// Headroom returns the tokens of a budget that can be reserved immediately.
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

// ExpectedUnused returns the tokens of a budget that open reservations are
// expected to free when they are settled.
func (a *Allotter) ExpectedUnused(name string) int64 {
	b, ok := a.budgets[name]
	if !ok {
		return 0
	}
	return int64(b.unusedShare * float64(b.reserved))
}

// observeUnused updates the average unused share after a settled reservation.
func (b *budgetState) observeUnused(tokens, used int64) {
	if tokens <= 0 {
		return
	}
	share := float64(tokens-used) / float64(tokens)
	b.unusedShare += requestWeight * (share - b.unusedShare)
}

// Held returns the unspent tokens of all budgets: headroom and open reservations.
func (a *Allotter) Held() int64 {
	var sum int64
	for _, b := range a.ordered {
		if !b.closed {
			sum += max(0, b.heldHeadroom()) + b.reserved
		}
	}
	return sum
}

// LateTokens returns the tokens of all budgets that arrived after their entry
// was closed.
func (a *Allotter) LateTokens() int64 {
	var sum int64
	for _, b := range a.ordered {
		sum += b.lateReceived.sum
	}
	return sum
}

// getOrAddBudget returns the state of a budget, which it adds if necessary. Methods
// that only read a budget may therefore add it.
func (a *Allotter) getOrAddBudget(name string) *budgetState {
	b, ok := a.budgets[name]
	if !ok {
		b = &budgetState{name: name, incarnation: a.cfg.Incarnation, unusedShare: 1} // no settlement observed yet: assume that all is unused
		b.demand.timeConstant = a.cfg.DemandTimeConstant
		a.budgets[name] = b
		a.ordered = append(a.ordered, b)
		a.adoptEntry(b)
	}
	return b
}

// headroom returns the tokens that can be reserved or sent now.
func (b *budgetState) headroom() int64 {
	held := b.heldHeadroom()
	if !b.guarded || b.drawLimit >= b.limit {
		return held
	}
	return held - (b.limit - b.drawLimit)
}

// heldHeadroom returns the same with the guarded tokens.
func (b *budgetState) heldHeadroom() int64 {
	if b.closePlanned || b.closed {
		return 0
	}
	return b.limit + b.received.sum - b.sent.sum - b.spent - b.reserved
}

// charge returns the tokens that the incarnation took out of the budget
// permanently, without those folded already (see foldedLimit). Open reservations
// count as used.
func (b *budgetState) charge() int64 {
	return max(0, b.spent+b.reserved+b.sent.sum-b.received.sum-b.foldedLimit)
}
