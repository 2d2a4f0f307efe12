package spreader_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
	"cowsliphinge/indexer"
	"cowsliphinge/messenger"
	"cowsliphinge/spreader"
	"cowsliphinge/standin/platform"
	"cowsliphinge/storer"
)

const beatMs = clocker.Second

// fleet is a set of spreaders in one synctest bubble.
type fleet struct {
	clock *clocker.Clock
	store *platform.Store
	nodes []*node

	mu sync.Mutex
	// cutZones cannot reach other zones.
	cutZones map[string]bool
	// frozen keeps the peer lists as they are.
	frozen bool
	peers  map[string][]heartbeater.Peer

	calls, bytes atomic.Int64 // between hosts
}

// node is one host.
type node struct {
	fleet   *fleet
	name    string
	zone    string
	seeds   []string
	gate    *gate
	s       *spreader.Spreader
	stopped bool
	highest int64
}

// gate stands between one host and the platform.
type gate struct {
	*platform.Store
	cut atomic.Bool
	// onWrite runs before each write with its key.
	onWrite func(key string)
	// onDelete runs before each delete.
	onDelete func(key string)
	// stale answers reads of the head if set.
	stale atomic.Pointer[storer.Object]
}

func (g *gate) Get(ctx context.Context, key string) (storer.Object, error) {
	if g.cut.Load() {
		return storer.Object{}, storer.ErrOutcomeUnknown{Key: key, Cause: "partition"}
	}
	if old := g.stale.Load(); old != nil && key == spreader.HeadKey {
		return *old, nil
	}
	return g.Store.Get(ctx, key)
}

func (g *gate) Watch(ctx context.Context, prefix string, since int64) ([]storer.Object, error) {
	if g.cut.Load() {
		return nil, storer.ErrOutcomeUnknown{Key: prefix, Cause: "partition"}
	}
	return g.Store.Watch(ctx, prefix, since)
}

func (g *gate) write(key string) error {
	if g.cut.Load() {
		return storer.ErrOutcomeUnknown{Key: key, Cause: "partition"}
	}
	if g.onWrite != nil {
		g.onWrite(key)
	}
	return nil
}

func (g *gate) Create(ctx context.Context, key string, value []byte) (storer.Object, error) {
	if err := g.write(key); err != nil {
		return storer.Object{}, err
	}
	return g.Store.Create(ctx, key, value)
}

func (g *gate) Update(ctx context.Context, key string, version int64, value []byte) (storer.Object, error) {
	if err := g.write(key); err != nil {
		return storer.Object{}, err
	}
	return g.Store.Update(ctx, key, version, value)
}

func (g *gate) Delete(ctx context.Context, key string, version int64) error {
	if g.cut.Load() {
		return storer.ErrOutcomeUnknown{Key: key, Cause: "partition"}
	}
	if g.onDelete != nil {
		g.onDelete(key)
	}
	return g.Store.Delete(ctx, key, version)
}

// newFleet starts hosts spread evenly over zones, and the beats between them.
func newFleet(t testing.TB, zones, hosts int) *fleet {
	clock := clocker.NewWall()
	f := &fleet{clock: clock, store: platform.New(clock), cutZones: map[string]bool{}, peers: map[string][]heartbeater.Peer{}}
	for i := range hosts {
		n := &node{fleet: f, name: fmt.Sprintf("host-%d", i), zone: fmt.Sprintf("zone-%d", i%zones), gate: &gate{Store: f.store}}
		f.nodes = append(f.nodes, n)
	}
	f.beat()
	f.mu.Lock()
	for _, n := range f.nodes {
		n.start()
	}
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	var duties sync.WaitGroup
	duties.Go(func() {
		for clock.Sleep(ctx, beatMs) == nil {
			f.beat()
		}
	})
	duties.Go(func() { f.watchVersions(ctx, t) })
	t.Cleanup(func() {
		cancel()
		duties.Wait()
		for _, n := range f.nodes {
			n.stop()
		}
	})
	return f
}

// start runs a new process of the host; the caller holds the fleet's mu.
func (n *node) start() {
	n.s = spreader.New(context.Background(), spreader.Config{
		Host: n.name, AvailabilityZone: n.zone, Clock: n.fleet.clock, Store: n.gate, Exchange: n,
		Peers: func() []heartbeater.Peer { return n.fleet.peersOf(n) }, Seeds: n.seeds,
		Log: slog.New(slog.DiscardHandler),
	})
	n.stopped = false
}

func (n *node) stop() {
	n.fleet.mu.Lock()
	was := n.stopped
	n.stopped = true
	n.fleet.mu.Unlock()
	if !was {
		_ = n.s.Close(context.Background())
	}
}

func (n *node) restart() {
	n.stop()
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	n.start()
}

func (f *fleet) freeze() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.frozen = true
}

// cutZone parts a zone from all other zones, and from the platform.
func (f *fleet) cutZone(zone string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cutZones[zone] = cut
	f.cutFromPlatform(cut, func(n *node) bool { return n.zone == zone })
}

func (f *fleet) cutFromPlatform(cut bool, which func(*node) bool) {
	for _, n := range f.nodes {
		if which(n) {
			n.gate.cut.Store(cut)
		}
	}
}

// beat renews the peer lists, as heartbeats would.
func (f *fleet) beat() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.frozen {
		return
	}
	for _, n := range f.nodes {
		f.peers[n.zone] = nil
	}
	for zone := range f.peers {
		for _, n := range f.nodes {
			p := heartbeater.Peer{
				Host: n.name, AvailabilityZone: n.zone, ExchangeAddress: n.name, LastHeard: f.clock.Now() + 1,
				PlatformReachable: !n.gate.cut.Load(), Suspect: n.stopped || !f.linkedLocked(zone, n.zone),
			}
			if n.s != nil && !p.Suspect {
				p.ConfigurationVersion = n.s.Index().Version()
			}
			f.peers[zone] = append(f.peers[zone], p)
		}
	}
}

func (f *fleet) peersOf(n *node) []heartbeater.Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.peers[n.zone]
}

func (f *fleet) linkedLocked(a, b string) bool {
	return a == b || !f.cutZones[a] && !f.cutZones[b]
}

// PullConfiguration carries a pull from n to another host.
func (n *node) PullConfiguration(ctx context.Context, address string, req *messenger.PullRequest) (*messenger.PullReply, error) {
	f := n.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, other := range f.nodes {
		if other.name != address || other.stopped || !f.linkedLocked(n.zone, other.zone) {
			continue
		}
		reply, err := other.s.PullConfiguration(ctx, req)
		f.calls.Add(1)
		f.bytes.Add(int64(proto.Size(req) + proto.Size(reply)))
		return proto.CloneOf(reply), err
	}
	return nil, storer.ErrOutcomeUnknown{Key: address, Cause: "no route"}
}

// watchVersions fails the test if a host ever moves to a lower version.
func (f *fleet) watchVersions(ctx context.Context, t testing.TB) {
	for f.clock.Sleep(ctx, 10) == nil {
		f.mu.Lock()
		for _, n := range f.nodes {
			if n.stopped {
				continue
			}
			version := n.s.Index().Version()
			if version < n.highest && n.s.Ready() {
				t.Errorf("%s went from version %d to %d", n.name, n.highest, version)
			}
			n.highest = max(n.highest, version)
		}
		f.mu.Unlock()
	}
}

// inForce waits until the hosts that keep returns true for have the version,
// and returns for how long; it fails the test after limit.
func (f *fleet) inForce(t testing.TB, version int64, limit clocker.Millis, keep func(*node) bool) []clocker.Millis {
	began := f.clock.Now()
	times := map[string]clocker.Millis{}
	for {
		missing := ""
		for _, n := range f.nodes {
			if n.stopped || !keep(n) || times[n.name] > 0 {
				continue
			}
			if n.s.Index().Version() < version {
				missing = n.name
				continue
			}
			times[n.name] = max(1, f.clock.Now()-began)
		}
		if missing == "" {
			break
		}
		if f.clock.Now()-began > limit {
			t.Fatalf("version %d is not in force at %s after %d ms", version, missing, limit)
		}
		_ = f.clock.Sleep(context.Background(), 5)
	}
	var list []clocker.Millis
	for _, d := range times {
		list = append(list, d)
	}
	return list
}

func everywhere(*node) bool { return true }

// apply publishes declarations of one client account at a host.
func (n *node) apply(operation, by string, expected int64, accounts ...string) (*messenger.ApplyReply, error) {
	return n.s.Apply(context.Background(), &messenger.ApplyRequest{
		OperationId: operation, ExpectedVersion: expected, Declarations: accountsOf(accounts...), By: by,
	})
}

func accountsOf(names ...string) *messenger.Declarations {
	d := &messenger.Declarations{Deployment: "test"}
	for _, name := range names {
		d.ClientAccounts = append(d.ClientAccounts, &messenger.ClientAccount{Name: name, Budget: name, KeySha256: indexer.HashKey(name)})
	}
	return d
}

func mustApply(t testing.TB, n *node, expected int64, accounts ...string) {
	t.Helper()
	reply, err := n.apply(fmt.Sprintf("setup-%d", expected), "ann", expected, accounts...)
	assert.NilError(t, err)
	assert.Equal(t, len(reply.Findings), 0)
	assert.Equal(t, reply.Version, expected+1)
}
