package reserver_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/reserver"
	"cowsliphinge/storer"
)

// After all hosts have died (rule RECOVER of the platform's fleet benchmark), the
// remaining tokens are kept for small urgent requests, while many hosts request large
// amounts from a holder. The fault: each such request occupied the holder's
// platformSlot in vain, and urgent requests that waited for it timed out.
func TestHopelessQuestionsLeaveTheTurnToOthers(t *testing.T) {
	f := newFleet(&messenger.Policy{HeadroomMs: 1000, MaxShareOfRestMilli: 100, PatienceMs: 2000}, 1, 1)
	n := f.nodes[0]
	staleReads := 0
	n.reserver = reserver.NewUnstarted(reserver.Config{
		Incarnation: n.incarnation, Host: n.name, AvailabilityZone: n.zone, Clock: f.clock, Store: n, Exchange: n,
		Peers: n.peers, Policy: func() *messenger.Policy { return f.policy }, Shards: 1, HoldersFirst: true,
		GetStale: func(ctx context.Context, key string) (storer.Object, error) {
			staleReads++
			return n.Get(ctx, key)
		},
	})
	f.topUp(t, n, "first", "mason", 1000)
	requestTokens := func(tokens int64) int64 {
		reply, err := n.reserver.Transfer(context.Background(), &messenger.TransferRequest{
			From: "host-0-9-00000000", To: n.incarnation,
			Asks: []*messenger.TransferAsk{{Budget: "mason", Tokens: tokens, Needed: tokens}},
		})
		assert.NilError(t, err)
		return reply.Totals[0].Given
	}
	assert.Equal(t, requestTokens(900), int64(900))
	assert.Equal(t, requestTokens(500), int64(900), "more than is left")
	before := staleReads
	for range 5 {
		f.clock.Advance(100)
		assert.Equal(t, requestTokens(500), int64(900))
	}
	assert.Equal(t, staleReads, before, "calls for more than is known to be left")
	assert.Equal(t, requestTokens(50), int64(950), "a smaller request is served")
	f.topUp(t, n, "second", "mason", 1000)
	f.clock.Advance(clocker.Second)
	assert.Equal(t, requestTokens(500), int64(1450), "tokens of a top-up are available")
}
