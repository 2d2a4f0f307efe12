// Package spreader keeps the configuration in force at this host: it publishes
// new versions by conditional update and learns them by one watch, by a slow
// poll, and from peers. A host only ever moves to a higher version.
package spreader

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
	"cowsliphinge/indexer"
	"cowsliphinge/messenger"
	"cowsliphinge/storer"
)

// HeadKey is the key of the object that orders versions.
const HeadKey = "config/head"

// rememberedVersions is how many earlier versions a peer may know and still be
// sent only the parts that it lacks.
const rememberedVersions = 64

// Store is what the spreader needs of the Object API.
type Store interface {
	Get(ctx context.Context, key string) (storer.Object, error)
	Create(ctx context.Context, key string, value []byte) (storer.Object, error)
	Update(ctx context.Context, key string, version int64, value []byte) (storer.Object, error)
	Delete(ctx context.Context, key string, version int64) error
	Watch(ctx context.Context, prefix string, since int64) ([]storer.Object, error)
}

// Exchange is what the spreader needs of the transport between routers.
type Exchange interface {
	PullConfiguration(ctx context.Context, address string, req *messenger.PullRequest) (*messenger.PullReply, error)
}

// Config configures a Spreader.
type Config struct {
	// Host is the name of this host.
	Host             string
	AvailabilityZone string
	Clock            *clocker.Clock
	Store            Store
	Exchange         Exchange
	// Peers returns the other routers; nil means none.
	Peers func() []heartbeater.Peer
	// Seeds are exchange addresses to learn from at start.
	Seeds []string
	// Log gets changes of state; nil means slog.Default.
	Log *slog.Logger
}

// snapshot is one version, complete.
type snapshot struct {
	head  *messenger.ConfigurationHead
	parts map[string]*messenger.ConfigurationPart
	index *indexer.Index
}

// Spreader holds the version in force. All methods may be called from many goroutines.
type Spreader struct {
	cfg     Config
	now     atomic.Pointer[snapshot]
	ready   atomic.Bool
	reached atomic.Bool // the latest call to the platform was answered
	// watched is the highest object version of the head that was seen.
	watched atomic.Int64

	mu sync.Mutex // serializes adopt
	// known holds the part keys of earlier versions.
	known map[int64]map[string]bool

	stop  context.CancelFunc
	group *errgroup.Group
}

// New starts a spreader that knows nothing yet.
func New(ctx context.Context, cfg Config) *Spreader {
	if cfg.Peers == nil {
		cfg.Peers = func() []heartbeater.Peer { return nil }
	}
	if cfg.Log == nil {
		cfg.Log = slog.Default()
	}
	s := &Spreader{cfg: cfg, known: map[int64]map[string]bool{}}
	s.now.Store(&snapshot{head: &messenger.ConfigurationHead{}, index: indexer.New(&messenger.Configuration{})})
	s.reached.Store(true)
	ctx, s.stop = context.WithCancel(ctx)
	s.group, ctx = errgroup.WithContext(ctx)
	started := make(chan struct{})
	s.group.Go(func() error {
		s.start(ctx)
		close(started)
		return s.pollDuty(ctx)
	})
	s.group.Go(func() error {
		<-started
		return s.watchDuty(ctx)
	})
	s.group.Go(func() error {
		<-started
		return s.pullDuty(ctx)
	})
	return s
}

// Close stops the duties and waits for them.
func (s *Spreader) Close(ctx context.Context) error {
	s.stop()
	done := make(chan struct{})
	go func() {
		_ = s.group.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}

// Index returns the version in force, which has version 0 before anything is known.
func (s *Spreader) Index() *indexer.Index {
	return s.now.Load().index
}

// Ready reports whether the host asked the platform and its peers since its
// start and has a version in force.
func (s *Spreader) Ready() bool {
	return s.ready.Load() && s.Index().Version() > 0
}

// PlatformReachable reports whether the latest call to the platform was answered.
func (s *Spreader) PlatformReachable() bool {
	return s.reached.Load()
}

// PullConfiguration returns what the asker's version lacks.
func (s *Spreader) PullConfiguration(_ context.Context, req *messenger.PullRequest) (*messenger.PullReply, error) {
	now := s.now.Load()
	if now.head.Version <= req.GetKnownVersion() {
		return &messenger.PullReply{}, nil
	}
	s.mu.Lock()
	known := s.known[req.GetKnownVersion()]
	s.mu.Unlock()
	reply := &messenger.PullReply{Head: headForPeers(now.head)}
	for _, key := range now.head.PartKeys {
		if !known[key] {
			reply.Parts = append(reply.Parts, now.parts[key])
		}
	}
	count("sent", "peer")
	return reply, nil
}

// headForPeers returns the head without what only publishers read.
func headForPeers(h *messenger.ConfigurationHead) *messenger.ConfigurationHead {
	return &messenger.ConfigurationHead{
		Version:     h.Version,
		PartKeys:    h.PartKeys,
		AppliedBy:   h.AppliedBy,
		AppliedAtMs: h.AppliedAtMs,
		OperationId: h.OperationId,
	}
}

// adopt puts a complete version in force if it is higher than the present one.
func (s *Spreader) adopt(head *messenger.ConfigurationHead, parts map[string]*messenger.ConfigurationPart, source string) error {
	ordered := make([]*messenger.ConfigurationPart, 0, len(head.PartKeys))
	for _, key := range head.PartKeys {
		if parts[key] == nil {
			return ErrBadPart{Key: key, Reason: "is missing"}
		}
		ordered = append(ordered, parts[key])
	}
	d, err := Join(ordered)
	if err != nil {
		return trace.Wrap(err)
	}
	next := &snapshot{head: head, parts: parts, index: indexer.New(&messenger.Configuration{
		Version:      head.Version,
		Declarations: d,
		AppliedBy:    head.AppliedBy,
		AppliedAtMs:  head.AppliedAtMs,
		OperationId:  head.OperationId,
	})}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now.Load()
	if !Supersedes(head.Version, now.head.Version) {
		count("not_higher", source)
		return nil
	}
	s.remember(head)
	s.now.Store(next)
	count("adopted", source)
	s.cfg.Log.Info("configuration in force", "Host", s.cfg.Host, "Version", head.Version,
		"Before", now.head.Version, "Source", source, "AfterMs", int64(s.cfg.Clock.Now())-head.AppliedAtMs)
	return nil
}

// Supersedes reports whether an offered version may replace the one in force.
func Supersedes(offered, inForce int64) bool {
	return offered > inForce
}

// remember keeps the part keys of a version; the caller holds mu.
func (s *Spreader) remember(head *messenger.ConfigurationHead) {
	keys := make(map[string]bool, len(head.PartKeys))
	for _, key := range head.PartKeys {
		keys[key] = true
	}
	s.known[head.Version] = keys
	for version := range s.known {
		if version <= head.Version-rememberedVersions {
			delete(s.known, version)
		}
	}
}

func count(outcome, source string) {
	metrics.GetOrCreateCounter(`cowsliphinge_configuration_total{outcome="` + outcome + `",source="` + source + `"}`).Inc()
}
