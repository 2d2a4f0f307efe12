package router

import (
	"context"

	"cowsliphinge/leaser"
	"cowsliphinge/mover"
	"cowsliphinge/orderer"
)

// moverLease is the lease under which moves are carried and orders are given.
const moverLease = "mover"

// startMoves starts what any router may do for the whole fleet under the lease.
func (r *Router) startMoves(ctx context.Context) {
	clock := r.cfg.Clock
	spread := r.spreader.Load()
	lease := leaser.New(leaser.Config{Name: moverLease, Incarnation: r.incarnation, Clock: clock, Store: r.store})
	servers := orderer.NewClient(orderer.ClientConfig{MayCall: r.reaches})
	r.orderer = orderer.New(ctx, orderer.Config{Clock: clock, Index: r.index, Lease: lease, Engines: servers})
	r.mover = mover.New(ctx, mover.Config{
		Incarnation: r.incarnation,
		Clock:       clock,
		Store:       r.store,
		Spreader:    spread,
		Lease:       lease,
		Servers:     servers,
		Self:        r.beat,
		Peers:       r.heartbeater.Peers,
		Log:         r.cfg.Log,
	})
}

// leavingInFlight counts the requests in flight on leaving backend servers.
func (r *Router) leavingInFlight() int64 {
	var n int64
	for _, b := range r.balancer.Status() {
		if b.Leaving {
			n += b.InFlight
		}
	}
	return n
}

// noteCut keeps for the last heartbeats how many requests the stop cut.
func (r *Router) noteCut(context.Context) error {
	r.cut.Store(r.dispatcher.InFlight())
	return nil
}
