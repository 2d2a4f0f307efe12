package mover_test

import (
	"context"
	"slices"
	"sync/atomic"

	"cowsliphinge/heartbeater"
	"cowsliphinge/leaser"
	"cowsliphinge/messenger"
	"cowsliphinge/mover"
	"cowsliphinge/orderer"
	"cowsliphinge/spreader"
	"cowsliphinge/standin/engine"
	"cowsliphinge/standin/platform"
	"cowsliphinge/storer"
)

type host struct {
	*deployment
	name, zone  string
	partitioned atomic.Bool // no connection to the platform and the other zone
	paused      atomic.Bool
	spreader    *spreader.Spreader
	lease       *leaser.Lease
	mover       *mover.Mover
	orderer     *orderer.Orderer
}

// hostStore is the platform's store as one host reaches it.
type hostStore struct {
	*platform.Store
	h *host
}

var errPartitioned = storer.ErrOutcomeUnknown{Cause: "partition"}

func (g hostStore) Get(ctx context.Context, key string) (storer.Object, error) {
	if g.h.partitioned.Load() {
		return storer.Object{}, errPartitioned
	}
	return g.Store.Get(ctx, key)
}

func (g hostStore) Create(ctx context.Context, key string, value []byte) (storer.Object, error) {
	if g.h.partitioned.Load() {
		return storer.Object{}, errPartitioned
	}
	o, err := g.Store.Create(ctx, key, value)
	g.h.checkProgressWrite(key, value, err)
	return o, err
}

func (g hostStore) Update(ctx context.Context, key string, version int64, value []byte) (storer.Object, error) {
	if g.h.partitioned.Load() {
		return storer.Object{}, errPartitioned
	}
	o, err := g.Store.Update(ctx, key, version, value)
	g.h.checkProgressWrite(key, value, err)
	return o, err
}

func (g hostStore) Watch(ctx context.Context, prefix string, since int64) ([]storer.Object, error) {
	if g.h.partitioned.Load() {
		return nil, errPartitioned
	}
	return g.Store.Watch(ctx, prefix, since)
}

func (w *deployment) host(name string) *host {
	return w.hosts[slices.IndexFunc(w.hosts, func(h *host) bool { return h.name == name })]
}

// PullConfiguration forwards a pull to another host unless a partition is between them.
func (h *host) PullConfiguration(ctx context.Context, address string, req *messenger.PullRequest) (*messenger.PullReply, error) {
	other := h.host(address)
	if other.zone != h.zone && (other.partitioned.Load() || h.partitioned.Load()) {
		return nil, errPartitioned
	}
	return other.spreader.PullConfiguration(ctx, req)
}

func (h *host) canReach(address string) bool {
	zone := address[:1]
	return zone == h.zone || !h.partitioned.Load() && !h.host(zone+"-1").partitioned.Load()
}

// State, Order, InFlight and Warm call the engines, which are addressed by name.
func (h *host) State(_ context.Context, address string) (orderer.State, error) {
	if !h.canReach(address) {
		return orderer.State{}, errPartitioned
	}
	s := h.engines[address].State()
	state := orderer.State{Fencing: s.Fencing, Role: s.Role}
	for _, m := range s.Models {
		state.Models = append(state.Models, orderer.Model(m))
	}
	for _, m := range s.Loading {
		state.Loading = append(state.Loading, orderer.Model(m))
	}
	return state, nil
}

func (h *host) Order(_ context.Context, address string, order orderer.Order) error {
	if !h.canReach(address) {
		return errPartitioned
	}
	out := engine.Order{Fencing: order.Fencing, Role: order.Role}
	for _, m := range order.Models {
		out.Models = append(out.Models, engine.Model(m))
	}
	if !h.engines[address].Order(out) {
		return orderer.ErrStaleFencing{Address: address}
	}
	return nil
}

func (h *host) InFlight(_ context.Context, address string) (int64, error) {
	if !h.canReach(address) {
		return 0, errPartitioned
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.inFlight[address], nil
}

func (h *host) Warm(_ context.Context, from, to string) (int, error) {
	if !h.canReach(from) || !h.canReach(to) {
		return 0, errPartitioned
	}
	return 1, nil
}

func (h *host) heartbeat() *messenger.Beat {
	p := h.peer()
	return &messenger.Beat{Host: p.Host, Draining: p.Draining, InFlight: p.InFlight, LeavingInFlight: p.LeavingInFlight}
}

func (h *host) peer() heartbeater.Peer {
	leaving := h.spreader.Index().HostLeaving(h.name, h.clock.Now())
	return heartbeater.Peer{
		Host: h.name, AvailabilityZone: h.zone, ExchangeAddress: h.name, LastHeard: h.clock.Now(), PlatformReachable: !h.partitioned.Load(),
		ConfigurationVersion: h.spreader.Index().Version(), Draining: leaving,
	}
}

func (h *host) observedPeers() []heartbeater.Peer {
	h.mu.Lock()
	defer h.mu.Unlock()
	peers := slices.Clone(h.peers)
	for i := range peers {
		other := h.host(peers[i].Host)
		peers[i].Suspect = other.paused.Load() || other.zone != h.zone && (other.partitioned.Load() || h.partitioned.Load())
	}
	return peers
}

// serversByName translates the addresses of backend servers to their names.
type serversByName struct {
	*host
}

func (b serversByName) name(address string) string {
	for _, s := range b.spreader.Index().Configuration.Declarations.BackendServers {
		if s.Address == address {
			return s.Name
		}
	}
	return address
}

func (b serversByName) State(ctx context.Context, address string) (orderer.State, error) {
	return b.host.State(ctx, b.name(address))
}

func (b serversByName) Order(ctx context.Context, address string, order orderer.Order) error {
	return b.host.Order(ctx, b.name(address), order)
}

func (b serversByName) InFlight(ctx context.Context, address string) (int64, error) {
	return b.host.InFlight(ctx, b.name(address))
}

func (b serversByName) Warm(ctx context.Context, from, to string) (int, error) {
	return b.host.Warm(ctx, b.name(from), b.name(to))
}
