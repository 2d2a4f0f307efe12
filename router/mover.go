package router

import (
	"context"

	"cowsliphinge/leaser"
	"cowsliphinge/mover"
	"cowsliphinge/orderer"
)

// moverLease is the name of the lease whose holder executes moves and sends
// orders to model engines.
const moverLease = "mover"

// startMover starts the mover and the orderer. They act for the whole fleet, on
// the router that holds the lease.
func (r *Router) startMover(ctx context.Context) {
	clock := r.cfg.Clock
	spreader := r.spreader.Load()
	lease := leaser.New(leaser.Config{Name: moverLease, Incarnation: r.incarnation, Clock: clock, Store: r.store})
	engineClient := orderer.NewClient(orderer.ClientConfig{MayCall: r.reaches})
	r.orderer = orderer.New(ctx, orderer.Config{Clock: clock, Index: r.index, Lease: lease, Engines: engineClient})
	r.mover = mover.New(ctx, mover.Config{
		Incarnation: r.incarnation,
		Clock:       clock,
		Store:       r.store,
		Spreader:    spreader,
		Lease:       lease,
		Servers:     engineClient,
		Self:        r.ownBeat,
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

// recordRequestsCut stores the number of requests that the graceful stop aborts,
// which the last heartbeats report.
func (r *Router) recordRequestsCut(context.Context) error {
	r.requestsCut.Store(r.dispatcher.InFlight())
	return nil
}
