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

// Guards against a fault seen in TestReserveSettleClose on a loaded machine: a request was
// refused at the end of a refill that had started before the request arrived, while the
// refill that would have served it was still running.
func TestRefillDoesNotRefuseLaterRequest(t *testing.T) {
	f := newFleet(&messenger.Policy{HeadroomMs: 1000, MaxShareOfRestMilli: 100, PatienceMs: 2000}, 1, 1)
	n := f.nodes[0]
	peersRead := make(chan struct{}, 8)
	n.reserver = reserver.NewUnstarted(reserver.Config{
		Incarnation: n.incarnation, Host: n.name, AvailabilityZone: n.zone, Clock: f.clock, Store: n, Exchange: n,
		Policy: func() *messenger.Policy { return f.policy }, Shards: 1,
		Peers: func() []heartbeater.Peer {
			peersRead <- struct{}{}
			return nil
		},
	})
	f.topUp(t, n, "first", "mason", 1000)

	var later *reserver.Pending
	firstEnded, done := make(chan struct{}), make(chan struct{})
	n.beforeUpdate = func() { // the write for the first request is in progress
		for len(peersRead) > 0 {
			<-peersRead
		}
		later = n.reserver.StartReserve("mason", 500, clocker.Minute)
		n.beforeUpdate = func() { <-firstEnded }
		go func() {
			defer close(done)
			n.reserver.ServeWaiting(context.Background())
		}()
		<-peersRead // the second refill has started and waits for the platformSlot
	}
	first := n.reserver.StartReserve("mason", 400, clocker.Minute)
	n.reserver.ServeWaiting(context.Background())
	close(firstEnded)
	<-done
	for _, p := range []*reserver.Pending{first, later} {
		p.Poll()
		assert.NilError(t, p.Err)
		assert.Assert(t, p.Ended)
	}
}
