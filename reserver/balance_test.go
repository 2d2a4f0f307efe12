package reserver_test

import (
	"context"
	"errors"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/reserver"
)

// balancingExchange records the hosts that get balancing asks. None of them answers if it is silent; else each
// sends given tokens.
type balancingExchange struct {
	asked  []string
	silent bool
	given  int64
}

// Transfer implements reserver.Exchange.
func (e *balancingExchange) Transfer(_ context.Context, address string, request *messenger.TransferRequest) (*messenger.TransferReply, error) {
	if len(request.Asks) == 0 || request.Asks[0].PerSecond == 0 {
		return &messenger.TransferReply{From: request.To}, nil
	}
	e.asked = append(e.asked, address)
	if e.silent {
		return nil, errors.New("unreachable")
	}
	return &messenger.TransferReply{From: request.To, Totals: []*messenger.TransferTotal{{Budget: "mason", Given: e.given}}}, nil
}

// startBalancing returns a host of a fleet without the store, a holder or not, that has used 1,500 of 2,000 tokens.
func startBalancing(t *testing.T, zones, perZone int, holder bool, e *balancingExchange) *node {
	f := newFleet(&messenger.Policy{HeadroomMs: 1000, MaxShareOfRestMilli: 2, PatienceMs: 150}, zones, perZone)
	n := f.nodes[slices.IndexFunc(f.nodes, func(n *node) bool { return n.isHolder() == holder })]
	n.reserver = reserver.NewUnstarted(reserver.Config{
		Incarnation: n.incarnation, Host: n.name, AvailabilityZone: n.zone, Clock: f.clock, Store: n, Exchange: e, Shards: 1,
		Peers: n.peers, Policy: func() *messenger.Policy { return f.policy }, HoldersFirst: true,
		PlatformReachable: func() bool { return false },
	})
	_, err := n.reserver.Transfer(t.Context(), &messenger.TransferRequest{From: "donor", To: n.incarnation, Totals: []*messenger.TransferTotal{{Budget: "mason", Given: 2000}}})
	assert.NilError(t, err)
	p := n.reserver.StartReserve("mason", 1500, clocker.Minute)
	assert.Assert(t, p.Ended && p.Err == nil)
	n.reserver.Settle(p.Reservation, 1500)
	return n
}

// Guards against tokens that stay with holders of zones without callers for them, while the store is away: each
// holder asks all others in turn, one ask a call, and uses what they send. 24 hosts in 2 zones.
func TestHoldersAskOtherHoldersInTurnWithoutStore(t *testing.T) {
	e := &balancingExchange{given: 700}
	n := startBalancing(t, 2, 12, true, e)
	for range 6 {
		n.reserver.Balance()
	}
	assert.Equal(t, len(e.asked), 6)
	slices.Sort(e.asked)
	assert.Equal(t, len(slices.Compact(e.asked)), 3, "all other holders")
	assert.Equal(t, n.reserver.HeldTokens(), int64(500+3*700))
}

// Guards against asks that cost a host its time and the others nothing: a holder that does not answer is left out for
// a second.
func TestSilentHoldersGetNoBalancingAsks(t *testing.T) {
	e := &balancingExchange{silent: true}
	n := startBalancing(t, 2, 12, true, e)
	for range 6 {
		n.reserver.Balance()
	}
	assert.Equal(t, len(e.asked), 3, "each once")
	n.fleet.clock.Advance(clocker.Second + 1)
	n.reserver.Balance()
	assert.Equal(t, len(e.asked), 4)
}

// Guards against messages of hosts that are no holders, and against a change for small deployments.
func TestOnlyHoldersOfLargeFleetsBalance(t *testing.T) {
	for _, load := range []struct {
		zones, perZone int
		holder         bool
	}{{2, 12, false}, {4, 2, true}, {3, 3, true}} {
		e := &balancingExchange{}
		n := startBalancing(t, load.zones, load.perZone, load.holder, e)
		n.reserver.Balance()
		assert.Equal(t, len(e.asked), 0, "%+v", load)
	}
}

// Guards against refusals of requests for a budget of which a holder has tokens, because it asked for a pause while it
// lacked those of another one.
func TestPausesDoNotApplyToBudgetsThatHoldersHave(t *testing.T) {
	f := newFleet(&messenger.Policy{HeadroomMs: 1000, MaxShareOfRestMilli: 2, PatienceMs: 150}, 2, 12)
	n := f.nodes[slices.IndexFunc(f.nodes, func(n *node) bool { return !n.isHolder() })]
	e := &pausingExchange{pauseMs: 2500, available: []string{"school"}}
	n.reserver = reserver.NewUnstarted(reserver.Config{
		Incarnation: n.incarnation, Host: n.name, AvailabilityZone: n.zone, Clock: f.clock, Store: n, Exchange: e, Shards: 1,
		Peers: n.peers, Policy: func() *messenger.Policy { return f.policy }, HoldersFirst: true,
		PlatformReachable: func() bool { return false },
	})
	n.reserver.StartReserve("mason", 1500, clocker.Minute)
	n.reserver.ServeWaiting(t.Context())
	f.clock.Advance(clocker.Second + 100) // the reason of the first refusal no longer applies
	before := e.asks
	assert.Assert(t, n.reserver.StartReserve("mason", 1500, clocker.Minute).Ended)
	assert.Equal(t, e.asks, before)
	assert.Assert(t, !n.reserver.StartReserve("school", 1500, clocker.Minute).Ended)
	n.reserver.ServeWaiting(t.Context())
	assert.Assert(t, e.asks > before)
}
