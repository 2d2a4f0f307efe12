package reserver_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/reserver"
	"cowsliphinge/standin/platform"
)

func policy() *messenger.Policy {
	return &messenger.Policy{HeadroomMs: 5000, OfflineReserveMs: 600000, MaxShareOfRestMilli: 125, PatienceMs: 2000}
}

func newReserver(t testing.TB, clock *clocker.Clock, store reserver.Store, incarnation string) *reserver.Reserver {
	t.Helper()
	return reserver.New(context.Background(), reserver.Config{
		Incarnation: incarnation, Host: incarnation, AvailabilityZone: "akl-a", Clock: clock, Store: store, Policy: policy,
	})
}

func TestReserveSettleClose(t *testing.T) {
	ctx := context.Background()
	clock := clocker.NewManual(clocker.Hour)
	store := platform.New(clock)
	r := newReserver(t, clock, store, "h1")
	reply, err := r.TopUp(ctx, &messenger.TopUpRequest{OperationId: "op-1", Budget: "mason", Tokens: 1000})
	assert.NilError(t, err)
	assert.Equal(t, reply.Granted, int64(1000))
	reply, err = r.TopUp(ctx, &messenger.TopUpRequest{OperationId: "op-1", Budget: "mason", Tokens: 1000})
	assert.NilError(t, err)
	assert.Assert(t, reply.Repeated && reply.Granted == 1000)

	deadline := clock.Now() + clocker.Minute
	reservation, err := r.Reserve(ctx, "mason", 700, 0, deadline)
	assert.NilError(t, err)
	r.Settle(reservation, 300)
	r.Settle(reservation, 300)
	_, err = r.Reserve(ctx, "mason", 701, 0, deadline)
	assert.Assert(t, reserver.IsErrBudgetExhausted(err), "%v", err)
	reservation, err = r.Reserve(ctx, "mason", 700, 0, deadline)
	assert.NilError(t, err)
	r.Settle(reservation, 700)

	assert.NilError(t, r.Close(ctx))
	last := newReserver(t, clock, store, "h2")
	report, err := last.Report(ctx, "mason")
	assert.NilError(t, err)
	assert.Equal(t, report.Charged, int64(1000))
	assert.Equal(t, report.Assigned, int64(1000))
	assert.NilError(t, last.Close(ctx))
}

func TestReserveWithoutBudget(t *testing.T) {
	clock := clocker.NewManual(clocker.Hour)
	r := newReserver(t, clock, platform.New(clock), "h1")
	_, err := r.Reserve(context.Background(), "nobody", 1, 0, clock.Now()+clocker.Minute)
	assert.Assert(t, reserver.IsErrBudgetExhausted(err), "%v", err)
	assert.NilError(t, r.Close(context.Background()))
}

// A host that read the object just before the first top-up of a budget does not refuse
// requests for that budget after it.
func TestFirstTopUpIsVisibleImmediately(t *testing.T) {
	f := newFleet(&messenger.Policy{HeadroomMs: 1000, MaxShareOfRestMilli: 100, PatienceMs: 2000}, 1, 2)
	for _, n := range f.nodes {
		n.reserver = reserver.NewUnstarted(reserver.Config{
			Incarnation: n.incarnation, Host: n.name, AvailabilityZone: n.zone, Clock: f.clock, Store: n, Exchange: n,
			Peers: n.peers, Policy: func() *messenger.Policy { return f.policy }, Shards: 1,
		})
	}
	other := f.nodes[1]
	assert.Assert(t, other.reserve("none", 10) != nil) // makes the host read the object
	f.topUp(t, f.nodes[0], "first", "mason", 1000)
	assert.NilError(t, other.reserve("mason", 10))
}
