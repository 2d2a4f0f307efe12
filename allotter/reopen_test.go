package allotter

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

// closeEntry closes the entry of a host that may live, as another host does, and returns its charge.
func (f *guardFleet) closeEntry(h *guardHost) int64 {
	f.object = proto.CloneOf(f.object)
	f.version++
	entry := findEntry(f.object.Budgets[0], h.allotter.cfg.Incarnation)
	entry.Closed, entry.Reopenable, entry.Charge, entry.Limit, entry.Guarded = true, true, entry.Limit-entry.Guarded, 0, 0
	f.copies = append(f.copies, guardCopy{version: f.version, object: f.object})
	return entry.Charge
}

// spendingFleet returns a fleet of holders that have spent and told of it.
func spendingFleet(hosts int) *guardFleet {
	f := newScheduledFleet(hosts, NoFault, false)
	for i := range 20 * hosts {
		f.now += 50
		f.hosts[i%hosts].spendOrWrite(300)
	}
	for _, h := range f.hosts {
		h.write()
	}
	return f
}

// Guards against a host that refuses an account until its process ends: another host has closed its entry.
func TestClosedEntryIsOpenedAgain(t *testing.T) {
	f := spendingFleet(2)
	h := f.hosts[0]
	charge := f.closeEntry(h)
	h.read()
	b := h.allotter.getOrAddBudget(guardBudget)
	assert.Equal(t, b.limit, charge)
	assert.DeepEqual(t, h.allotter.ClosedByOthers(), []string{guardBudget})
	assert.Assert(t, h.spendOrWrite(5000))
	entry := findEntry(f.object.Budgets[0], h.allotter.cfg.Incarnation)
	assert.Assert(t, !entry.Closed && !entry.Reopenable && entry.Reopens == 1)
	assert.Assert(t, entry.Limit >= b.charge() && Assigned(f.object.Budgets[0]) <= guardGrant)
}

// A host whose entry was closed returns what it is charged with and has not spent when it stops.
func TestClosedEntryIsClosedForGoodByAPlannedStop(t *testing.T) {
	f := spendingFleet(2)
	h := f.hosts[0]
	charge := f.closeEntry(h)
	h.read()
	h.allotter.StartClosing()
	h.write()
	entry := findEntry(f.object.Budgets[0], h.allotter.cfg.Incarnation)
	assert.Assert(t, entry.Closed && !entry.Reopenable && entry.Charge <= charge)
	assert.Equal(t, entry.Charge, h.allotter.getOrAddBudget(guardBudget).charge())
	assert.Assert(t, h.allotter.Closed())
}

// Guards against spending past a budget after a restore of the store: a host that remembers a closed entry charges less
// than the incarnation has used since it opened the entry again.
func TestEntryThatWasOpenedAgainIsKeptAcrossRestores(t *testing.T) {
	f := spendingFleet(3)
	h, other := f.hosts[0], f.hosts[1]
	f.closeEntry(h)
	other.read()
	assert.Assert(t, h.spendOrWrite(5000))
	h.write()
	used := h.allotter.getOrAddBudget(guardBudget).charge()
	incarnation := h.allotter.cfg.Incarnation
	h.kill()
	f.restoreCopy(len(f.copies) - 1)
	f.now += clocker.Second
	for range 2 {
		for _, host := range f.hosts[1:] {
			host.write()
		}
	}
	assert.Assert(t, f.object.Settled)
	entry := findEntry(f.object.Budgets[0], incarnation)
	assert.Assert(t, assignedTo(entry) >= used, "%d tokens used, charged with %d", used, assignedTo(entry))
}

// An incarnation whose entry was closed may have opened it again by a write that the store has lost. It is charged for that
// as one with an open entry is.
func TestClosedEntryIsChargedForUnseenRaises(t *testing.T) {
	f := spendingFleet(2)
	h := f.hosts[0]
	charge := f.closeEntry(h)
	incarnation := h.allotter.cfg.Incarnation
	copied := len(f.copies) - 1
	f.hosts[1].read()
	h.kill()
	f.restoreCopy(copied)
	f.now += 2 * settleTimeout
	for range 2 {
		f.hosts[1].write()
		f.now += 2 * settleTimeout
	}
	assert.Assert(t, f.object.Settled)
	assert.Assert(t, findEntry(f.object.Budgets[0], incarnation).Charge > charge)
}
