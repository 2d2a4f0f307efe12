package reserver_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/reserver"
)

// Hosts other than the zone's two holders get their tokens from the holders. Once demand
// is steady, they do not call the platform.
func TestNonHoldersAreServedByHolders(t *testing.T) {
	f := newFleet(&messenger.Policy{HeadroomMs: 5000, OfflineReserveMs: 60000, MaxShareOfRestMilli: 125, PatienceMs: 2000}, 1, 6)
	f.topUp(t, f.nodes[0], "first", "mason", 10_000_000)
	serve := func(d clocker.Millis) (calls []int64) {
		before := map[*node]int64{}
		for _, n := range f.nodes {
			before[n] = n.calls
		}
		for range int(d / clocker.Second) {
			for _, n := range f.nodes {
				assert.NilError(t, n.reserve("mason", 1500))
				n.settle(500)
			}
			f.run(clocker.Second)
		}
		for _, n := range f.nodes {
			calls = append(calls, n.calls-before[n])
		}
		return calls
	}
	serve(2 * clocker.Minute)
	callers := 0
	for _, calls := range serve(2 * clocker.Minute) {
		if calls > 0 {
			callers++
		}
	}
	assert.Assert(t, callers <= 2, "%d hosts called the platform", callers)
	f.checkAccounting(t, "mason")
}

// A request that no source of tokens can serve is refused by the first refill, not after
// its maximum wait.
func TestRefusesWithoutWaiting(t *testing.T) {
	f := newFleet(&messenger.Policy{HeadroomMs: 5000, OfflineReserveMs: 60000, MaxShareOfRestMilli: 125, PatienceMs: 2000}, 2, 1)
	f.topUp(t, f.nodes[0], "first", "mason", 1000)
	a, b := f.nodes[0].reserver, f.nodes[1]
	p := a.StartReserve("mason", 1001, clocker.Minute)
	a.ServeWaiting(t.Context())
	p.Poll()
	assert.Assert(t, p.Ended && reserver.IsErrBudgetExhausted(p.Err), "%v", p.Err)

	assert.NilError(t, b.reserve("mason", 1000))
	p = a.StartReserve("mason", 900, clocker.Minute)
	a.ServeWaiting(t.Context())
	p.Poll()
	assert.Assert(t, !p.Ended, "a request in flight at a peer may free tokens")
	b.settle(50)
	f.clock.Advance(clocker.Second)
	a.ServeWaiting(t.Context())
	p.Poll()
	assert.NilError(t, p.Err)
	assert.Assert(t, p.Ended)

	f.nodes[0].partition = 1
	f.clock.Advance(clocker.Second) // the content read from the platform is no longer fresh
	q := a.StartReserve("mason", 900, clocker.Minute)
	f.nodes[0].reserver.Settle(p.Reservation, 900)
	a.ServeWaiting(t.Context())
	q.Poll()
	assert.Assert(t, q.Ended && reserver.IsErrBudgetUnreachable(q.Err), "%v", q.Err)
}

// A budget is used up and its callers keep sending requests. The platform is read once in
// a while to see whether there are more tokens, not for each request.
func TestExhaustedBudgetIsNotReadForEachRequest(t *testing.T) {
	f := newFleet(&messenger.Policy{HeadroomMs: 5000, OfflineReserveMs: 60000, MaxShareOfRestMilli: 125, PatienceMs: 2000}, 1, 1)
	n := f.nodes[0]
	f.topUp(t, n, "first", "mason", 1000)
	assert.NilError(t, n.reserve("mason", 1000)) // stays in flight: it may free tokens
	f.run(clocker.Second)
	before := n.calls
	for range 20 {
		assert.Assert(t, n.reserve("mason", 900) != nil)
		f.clock.Advance(100)
	}
	assert.Assert(t, n.calls-before <= 3, "%d calls in two seconds", n.calls-before)
	f.topUp(t, n, "second", "mason", 5000)
	assert.NilError(t, n.reserve("mason", 900))
	f.checkAccounting(t, "mason")
}

// A budget runs out while requests run that use all of their reservations. A request for
// which they are not expected to free enough is refused immediately, not after its
// maximum wait.
func TestRequestIsNotHeldForInFlightRequestsThatFreeNothing(t *testing.T) {
	f := newFleet(&messenger.Policy{HeadroomMs: 5000, OfflineReserveMs: 60000, MaxShareOfRestMilli: 125, PatienceMs: 2000}, 1, 1)
	n := f.nodes[0]
	f.topUp(t, n, "first", "mason", 51_000)
	for range 50 {
		assert.NilError(t, n.reserve("mason", 1000))
		n.settle(1000)
	}
	assert.NilError(t, n.reserve("mason", 1000)) // runs on
	p := n.reserver.StartReserve("mason", 900, clocker.Minute)
	n.reserver.ServeWaiting(t.Context())
	p.Poll()
	assert.Assert(t, p.Ended && reserver.IsErrBudgetExhausted(p.Err), "%v", p.Err)
}

// All callers of a client account send their requests to one host, which is not a holder
// and needs more tokens than the holders of its zone have. It gets the tokens from the
// platform in time.
func TestHotHostExtendsAtPlatform(t *testing.T) {
	f := newFleet(&messenger.Policy{HeadroomMs: 1000, OfflineReserveMs: 1000, MaxShareOfRestMilli: 1, PatienceMs: 2000}, 1, 6)
	f.topUp(t, f.nodes[0], "first", "mason", 10_000_000)
	f.run(5 * clocker.Second)
	for _, n := range f.nodes {
		n.reserver.SetHoldersFirst()
	}
	for _, n := range f.nodes {
		for range 20 {
			assert.NilError(t, n.reserve("mason", 40_000), n.name)
			n.settle(40_000)
		}
	}
	f.checkAccounting(t, "mason")
}
