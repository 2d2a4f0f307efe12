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

// ask records the earliest start of the lease of a host by its answer to a question that was asked at askedAt.
func (f *guardFleet) ask(h *guardHost, askedAt clocker.Millis) {
	if age, ok := h.allotter.GuardAge(f.now); ok {
		f.leaseStarts[h.allotter.cfg.Incarnation] = askedAt - age
	}
}

// watch lets a host answer a question, or tells one of an incarnation that has ended. One that was lost for good starts
// at another address.
func (f *guardFleet) watch(random *rand.Rand) {
	if f.leaseStarts == nil {
		f.leaseStarts = map[string]clocker.Millis{}
	}
	h := f.hosts[random.IntN(len(f.hosts))]
	if h.allotter == nil {
		if random.IntN(2) == 0 {
			h.address = fmt.Sprint("host-at-", f.now)
		}
		return
	}
	if h.paused {
		return
	}
	askedAt := f.now
	f.now += clocker.Millis(random.IntN(200))
	f.ask(h, askedAt)
	for _, incarnation := range f.ended {
		start, known := f.leaseStarts[incarnation]
		if !known || random.IntN(4) > 0 {
			continue
		}
		elapsed := f.now - start
		if f.fault == EndsEarly {
			elapsed /= 4
		}
		h.allotter.ObserveEnded(incarnation, elapsed)
	}
}

// watchedPlay runs a play of a fleet whose hosts watch each other.
func watchedPlay(f *guardFleet, random *rand.Rand, steps int) error {
	f.watches = true
	return f.playPromised(random, steps)
}

// Guards against spending past a budget where other hosts close the entries of those that have ended: with answers that
// are late, pauses, outages, writes in doubt, deaths right after opening, and restores of the store.
func TestTokensOfEndedHoldersAreNeverSpentTwice(t *testing.T) {
	checkPlays(t, 5, []guardPlay{
		{fault: NoFault},
		{fault: NoFault, restores: completeCopies},
		{fault: NoFault, restores: anyCopies},
		{fault: EndsEarly, found: true},
		{fault: AgeOfLastWrite, found: true},
		{fault: PromisesSpent, found: true},
		{fault: OpensAtOnce, found: true},
	}, scheduledPlay(watchedPlay, false))
}

// Guards against tokens that are lost with hosts that don't come back: two of four are lost, and others start at new
// addresses.
func TestTokensOfLostHoldersAreReturned(t *testing.T) {
	f := newConfiguredFleet(4, &guardFleet{configure: scheduled, leaseStarts: map[string]clocker.Millis{}})
	for i := range 100 {
		f.now += 50
		for _, h := range f.hosts {
			if i%20 == 0 {
				h.write()
				f.ask(h, f.now)
			}
		}
		assert.Assert(t, f.hosts[i%4].spendOrWrite(300))
	}
	for _, h := range f.hosts {
		h.write()
		f.ask(h, f.now)
	}
	for _, h := range f.hosts[:2] {
		h.kill()
		h.address += "-new"
	}
	f.now += 1000
	watcher := f.hosts[3].allotter
	for _, incarnation := range f.ended {
		watcher.ObserveEnded(incarnation, f.now-f.leaseStarts[incarnation])
	}
	f.hosts[3].write()
	for _, incarnation := range f.ended {
		assert.Assert(t, findEntry(f.object.Budgets[0], incarnation).Closed)
	}
	f.hosts[0].start()
	f.hosts[1].start()
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

// An entry of an incarnation of which nothing is known but its end stays charged in full.
func TestEndWithoutALeaseOfThisEraReturnsNothing(t *testing.T) {
	f := newConfiguredFleet(2, &guardFleet{configure: scheduled, leaseStarts: map[string]clocker.Millis{}})
	for _, h := range f.hosts {
		h.spendOrWrite(500)
		h.write()
	}
	f.ask(f.hosts[0], f.now)
	f.hosts[0].kill()
	incarnation := f.ended[0]
	i := slices.IndexFunc(f.object.Leases, func(l *messenger.GuardLease) bool { return l.Incarnation == incarnation })
	f.object = proto.CloneOf(f.object)
	f.object.Leases[i].Era++
	f.version++
	f.hosts[1].allotter.ObserveEnded(incarnation, 0)
	f.now += 2000
	f.hosts[1].write()
	assert.Assert(t, !findEntry(f.object.Budgets[0], incarnation).Closed)
}
