package allotter

import (
	"google.golang.org/protobuf/proto"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/versioner"
)

// Conditions are the inputs of a plan, besides the state of the Allotter.
type Conditions struct {
	Now clocker.Millis
	// Policy must have its defaults filled in.
	Policy *messenger.Policy
	// KeepsHeadroom is true if this host obtains headroom from the platform before
	// requests need it. A holder does so once the membership of the fleet is stable;
	// until then this package treats it as a host that is not a holder.
	KeepsHeadroom bool
	// IsLive reports whether an incarnation was recently seen alive.
	IsLive func(incarnation string) bool
	// IsReplaced reports whether the host of an incarnation was seen with a later
	// incarnation; nil means never.
	IsReplaced func(incarnation string) bool
	// ChangeInterval is the minimum time between two raises of a budget's limit ahead
	// of demand, or between two returns. With BatchRaiseThreshold it applies to
	// writes of the whole object. 0 means defaultChangeInterval.
	ChangeInterval clocker.Millis
	// RaiseThreshold is the share of the target headroom below which the limit is
	// raised ahead of demand; 0 means defaultRaiseThreshold.
	RaiseThreshold float64
	// BatchRaiseThreshold replaces RaiseThreshold for budgets that are included in a
	// write that another budget caused; 0 means RaiseThreshold.
	BatchRaiseThreshold float64
	// HostCount is the number of known hosts, including this one.
	HostCount int
	// PrefetchShare is the share of a declared budget that all hosts together may
	// request beyond their expected demand; 0 means no bound.
	PrefetchShare float64
	// MustSpeak are the live incarnations that have to write the object after a restore of the
	// store, whether or not they have entries.
	MustSpeak []string
	// LongDead reports whether an incarnation was dead for so long that it can't have raised a
	// limit since a copy of the store was made; nil means never.
	LongDead func(incarnation string) bool
	// DrawShare is the share of what remains of a budget that all holders together may leave unguarded for their demand.
	DrawShare float64
	// DemandShare is the part of a holder's share of the remaining tokens that goes by its share of the
	// demand; 0 means that all holders keep even shares.
	DemandShare float64
	// Witness is the incarnation that the lease should name as its witness, "" for none.
	Witness string
	// GuardPromises are the starts of the leases that other incarnations promised to this one, by
	// their clocks; nil if it has not asked them.
	GuardPromises map[string]clocker.Millis
}

func (c Conditions) raiseThreshold() float64 {
	if c.RaiseThreshold > 0 {
		return c.RaiseThreshold
	}
	return defaultRaiseThreshold
}

func (c Conditions) changeInterval() clocker.Millis {
	if c.ChangeInterval > 0 {
		return c.ChangeInterval
	}
	return defaultChangeInterval
}

// Write is a conditional write of the shard's object.
type Write struct {
	// Version is the version that the object must have; 0 creates it.
	Version int64
	Value   *messenger.BudgetShard
	// Returned are the tokens of other incarnations that the write returns to their budgets: those that earlier ones at
	// the own address left, and those of silent ones whose witness this one is.
	Returned int64
	// Opened are the guarded tokens of these incarnations that the write charges, because they may have
	// been spent after the end of a lease.
	Opened int64
	// Silent are the incarnations whose entries the write closes though they may still run.
	Silent []string

	entries []plannedEntry
}

// plannedEntry is the entry of this incarnation for one budget in a write.
type plannedEntry struct {
	budget *budgetState
	limit  int64
	closed bool
}

// Version returns the highest version seen so far; 0 if there is none.
func (a *Allotter) Version() int64 {
	return a.version
}

// Merge adopts the object as read at now; version 0 means that it does not exist.
// Content older than the known version is ignored.
func (a *Allotter) Merge(version int64, object *messenger.BudgetShard, now clocker.Millis) {
	if version >= a.version {
		a.contentAt = now
	}
	a.ObserveContact(now)
	if version > a.version {
		a.replaceContent(version, object)
	}
	if a.restore.unsettledSince == 0 && a.Unsettled() {
		a.restore.unsettledSince = now
	}
}

// ContentAt returns when the content was last read or written; 0 for never.
func (a *Allotter) ContentAt() clocker.Millis {
	return a.contentAt
}

// replaceContent replaces the known content and adopts the own entries from it.
// Writes conditional on older versions can no longer take effect, so no write
// remains in doubt.
func (a *Allotter) replaceContent(version int64, object *messenger.BudgetShard) {
	a.beginEraIfRestored(versioner.Era(version), object)
	for _, b := range a.ordered {
		b.certainLimit = a.certainLimit(b)
	}
	a.version = version
	a.object = a.withRemembered(object)
	clear(a.knownBudgets)
	for _, b := range a.object.GetBudgets() {
		a.knownBudgets[b.Name] = b
	}
	a.adoptLease()
	a.adoptClosings()
	for _, b := range a.ordered {
		b.inDoubt = false
		a.adoptEntry(b)
	}
}

// adoptEntry updates a budget from the known content: its own entry and the urgent
// demand of all hosts.
func (a *Allotter) adoptEntry(b *budgetState) {
	b.fleetUrgentPerSecond = a.sumUrgent(a.knownBudgets[b.name])
	h := findEntry(a.knownBudgets[b.name], a.cfg.Incarnation)
	defer a.adoptGuard(b, h)
	switch {
	case b.rewrite:
		a.adoptRewritten(b, h)
	case h == nil && b.closePlanned:
		b.closed = true // closed and folded, or never written
	case h == nil && b.entryExists:
		b.entryExists = false
		b.limit = b.certainLimit // folded while open, or closed by the witness and then folded
		b.foldedLimit = b.limit
		b.reopens++
	case h == nil:
		b.limit = b.foldedLimit
	case h.Closed && b.closePlanned:
		b.entryExists = true
		b.closed = true
	default: // open, or closed by the witness, which charged what this incarnation may spend
		b.entryExists = true
		b.limit = b.foldedLimit + assignedTo(h)
		b.adoptReopens(h)
	}
}

// adoptReopens updates how often the entry was opened again, from its known content.
func (b *budgetState) adoptReopens(h *messenger.Holder) {
	b.reopens = max(b.reopens, h.Reopens)
	if h.Closed {
		b.reopens = max(b.reopens, h.Reopens+1)
	}
}

// findEntry returns the entry of an incarnation in a budget, or nil. An entry is
// stored as a messenger.Holder, whether or not its host is a holder of the shard.
func findEntry(b *messenger.Budget, incarnation string) *messenger.Holder {
	for _, h := range b.GetHolders() {
		if h.Incarnation == incarnation {
			return h
		}
	}
	return nil
}

// CallDue reports whether a call to the platform or to peers is due, judged by the
// known content.
func (a *Allotter) CallDue(c Conditions) bool {
	return a.PlatformCallDue(c) || len(a.TransferAsks(c, false)) > 0
}

// PlatformCallDue reports whether a call to the platform is due, judged by the
// known content: requests lack tokens, a write is due, or a budget whose floor is
// to be kept has not been read yet.
func (a *Allotter) PlatformCallDue(c Conditions) bool {
	for _, b := range a.ordered {
		if b.keepsFloor && c.KeepsHeadroom && a.knownBudgets[b.name] == nil && (b.declaredGrant == 0 || a.contentAt == 0) {
			return true
		}
	}
	return a.anyShortfall() || a.anyWriteDue(c)
}

// Plan returns the write that brings the own entries of all budgets in line with
// the policy, or false if none is due. Lowered limits take effect immediately.
// The caller reports the outcome with Confirm, Rejected or OutcomeUnknown, and
// reads the object again before it calls Plan again.
func (a *Allotter) Plan(c Conditions) (Write, bool) {
	if a.Unsettled() {
		return a.planSettlement(c)
	}
	if !a.anyWriteDue(c) {
		return Write{}, false
	}
	// The write replaces the whole object, so budgets that will be due soon are
	// included.
	if c.BatchRaiseThreshold > 0 {
		c.RaiseThreshold = c.BatchRaiseThreshold
	}
	var entries []plannedEntry
	for _, b := range a.ordered {
		if e, ok := a.planEntry(a.knownOrDeclaredBudget(b), b, c); ok {
			entries = append(entries, e)
		}
	}
	if len(entries) == 0 && !a.guardDue(c) && !a.reclaimDue(c.Now) {
		return Write{}, false // no tokens remain for the waiting requests
	}
	a.plannedAt = c.Now
	return a.buildWrite(entries, c), true
}

// anyWriteDue reports whether a write is due for any budget.
func (a *Allotter) anyWriteDue(c Conditions) bool {
	if a.Unsettled() {
		return a.settlementDue(c) || a.SettlementReadDue(c)
	}
	a.guard.conditions = c
	a.guard.conditions.GuardPromises = nil // they are for one write
	if c.IsLive != nil {
		a.refreshUrgent(c.Now)
	}
	a.observeSilences(c)
	if a.reclaimDue(c.Now) || a.guardDue(c) {
		return true
	}
	if c.BatchRaiseThreshold > 0 && c.Now-a.plannedAt < c.changeInterval() && !a.closing {
		return a.anyShortfall()
	}
	for _, b := range a.ordered {
		if _, ok := a.planEntry(a.knownOrDeclaredBudget(b), b, c); ok {
			return true
		}
	}
	return false
}

// anyShortfall reports whether the headroom of any budget does not cover its
// waiting requests.
func (a *Allotter) anyShortfall() bool {
	for _, b := range a.ordered {
		if b.waiting > b.headroom() {
			return true
		}
	}
	return false
}

func (a *Allotter) planEntry(stored *messenger.Budget, b *budgetState, c Conditions) (plannedEntry, bool) {
	if b.closed || stored == nil && !b.rewrite {
		return plannedEntry{}, false
	}
	if a.closing {
		return plannedEntry{budget: b, closed: true}, b.entryExists || b.inDoubt || b.rewrite
	}
	if b.rewrite {
		return plannedEntry{budget: b, limit: b.limit}, true
	}
	writtenLimit := b.foldedLimit
	if h := findEntry(stored, a.cfg.Incarnation); h != nil {
		writtenLimit += assignedTo(h)
	}
	unassigned := max(0, Unassigned(stored))
	delta := b.limitChange(c, stored, unassigned, -a.shortfallTokens(b, unassigned))
	limit := min(max(b.limit+delta, b.foldedLimit), writtenLimit+unassigned)
	due := delta != 0 || b.inDoubt
	return plannedEntry{budget: b, limit: limit}, due && limit != writtenLimit
}

func (a *Allotter) buildWrite(entries []plannedEntry, c Conditions) Write {
	value := &messenger.BudgetShard{}
	if a.object != nil {
		value = proto.CloneOf(a.object)
	}
	byName := map[string]*messenger.Budget{}
	for _, b := range value.Budgets {
		byName[b.Name] = b
	}
	for _, e := range entries {
		stored := byName[e.budget.name]
		if stored == nil {
			stored = &messenger.Budget{Name: e.budget.name}
			value.Budgets = append(value.Budgets, stored)
		}
		stored.Granted = max(stored.Granted, e.budget.declaredGrant)
		a.stageEntry(e, stored, c.Now)
		foldEntries(stored, c.IsLive)
	}
	r := a.stageReclaims(value, c.Now)
	a.stageGuards(value, c)
	if a.faults.tamper != nil {
		a.faults.tamper(value)
	}
	return Write{Version: a.version, Value: value, Returned: r.returned, Opened: r.opened, Silent: r.silent, entries: entries}
}

// stageEntry puts an entry into the object to be written. A lowered limit takes
// effect here, before the write is sent.
func (a *Allotter) stageEntry(e plannedEntry, stored *messenger.Budget, now clocker.Millis) {
	h := findEntry(stored, a.cfg.Incarnation)
	if h == nil {
		h = &messenger.Holder{Incarnation: a.cfg.Incarnation}
		stored.Holders = append(stored.Holders, h)
	}
	b := e.budget
	b.inDoubt = true
	h.Era = a.restore.era
	h.Reopenable, h.Reopens = false, b.reopens
	if e.closed {
		b.closePlanned = true
		h.Closed = true
		h.Charge = b.charge()
		h.Limit = 0
		return
	}
	h.Closed, h.Charge = false, 0
	h.Limit = e.limit - b.foldedLimit
	h.UrgentPerSecond = b.urgentPerSecond(now) + int64(b.peerUrgentRate(now)*float64(clocker.Second))
	switch {
	case e.limit > b.limit:
		b.raisedAt = now
		if a.faults.raiseBeforeConfirm {
			b.limit = e.limit
		}
	case !a.faults.lowerAfterWrite: // not raised: takes effect now, unless the fault is injected
		b.loweredAt = now
		b.limit = e.limit
	}
}

// Confirm reports that the write took effect as the given version.
func (a *Allotter) Confirm(w Write, version int64, now clocker.Millis) {
	if versioner.Era(version) == a.restore.era {
		a.restore.remembered = nil
	}
	a.Merge(version, w.Value, now)
}

// Rejected reports that the write certainly had no effect: another version existed, or
// the platform refused the call. Limits to raise are still due, so they are not
// delayed by the change interval.
func (a *Allotter) Rejected(w Write) {
	a.plannedAt = 0
	a.withdrawLease()
	a.endClosings(w)
	for _, e := range w.entries {
		e.budget.raisedAt = 0
	}
}

// OutcomeUnknown reports that the write may have taken effect or may still do so.
// Until the object is read at a higher version, limits that the write lowers stay
// lowered, and limits that it raises are not raised.
func (a *Allotter) OutcomeUnknown(w Write) {
	a.guard.inDoubt = true
	if !a.faults.unknownIsSuccess {
		return // nothing to do: the state stays as planned
	}
	for _, e := range w.entries {
		e.budget.limit = e.limit
	}
}

// StartClosing stops reservations and transfers to peers on request; from now on
// Plan closes all entries.
func (a *Allotter) StartClosing() {
	a.closing = true
}

// Closed reports whether no entry of this incarnation is known to be open.
func (a *Allotter) Closed() bool {
	for _, b := range a.ordered {
		if a.knownBudgets[b.name] != nil && !b.closed && (b.entryExists || b.inDoubt || b.rewrite) {
			return false
		}
	}
	return true
}

// ClosedByOthers returns the budgets whose entry of this incarnation another one has closed.
func (a *Allotter) ClosedByOthers() []string {
	var names []string
	for _, b := range a.ordered {
		if h := findEntry(a.knownBudgets[b.name], a.cfg.Incarnation); h != nil && h.Closed && !b.closePlanned {
			names = append(names, b.name)
		}
	}
	return names
}
