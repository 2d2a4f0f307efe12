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

const heartbeatInterval = clocker.Second

// fleet is a group of spreaders in one synctest bubble.
type fleet struct {
	clock *clocker.Clock
	store *platform.Store
	nodes []*node

	mu sync.Mutex
	// isolatedZones cannot reach other zones.
	isolatedZones map[string]bool
	// peersFrozen stops updates of the peer lists.
	peersFrozen bool
	peers       map[string][]heartbeater.Peer

	pullCalls, pullBytes atomic.Int64 // between hosts
}

// node is one host.
type node struct {
	fleet          *fleet
	name           string
	zone           string
	seeds          []string
	platform       *platformProxy
	s              *spreader.Spreader
	stopped        bool
	highestVersion int64
}

// platformProxy forwards the calls of one host to the platform and injects faults.
type platformProxy struct {
	*platform.Store
	disconnected atomic.Bool
	// onWrite runs before each write with its key.
	onWrite func(key string)
	// onDelete runs before each delete with its key.
	onDelete func(key string)
	// staleHead is returned by reads of the head if it is set.
	staleHead atomic.Pointer[storer.Object]
}

func (p *platformProxy) Get(ctx context.Context, key string) (storer.Object, error) {
	if p.disconnected.Load() {
		return storer.Object{}, storer.ErrOutcomeUnknown{Key: key, Cause: "partition"}
	}
	if staleHead := p.staleHead.Load(); staleHead != nil && key == spreader.HeadKey {
		return *staleHead, nil
	}
	return p.Store.Get(ctx, key)
}

func (p *platformProxy) Watch(ctx context.Context, prefix string, since int64) ([]storer.Object, error) {
	if p.disconnected.Load() {
		return nil, storer.ErrOutcomeUnknown{Key: prefix, Cause: "partition"}
	}
	return p.Store.Watch(ctx, prefix, since)
}

func (p *platformProxy) beforeWrite(key string) error {
	if p.disconnected.Load() {
		return storer.ErrOutcomeUnknown{Key: key, Cause: "partition"}
	}
	if p.onWrite != nil {
		p.onWrite(key)
	}
	return nil
}

func (p *platformProxy) Create(ctx context.Context, key string, value []byte) (storer.Object, error) {
	if err := p.beforeWrite(key); err != nil {
		return storer.Object{}, err
	}
	return p.Store.Create(ctx, key, value)
}

func (p *platformProxy) Update(ctx context.Context, key string, version int64, value []byte) (storer.Object, error) {
	if err := p.beforeWrite(key); err != nil {
		return storer.Object{}, err
	}
	return p.Store.Update(ctx, key, version, value)
}

func (p *platformProxy) Delete(ctx context.Context, key string, version int64) error {
	if p.disconnected.Load() {
		return storer.ErrOutcomeUnknown{Key: key, Cause: "partition"}
	}
	if p.onDelete != nil {
		p.onDelete(key)
	}
	return p.Store.Delete(ctx, key, version)
}

// newFleet starts hosts distributed evenly over zones, and the updates of their
// peer lists.
func newFleet(t testing.TB, zones, hosts int) *fleet {
	clock := clocker.NewWall()
	f := &fleet{clock: clock, store: platform.New(clock), isolatedZones: map[string]bool{}, peers: map[string][]heartbeater.Peer{}}
	for i := range hosts {
		n := &node{fleet: f, name: fmt.Sprintf("host-%d", i), zone: fmt.Sprintf("zone-%d", i%zones), platform: &platformProxy{Store: f.store}}
		f.nodes = append(f.nodes, n)
	}
	f.refreshPeers()
	f.mu.Lock()
	for _, n := range f.nodes {
		n.start()
	}
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() {
		for clock.Sleep(ctx, heartbeatInterval) == nil {
			f.refreshPeers()
		}
	})
	tasks.Go(func() { f.checkVersionsNeverDecrease(ctx, t) })
	t.Cleanup(func() {
		cancel()
		tasks.Wait()
		for _, n := range f.nodes {
			n.stop()
		}
	})
	return f
}

// start starts a new incarnation of the host; the caller holds the fleet's mu.
func (n *node) start() {
	n.s = spreader.New(context.Background(), spreader.Config{
		Host: n.name, AvailabilityZone: n.zone, Clock: n.fleet.clock, Store: n.platform, Exchange: n,
		Peers: func() []heartbeater.Peer { return n.fleet.peersOf(n) }, Seeds: n.seeds,
		Log: slog.New(slog.DiscardHandler),
	})
	n.stopped = false
}

func (n *node) stop() {
	n.fleet.mu.Lock()
	wasStopped := n.stopped
	n.stopped = true
	n.fleet.mu.Unlock()
	if !wasStopped {
		_ = n.s.Close(context.Background())
	}
}

func (n *node) restart() {
	n.stop()
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	n.start()
}

func (f *fleet) freezePeers() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peersFrozen = true
}

// isolateZone disconnects a zone from all other zones and from the platform, or
// reconnects it.
func (f *fleet) isolateZone(zone string, isolated bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isolatedZones[zone] = isolated
	f.disconnectPlatform(isolated, func(n *node) bool { return n.zone == zone })
}

func (f *fleet) disconnectPlatform(disconnected bool, match func(*node) bool) {
	for _, n := range f.nodes {
		if match(n) {
			n.platform.disconnected.Store(disconnected)
		}
	}
}

// refreshPeers updates the peer lists, as heartbeats would.
func (f *fleet) refreshPeers() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.peersFrozen {
		return
	}
	for _, n := range f.nodes {
		f.peers[n.zone] = nil
	}
	for zone := range f.peers {
		for _, n := range f.nodes {
			p := heartbeater.Peer{
				Host: n.name, AvailabilityZone: n.zone, ExchangeAddress: n.name, LastHeard: f.clock.Now() + 1,
				PlatformReachable: !n.platform.disconnected.Load(), Suspect: n.stopped || !f.reachableLocked(zone, n.zone),
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

func (f *fleet) reachableLocked(a, b string) bool {
	return a == b || !f.isolatedZones[a] && !f.isolatedZones[b]
}

// PullConfiguration forwards a pull from n to another host.
func (n *node) PullConfiguration(ctx context.Context, address string, req *messenger.PullRequest) (*messenger.PullReply, error) {
	f := n.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, other := range f.nodes {
		if other.name != address || other.stopped || !f.reachableLocked(n.zone, other.zone) {
			continue
		}
		reply, err := other.s.PullConfiguration(ctx, req)
		f.pullCalls.Add(1)
		f.pullBytes.Add(int64(proto.Size(req) + proto.Size(reply)))
		return proto.CloneOf(reply), err
	}
	return nil, storer.ErrOutcomeUnknown{Key: address, Cause: "no route"}
}

// checkVersionsNeverDecrease fails the test if a host moves to a lower version.
func (f *fleet) checkVersionsNeverDecrease(ctx context.Context, t testing.TB) {
	for f.clock.Sleep(ctx, 10) == nil {
		f.mu.Lock()
		for _, n := range f.nodes {
			if n.stopped {
				continue
			}
			version := n.s.Index().Version()
			if version < n.highestVersion && n.s.Ready() {
				t.Errorf("%s went from version %d to %d", n.name, n.highestVersion, version)
			}
			n.highestVersion = max(n.highestVersion, version)
		}
		f.mu.Unlock()
	}
}

// waitForVersion waits until all hosts that match have the version in force, and
// returns the delay of each. It fails the test after limit.
func (f *fleet) waitForVersion(t testing.TB, version int64, limit clocker.Millis, match func(*node) bool) []clocker.Millis {
	start := f.clock.Now()
	delays := map[string]clocker.Millis{}
	for {
		missing := ""
		for _, n := range f.nodes {
			if n.stopped || !match(n) || delays[n.name] > 0 {
				continue
			}
			if n.s.Index().Version() < version {
				missing = n.name
				continue
			}
			delays[n.name] = max(1, f.clock.Now()-start)
		}
		if missing == "" {
			break
		}
		if f.clock.Now()-start > limit {
			t.Fatalf("version %d is not in force at %s after %d ms", version, missing, limit)
		}
		_ = f.clock.Sleep(context.Background(), 5)
	}
	var list []clocker.Millis
	for _, d := range delays {
		list = append(list, d)
	}
	return list
}

func allHosts(*node) bool { return true }

// apply publishes declarations with the given client accounts at a host.
func (n *node) apply(operation, by string, expected int64, accounts ...string) (*messenger.ApplyReply, error) {
	return n.s.Apply(context.Background(), &messenger.ApplyRequest{
		OperationId: operation, ExpectedVersion: expected, Declarations: declareAccounts(accounts...), By: by,
	})
}

func declareAccounts(names ...string) *messenger.Declarations {
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
