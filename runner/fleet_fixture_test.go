package runner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"cowsliphinge/chooser"
	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
	"cowsliphinge/matcher"
	"cowsliphinge/messenger"
	"cowsliphinge/storer"
	"cowsliphinge/versioner"
)

const (
	// fleetStoreResponseTime is the time that the store takes for a response, in
	// milliseconds.
	fleetStoreResponseTime = 4 * clocker.Millis(1)
	// fleetStoreBytesPerMilli and fleetHostBytesPerMilli are the bandwidths of the links of
	// the store (1,000 Mbit/s) and of a small host (20 Mbit/s).
	fleetStoreBytesPerMilli = 125_000
	fleetHostBytesPerMilli  = 2_500
	// fleetRouteBytes is the size of a route in a configuration.
	fleetRouteBytes = 250
	// fleetPeerRoundTrip is the time of an exchange between two hosts, in milliseconds.
	fleetPeerRoundTrip = 2 * clocker.Millis(1)
	// fleetWatchMargin is how long after its wait a watch without an answer is given up, in
	// milliseconds, as by the client of the operators' platform.
	fleetWatchMargin = 500 * clocker.Millis(1)
	// fleetServer is the ID of the only backend server.
	fleetServer = "i-1"
	// fleetWarmUp is the time in which the hosts find each other, in milliseconds.
	fleetWarmUp = 10 * clocker.Second
)

// fleetScale is the size of a simulated fleet.
type fleetScale struct {
	zones, hostsPerZone int
	// bound is the time within which a configuration must be in force, in milliseconds.
	bound clocker.Millis
	// readsPerSecond is the limit of the store.
	readsPerSecond int
}

var (
	smallFleet = fleetScale{zones: 4, hostsPerZone: 2, bound: 2 * clocker.Second, readsPerSecond: 2000}
	grownFleet = fleetScale{zones: 5, hostsPerZone: 18, bound: 3 * clocker.Second, readsPerSecond: 6000}
	largeFleet = fleetScale{zones: 6, hostsPerZone: 33, bound: 4 * clocker.Second, readsPerSecond: 16000}
)

// fleet runs the membership and the watchers of many hosts against one store in simulated
// time. It must be used in a synctest bubble.
type fleet struct {
	scale fleetScale
	clock *clocker.Clock
	store *fleetStore
	hosts []*fleetHost
	// byAddress finds hosts by their exchange address.
	byAddress map[string]*fleetHost
	// zonesApart is true while hosts of different zones do not reach each other.
	zonesApart atomic.Bool
}

type fleetHost struct {
	*Runner
	fleet *fleet
	// started is true once the heartbeater runs.
	started atomic.Bool
	// cut is true while the host reaches neither the store nor other hosts.
	cut atomic.Bool
	// alone is true while the host reaches the store but no other host.
	alone atomic.Bool
	// refused is true while the store refuses each call of the host at once and ends its watches, and
	// silent while the store answers none of its calls.
	refused, silent atomic.Bool
	// watches counts the watch calls of the host.
	watches atomic.Int64
	// next holds the cause of the next call of each kind. The caller holds the mutex of the store.
	next map[string]callCause
}

// reaches reports whether heartbeats pass between two hosts.
func (h *fleetHost) reaches(other *fleetHost) bool {
	for _, end := range []*fleetHost{h, other} {
		if end.cut.Load() || end.alone.Load() || !end.started.Load() {
			return false
		}
	}
	return !h.fleet.zonesApart.Load() || h.cfg.Settings.AvailabilityZone == other.cfg.Settings.AvailabilityZone
}

// fleetConfiguration is the content of the configuration object.
type fleetConfiguration struct {
	Version int64
	Routes  int
}

// TestMain discards the default log: heartbeaters log each change of a peer.
func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	m.Run()
}

// newFleet starts a fleet whose hosts know each other and have version 1 in force.
func newFleet(t *testing.T, scale fleetScale) *fleet {
	f := &fleet{scale: scale, clock: clocker.NewWall(), byAddress: map[string]*fleetHost{}}
	f.store = newFleetStore(f)
	f.store.put(fleetConfiguration{Version: 1, Routes: 4})
	f.store.putServer("ready")
	rng := rand.New(rand.NewPCG(1, 0))
	for z := range scale.zones {
		for n := range scale.hostsPerZone {
			f.hosts = append(f.hosts, f.newHost(fmt.Sprintf("%c", 'a'+z), fmt.Sprintf("front-%c-%02d", 'a'+z, n)))
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		synctest.Wait()
	})
	for _, i := range rng.Perm(len(f.hosts)) {
		h := f.hosts[i]
		h.heartbeater = heartbeater.New(ctx, h.membershipConfig(h))
		h.started.Store(true)
		h.startWatchers(ctx)
		f.sleep(clocker.Millis(rng.Int64N(8)))
	}
	f.sleep(fleetWarmUp)
	return f
}

func (f *fleet) newHost(zone, name string) *fleetHost {
	h := &fleetHost{fleet: f, next: map[string]callCause{}}
	cfg := Config{
		Clock: f.clock,
		Log:   slog.New(slog.DiscardHandler),
		Settings: Settings{
			Host: name, AvailabilityZone: zone, ExchangeAddress: name + ":1",
			ConfigurationMs: f.scale.bound, LeaveMs: f.scale.bound, SteadyMs: f.scale.bound + clocker.Second,
		},
		Platform: Platform{
			Store:             &fleetStoreClient{fleetStore: f.store, host: h},
			ConfigurationKey:  "config/main",
			ServerKind:        "servers",
			DecodeDeclaration: decodeFleetConfiguration,
			DecodeServer: func(o storer.Object) (chooser.Server, error) {
				return chooser.Server{ID: strings.TrimPrefix(o.Key, "servers/"), Service: "s", Slots: 1, Draining: string(o.Value) == "draining"}, nil
			},
			DecodeValue: func(o storer.Object) ([]byte, error) { return o.Value, nil },
		},
	}
	h.Runner = &Runner{cfg: cfg, incarnation: name + "-1-1"}
	h.origins = newStreamOrigins(h.Runner)
	h.backends = newBackendPool(cfg, h.origins, nil, nil, nil)
	h.withholder = h.newWithholder()
	f.byAddress[cfg.Settings.ExchangeAddress] = h
	return h
}

func decodeFleetConfiguration(o storer.Object) (matcher.Declaration, error) {
	var c fleetConfiguration
	if err := json.Unmarshal(o.Value, &c); err != nil {
		return matcher.Declaration{}, err
	}
	d := matcher.Declaration{Version: c.Version, Services: []*matcher.Service{{Name: "s"}}}
	for i := range c.Routes {
		d.Routes = append(d.Routes, &matcher.Route{Name: fmt.Sprint(i), Host: "h", PathPrefix: fmt.Sprintf("/%d/", i), Splits: []matcher.Split{{Service: "s", Weight: 1}}})
	}
	return d, nil
}

// SendBeat implements heartbeater.Exchange. A host that is cut off does not answer.
func (h *fleetHost) SendBeat(ctx context.Context, address string, beat *messenger.Beat) (*messenger.BeatReply, error) {
	other := h.fleet.byAddress[address]
	if !h.reaches(other) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if err := h.fleet.clock.Sleep(ctx, fleetPeerRoundTrip); err != nil {
		return nil, err
	}
	return other.heartbeater.SendBeat(ctx, proto.CloneOf(beat))
}

func (f *fleet) sleep(d clocker.Millis) { f.clock.SleepUncancellable(d) }

// awaitVersion returns how long after since the last host that is not cut off has the
// version in force, at most limit. It fails the test if a host goes back to an older one.
func (f *fleet) awaitVersion(t *testing.T, version int64, since, limit clocker.Millis) clocker.Millis {
	t.Helper()
	newest := map[*fleetHost]int64{}
	return f.await(since, limit, func(h *fleetHost) bool {
		inForce := h.configurationVersion()
		assert.Assert(t, inForce >= newest[h], "%s went back from version %d to %d", h.cfg.Settings.Host, newest[h], inForce)
		newest[h] = inForce
		return inForce >= version
	})
}

// await returns how long after since done is true for all hosts that are not cut off, at most
// limit.
func (f *fleet) await(since, limit clocker.Millis, done func(h *fleetHost) bool) clocker.Millis {
	for {
		behind := 0
		for _, h := range f.hosts {
			if !done(h) && !h.cut.Load() {
				behind++
			}
		}
		if behind == 0 || f.clock.Now()-since >= limit {
			return f.clock.Now() - since
		}
		f.sleep(10)
	}
}

// fleetStore is the store of a simulated fleet: one configuration and one backend server.
type fleetStore struct {
	fleet *fleet

	mu       sync.Mutex
	revision int64
	// objects holds the object of each kind, and sizes its size in bytes.
	objects map[string]storer.Object
	sizes   map[string]int
	// changed is closed by the next change.
	changed chan struct{}
	// oldest is the oldest revision that can be watched from, and hung ends the response of
	// watches that wait when the history is dropped.
	oldest int64
	hung   chan struct{}
	// linkFreeAt is when the store's link has sent all responses so far.
	linkFreeAt clocker.Millis
	// reads counts the calls in the second that started at readsSince, and mostReads is the
	// highest such count since busiestSecond was last called.
	reads, mostReads int
	readsSince       clocker.Millis
	// era rises with each restore.
	era int64
	// history holds all objects of each kind since the last restore, oldest first.
	history map[string][]storer.Object
	// calls counts the calls that reach the store.
	calls map[storeCall]int
}

// busiestSecond returns the most calls in one second since it was last called.
func (s *fleetStore) busiestSecond() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := s.mostReads
	s.mostReads = 0
	return most
}

// fleetCopy is a copy of the store.
type fleetCopy struct {
	revision int64
	objects  map[string]storer.Object
}

func (s *fleetStore) copy() fleetCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fleetCopy{revision: s.revision, objects: maps.Clone(s.objects)}
}

// restore brings the content of a copy back. Waiting watches end.
func (s *fleetStore) restore(c fleetCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.objects, s.history = c.revision, maps.Clone(c.objects), map[string][]storer.Object{}
	close(s.changed)
	s.changed = make(chan struct{})
}

func newFleetStore(f *fleet) *fleetStore {
	return &fleetStore{
		fleet: f, revision: 1, era: 1, objects: map[string]storer.Object{}, sizes: map[string]int{},
		changed: make(chan struct{}), hung: make(chan struct{}), history: map[string][]storer.Object{}, calls: map[storeCall]int{},
	}
}

// put replaces the configuration and returns when that was acknowledged.
func (s *fleetStore) put(c fleetConfiguration) clocker.Millis {
	value, _ := json.Marshal(c)
	return s.putObject("config", "config/main", value, c.Routes*fleetRouteBytes)
}

// putServer replaces the entry of the backend server and returns when that was acknowledged.
func (s *fleetStore) putServer(state string) clocker.Millis {
	return s.putObject("servers", "servers/"+fleetServer, []byte(state), 0)
}

func (s *fleetStore) putObject(kind, key string, value []byte, size int) clocker.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.sizes[kind] = size
	s.objects[kind] = storer.Object{Key: key, Version: s.revision, Value: value}
	s.history[kind] = append(s.history[kind], s.objects[kind])
	close(s.changed)
	s.changed = make(chan struct{})
	return s.fleet.clock.Now()
}

// dropHistory makes the present watches hang and drops the history. Watches from older
// revisions fail from now on.
func (s *fleetStore) dropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.hung)
	s.hung = make(chan struct{})
	s.revision++
	s.oldest = s.revision
}

// call counts a call and reports whether the store serves it.
func (s *fleetStore) call() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.fleet.clock.Now()
	if now-s.readsSince >= clocker.Second {
		s.reads, s.readsSince = 0, now
	}
	s.reads++
	s.mostReads = max(s.mostReads, s.reads)
	if s.reads > s.fleet.scale.readsPerSecond {
		return storer.ErrRateLimited{Key: "config"}
	}
	return nil
}

// transfer waits until a response of a size has arrived at a host.
func (s *fleetStore) transfer(ctx context.Context, size int) error {
	s.mu.Lock()
	now := s.fleet.clock.Now()
	s.linkFreeAt = max(s.linkFreeAt, now) + clocker.Millis(size/fleetStoreBytesPerMilli)
	wait := s.linkFreeAt - now + clocker.Millis(size/fleetHostBytesPerMilli) + fleetStoreResponseTime
	s.mu.Unlock()
	return s.fleet.clock.Sleep(ctx, wait)
}

// fleetStoreClient is the store as one host reaches it.
type fleetStoreClient struct {
	*fleetStore
	host *fleetHost
}

var (
	errFleetCutOff  = errors.New("the store is not reachable")
	errFleetRefused = errors.New("the store refuses the call")
)

// begin starts a call; without a path to the store it fails after the timeout.
func (s *fleetStoreClient) begin(ctx context.Context, timeout clocker.Millis) error {
	if s.host.cut.Load() || s.host.silent.Load() {
		if err := s.fleet.clock.Sleep(ctx, timeout); err != nil {
			return err
		}
		return errFleetCutOff
	}
	if s.host.refused.Load() {
		if err := s.fleet.clock.Sleep(ctx, fleetStoreResponseTime); err != nil {
			return err
		}
		return errFleetRefused
	}
	return s.call()
}

// List implements watcher.Source.
func (s *fleetStoreClient) List(ctx context.Context, kind string, _ bool) (objects []storer.Object, revision int64, err error) {
	s.count(kind, listCall)
	defer func() { s.recordList(kind, err) }()
	if err := s.begin(ctx, 2*clocker.Second); err != nil {
		return nil, 0, err
	}
	if kind == hostKind {
		return s.listHosts(), 0, nil
	}
	s.mu.Lock()
	o, size := s.objects[kind], s.sizes[kind]
	revision = versioner.New(s.era, s.revision)
	o.Version = versioner.New(s.era, o.Version)
	s.mu.Unlock()
	return []storer.Object{o}, revision, s.transfer(ctx, size)
}

func (s *fleetStoreClient) listHosts() []storer.Object {
	var objects []storer.Object
	for _, h := range s.fleet.hosts {
		settings := h.cfg.Settings
		value, _ := proto.Marshal(&messenger.Host{Name: settings.Host, AvailabilityZone: settings.AvailabilityZone, ExchangeAddress: settings.ExchangeAddress})
		objects = append(objects, storer.Object{Key: hostKind + "/" + settings.Host, Value: value})
	}
	return objects
}

// Watch implements watcher.Source.
func (s *fleetStoreClient) Watch(ctx context.Context, kind string, since int64, wait clocker.Millis) (changes []storer.Change, next int64, err error) {
	s.host.watches.Add(1)
	s.count(kind, watchCall)
	defer func() { s.recordWatch(ctx, kind, len(changes), err) }()
	if err := s.begin(ctx, wait+fleetWatchMargin); err != nil {
		return nil, 0, err
	}
	waitCtx, cancel := s.fleet.clock.WithTimeout(ctx, wait)
	defer cancel()
	for {
		s.mu.Lock()
		o, size, revision, oldest, changed, hung := s.objects[kind], s.sizes[kind], versioner.New(s.era, s.revision), versioner.New(s.era, s.oldest), s.changed, s.hung
		o.Version = versioner.New(s.era, o.Version)
		history := s.history[kind]
		s.mu.Unlock()
		switch {
		case s.host.refused.Load():
			return nil, 0, errFleetRefused
		case s.host.silent.Load():
			<-waitCtx.Done()
			_ = s.fleet.clock.Sleep(ctx, fleetWatchMargin)
			return nil, 0, errFleetCutOff
		case since < oldest || versioner.Era(since) != versioner.Era(revision):
			return nil, 0, storer.ErrHistoryGone{Kind: kind}
		case o.Version > since:
			var newer []storer.Change
			for _, old := range history {
				if old.Version = versioner.New(versioner.Era(revision), old.Version); old.Version > since {
					newer = append(newer, storer.Change{Object: old})
				}
			}
			if len(newer) == 0 { // the store came back from a copy, which has no history
				newer = []storer.Change{{Object: o}}
			}
			return newer, revision, s.transfer(ctx, size*len(newer))
		}
		select {
		case <-waitCtx.Done():
			return nil, max(since, revision), ctx.Err()
		case <-hung:
			<-waitCtx.Done()
			_ = s.fleet.clock.Sleep(ctx, fleetWatchMargin) // the call fails in any case
			return nil, 0, storer.ErrOutcomeUnknown{Key: kind, Cause: "no answer"}
		case <-changed:
		}
	}
}

// GetStale, Get, Create and Update complete Store; the hosts of a fleet hold no budgets.
func (*fleetStoreClient) GetStale(context.Context, string) (storer.Object, error) {
	return storer.Object{}, storer.ErrNotFound{}
}

// Get implements Store.
func (*fleetStoreClient) Get(context.Context, string) (storer.Object, error) {
	return storer.Object{}, storer.ErrNotFound{}
}

// Create implements Store.
func (*fleetStoreClient) Create(context.Context, string, []byte) (storer.Object, error) {
	return storer.Object{}, storer.ErrNotFound{}
}

// Update implements Store.
func (*fleetStoreClient) Update(context.Context, string, int64, []byte) (storer.Object, error) {
	return storer.Object{}, storer.ErrNotFound{}
}
