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
)

const (
	guardBudget = "mason"
	guardGrant  = 100_000
	guardLease  = 4 * clocker.Second
)

// guardFleet is a fleet of holders on machines whose processes die and start again, with a store.
type guardFleet struct {
	now     clocker.Millis
	version int64
	object  *messenger.BudgetShard
	hosts   []*guardHost
	// consumed are the tokens that were ever spent or reserved by processes, dead ones included.
	consumed int64
	fault    Fault
	lives    int
	// configure changes the guard of each process when it starts; nil means no change.
	configure func(*GuardConfig)
	// mixed makes every third process one of an earlier build, which knows no rates.
	mixed bool
	// copies are the object after each write of this era, from which the store may come back. Those from
	// completeFrom on have all writes of the processes that have ended.
	copies       []guardCopy
	completeFrom int
	// restores says which copies the store comes back from.
	restores guardRestores
	// witnessed makes each two hosts name each other as witnesses. lateAnswers are answers that still arrive.
	witnessed   bool
	lateAnswers []func()
}

type guardCopy struct {
	version int64
	object  *messenger.BudgetShard
}

// guardRestores says which copies the store comes back from.
type guardRestores int

const (
	noRestores guardRestores = iota
	// completeCopies lack writes only of processes that run and write their entries again at once.
	completeCopies
	// anyCopies lack also writes of processes that have ended or stand still, whose spending nobody may know.
	anyCopies
)

type guardHost struct {
	fleet    *guardFleet
	address  string
	bootedAt clocker.Millis
	// allotter is nil while no process runs. paused is true while it stands still: it does not see the
	// time pass, and goes on later.
	allotter *Allotter
	paused   bool
	open     []int64
	// late is a write that may still reach the store.
	late *Write
}

func newGuardFleet(hosts int, fault Fault) *guardFleet {
	return newConfiguredFleet(hosts, &guardFleet{fault: fault})
}

// testOpenTime and testOpenFactor are the schedule of scheduled.
const (
	testOpenTime   = 20 * clocker.Second
	testOpenFactor = 8
)

// scheduled makes guarded tokens open at a rate after the lease.
func scheduled(g *GuardConfig) {
	g.OpenTime, g.FastFactor = testOpenTime, testOpenFactor
	g.OpenFactor, g.OpenShare, g.FastAfter = testOpenFactor, 10, g.LeaseTime+clocker.Second
}

// newScheduledFleet returns a fleet whose guarded tokens open at a rate after the lease.
func newScheduledFleet(hosts int, fault Fault, mixed bool) *guardFleet {
	return newConfiguredFleet(hosts, &guardFleet{fault: fault, configure: scheduled, mixed: mixed})
}

// newConfiguredFleet starts the hosts of a fleet.
func newConfiguredFleet(hosts int, f *guardFleet) *guardFleet {
	f.now, f.version = clocker.Hour, 1
	f.object = &messenger.BudgetShard{Budgets: []*messenger.Budget{{Name: guardBudget, Granted: guardGrant}}}
	f.copies = []guardCopy{{version: f.version, object: f.object}}
	for i := range hosts {
		h := &guardHost{fleet: f, address: fmt.Sprint("host-", i), bootedAt: f.now - clocker.Minute}
		h.start()
		f.hosts = append(f.hosts, h)
	}
	return f
}

func (h *guardHost) start() {
	f := h.fleet
	f.lives++
	guard := &GuardConfig{
		LeaseTime: guardLease, RenewInterval: guardLease / 3, DrawHorizon: guardLease, Address: h.address, SameHost: func(string) bool { return true }, StartedAt: f.now, BootAt: f.now - h.bootedAt,
	}
	earlier := f.mixed && f.lives%3 == 0
	if f.configure != nil && !earlier {
		f.configure(guard)
	}
	h.allotter = New(Config{Incarnation: fmt.Sprint("life-", f.lives), DemandTimeConstant: 4 * clocker.Second, Guard: guard})
	h.allotter.InjectFault(f.fault)
	h.allotter.faults.reclaimsAsEarlierBuilds = earlier
	h.allotter.KeepFloor(guardBudget)
	h.read()
}

// kill ends the process. What it had reserved may have been used.
func (h *guardHost) kill() {
	h.fleet.completeFrom = len(h.fleet.copies) - 1
	h.allotter, h.open, h.paused = nil, nil, false
}

func (h *guardHost) read() {
	h.allotter.Merge(h.fleet.version, h.fleet.object, h.fleet.now)
}

func (h *guardHost) conditions() Conditions {
	var running []string
	for _, other := range h.fleet.hosts {
		if other.allotter != nil {
			running = append(running, other.allotter.cfg.Incarnation)
		}
	}
	return Conditions{
		Now: h.fleet.now, Witness: h.witness(), KeepsHeadroom: true, ChangeInterval: 1500, RaiseThreshold: 0.8, DrawShare: 0.04, MustSpeak: running,
		Policy: &messenger.Policy{FloorTokens: MaxGranted, MaxShareOfRestMilli: 300 / int64(len(h.fleet.hosts)), HeadroomMs: 1500, BusyShareOfRestMilli: 100},
	}
}

// plan returns the next write, if one is due, which a lost or late answer does not end.
func (h *guardHost) plan() (Write, bool) {
	w, ok := h.allotter.Plan(h.conditions())
	if ok {
		w.Value = proto.CloneOf(w.Value)
	}
	return w, ok
}

// apply makes a write reach the store.
func (f *guardFleet) apply(w Write) bool {
	if w.Version != f.version {
		return false
	}
	f.version++
	f.object = proto.CloneOf(w.Value)
	f.copies = append(f.copies, guardCopy{version: f.version, object: f.object})
	return true
}

// write makes all due writes of a host take effect.
func (h *guardHost) write() {
	h.read()
	for w, ok := h.plan(); ok; w, ok = h.plan() {
		if !h.fleet.apply(w) {
			h.allotter.Rejected(w)
			return
		}
		h.allotter.Confirm(w, h.fleet.version, h.fleet.now)
		h.fleet.now++
	}
}

// spend reserves tokens and settles them all as used.
func (h *guardHost) spend(tokens int64) bool {
	id, ok := h.allotter.Reserve(guardBudget, tokens, 0, h.fleet.now)
	if !ok {
		return false
	}
	h.fleet.consumed += tokens
	h.allotter.Settle(guardBudget, id, tokens, h.fleet.now)
	return true
}

// spendOrWrite spends after a write if the tokens at hand do not suffice, as waiting requests do.
func (h *guardHost) spendOrWrite(tokens int64) bool {
	if h.spend(tokens) {
		return true
	}
	h.allotter.AddWaiting(guardBudget, tokens, 0)
	h.write()
	h.allotter.AddWaiting(guardBudget, -tokens, 0)
	return h.spend(tokens)
}

// Guards against tokens that are lost with dead hosts: after the death of all of them, no more is gone
// than what they left unguarded for their demand.
func TestDeathOfAllHostsLosesFewTokens(t *testing.T) {
	for _, hosts := range []int{2, 8, 24} {
		f := newGuardFleet(hosts, NoFault)
		for i := range 100 {
			f.now += 50
			for _, h := range f.hosts {
				if i%20 == 0 {
					h.write()
				}
			}
			assert.Assert(t, f.hosts[i%hosts].spendOrWrite(300))
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
		lost := guardGrant - f.consumed - unused
		// Each host leaves at least one request unguarded.
		bound := int64(max(0.04*guardGrant, float64(hosts*300)))
		t.Logf("%d hosts: %d tokens lost, %d allowed", hosts, lost, bound)
		assert.Assert(t, lost >= 0 && lost <= bound, "%d hosts: %d tokens lost, %d allowed", hosts, lost, bound)
	}
}

// The same without a guard: the check sees what is lost.
func TestDeathWithoutGuardLosesWhatHoldersHold(t *testing.T) {
	f := newGuardFleet(8, NoFault)
	held := int64(0)
	for _, h := range f.hosts {
		h.allotter.cfg.Guard = nil
		h.spendOrWrite(300)
		held += h.allotter.Held()
		h.kill()
	}
	f.now += 1300
	for _, h := range f.hosts {
		h.start()
		h.read()
	}
	assert.Assert(t, held > 0.04*guardGrant)
	assert.Equal(t, guardGrant-f.consumed-Unassigned(f.object.Budgets[0]), held)
}

// A host that is cut off from the store spends all that it holds once its lease has run out, and the
// incarnation after it returns nothing of that.
func TestGuardOpensWithoutTheStore(t *testing.T) {
	f := newGuardFleet(2, NoFault)
	h := f.hosts[0]
	h.spendOrWrite(500)
	h.write()
	held := h.allotter.Held()
	assert.Assert(t, h.allotter.Headroom(guardBudget) < held/2)
	f.now += guardLease
	assert.Assert(t, h.spend(held))
	h.kill()
	f.now += 10
	h.start()
	h.write()
	assert.Assert(t, f.consumed <= Assigned(f.object.Budgets[0]))
}

// Guards against clocks that were set and machines that were booted: what then looks like a short time proves
// nothing. After the end of a lease only rates prove something.
func TestLeaseProvesNothingAcrossBootsAndClockSteps(t *testing.T) {
	checkProofs(t, newGuardFleet, "none")
	checkProofs(t, func(hosts int, fault Fault) *guardFleet { return newScheduledFleet(hosts, fault, false) }, "none", "too late")
}

// checkProofs checks in which cases the entry of a killed process is closed.
func checkProofs(t *testing.T, newFleet func(hosts int, fault Fault) *guardFleet, closed ...string) {
	t.Helper()
	for name, change := range map[string]func(g *GuardConfig){
		"none":                          func(*GuardConfig) {},
		"clock set back":                func(g *GuardConfig) { g.StartedAt -= 2000 },
		"clock set forward":             func(g *GuardConfig) { g.StartedAt += 2000 },
		"booted":                        func(g *GuardConfig) { g.BootAt = 100 },
		"booted, uptime unknown":        func(g *GuardConfig) { g.BootAt = 0 },
		"another host":                  func(g *GuardConfig) { g.SameHost = func(string) bool { return false } },
		"another machine of that name":  func(g *GuardConfig) { g.Address = "elsewhere" },
		"too late":                      func(g *GuardConfig) { g.StartedAt, g.BootAt = g.StartedAt+guardLease, g.BootAt+guardLease },
		"clock and boot before a lease": func(g *GuardConfig) { g.StartedAt, g.BootAt = g.StartedAt-guardLease, g.BootAt-guardLease },
	} {
		f := newFleet(1, NoFault)
		h := f.hosts[0]
		h.spendOrWrite(500)
		h.write()
		before := h.allotter.cfg.Incarnation
		h.kill()
		f.now += 1000
		h.start()
		change(h.allotter.cfg.Guard)
		h.write()
		assert.Equal(t, findEntry(f.object.Budgets[0], before).Closed, slices.Contains(closed, name), name)
	}
}

// An entry of an older version has no lease, so that it stays charged in full. An older version keeps
// what it does not know when it writes the object.
func TestEntriesOfOlderVersionsAreNotReclaimed(t *testing.T) {
	f := newGuardFleet(2, NoFault)
	old := New(Config{Incarnation: "old"})
	old.KeepFloor(guardBudget)
	old.Merge(f.version, f.object, f.now)
	w, ok := old.Plan(f.hosts[0].conditions())
	assert.Assert(t, ok)
	assert.Assert(t, f.apply(w))
	h := f.hosts[0]
	h.write()
	assert.Equal(t, len(f.object.Leases), 1)
	old.Merge(f.version, f.object, f.now)
	f.now += 2000
	old.AddWaiting(guardBudget, guardGrant/2, 0)
	w, ok = old.Plan(f.hosts[0].conditions())
	assert.Assert(t, ok)
	assert.Assert(t, f.apply(w))
	assert.Equal(t, len(f.object.Leases), 1)
	h.kill()
	h.start()
	h.write()
	assert.Assert(t, !findEntry(f.object.Budgets[0], "old").Closed)
	assert.Assert(t, findEntry(f.object.Budgets[0], "life-1").Closed)
}

// play runs random events: spending, writes whose answers get lost or that take effect late, an outage of the
// store, pauses, deaths, restarts and boots. It returns an error once more was consumed than granted.
func (f *guardFleet) play(random *rand.Rand, steps int) error {
	for step := range steps {
		h := f.hosts[random.IntN(len(f.hosts))]
		f.now += clocker.Millis(random.IntN(400))
		f.act(h, random)
		if f.consumed > guardGrant {
			return fmt.Errorf("step %d: %d tokens consumed", step, f.consumed)
		}
		if assigned := Assigned(f.object.Budgets[0]); assigned > guardGrant {
			return fmt.Errorf("step %d: %d tokens assigned", step, assigned)
		}
	}
	return nil
}

func (f *guardFleet) act(h *guardHost, random *rand.Rand) {
	switch event := random.IntN(20); {
	case event == 0 && h.late != nil:
		f.apply(*h.late) // conditional on the version that it names
		h.late = nil
	case h.allotter == nil:
		if event > 10 {
			h.start()
		}
	case event == 1 && random.IntN(4) == 0:
		h.kill()
	case event == 2:
		h.paused = !h.paused
	case h.paused:
	case event == 3: // a write whose answer is lost
		h.loseAnswer(random)
	case event < 8 && random.IntN(40) > 0:
		h.write()
	case event == 9:
		h.borrow(f.hosts[random.IntN(len(f.hosts))], random)
	case event == 10 && random.IntN(4) == 0:
		h.stop()
	case event == 8: // without the store for long enough
		f.now += guardLease
		if f.configure != nil { // any part of the guarded tokens is open
			f.now += clocker.Millis(random.Int64N(int64(testOpenTime)))
		}
		h.askWitnesses(random)
		h.spendAll(random)
	default:
		h.spendAll(random)
	}
}

func (h *guardHost) loseAnswer(random *rand.Rand) {
	w, ok := h.plan()
	if !ok {
		return
	}
	if random.IntN(2) == 0 {
		h.fleet.apply(w)
	} else {
		h.late = &w
	}
	h.allotter.OutcomeUnknown(w)
}

// borrow gets tokens from another host. The answer may be lost.
func (h *guardHost) borrow(from *guardHost, random *rand.Rand) {
	if from.allotter == nil || from.paused {
		return
	}
	tokens := random.Int64N(3000)
	ask := &messenger.TransferAsk{Budget: guardBudget, Tokens: tokens, Needed: tokens}
	total := from.allotter.TransferTo(h.allotter.cfg.Incarnation, ask, h.fleet.now)
	if random.IntN(3) == 0 {
		ask = &messenger.TransferAsk{Budget: guardBudget, PerSecond: 1 + random.Int64N(1000), Headroom: random.Int64N(3000) - 1000}
		total = from.allotter.BalanceTo(h.allotter.cfg.Incarnation, ask, h.fleet.now)
	}
	if random.IntN(3) > 0 {
		h.allotter.Receive(from.allotter.cfg.Incarnation, total)
	}
}

// stop ends the process as planned: it returns what it has.
func (h *guardHost) stop() {
	h.allotter.StartClosing()
	h.write()
	h.kill()
}

func (h *guardHost) spendAll(random *rand.Rand) {
	for h.spend(100 + random.Int64N(2000)) {
	}
}

// Guards against spending past a budget: what dead hosts may have spent stays spent, also with late
// writes, lost answers, pauses, outages and boots. The planted faults show that the check sees it.
func TestGuardedTokensAreNeverSpentTwice(t *testing.T) {
	checkPlays(t, 1, []guardPlay{{fault: NoFault}, {fault: IgnoresLease, found: true}, {fault: TrustsOldLeases, found: true}}, (*guardFleet).play)
}

// The same where guarded tokens open at a rate, alone and beside processes of an earlier build, which neither
// write nor read the rate.
func TestGuardedTokensAreNeverSpentTwiceWithASchedule(t *testing.T) {
	for _, mixed := range []bool{false, true} {
		checkPlays(t, 1, []guardPlay{
			{fault: NoFault}, {fault: IgnoresLease, found: true}, {fault: TrustsOldLeases, found: true}, {fault: OpensAtOnce, found: true},
		}, scheduledPlay((*guardFleet).play, mixed))
	}
}

// guardPlay is a random play with a fault that has to be found or not.
type guardPlay struct {
	fault Fault
	found bool
	// restores says which copies the store comes back from.
	restores guardRestores
}

type playFunc func(f *guardFleet, random *rand.Rand, steps int) error

// scheduledPlay runs a play in fleets whose guarded tokens open at a rate.
func scheduledPlay(play playFunc, mixed bool) playFunc {
	return func(f *guardFleet, random *rand.Rand, steps int) error {
		s := newScheduledFleet(len(f.hosts), f.fault, mixed)
		s.restores = f.restores
		return play(s, random, steps)
	}
}

// checkPlays runs each play with 400 seeds, or until it finds something.
func checkPlays(t *testing.T, stream uint64, plays []guardPlay, play playFunc) {
	t.Helper()
	for _, c := range plays {
		var found error
		for seed := range uint64(400) {
			random := rand.New(rand.NewPCG(seed, stream))
			f := newGuardFleet(1+int(seed%4), c.fault)
			f.restores = c.restores
			if err := play(f, random, 400); err != nil {
				found = fmt.Errorf("seed %d: %w", seed, err)
				break
			}
		}
		t.Logf("copies %d, %s: %v", c.restores, c.fault, found)
		assert.Check(t, (found != nil) == c.found, "copies %d, %s: %v", c.restores, c.fault, found)
	}
}
