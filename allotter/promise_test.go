package allotter

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/versioner"
)

// promises returns what the other processes that run promise.
func (h *guardHost) promises() map[string]clocker.Millis {
	promises := map[string]clocker.Millis{}
	for _, other := range h.fleet.hosts {
		if other == h || other.allotter == nil || other.paused {
			continue
		}
		if at := other.allotter.PromiseGuard(h.fleet.now); at > 0 {
			promises[other.allotter.cfg.Incarnation] = at
		}
	}
	return promises
}

// planPromised returns the next write with promises, if one is due.
func (h *guardHost) planPromised(promises map[string]clocker.Millis) (Write, bool) {
	c := h.conditions()
	c.GuardPromises = promises
	w, ok := h.allotter.Plan(c)
	if ok {
		w.Value = proto.CloneOf(w.Value)
	}
	return w, ok
}

// writeIfDue makes the due write of a host take effect, with the promises that it wants. It reports whether one was
// due.
func (h *guardHost) writeIfDue() bool {
	if !h.allotter.PlatformCallDue(h.conditions()) {
		return false
	}
	var promises map[string]clocker.Millis
	if len(h.allotter.PromisesWanted(h.fleet.now)) > 0 {
		promises = h.promises()
	}
	h.read()
	w, ok := h.planPromised(promises)
	if ok && h.fleet.apply(w) {
		h.allotter.Confirm(w, h.fleet.version, h.fleet.now)
	}
	return ok
}

// One host renews the leases of all with a write a second, so that few tokens are lost with the death of all
// hosts, though most of them last wrote long before and had more demand then.
func TestOneWriteRenewsTheLeasesOfAll(t *testing.T) {
	for _, hosts := range []int{2, 8, 24} {
		f := newGuardFleet(hosts, NoFault)
		for i := range 5 * hosts {
			assert.Assert(t, f.hosts[i%hosts].spendOrWrite(300))
			f.now += 50
		}
		writes, steps := 0, 200
		for range steps {
			f.now += 100
			for _, h := range f.hosts {
				if h.writeIfDue() {
					writes++
				}
			}
		}
		for _, h := range f.hosts {
			h.kill()
		}
		f.now += 1300
		for _, h := range f.hosts {
			h.start()
			h.write()
		}
		unused := Unassigned(f.object.Budgets[0])
		for _, h := range f.hosts {
			unused += h.allotter.Held()
		}
		lost, bound := guardGrant-f.consumed-unused, int64(excessFactor*max(0.04*guardGrant, float64(hosts*300)))
		t.Logf("%d hosts: %d writes in 20 s, %d tokens lost, %d allowed", hosts, writes, lost, bound)
		assert.Check(t, lost >= 0 && lost <= bound, "%d hosts: %d tokens lost, %d allowed", hosts, lost, bound)
		assert.Check(t, writes <= 30, "%d hosts: %d writes", hosts, writes)
	}
}

// A host that has used guarded tokens promises nothing until it has told so by a write, and its lease stays as
// it was.
func TestSpentGuardedTokensAreNotPromised(t *testing.T) {
	f := newGuardFleet(2, NoFault)
	h := f.hosts[0]
	h.spendOrWrite(500)
	h.write()
	assert.Equal(t, h.allotter.PromiseGuard(f.now), f.now)
	f.now += guardLease
	assert.Assert(t, h.spend(h.allotter.Held()/2))
	assert.Equal(t, h.allotter.PromiseGuard(f.now), clocker.Millis(0))
	h.write()
	assert.Equal(t, h.allotter.PromiseGuard(f.now), f.now)
}

// A promise holds though nobody has written it, and also for the content of a write whose answer is lost.
func TestPromisesBindWithoutAWrite(t *testing.T) {
	f := newGuardFleet(1, NoFault)
	h := f.hosts[0]
	h.spendOrWrite(500)
	h.write()
	f.now += guardLease - 100
	assert.Equal(t, h.allotter.PromiseGuard(f.now), f.now)
	f.now += guardLease - 100
	h.allotter.observeTime(f.now)
	assert.Assert(t, h.allotter.Headroom(guardBudget) < h.allotter.Held())
	f.now += 100
	h.allotter.observeTime(f.now)
	assert.Equal(t, h.allotter.Headroom(guardBudget), h.allotter.Held())
}

// Leases of an earlier era of the store, and those without the time since the boot of a machine, are not moved on.
func TestPromisesDoNotRenewLeasesThatProveNothing(t *testing.T) {
	for name, change := range map[string]func(l *messenger.GuardLease){
		"none":         func(*messenger.GuardLease) {},
		"earlier era":  func(l *messenger.GuardLease) { l.Era = -1 },
		"unknown boot": func(l *messenger.GuardLease) { l.BootMs = 0 },
	} {
		f := newGuardFleet(2, NoFault)
		f.hosts[1].spendOrWrite(500)
		f.hosts[1].write()
		other := f.hosts[1].allotter.cfg.Incarnation
		f.hosts[0].spendOrWrite(500)
		lease := func() *messenger.GuardLease {
			for _, l := range f.object.Leases {
				if l.Incarnation == other {
					return l
				}
			}
			return nil
		}
		f.object = proto.CloneOf(f.object)
		change(lease())
		f.version++
		before := proto.CloneOf(lease())
		f.now += guardLease / 2
		h := f.hosts[0]
		h.read()
		w, ok := h.planPromised(map[string]clocker.Millis{other: f.now})
		assert.Assert(t, ok && f.apply(w))
		assert.Equal(t, lease().AtMs > before.AtMs, name == "none", name)
		assert.Equal(t, lease().AtMs-before.AtMs, lease().BootMs-before.BootMs, name)
	}
}

// playPromised is play with writes that carry promises. Time passes between the promises and the write, in
// which other hosts act; the write may take effect late, and its answer may be lost.
func (f *guardFleet) playPromised(random *rand.Rand, steps int) error {
	lives := map[string]*Allotter{}
	for step := range steps {
		h := f.hosts[random.IntN(len(f.hosts))]
		f.now += clocker.Millis(random.IntN(400))
		if f.restores != noRestores && random.IntN(20) == 0 {
			f.restore(random)
		}
		if f.witnessed {
			f.actWitnessed(random)
		}
		switch event := random.IntN(10); {
		case event < 4 && f.hosts[0].allotter != nil && !f.hosts[0].paused:
			f.writePromised(f.hosts[0], random)
		case event < 6 && h.allotter != nil && !h.paused:
			h.spendAll(random)
		case event == 6 && h.allotter != nil && random.IntN(3) == 0:
			h.kill()
		case event == 7 && h.allotter != nil && !h.paused: // without the store until its lease has run out
			f.now += guardLease
			if f.configure != nil { // any part of the guarded tokens is open
				f.now += clocker.Millis(random.Int64N(int64(testOpenTime)))
			}
			h.askWitnesses(random)
			h.spendAll(random)
		case h.allotter == nil:
			h.start()
		case event < 9 || h.paused:
			f.act(h, random)
		default:
			f.writePromised(h, random)
		}
		if err := f.checkCharges(lives); err != nil {
			return fmt.Errorf("step %d: %w", step, err)
		}
	}
	return nil
}

// restore lets the store come back from a copy.
func (f *guardFleet) restore(random *rand.Rand) {
	from := 0
	if f.restores == completeCopies {
		if slices.ContainsFunc(f.hosts, func(h *guardHost) bool { return h.paused }) {
			return
		}
		from = f.completeFrom
	}
	if random.IntN(2) == 0 {
		from = max(from, len(f.copies)-5) // the latest, whose leases still run
	}
	f.restoreCopy(from + random.IntN(len(f.copies)-from))
	if f.restores == anyCopies {
		return
	}
	for range 2 { // all write their entries again, then the last of them settles the object
		for _, h := range f.hosts {
			if h.allotter != nil {
				h.write()
			}
		}
	}
}

func (f *guardFleet) restoreCopy(i int) {
	f.version = versioner.New(versioner.Era(f.version)+1, versioner.Revision(f.copies[i].version))
	f.object = f.copies[i].object
	f.copies = f.copies[:i+1]
	f.completeFrom = min(f.completeFrom, i)
}

// checkCharges returns an error if more was consumed or may be than granted, or if the entry of a process that
// has ended is charged with less than the process used. What the store forgot of processes that have ended can't
// be checked but by the charges.
func (f *guardFleet) checkCharges(lives map[string]*Allotter) error {
	usable := f.consumed + max(0, Unassigned(f.object.Budgets[0]))
	for _, h := range f.hosts {
		if h.allotter != nil {
			usable += f.usableBy(h.allotter)
		}
	}
	if usable > guardGrant && f.restores != anyCopies {
		return fmt.Errorf("%d tokens consumed, %d with those that may be", f.consumed, usable)
	}
	if assigned := Assigned(f.object.Budgets[0]); assigned > guardGrant && f.restores == noRestores {
		return fmt.Errorf("%d tokens assigned", assigned)
	}
	for _, h := range f.hosts {
		if h.allotter != nil {
			lives[h.allotter.cfg.Incarnation] = h.allotter
		}
	}
	for _, entry := range f.object.Budgets[0].Holders {
		if entry.Reopenable && f.restores != noRestores {
			continue // one that was opened again later, and is part of FoldedCharge, may come back from a host's memory
		}
		if life := lives[entry.Incarnation]; life != nil && entry.Closed && entry.Charge < life.getOrAddBudget(guardBudget).charge() {
			return fmt.Errorf("%s used %d tokens and is charged with %d", entry.Incarnation, life.getOrAddBudget(guardBudget).charge(), entry.Charge)
		}
	}
	return nil
}

// usableBy returns the tokens that a process holds. What its witness has returned without its knowledge is not among them.
func (f *guardFleet) usableBy(a *Allotter) int64 {
	held, b := a.Held(), a.getOrAddBudget(guardBudget)
	if h := findEntry(f.object.Budgets[0], a.cfg.Incarnation); f.witnessed && (h == nil || h.Closed) {
		keeps := a.faults.keepsLimit
		a.faults.keepsLimit = false
		held -= b.limit - a.certainLimit(b)
		a.faults.keepsLimit = keeps
	}
	return held
}

func (f *guardFleet) writePromised(h *guardHost, random *rand.Rand) {
	h.read()
	promises := h.promises()
	writer := h.allotter
	for range random.IntN(3) {
		f.now += clocker.Millis(random.IntN(400))
		f.act(f.hosts[random.IntN(len(f.hosts))], random)
	}
	if h.allotter != writer || h.paused {
		return
	}
	w, ok := h.planPromised(promises)
	switch {
	case !ok:
	case random.IntN(4) > 0:
		if f.apply(w) {
			h.allotter.Confirm(w, f.version, f.now)
		} else {
			h.allotter.Rejected(w)
		}
	case random.IntN(2) == 0:
		f.apply(w)
		h.allotter.OutcomeUnknown(w)
	default:
		h.late = &w
		h.allotter.OutcomeUnknown(w)
	}
}

// Guards against spending past a budget where other hosts renew leases: promises that are lost, used late, or given
// shortly before a pause, an outage or a death. The planted faults show that the check sees it.
func TestPromisedTokensAreNeverSpentTwice(t *testing.T) {
	checkPlays(t, 2, promisedPlays, (*guardFleet).playPromised)
}

var promisedPlays = []guardPlay{
	{fault: NoFault},
	{fault: PromisesSpent, found: true},
	{fault: ForgetsPromises, found: true},
	{fault: IgnoresLease, found: true},
	{fault: TrustsOldLeases, found: true},
}

// The same where guarded tokens open at a rate, alone and beside processes of an earlier build.
func TestPromisedTokensAreNeverSpentTwiceWithASchedule(t *testing.T) {
	for _, mixed := range []bool{false, true} {
		checkPlays(t, 2, append(slices.Clone(promisedPlays), []guardPlay{
			{fault: OpensAtOnce, found: true}, {fault: ReturnsOpened, found: true},
		}...), scheduledPlay((*guardFleet).playPromised, mixed))
	}
}

// Guards against spending past a budget where the store comes back from copies, amid promises, pauses and deaths.
func TestPromisedTokensAreNotSpentTwiceAcrossRestores(t *testing.T) {
	checkPlays(t, 3, restoredPlays, (*guardFleet).playPromised)
}

var restoredPlays = []guardPlay{
	{restores: completeCopies, fault: NoFault},
	{restores: anyCopies, fault: NoFault},
	{restores: completeCopies, fault: ForgetsPromises, found: true},
	{restores: completeCopies, fault: AdoptsRestoredLimits, found: true},
	{restores: completeCopies, fault: IgnoresLease, found: true},
	{restores: completeCopies, fault: TrustsOldLeases, found: true},
	{restores: anyCopies, fault: PromisesSpent, found: true},
}

// The same where guarded tokens open at a rate, alone and beside processes of an earlier build.
func TestPromisedTokensAreNotSpentTwiceAcrossRestoresWithASchedule(t *testing.T) {
	for _, mixed := range []bool{false, true} {
		checkPlays(t, 3, append(slices.Clone(restoredPlays), []guardPlay{
			{restores: completeCopies, fault: OpensAtOnce, found: true}, {restores: completeCopies, fault: ReturnsOpened, found: true},
		}...), scheduledPlay((*guardFleet).playPromised, mixed))
	}
}

// A lease of before a restore of the store proves nothing: the process may have spent what was guarded then by
// writes that the store forgot.
func TestLeaseProvesNothingAcrossRestores(t *testing.T) {
	for _, restored := range []bool{false, true} {
		f := newGuardFleet(1, NoFault)
		h := f.hosts[0]
		h.spendOrWrite(500)
		h.write()
		copied := len(f.copies) - 1
		assert.Assert(t, h.spendOrWrite(h.allotter.Held()/2), "used by a write that the copy lacks")
		before, used := h.allotter.cfg.Incarnation, f.consumed
		h.kill()
		if restored {
			f.restoreCopy(copied)
		}
		h.start()
		h.write()
		entry := findEntry(f.object.Budgets[0], before)
		assert.Equal(t, entry.Closed, !restored)
		assert.Assert(t, entry.Closed || entry.Limit >= used, "%d tokens used of a limit of %d", used, entry.Limit)
	}
}
