package reserver_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/messenger"
	"cowsliphinge/reserver"
	"cowsliphinge/storer"
)

// Many holders raise their limits in turn. The content that each one knows of the object
// is out of date by then, so a write based on it would conflict. GetStale avoids this.
func TestWritesOfManyHoldersRarelyConflict(t *testing.T) {
	f := newFleet(&messenger.Policy{HeadroomMs: 5000, MaxShareOfRestMilli: 20, FloorTokens: 1 << 40, PatienceMs: 2000}, 6, 2)
	f.topUp(t, f.nodes[0], "first", "mason", 10_000_000)
	writes, conflicts := 0, 0
	for _, n := range f.nodes {
		n.reserver = reserver.NewUnstarted(reserver.Config{
			Incarnation: n.incarnation, Host: n.name, AvailabilityZone: n.zone, Clock: f.clock,
			Store:    countingStore{node: n, writes: &writes, conflicts: &conflicts},
			Exchange: n, Peers: n.peers, Policy: func() *messenger.Policy { return f.policy },
			GetStale: n.Get, ChangeInterval: 1500, RaiseThreshold: 0.8, BatchRaiseThreshold: 0.95, HoldersFirst: true, ConflictBackoff: 8,
		})
	}
	for range 60 {
		for _, n := range f.nodes {
			if n.reserve("mason", 15000) == nil {
				n.settle(10000)
			}
			f.clock.Advance(100)
			n.reserver.RunTasks(context.Background())
		}
	}
	assert.Assert(t, writes > 100, "%d writes", writes)
	assert.Assert(t, conflicts*10 <= writes, "%d conflicts of %d writes", conflicts, writes)
	f.checkAccounting(t, "mason")
}

// countingStore counts the writes of a node.
type countingStore struct {
	*node
	writes, conflicts *int
}

func (c countingStore) Update(ctx context.Context, key string, version int64, value []byte) (storer.Object, error) {
	o, err := c.node.Update(ctx, key, version, value)
	*c.writes++
	if storer.IsErrConflict(err) {
		*c.conflicts++
	}
	return o, err
}
