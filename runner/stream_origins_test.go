package runner

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"cowsliphinge/chooser"
	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
	"cowsliphinge/messenger"
	"cowsliphinge/recorder"
	"cowsliphinge/storer"
)

// originFleet is hosts that keep the origins of streams for each other and share a store. It must be
// used in a synctest bubble.
type originFleet struct {
	clock *clocker.Clock
	store *softwareStore
	hosts []*originHost
	// mu protects hosts while one is added.
	mu sync.Mutex
}

type originHost struct {
	*Runner
	name   string
	cancel context.CancelFunc
	dead   atomic.Bool
}

// softwareStore holds the record of software versions.
type softwareStore struct {
	Store
	mu     sync.Mutex
	object storer.Object
	writes int
	// down makes each call fail.
	down bool
}

var errStoreDown = errors.New("the store is down")

func (s *softwareStore) Get(context.Context, string) (storer.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return storer.Object{}, errStoreDown
	case s.object.Version == 0:
		return storer.Object{}, storer.ErrNotFound{}
	}
	return s.object, nil
}

func (s *softwareStore) Create(ctx context.Context, key string, value []byte) (storer.Object, error) {
	return s.Update(ctx, key, 0, value)
}

func (s *softwareStore) Update(_ context.Context, key string, version int64, value []byte) (storer.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return storer.Object{}, errStoreDown
	}
	if version != s.object.Version {
		return s.object, storer.ErrConflict{}
	}
	s.writes++
	s.object = storer.Object{Key: key, Version: version + 1, Value: value}
	return s.object, nil
}

// setDown makes all further calls fail, or ends that.
func (s *softwareStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// takeWrites returns the number of writes since the last call.
func (s *softwareStore) takeWrites() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.writes
	s.writes = 0
	return n
}

// all returns the hosts.
func (f *originFleet) all() []*originHost {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.hosts)
}

// ShareOrigins implements originExchange. A dead host does not answer.
func (f *originFleet) ShareOrigins(ctx context.Context, address string, q *messenger.OriginRequest) (*messenger.OriginReply, error) {
	for _, h := range f.all() {
		if h.name == address && !h.dead.Load() {
			return h.origins.ShareOrigins(ctx, q)
		}
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

func newOriginFleet(hosts int) *originFleet {
	f := &originFleet{clock: clocker.NewWall(), store: &softwareStore{}}
	for i := range hosts {
		f.start(fmt.Sprintf("h%03d", i))
	}
	return f
}

// start starts a host that knows all others.
func (f *originFleet) start(name string) *originHost {
	cfg := Config{Clock: f.clock, Log: slog.New(slog.DiscardHandler), Settings: Settings{Host: name}, Platform: Platform{Store: f.store}}
	h := &originHost{Runner: &Runner{cfg: cfg}, name: name}
	h.origins = newStreamOrigins(h.Runner)
	h.origins.exchange = f
	h.origins.resumable = func(service string) bool { return service == "s" }
	h.origins.peers = func() []heartbeater.Peer {
		var peers []heartbeater.Peer
		for _, other := range f.all() {
			if other.name != name {
				peers = append(peers, heartbeater.Peer{Host: other.name, ExchangeAddress: other.name, Incarnation: "x"})
			}
		}
		return peers
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	f.mu.Lock()
	f.hosts = append(f.hosts, h)
	f.mu.Unlock()
	go func() { _ = h.keepOrigins(ctx) }() // ends by kill or stop
	return h
}

// kill ends hosts without their peers noticing.
func (f *originFleet) kill(hosts ...*originHost) {
	for _, h := range hosts {
		h.dead.Store(true)
		h.cancel()
	}
}

func (f *originFleet) stop() {
	f.kill(f.hosts...)
	synctest.Wait()
}

// know makes all live hosts know a server of each version, now and from then on.
func (f *originFleet) know(software ...string) {
	for _, h := range f.hosts {
		for _, version := range software {
			h.origins.seen(chooser.Server{Service: "s", Software: version})
		}
	}
}

func (f *originFleet) sleep(d clocker.Millis) { f.clock.SleepUncancellable(d) }

// A host that took a stream up did not know at which version it had begun. With two versions in use each
// stream is known everywhere soon after its first event, also once the host that began it is dead.
func TestStreamsAreKnownAfterTheDeathOfTheirHost(t *testing.T) {
	for _, hosts := range []int{2, 8, 195} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newOriginFleet(hosts)
				defer f.stop()
				f.know("v1", "v2")
				f.sleep(clocker.Second)
				for i := range 20 {
					f.hosts[0].origins.Began(fmt.Sprint("a", i), chooser.Server{Service: "s", Software: "v1"})
				}
				f.sleep(2 * originShareInterval)
				f.kill(f.hosts[0])
				for i := range 20 {
					asking := f.hosts[1+i%(hosts-1)]
					software, known := asking.origins.Origin(t.Context(), fmt.Sprint("a", i), "s")
					assert.Assert(t, known, "stream %d at %s", i, asking.name)
					assert.Equal(t, software, "v1")
				}
				_, known := f.hosts[1].origins.Origin(t.Context(), "", "s")
				assert.Assert(t, !known, "a caller that names no stream")
				began := f.clock.Now()
				_, known = f.hosts[1].origins.Origin(t.Context(), "never seen", "s")
				assert.Assert(t, !known)
				assert.Assert(t, f.clock.Now()-began < clocker.Second)
			})
		})
	}
}

// Streams that began while one version was in use were not told to anybody; a second version comes, and
// their host dies.
func TestStreamsOfBeforeANewVersionAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newOriginFleet(8)
		defer f.stop()
		f.know("v1")
		f.sleep(clocker.Second)
		f.hosts[0].origins.Began("early", chooser.Server{Service: "s", Software: "v1"})
		f.sleep(clocker.Second)
		f.know("v1", "v2")
		f.sleep(originShareInterval + softwareCheckInterval)
		f.kill(f.hosts[0])
		software, known := f.hosts[5].origins.Origin(t.Context(), "early", "s")
		assert.Assert(t, known && software == "v1")
	})
}

// All hosts died while, or shortly after, two versions were in use, and streams were joined by hosts that
// knew only the servers of today. With one version all along nothing has to be known of a stream.
func TestUnknownStreamsAreNotJoinedAfterTheDeathOfAllHosts(t *testing.T) {
	for _, c := range []struct {
		name          string
		before, after []string
		known         bool
	}{
		{"one version", []string{"v1"}, []string{"v1"}, true},
		{"two versions", []string{"v1", "v2"}, []string{"v1", "v2"}, false},
		{"the old one has just left", []string{"v1", "v2"}, []string{"v2"}, false},
		{"another one while all were dead", []string{"v1"}, []string{"v2"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newOriginFleet(4)
				f.know(c.before...)
				f.sleep(clocker.Second)
				f.hosts[0].origins.Began("stream", chooser.Server{Service: "s", Software: "v1"})
				f.sleep(clocker.Second)
				f.stop()
				f.mu.Lock()
				f.hosts = nil
				f.mu.Unlock()
				for i := range 4 {
					f.start(fmt.Sprint("new", i))
				}
				defer f.stop()
				f.know(c.after...)
				f.sleep(clocker.Second)
				software, known := f.hosts[2].origins.Origin(t.Context(), "stream", "s")
				assert.Equal(t, known, c.known)
				assert.Equal(t, software, map[bool]string{true: "v1"}[c.known])
				for elapsed := clocker.Millis(0); elapsed < 2*minOriginLifetime; elapsed += clocker.Second {
					f.know(c.after[len(c.after)-1])
					f.sleep(clocker.Second)
				}
				software, known = f.hosts[2].origins.Origin(t.Context(), "later", "s")
				assert.Assert(t, known, "only one version is in use again")
				assert.Equal(t, software, c.after[len(c.after)-1])
			})
		})
	}
}

// Servers of a new version got requests before the store knew of the version. They wait for the record,
// but not for a store that is down; a service whose streams are never taken up does not wait.
func TestNewVersionIsRecordedBeforeItsFirstRequest(t *testing.T) {
	for _, hosts := range []int{1, 8, 195} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newOriginFleet(hosts)
				defer f.stop()
				f.know("v1")
				f.sleep(clocker.Second)
				synctest.Wait() // the checks of this moment are over
				f.store.takeWrites()
				f.know("v1", "v2")
				admitted := func() int {
					n := 0
					for _, h := range f.hosts {
						assert.Assert(t, h.origins.admits("s", "v1") && h.origins.admits("plain", "v9"))
						if h.origins.admits("s", "v2") {
							n++
						}
					}
					return n
				}
				assert.Equal(t, admitted(), 0)
				f.sleep(3 * softwareCheckInterval)
				assert.Equal(t, admitted(), hosts)
				writes := f.store.takeWrites()
				assert.Assert(t, writes <= 2, "%d writes", writes)

				f.store.setDown(true)
				f.know("v1", "v2", "v3")
				f.sleep(clocker.Second)
				f.know("v1", "v2", "v3")
				assert.Assert(t, !f.hosts[0].origins.admits("s", "v3"))
				f.sleep(clocker.Second)
				assert.Assert(t, f.hosts[0].origins.admits("s", "v3"))
			})
		})
	}
}

// What a peer sends is bounded by its message and must not end a process.
func TestMalformedOriginsAreHarmless(t *testing.T) {
	f := &originFleet{clock: clocker.NewWall(), store: &softwareStore{}}
	h := &originHost{Runner: &Runner{cfg: Config{Clock: f.clock, Log: slog.New(slog.DiscardHandler)}}}
	h.origins = newStreamOrigins(h.Runner)
	_, err := h.origins.ShareOrigins(t.Context(), &messenger.OriginRequest{Began: []*messenger.OriginBatch{{}, {Streams: []uint64{0, 0}}}, Wanted: []uint64{0, 7}})
	assert.NilError(t, err)
	h.origins.applyRecord(map[string][]string{"": {"", ""}})
	_, known := h.origins.find(recorder.StreamHash("x"))
	assert.Assert(t, !known)
}

// cutOff makes a host hear neither from the store nor from other hosts, or from one of them alone.
func (h *originHost) cutOff(store, peers bool) {
	if store {
		h.origins.readRecord = func(context.Context) bool { return false }
	}
	if peers {
		h.origins.peers = func() []heartbeater.Peer { return nil }
	}
}

// Guards against a stream that goes on at a server of another version: a host that was cut off, or stood
// still, while servers of a new version joined knows the old version alone and took it for the origin of a stream
// that had begun at the new one through another host.
func TestHostOutOfStepDoesNotTakeTheOldVersionForTheOrigin(t *testing.T) {
	for _, c := range []struct {
		name         string
		store, peers bool
		known        bool
	}{
		{"without the news of servers", false, false, true},
		{"without the store", true, false, true},
		{"without other hosts", false, true, false},
		{"without both", true, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newOriginFleet(3)
				defer f.stop()
				f.know("v1")
				f.sleep(clocker.Second)
				f.hosts[2].cutOff(c.store, c.peers)
				f.hosts[2].dead.Store(true) // stands still
				for _, h := range f.hosts[:2] {
					h.origins.seen(chooser.Server{Service: "s", Software: "v2"})
				}
				f.sleep(clocker.Second)
				assert.Assert(t, f.hosts[0].origins.admits("s", "v2"))
				f.hosts[0].origins.Began("a", chooser.Server{Service: "s", Software: "v2"})
				f.sleep(originCallTimeout + originShareInterval)
				f.hosts[2].dead.Store(false)
				software, known := f.hosts[2].origins.Origin(t.Context(), "a", "s")
				assert.Equal(t, known, c.known)
				if known {
					assert.Equal(t, software, "v2")
				}
				_, known = f.hosts[2].origins.Origin(t.Context(), "", "s")
				assert.Assert(t, !known, "a caller that names no stream")
			})
		})
	}
}

// Guards against a stream that goes on at another version on the word of one host that nobody would have told:
// the hosts that were told of the stream do not answer.
func TestHostsThatWereNotToldDoNotProveTheOrigin(t *testing.T) {
	for _, hosts := range []int{4, 8, 90} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newOriginFleet(hosts)
				defer f.stop()
				f.know("v1")
				f.sleep(clocker.Second)
				outOfStep := f.hosts[hosts-1]
				outOfStep.cutOff(true, false)
				outOfStep.dead.Store(true) // stands still
				for _, h := range f.hosts[:hosts-1] {
					h.origins.seen(chooser.Server{Service: "s", Software: "v2"})
				}
				f.sleep(clocker.Second)
				for i := range 20 {
					id := fmt.Sprint("a", i)
					f.hosts[0].origins.Began(id, chooser.Server{Service: "s", Software: "v2"})
					f.sleep(originCallTimeout + originShareInterval)
					told := f.hosts[0].origins.keepers(recorder.StreamHash(id), originKeepers)
					silent := append(told, f.hosts[0].name)
					setSilent := func(dead bool) {
						for _, h := range f.hosts[:hosts-1] {
							h.dead.Store(dead && slices.Contains(silent, h.name))
						}
					}
					setSilent(true)
					outOfStep.dead.Store(false)
					software, known := outOfStep.origins.Origin(t.Context(), id, "s")
					assert.Check(t, !known, "stream %d goes on at %s", i, software)
					setSilent(false)
					outOfStep.dead.Store(true)
				}
			})
		})
	}
}

// Guards against a stream that goes on at another version on the word of hosts that are cut off alike: the hosts of a
// zone hear neither from the store nor from other zones while servers of a new version join.
func TestZoneOutOfStepDoesNotTakeTheOldVersionForTheOrigin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newOriginFleet(8)
		defer f.stop()
		f.know("v1")
		f.sleep(clocker.Second)
		const zoneStart = 5
		for i, h := range f.hosts {
			all := h.origins.peers
			h.origins.peers = func() []heartbeater.Peer {
				return slices.DeleteFunc(all(), func(p heartbeater.Peer) bool { return (p.Host >= f.hosts[zoneStart].name) != (i >= zoneStart) })
			}
			if i >= zoneStart {
				h.cutOff(true, false)
				continue
			}
			h.origins.seen(chooser.Server{Service: "s", Software: "v2"})
		}
		f.sleep(clocker.Second)
		assert.Assert(t, f.hosts[0].origins.admits("s", "v2"))
		f.hosts[0].origins.Began("a", chooser.Server{Service: "s", Software: "v2"})
		f.sleep(originCallTimeout + originShareInterval)
		for _, h := range f.hosts[zoneStart:] {
			software, known := h.origins.Origin(t.Context(), "a", "s")
			assert.Check(t, !known, "%s: the stream goes on at %s", h.name, software)
		}
	})
}

// Guards against streams that are all refused as a cure: with one version in use they go on, while the store or
// another host answers.
func TestStreamsGoOnWhereOneVersionIsConfirmed(t *testing.T) {
	for _, c := range []struct{ store, peers, known bool }{{false, false, true}, {true, false, true}, {false, true, true}, {true, true, false}} {
		synctest.Test(t, func(t *testing.T) {
			f := newOriginFleet(3)
			defer f.stop()
			f.know("v1")
			f.sleep(clocker.Second)
			f.hosts[0].origins.Began("a", chooser.Server{Service: "s", Software: "v1"})
			f.hosts[2].cutOff(c.store, c.peers)
			software, known := f.hosts[2].origins.Origin(t.Context(), "a", "s")
			assert.Equal(t, known, c.known)
			if known {
				assert.Equal(t, software, "v1")
			}
		})
	}
}

// Guards against a stream that goes on at the only version that entries name, although it began at a server
// whose entry is that of an earlier incarnation.
func TestStreamOfAnUnlistedIncarnationIsNotOfTheOnlyVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newOriginFleet(3)
		defer f.stop()
		f.know("v1")
		f.sleep(clocker.Second)
		f.store.takeWrites()
		f.hosts[0].origins.Began("a", chooser.Server{Service: "s", Software: "i-1@2"})
		f.sleep(softwareWritePatience + 2*softwareCheckInterval)
		for _, h := range f.hosts {
			software, known := h.origins.Origin(t.Context(), "a", "s")
			assert.Assert(t, known && software == "i-1@2", "%s: %q, known %t", h.name, software, known)
			_, known = h.origins.Origin(t.Context(), "", "s")
			assert.Assert(t, !known, "%s: a caller that names no stream", h.name)
		}
		assert.Assert(t, f.store.takeWrites() <= 2)
	})
}
