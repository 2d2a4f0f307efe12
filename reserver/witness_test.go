package reserver_test

import (
	"context"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// storedShard returns the object of all budgets.
func (f *fleet) storedShard(t *testing.T) *messenger.BudgetShard {
	t.Helper()
	objects, err := f.store.List(context.Background(), "budget/", "", 1)
	assert.NilError(t, err)
	shard := &messenger.BudgetShard{}
	assert.NilError(t, proto.Unmarshal(objects[0].Value, shard))
	return shard
}

// witnessOf returns the witness that the lease of a host names.
func (f *fleet) witnessOf(t *testing.T, n *node) string {
	t.Helper()
	for _, l := range f.storedShard(t).Leases {
		if l.Incarnation == n.incarnation {
			return l.Witness
		}
	}
	return ""
}

// Holders name the other holder of their availability zone, and none while it is away.
func TestLeasesNameTheOtherHolderOfTheZone(t *testing.T) {
	f := newGuardedFleet(t, 2, 2)
	for i, n := range f.nodes {
		assert.Equal(t, f.witnessOf(t, n), f.nodes[i^1].incarnation)
	}
	f.nodes[1].paused = true
	f.runGuarded(2 * clocker.Second)
	assert.Equal(t, f.witnessOf(t, f.nodes[0]), "")
	f.nodes[1].paused = false
	f.runGuarded(2 * clocker.Second)
	assert.Equal(t, f.witnessOf(t, f.nodes[0]), f.nodes[1].incarnation)

	single := newGuardedFleet(t, 3, 1)
	assert.Equal(t, single.witnessOf(t, single.nodes[0]), "", "a zone with one host has no witness on its side of a cut")
}

// Guards against holders that name a host which never agrees: those of earlier builds don't know the question.
func TestHoldersOfEarlierBuildsAreNoWitnesses(t *testing.T) {
	f := newGuardedFleet(t, 1, 2)
	f.earlierBuilds = true
	f.runGuarded(2 * clocker.Second)
	for _, n := range f.nodes {
		assert.Equal(t, f.witnessOf(t, n), "")
	}
}

// Guards against tokens that are lost with holders that don't come back, whether their processes have ended or their
// machines have no power: one of each zone is lost.
func TestEntriesOfLostHoldersAreClosedByTheirWitnesses(t *testing.T) {
	f := newGuardedFleet(t, 2, 2)
	for range 30 {
		for _, n := range f.nodes {
			n.spend(2 * cutDraw)
		}
		f.runGuarded(100)
	}
	for _, n := range f.nodes {
		n.paused = n == f.nodes[0] || n == f.nodes[2]
	}
	f.runGuarded(8 * clocker.Second)
	left := []*node{f.nodes[1], f.nodes[3]}
	for range 100 {
		for _, n := range left {
			n.spend(100 * cutDraw)
		}
		f.runGuarded(100)
	}
	used := f.servedWorstCase[cutBudget]
	assert.Assert(t, used >= 0.97*cutGrant && used <= cutGrant, "%d tokens of %d used", used, cutGrant)
	for _, n := range f.nodes { // the lost ones come back
		n.paused = false
		n.spend(cutGrant)
	}
	assert.Assert(t, f.servedWorstCase[cutBudget] <= cutGrant, "%d tokens used of %d", f.servedWorstCase[cutBudget], cutGrant)
}

// Holders that lack the store and reach their witness spend all that they hold.
func TestHoldersWithoutTheStoreSpendWhatTheyHold(t *testing.T) {
	f := newGuardedFleet(t, 2, 2)
	for _, n := range f.nodes {
		n.partition = 1
	}
	f.runGuarded(8 * clocker.Second)
	for _, n := range f.nodes {
		held := n.reserver.HeldTokens()
		assert.Assert(t, held > 0 && n.spend(held) >= held-cutDraw)
	}
}

// Guards against hosts of earlier builds that close the entry of a holder once its address refuses a connection: they
// need the age of its lease, and don't learn it.
func TestEarlierBuildsDoNotLearnTheAgeOfALease(t *testing.T) {
	const guardAgeOf, guardAgeMs = 6, 8
	f := newGuardedFleet(t, 1, 2)
	asked := &messenger.TransferRequest{From: f.nodes[1].incarnation, To: f.nodes[0].incarnation}
	asked.ProtoReflect().SetUnknown(protowire.AppendString(protowire.AppendTag(nil, guardAgeOf, protowire.BytesType), cutBudget))
	reply, err := f.nodes[0].reserver.Transfer(context.Background(), asked)
	assert.NilError(t, err)
	raw, err := proto.Marshal(reply)
	assert.NilError(t, err)
	for len(raw) > 0 {
		number, _, n := protowire.ConsumeField(raw)
		assert.Assert(t, n > 0 && number != guardAgeMs)
		raw = raw[n:]
	}
}
