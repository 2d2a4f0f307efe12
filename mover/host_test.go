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
	*world
	name, zone string
	cut        atomic.Bool // from the platform and the other zone
	paused     atomic.Bool
	s          *spreader.Spreader
	lease      *leaser.Lease
	m          *mover.Mover
	o          *orderer.Orderer
}

// gate is the platform as one host reaches it.
type gate struct {
	*platform.Store
	h *host
}

var errCut = storer.ErrOutcomeUnknown{Cause: "partition"}

func (g gate) Get(ctx context.Context, key string) (storer.Object, error) {
	if g.h.cut.Load() {
		return storer.Object{}, errCut
	}
	return g.Store.Get(ctx, key)
}

func (g gate) Create(ctx context.Context, key string, value []byte) (storer.Object, error) {
	if g.h.cut.Load() {
		return storer.Object{}, errCut
	}
	o, err := g.Store.Create(ctx, key, value)
	g.h.noteProgress(key, value, err)
	return o, err
}

func (g gate) Update(ctx context.Context, key string, version int64, value []byte) (storer.Object, error) {
	if g.h.cut.Load() {
		return storer.Object{}, errCut
	}
	o, err := g.Store.Update(ctx, key, version, value)
	g.h.noteProgress(key, value, err)
	return o, err
}

func (g gate) Watch(ctx context.Context, prefix string, since int64) ([]storer.Object, error) {
	if g.h.cut.Load() {
		return nil, errCut
	}
	return g.Store.Watch(ctx, prefix, since)
}

func (w *world) host(name string) *host {
	return w.hosts[slices.IndexFunc(w.hosts, func(h *host) bool { return h.name == name })]
}

// PullConfiguration carries a pull between hosts.
func (h *host) PullConfiguration(ctx context.Context, address string, req *messenger.PullRequest) (*messenger.PullReply, error) {
	other := h.host(address)
	if other.zone != h.zone && (other.cut.Load() || h.cut.Load()) {
		return nil, errCut
	}
	return other.s.PullConfiguration(ctx, req)
}

func (h *host) reaches(address string) bool {
	zone := address[:1]
	return zone == h.zone || !h.cut.Load() && !h.host(zone+"-1").cut.Load()
}

// State, Order, InFlight and Warm reach the engines, which are named by their address.
func (h *host) State(_ context.Context, address string) (orderer.State, error) {
	if !h.reaches(address) {
		return orderer.State{}, errCut
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
	if !h.reaches(address) {
		return errCut
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
	if !h.reaches(address) {
		return 0, errCut
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.inFlight[address], nil
}

func (h *host) Warm(_ context.Context, from, to string) (int, error) {
	if !h.reaches(from) || !h.reaches(to) {
		return 0, errCut
	}
	return 1, nil
}

func (h *host) beat() *messenger.Beat {
	p := h.peer()
	return &messenger.Beat{Host: p.Host, Draining: p.Draining, InFlight: p.InFlight, LeavingInFlight: p.LeavingInFlight}
}

func (h *host) peer() heartbeater.Peer {
	leaving := h.s.Index().HostLeaving(h.name, h.clock.Now())
	return heartbeater.Peer{
		Host: h.name, AvailabilityZone: h.zone, ExchangeAddress: h.name, LastHeard: h.clock.Now(), PlatformReachable: !h.cut.Load(),
		ConfigurationVersion: h.s.Index().Version(), Draining: leaving,
	}
}

func (h *host) peersSeen() []heartbeater.Peer {
	h.mu.Lock()
	defer h.mu.Unlock()
	peers := slices.Clone(h.peers)
	for i := range peers {
		other := h.host(peers[i].Host)
		peers[i].Suspect = other.paused.Load() || other.zone != h.zone && (other.cut.Load() || h.cut.Load())
	}
	return peers
}

// byName lets the fakes be called by the names of backend servers.
type byName struct {
	*host
}

func (b byName) name(address string) string {
	for _, s := range b.s.Index().Configuration.Declarations.BackendServers {
		if s.Address == address {
			return s.Name
		}
	}
	return address
}

func (b byName) State(ctx context.Context, address string) (orderer.State, error) {
	return b.host.State(ctx, b.name(address))
}

func (b byName) Order(ctx context.Context, address string, order orderer.Order) error {
	return b.host.Order(ctx, b.name(address), order)
}

func (b byName) InFlight(ctx context.Context, address string) (int64, error) {
	return b.host.InFlight(ctx, b.name(address))
}

func (b byName) Warm(ctx context.Context, from, to string) (int, error) {
	return b.host.Warm(ctx, b.name(from), b.name(to))
}
