package reserver_test

import (
	"context"
	"errors"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/allotter"
	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/reserver"
)

// pausingExchange stands for holders that have nothing and ask for pauses.
type pausingExchange struct {
	pauseMs int64
	asks    int
	// available are the budgets that the pauses don't apply to.
	available []string
}

// Transfer implements reserver.Exchange.
func (e *pausingExchange) Transfer(_ context.Context, _ string, request *messenger.TransferRequest) (*messenger.TransferReply, error) {
	e.asks++
	return &messenger.TransferReply{From: request.To, PauseMs: e.pauseMs, Available: e.available}, nil
}

// Guards against callers that try again within a second while the store is away and no holder has tokens: the
// refusal tells when the holders may be asked again. Load: one host of a zone of 12, two requests after one another.
// The second is refused at once, without asks, since its wait would end before the pause.
func TestRefusalTellsWhenTokensAreExpected(t *testing.T) {
	f := newFleet(&messenger.Policy{HeadroomMs: 1000, MaxShareOfRestMilli: 2, PatienceMs: 150}, 2, 12)
	n := f.nodes[slices.IndexFunc(f.nodes, func(n *node) bool { return !n.isHolder() })]
	e := &pausingExchange{pauseMs: 2500}
	n.reserver = reserver.NewUnstarted(reserver.Config{
		Incarnation: n.incarnation, Host: n.name, AvailabilityZone: n.zone, Clock: f.clock, Store: n, Exchange: e, Shards: 1,
		Peers: n.peers, Policy: func() *messenger.Policy { return f.policy }, HoldersFirst: true,
		PlatformReachable: func() bool { return false },
	})
	p := n.reserver.StartReserve("mason", 1500, clocker.Minute)
	n.reserver.ServeWaiting(t.Context())
	p.Poll()
	var err reserver.ErrBudgetUnreachable
	assert.Assert(t, p.Ended && errors.As(p.Err, &err), "%v", p.Err)
	assert.Equal(t, err.ExpectedIn, clocker.Millis(2500))

	f.clock.Advance(clocker.Second + 100) // the reason of the first refusal no longer applies
	before := e.asks
	p = n.reserver.StartReserve("mason", 1500, clocker.Minute)
	assert.Assert(t, p.Ended && errors.As(p.Err, &err), "%v", p.Err)
	assert.Equal(t, err.ExpectedIn, clocker.Millis(1400))
	assert.Equal(t, e.asks, before)

	f.clock.Advance(1400)
	n.reserver.StartReserve("mason", 1500, clocker.Minute)
	n.reserver.ServeWaiting(t.Context())
	assert.Assert(t, e.asks > before)
}

// isHolder reports whether the node is a holder of the only object of its zone.
func (n *node) isHolder() bool {
	var hosts []string
	for _, other := range n.fleet.nodes {
		if other.zone == n.zone {
			hosts = append(hosts, other.name)
		}
	}
	return slices.Contains(allotter.Holders(0, hosts), n.name)
}
