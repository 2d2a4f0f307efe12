package allotter

import (
	"math"

	"google.golang.org/protobuf/proto"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

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

// Merge takes in the object as read. Content older than what was seen is ignored.
func (a *Allotter) Merge(version int64, object *messenger.BudgetShard) {
	if version <= a.version {
		return
	}
	a.accept(version, object)
	for _, b := range a.budgets {
		a.adopt(b)
	}
}

// accept replaces the known content. Writes on older versions can no longer
// take effect, so none is in doubt.
func (a *Allotter) accept(version int64, object *messenger.BudgetShard) {
	a.version = version
	a.object = object
	clear(a.index)
	for _, b := range object.GetBudgets() {
		a.index[b.Name] = b
	}
	for _, b := range a.budgets {
		b.doubt = math.MaxInt64
	}
}

// adopt takes over what the known content says of the own entry.
func (a *Allotter) adopt(b *allotment) {
	h := a.ownEntry(b.name)
	switch {
	case h == nil && b.closeSent:
		b.closed = true // closed and folded, or never written
	case h == nil:
		b.limit = 0
	case h.Closed:
		b.listed = true
		b.closed = true
	default:
		b.listed = true
		b.limit = min(h.Limit, b.doubt)
	}
}

func (a *Allotter) ownEntry(name string) *messenger.Holder {
	return holderOf(a.index[name], a.cfg.Incarnation)
}

func holderOf(b *messenger.Budget, incarnation string) *messenger.Holder {
	for _, h := range b.GetHolders() {
		if h.Incarnation == incarnation {
			return h
		}
	}
	return nil
}

// Plan returns the write that brings the own entries of all budgets to what the
// policy wants, or false if none is due. Lowered limits are in force at once.
// The caller tells the outcome by Confirm, Conflict or Unknown.
func (a *Allotter) Plan(policy *messenger.Policy, now clocker.Millis) (Write, bool) {
	var entries []entry
	for name, b := range a.budgets {
		e, ok := a.planEntry(a.index[name], b, policy, now)
		if ok {
			entries = append(entries, e)
		}
	}
	if len(entries) == 0 {
		return Write{}, false
	}
	return a.write(entries, now), true
}

func (a *Allotter) planEntry(object *messenger.Budget, b *allotment, policy *messenger.Policy, now clocker.Millis) (entry, bool) {
	if object == nil || b.closed {
		return entry{}, false
	}
	if a.closing {
		return entry{budget: b, closed: true}, b.listed || b.doubt != math.MaxInt64
	}
	written := a.ownEntry(b.name).GetLimit()
	rest := max(0, Rest(object))
	delta := b.change(policy, rest, now)
	limit := min(max(b.limit+delta, 0), written+rest)
	due := delta != 0 || b.doubt != math.MaxInt64
	return entry{budget: b, limit: limit}, due && limit != written
}

func (a *Allotter) write(entries []entry, now clocker.Millis) Write {
	value := proto.CloneOf(a.object)
	byName := map[string]*messenger.Budget{}
	for _, b := range value.Budgets {
		byName[b.Name] = b
	}
	for _, e := range entries {
		a.stage(e, byName[e.budget.name], now)
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
	if e.closed {
		b.closeSent = true
		h.Closed = true
		h.Charge = b.charge()
		fold(object)
		return
	}
	h.Limit = e.limit
	b.doubt = min(b.doubt, e.limit)
	if e.limit < b.limit {
		b.lowered = now
	}
	b.limit = min(b.limit, e.limit)
}

// Confirm tells that the write took effect as the given version.
func (a *Allotter) Confirm(w Write, version int64) {
	if version <= a.version {
		return
	}
	a.accept(version, w.Value)
	for _, e := range w.entries {
		a.adopt(e.budget)
	}
}

// Conflict tells that the write surely had no effect. The object has to be
// read again before the next Plan.
func (a *Allotter) Conflict(Write) {}

// Unknown tells that the write may have taken effect, or may do so later. The
// object has to be read again before the next Plan.
func (a *Allotter) Unknown(Write) {}

// StartClosing stops reservations and gifts; from now on Plan closes all entries.
func (a *Allotter) StartClosing() {
	a.closing = true
}

// Closed reports whether no entry of this incarnation is open any more, as far
// as is known.
func (a *Allotter) Closed() bool {
	for name, b := range a.budgets {
		if a.index[name] != nil && !b.closed && (b.listed || b.doubt != math.MaxInt64) {
			return false
		}
	}
	return true
}
