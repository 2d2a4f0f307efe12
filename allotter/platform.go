package allotter

import (
	"google.golang.org/protobuf/proto"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// Circumstances are what a plan depends on.
type Conditions struct {
	Now clocker.Millis
	// Policy has its defaults filled in.
	Policy *messenger.Policy
	// Holder is true if this host keeps headroom ahead of demand at the platform.
	Holder bool
	// Live reports whether an incarnation was heard of lately.
	IsLive func(incarnation string) bool
	// Replaced reports whether the host of an incarnation was heard of as a
	// later one; nil means never.
	IsReplaced func(incarnation string) bool
	// ChangePause is the least time between two extensions ahead of demand, or
	// between two returns, of one budget, and with BatchShare of the object; 0 means
	// defaultChangePause.
	ChangeInterval clocker.Millis
	// ExtendShare is the share of the wanted headroom below which it is extended
	// ahead of demand; 0 means defaultExtendShare.
	ExtendShare float64
	// BatchShare is ExtendShare for budgets that a write carries along; 0 means the
	// same.
	BatchExtendShare float64
	// Hosts is how many hosts are known, this one included.
	HostCount int
	// AheadShare is the part of a declared budget that all hosts together may ask for
	// beyond their demand of the near future; 0 means no bound.
	PrefetchShare float64
}

func (c Conditions) extendShare() float64 {
	if c.ExtendShare > 0 {
		return c.ExtendShare
	}
	return defaultExtendShare
}

func (c Conditions) changePause() clocker.Millis {
	if c.ChangeInterval > 0 {
		return c.ChangeInterval
	}
	return defaultChangePause
}

// Write is one conditional write of the shard's object.
type Write struct {
	// Version that the object must have; 0 creates it.
	Version int64
	Value   *messenger.BudgetShard

	entries []entry
}

// entry is what a write says of one budget of this incarnation.
type entry struct {
	budget *allotment
	limit  int64
	closed bool
}

// Version returns the highest version that was seen; 0 if none was.
func (a *Allotter) Version() int64 {
	return a.version
}

// Merge takes in the object as read at now; version 0 says that there is none.
// Content older than what was seen is ignored.
func (a *Allotter) Merge(version int64, object *messenger.BudgetShard, now clocker.Millis) {
	if version >= a.version {
		a.readAt = now
	}
	if version > a.version {
		a.accept(version, object)
	}
}

// ReadAt returns when the platform last told the content; 0 for never.
func (a *Allotter) ReadAt() clocker.Millis {
	return a.readAt
}

// accept replaces the known content. Writes on older versions can no longer
// take effect, so none is in doubt, and the own entries are as they stand there.
func (a *Allotter) accept(version int64, object *messenger.BudgetShard) {
	a.version = version
	a.object = object
	clear(a.index)
	for _, b := range object.GetBudgets() {
		a.index[b.Name] = b
	}
	for _, b := range a.all {
		b.inDoubt = false
		a.adopt(b)
	}
}

// adopt takes over what the known content says of the own entry, and of the urgent
// demand of all.
func (a *Allotter) adopt(b *allotment) {
	b.fleetUrgent = urgentOf(a.index[b.name])
	h := holderOf(a.index[b.name], a.cfg.Incarnation)
	switch {
	case h == nil && b.closeSent:
		b.closed = true // closed and folded, or never written
	case h == nil && b.listed:
		b.listed = false
		b.base = b.limit // folded while open: all of it is charged
	case h == nil:
		b.limit = b.base
	case h.Closed:
		b.listed = true
		b.closed = true
	default:
		b.listed = true
		b.limit = b.base + h.Limit
	}
}

func holderOf(b *messenger.Budget, incarnation string) *messenger.Holder {
	for _, h := range b.GetHolders() {
		if h.Incarnation == incarnation {
			return h
		}
	}
	return nil
}

// Due reports whether the platform or peers are to be asked, as far as is known
// without reading the object again.
func (a *Allotter) CallDue(c Conditions) bool {
	return a.PlatformCallDue(c) || len(a.TransferAsks(c, false)) > 0
}

// PlatformDue reports whether requests wait for tokens, a plan is called for, or
// a budget to keep is not known yet, as far as can be told without reading the
// object again.
func (a *Allotter) PlatformCallDue(c Conditions) bool {
	for _, b := range a.all {
		if b.kept && c.Holder && a.index[b.name] == nil && (b.declared == 0 || a.readAt == 0) {
			return true
		}
	}
	return a.anyLacks() || a.anyDue(c)
}

// Plan returns the write that brings the own entries of all budgets to what the
// policy wants, or false if none is due. Lowered limits are in force at once.
// The caller tells the outcome by Confirm, Conflict or Unknown, and reads the
// object again before the next Plan.
func (a *Allotter) Plan(c Conditions) (Write, bool) {
	if !a.anyDue(c) {
		return Write{}, false
	}
	// One write carries all budgets: those that would be due soon come along.
	if c.BatchExtendShare > 0 {
		c.ExtendShare = c.BatchExtendShare
	}
	var entries []entry
	for _, b := range a.all {
		if e, ok := a.planEntry(a.content(b), b, c); ok {
			entries = append(entries, e)
		}
	}
	if len(entries) == 0 {
		return Write{}, false // nothing is left for the requests that wait
	}
	a.planned = c.Now
	return a.write(entries, c), true
}

// anyDue reports whether a write is called for by any budget.
func (a *Allotter) anyDue(c Conditions) bool {
	if c.BatchExtendShare > 0 && c.Now-a.planned < c.changePause() && !a.closing {
		return a.anyLacks()
	}
	for _, b := range a.all {
		if _, ok := a.planEntry(a.content(b), b, c); ok {
			return true
		}
	}
	return false
}

// anyLacks reports whether requests wait for more than the headroom of a budget.
func (a *Allotter) anyLacks() bool {
	for _, b := range a.all {
		if b.need > b.headroom() {
			return true
		}
	}
	return false
}

func (a *Allotter) planEntry(object *messenger.Budget, b *allotment, c Conditions) (entry, bool) {
	if object == nil || b.closed {
		return entry{}, false
	}
	if a.closing {
		return entry{budget: b, closed: true}, b.listed || b.inDoubt
	}
	written := b.base + holderOf(object, a.cfg.Incarnation).GetLimit()
	rest := max(0, Unassigned(object))
	delta := b.change(c, object, rest, -a.pressing(b, rest))
	limit := min(max(b.limit+delta, b.base), written+rest)
	due := delta != 0 || b.inDoubt
	return entry{budget: b, limit: limit}, due && limit != written
}

func (a *Allotter) write(entries []entry, c Conditions) Write {
	value := &messenger.BudgetShard{}
	if a.object != nil {
		value = proto.CloneOf(a.object)
	}
	byName := map[string]*messenger.Budget{}
	for _, b := range value.Budgets {
		byName[b.Name] = b
	}
	for _, e := range entries {
		object := byName[e.budget.name]
		if object == nil {
			object = &messenger.Budget{Name: e.budget.name}
			value.Budgets = append(value.Budgets, object)
		}
		object.Granted = max(object.Granted, e.budget.declared)
		a.stage(e, object, c.Now)
		fold(object, c.IsLive)
	}
	if a.mistakes.tamper != nil {
		a.mistakes.tamper(value)
	}
	return Write{Version: a.version, Value: value, entries: entries}
}

// stage puts an entry into the value to be written, and lowers the own limit
// before that is sent.
func (a *Allotter) stage(e entry, object *messenger.Budget, now clocker.Millis) {
	h := holderOf(object, a.cfg.Incarnation)
	if h == nil {
		h = &messenger.Holder{Incarnation: a.cfg.Incarnation}
		object.Holders = append(object.Holders, h)
	}
	b := e.budget
	b.inDoubt = true
	if e.closed {
		b.closeSent = true
		h.Closed = true
		h.Charge = b.charge()
		h.Limit = 0
		return
	}
	h.Limit = e.limit - b.base
	h.UrgentPerSecond = b.urgentPerSecond(now) + int64(b.suppliedRate(now)*float64(clocker.Second))
	switch {
	case e.limit > b.limit:
		b.extended = now
		if a.mistakes.raiseBeforeConfirm {
			b.limit = e.limit
		}
	case !a.mistakes.lowerAfterWrite:
		b.lowered = now
		b.limit = e.limit
	}
}

// Confirm tells that the write took effect as the given version.
func (a *Allotter) Confirm(w Write, version int64, now clocker.Millis) {
	a.Merge(version, w.Value, now)
}

// Conflict tells that the write surely had no effect: what it was to extend is
// still due.
func (a *Allotter) Conflict(w Write) {
	a.planned = 0
	for _, e := range w.entries {
		e.budget.extended = 0
	}
}

// Unknown tells that the write may have taken effect, or may do so later. Limits
// that it lowers stay lowered, and limits that it raises stay as they were,
// until the object is read at a higher version.
func (a *Allotter) OutcomeUnknown(w Write) {
	if !a.mistakes.unknownIsSuccess {
		return
	}
	for _, e := range w.entries {
		e.budget.limit = e.limit
	}
}

// StartClosing stops reservations and gifts; from now on Plan closes all entries.
func (a *Allotter) StartClosing() {
	a.closing = true
}

// Closed reports whether no entry of this incarnation is open any more, as far
// as is known.
func (a *Allotter) Closed() bool {
	for _, b := range a.all {
		if a.index[b.name] != nil && !b.closed && (b.listed || b.inDoubt) {
			return false
		}
	}
	return true
}
