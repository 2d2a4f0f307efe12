package reserver_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/allotter"
	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
	"cowsliphinge/messenger"
	"cowsliphinge/reserver"
)

const (
	cutBudget = "mason"
	cutGrant  = 1_000_000
	// cutDraw is the largest request of the test.
	cutDraw = 500
)

// newGuardedFleet returns a fleet of holders that guard what they hold. Hosts on different sides of a partition fail to
// connect to each other at once, although no process has ended.
func newGuardedFleet(t *testing.T, zones, perZone int) *fleet {
	f := newFleet(&messenger.Policy{FloorTokens: allotter.MaxGranted, MaxShareOfRestMilli: 300 / int64(zones*perZone), HeadroomMs: 1500, BusyShareOfRestMilli: 100, PatienceMs: 150}, zones, perZone)
	for _, n := range f.nodes {
		n.startGuarded()
	}
	f.topUp(t, f.nodes[0], "first", cutBudget, cutGrant)
	f.runGuarded(10 * clocker.Second)
	return f
}

// startGuarded starts a new incarnation that guards what it holds.
func (n *node) startGuarded() {
	n.start()
	f := n.fleet
	n.reserver = reserver.NewUnstarted(reserver.Config{
		Incarnation: n.incarnation, Host: n.name, AvailabilityZone: n.zone, Clock: f.clock, Shards: 1,
		Store: n, Exchange: n, Peers: n.peers, Policy: func() *messenger.Policy { return f.policy },
		DeclaredBudgets: func() []string { return []string{cutBudget} }, DeclaredGrant: func(string) int64 { return cutGrant },
		DrawShare: 0.04, DemandTimeConstant: 4 * clocker.Second, ChangeInterval: 1500,
		PlatformReachable: func() bool { return n.partition == 0 },
		Guard: &allotter.GuardConfig{
			LeaseTime: 2000, RenewInterval: 900, DrawHorizon: 3200, OpenFactor: 1, OpenShare: 1, FastAfter: 3200, FastFactor: 7.5, OpenTime: 3000,
			Address: n.name, SameHost: func(incarnation string) bool { return heartbeater.HostOf(incarnation) == n.name }, StartedAt: f.clock.Now(), BootAt: f.clock.Now(),
		},
	})
}

// runGuarded runs the tasks of all hosts that are not paused, ten times a second.
func (f *fleet) runGuarded(d clocker.Millis) {
	for end := f.clock.Now() + d; f.clock.Now() < end; {
		f.clock.Advance(100)
		for _, n := range f.nodes {
			if !n.paused {
				n.reserver.RunGuardTasks(context.Background())
			}
		}
	}
}

// spend uses tokens in requests that are served at once, and returns how many were used.
func (n *node) spend(tokens int64) int64 {
	var used int64
	for used < tokens && n.reserve(cutBudget, cutDraw) == nil {
		n.settle(cutDraw)
		used += cutDraw
	}
	return used
}

// Guards against spending past a budget: a network that refuses connections in place of hosts that live was taken for
// the end of their processes, and the tokens that they held were given to others.
func TestRefusedConnectionsReturnNoTokensOfLivingHolders(t *testing.T) {
	f := newGuardedFleet(t, 2, 2)
	inside := f.nodes[2:]
	for range 30 {
		for _, n := range f.nodes {
			n.spend(2 * cutDraw)
		}
		f.runGuarded(100)
	}
	for _, n := range inside {
		n.partition = 1
	}
	for range 200 {
		for _, n := range f.nodes {
			n.spend(8 * cutDraw)
		}
		f.runGuarded(100)
	}
	for _, n := range f.nodes { // all that is left
		n.spend(cutGrant)
	}
	assert.Assert(t, f.servedWorstCase[cutBudget] <= cutGrant, "%d tokens used of %d", f.servedWorstCase[cutBudget], cutGrant)
	for _, n := range inside {
		n.partition = 0
	}
	f.runGuarded(5 * clocker.Second)
	for _, n := range f.nodes {
		n.spend(cutGrant)
	}
	assert.Assert(t, f.servedWorstCase[cutBudget] <= cutGrant, "%d tokens used of %d after the cut", f.servedWorstCase[cutBudget], cutGrant)
}

// Guards against a host that refuses an account until its process ends because another host has closed its entry.
func TestHolderWhoseEntryWasClosedServesAgain(t *testing.T) {
	f := newGuardedFleet(t, 2, 2)
	cut := f.nodes[3]
	cut.partition = 1
	f.runGuarded(10 * clocker.Second)
	cut.partition = 0
	f.runGuarded(5 * clocker.Second)
	assert.Assert(t, cut.spend(20*cutDraw) == 20*cutDraw, "a host that was cut off serves the account again")
	assert.Assert(t, f.servedWorstCase[cutBudget] <= cutGrant)
}
