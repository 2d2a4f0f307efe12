package indexer_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/indexer"
	"cowsliphinge/messenger"
)

func ExampleIndex_Authenticate() {
	index := indexer.New(&messenger.Configuration{Declarations: &messenger.Declarations{
		ClientAccounts: []*messenger.ClientAccount{{Name: "mason", KeySha256: indexer.HashKey("secret")}},
	}})
	fmt.Println(index.Authenticate("secret").GetName(), index.Authenticate("guess") == nil)
	// Output: mason true
}

func TestLeavingFollowsMoveState(t *testing.T) {
	move := &messenger.Move{LeavingBackendServers: []string{"a"}, LeavingHosts: []string{"h"}, DrainAtMs: 100}
	index := func() *indexer.Index {
		return indexer.New(&messenger.Configuration{Declarations: &messenger.Declarations{Moves: []*messenger.Move{move}}})
	}
	move.State = messenger.MoveState_PLANNED
	assert.Assert(t, !index().ServerLeaving("a", 200))
	move.State = messenger.MoveState_STARTED
	assert.Assert(t, !index().ServerLeaving("a", 99))
	assert.Assert(t, index().ServerLeaving("a", 100))
	assert.Assert(t, index().HostLeaving("h", 100))
	move.State = messenger.MoveState_CANCELLED
	assert.Assert(t, !index().ServerLeaving("a", 200))
}
