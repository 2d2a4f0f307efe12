package allotter

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

// witness returns the incarnation that a host names as its witness: the other host of its pair, if it runs.
func (h *guardHost) witness() string {
	i := slices.Index(h.fleet.hosts, h)
	if !h.fleet.witnessed || i < 0 || i^1 >= len(h.fleet.hosts) {
		return ""
	}
	if other := h.fleet.hosts[i^1]; other.allotter != nil && !other.allotter.faults.reclaimsAsEarlierBuilds {
		return other.allotter.cfg.Incarnation
	}
	return ""
}

// running returns the host that runs an incarnation, nil if none does.
func (f *guardFleet) running(incarnation string) *guardHost {
	for _, h := range f.hosts {
		if h.allotter != nil && h.allotter.cfg.Incarnation == incarnation {
			return h
		}
	}
	return nil
}

// askWitnesses asks the witnesses of a host. A question or its answer may be lost, and an answer may be late.
func (h *guardHost) askWitnesses(random *rand.Rand) {
	asked, leaseAt := h.allotter.WitnessesToAsk(h.fleet.now)
	for _, incarnation := range asked {
		w := h.fleet.running(incarnation)
		if w == nil || w.paused || random.IntN(8) == 0 || !w.allotter.AgreeToSpending(h.allotter.cfg.Incarnation, leaseAt) {
			continue
		}
		asker := h.allotter
		answer := func() { asker.WitnessAgreed(incarnation, leaseAt) }
		if random.IntN(4) == 0 {
			h.fleet.lateAnswers = append(h.fleet.lateAnswers, answer)
			continue
		}
		answer()
	}
}

// suspect makes a host take those for silent whose witness it is, although they may live and answer.
func (h *guardHost) suspect() {
	a := h.allotter
	for _, l := range a.object.GetLeases() {
		if l.Witness == a.cfg.Incarnation {
			if a.witness.silences == nil {
				a.witness.silences = map[string]silence{}
			}
			a.witness.silences[l.Incarnation] = silence{since: h.fleet.now - closeDelay, leaseAt: l.AtMs}
		}
	}
}

// actWitnessed lets a random host ask its witnesses or suspect another one, or a late answer arrive.
func (f *guardFleet) actWitnessed(random *rand.Rand) {
	h := f.hosts[random.IntN(len(f.hosts))]
	switch event := random.IntN(4); {
	case event == 0 && len(f.lateAnswers) > 0:
		i := random.IntN(len(f.lateAnswers))
		f.lateAnswers[i]()
		f.lateAnswers = slices.Delete(f.lateAnswers, i, i+1)
	case h.allotter == nil || h.paused:
	case event < 2:
		h.suspect()
		if random.IntN(2) == 0 {
			h.write()
		}
	default:
		h.askWitnesses(random)
	}
}

// witnessedPlay runs a play of a fleet whose hosts name each other as witnesses.
func witnessedPlay(f *guardFleet, random *rand.Rand, steps int) error {
	f.witnessed = true
	return f.playPromised(random, steps)
}

var witnessedPlays = []guardPlay{
	{fault: NoFault},
	{fault: NoFault, restores: completeCopies},
	{fault: NoFault, restores: anyCopies},
	{fault: ClosesAgreed, found: true},
	{fault: ForgetsAgreements, found: true},
	{fault: AgreesAfterClosing, found: true},
	{fault: OpensUnwitnessed, found: true},
	{fault: PromisesSpent, found: true},
	{fault: ForgetsPromises, found: true},
	{fault: OpensAtOnce, found: true},
}

// Guards against spending past a budget where other hosts close the entries of those that live: any host may be taken for
// silent at any time, with questions and answers that are lost or late, pauses, outages, writes in doubt, deaths
// and restores of the store. ClosesAgreed is a host that takes a refused connection for the end of a process.
func TestTokensOfHoldersTakenForEndedAreNeverSpentTwice(t *testing.T) {
	for _, mixed := range []bool{false, true} {
		checkPlays(t, 5, witnessedPlays, scheduledPlay(witnessedPlay, mixed))
	}
}

// newWitnessedFleet returns four hosts, two of which name each other, that have spent and told of it.
func newWitnessedFleet(t *testing.T) *guardFleet {
	f := newConfiguredFleet(4, &guardFleet{configure: scheduled, witnessed: true})
	for i := range 100 {
		f.now += 50
		for _, h := range f.hosts {
			if i%20 == 0 {
				h.write()
			}
		}
		assert.Assert(t, f.hosts[i%4].spendOrWrite(300))
	}
	for _, h := range f.hosts {
		h.write()
	}
	return f
}

// Guards against tokens that are lost with hosts that don't come back: one of each pair is lost, and others start at new
// addresses.
func TestTokensOfLostHoldersAreReturned(t *testing.T) {
	f := newWitnessedFleet(t)
	for _, i := range []int{0, 2} {
		incarnation := f.hosts[i].allotter.cfg.Incarnation
		f.hosts[i].kill()
		f.hosts[i].address += "-new"
		f.hosts[i+1].suspect()
		f.hosts[i+1].write()
		assert.Assert(t, findEntry(f.object.Budgets[0], incarnation).Closed)
	}
	f.now += 1000
	f.hosts[0].start()
	f.hosts[2].start()
	for _, h := range f.hosts {
		h.write()
	}
	unused := Unassigned(f.object.Budgets[0])
	for _, h := range f.hosts {
		unused += h.allotter.Held()
	}
	lost := guardGrant - f.consumed - unused
	assert.Assert(t, lost >= 0 && lost <= 0.02*guardGrant, "%d tokens lost", lost)
}

// A host that is silent for less than closeDelay, or whose lease is renewed meanwhile or of an earlier era of the store,
// keeps its entry.
func TestWitnessWaitsForSilentHolders(t *testing.T) {
	for name, c := range map[string]struct {
		silence clocker.Millis
		renewed bool
		era     int64
		closes  bool
	}{
		"short":   {silence: closeDelay - 1},
		"renewed": {silence: closeDelay, renewed: true},
		"earlier": {silence: closeDelay, era: -1},
		"long":    {silence: closeDelay, closes: true},
	} {
		f := newWitnessedFleet(t)
		silent, witness := f.hosts[0], f.hosts[1]
		f.object = proto.CloneOf(f.object)
		f.version++
		for _, l := range f.object.Leases {
			l.Era += c.era
		}
		witness.read()
		conditions := witness.conditions()
		conditions.IsLive = func(incarnation string) bool { return incarnation != silent.allotter.cfg.Incarnation }
		witness.allotter.PlatformCallDue(conditions)
		f.now += c.silence
		if c.renewed {
			silent.write()
			witness.read()
		}
		conditions.Now = f.now
		w, _ := witness.allotter.Plan(conditions)
		assert.Equal(t, len(w.Silent) > 0, c.closes, name)
	}
}

// A host whose entry was closed while it could not read the store spends what it is charged with and no more, and takes
// further tokens once it has read the store.
func TestHolderWhoseEntryWasClosedGoesOn(t *testing.T) {
	f := newWitnessedFleet(t)
	closed, witness := f.hosts[0], f.hosts[1]
	unguarded := closed.allotter.Headroom(guardBudget)
	witness.suspect()
	witness.write()
	f.now += guardLease + testOpenTime
	closed.askWitnesses(rand.New(rand.NewPCG(1, 1)))
	closed.allotter.observeTime(f.now)
	assert.Equal(t, closed.allotter.Headroom(guardBudget), unguarded)
	assert.Assert(t, closed.spend(unguarded))
	assert.DeepEqual(t, closed.allotter.ClosedByOthers(), []string(nil))
	closed.read()
	assert.DeepEqual(t, closed.allotter.ClosedByOthers(), []string{guardBudget})
	assert.Assert(t, closed.spendOrWrite(1000))
	assert.DeepEqual(t, closed.allotter.ClosedByOthers(), []string(nil))
	entry := findEntry(f.object.Budgets[0], closed.allotter.cfg.Incarnation)
	assert.Assert(t, !entry.Closed && entry.Limit >= closed.allotter.getOrAddBudget(guardBudget).charge())
	assert.Assert(t, Assigned(f.object.Budgets[0]) <= guardGrant)
}

// Guards against a host that goes on with a limit of which a part was returned while it could not read the store: its
// entry was folded after its witness had closed it, or the store came back from a copy of before the closing.
func TestHolderGoesOnWithNoMoreThanItIsChargedWith(t *testing.T) {
	for name, forget := range map[string]func(f *guardFleet){
		"folded": func(f *guardFleet) {
			for i := range maxClosedEntries + 1 { // others that have ended since
				h := &guardHost{fleet: f, address: fmt.Sprint("other-", i), bootedAt: f.now}
				h.start()
				h.spendOrWrite(10)
				h.write()
				h.allotter.StartClosing()
				h.write()
			}
			f.hosts[1].spendOrWrite(10)
			f.hosts[1].write()
			assert.Assert(t, findEntry(f.object.Budgets[0], f.hosts[0].allotter.cfg.Incarnation) == nil)
		},
		"restored": func(f *guardFleet) { f.restoreCopy(len(f.copies) - 2) },
	} {
		for _, fault := range []Fault{NoFault, KeepsLimit} {
			f := newWitnessedFleet(t)
			closed, witness := f.hosts[0], f.hosts[1]
			closed.allotter.InjectFault(fault)
			b := closed.allotter.getOrAddBudget(guardBudget)
			witness.suspect()
			witness.write()
			charged := findEntry(f.object.Budgets[0], closed.allotter.cfg.Incarnation).Charge
			assert.Assert(t, charged < b.limit)
			forget(f)
			closed.read()
			assert.Equal(t, b.limit == charged, fault == NoFault, "%s, %s: %d of %d", name, fault, b.limit, charged)
		}
	}
}
