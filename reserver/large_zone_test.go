package reserver_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
	"cowsliphinge/messenger"
	"cowsliphinge/reserver"
)

// In a zone of many hosts, the holders have fewer tokens than the zone's requests need at
// once. The holders raise their limits for all hosts, so that the writes of the other
// hosts do not conflict at the platform.
func TestHoldersRaiseLimitsForHostsOfTheirZone(t *testing.T) {
	f := newFleet(&messenger.Policy{HeadroomMs: 1000, MaxShareOfRestMilli: 2, PatienceMs: 2000}, 1, 12)
	f.topUp(t, f.nodes[0], "first", "mason", 10_000_000)
	f.run(5 * clocker.Second)
	before := map[*node]int64{}
	for _, n := range f.nodes {
		n.reserver.SetHoldersFirst()
		before[n] = n.calls
	}
	for range 5 {
		for _, n := range f.nodes {
			assert.NilError(t, n.reserve("mason", 40_000), n.name)
			n.settle(40_000)
		}
	}
	callers := 0
	for _, n := range f.nodes {
		if n.calls > before[n] {
			callers++
		}
	}
	assert.Assert(t, callers <= 2, "%d hosts called the platform", callers)
	f.checkAccounting(t, "mason")
}

// Requests for a used-up budget are refused, although only the holders read from the
// platform that nothing is left.
func TestHoldersReportExhaustedBudget(t *testing.T) {
	f := newFleet(&messenger.Policy{HeadroomMs: 1000, MaxShareOfRestMilli: 2, PatienceMs: 2000}, 1, 12)
	f.topUp(t, f.nodes[0], "first", "mason", 100_000)
	f.run(5 * clocker.Second)
	for _, n := range f.nodes {
		n.reserver.SetHoldersFirst()
	}
	served := 0
	for _, n := range f.nodes {
		err := n.reserve("mason", 20_000)
		if err == nil {
			n.settle(20_000)
			served++
			continue
		}
		assert.Assert(t, reserver.IsErrBudgetExhausted(err) || reserver.IsErrBudgetUnreachable(err), "%v", err)
	}
	assert.Equal(t, served, 5)
	f.checkAccounting(t, "mason")
}

// All hosts are partitioned from each other and from the store. A host that has detected
// this sends no transfer requests and immediately refuses requests that its headroom does
// not cover.
func TestIsolatedHostSendsNoTransfers(t *testing.T) {
	f := newFleet(&messenger.Policy{HeadroomMs: 1000, MaxShareOfRestMilli: 2, PatienceMs: 2000}, 2, 6)
	f.topUp(t, f.nodes[0], "first", "mason", 10_000_000)
	f.run(5 * clocker.Second)
	n := f.nodes[3]
	n.partition = 1
	transfers := 0
	n.reserver = reserver.NewUnstarted(reserver.Config{
		Incarnation: n.incarnation, Host: n.name, AvailabilityZone: n.zone, Clock: f.clock,
		Store: n, Exchange: countingExchange{n, &transfers}, HoldersFirst: true,
		Peers: func() []heartbeater.Peer { // silence is not detected yet
			peers := n.peers()
			for i := range peers {
				peers[i].Suspect = false
			}
			return peers
		},
		Policy:            func() *messenger.Policy { return f.policy },
		PlatformReachable: func() bool { return false },
		Isolated:          func() bool { return true },
	})
	p := n.reserver.StartReserve("mason", 20_000, clocker.Minute)
	n.reserver.ServeWaiting(t.Context())
	p.Poll()
	assert.Assert(t, p.Ended && reserver.IsErrBudgetUnreachable(p.Err), "%v", p.Err)
	assert.Equal(t, transfers, 0)
}

// countingExchange counts the transfer requests of a node.
type countingExchange struct {
	*node
	transfers *int
}

func (c countingExchange) Transfer(ctx context.Context, address string, request *messenger.TransferRequest) (*messenger.TransferReply, error) {
	*c.transfers++
	return c.node.Transfer(ctx, address, request)
}

// All hosts of a large fleet restart at once. Until membership is stable, no host keeps
// headroom as a holder, but requests are served.
func TestRequestsAreServedBeforeMembershipIsStable(t *testing.T) {
	f := newFleet(&messenger.Policy{HeadroomMs: 1000, MaxShareOfRestMilli: 2, PatienceMs: 2000}, 1, 12)
	f.topUp(t, f.nodes[0], "first", "mason", 10_000_000)
	for _, n := range f.nodes {
		n.reserver = reserver.NewUnstarted(reserver.Config{
			Incarnation: n.incarnation, Host: n.name, AvailabilityZone: n.zone, Clock: f.clock, Store: n, Exchange: n,
			Peers: n.peers, Policy: func() *messenger.Policy { return f.policy }, HoldersFirst: true,
			MembershipStableFor: clocker.Minute, MembershipTimeout: clocker.Minute,
		})
	}
	for _, n := range f.nodes {
		assert.NilError(t, n.reserve("mason", 20_000), n.name)
		n.settle(20_000)
	}
	f.checkAccounting(t, "mason")
}
