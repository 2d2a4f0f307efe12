// Package spreader distributes the configuration to all hosts. It publishes new
// versions by conditional update and receives them through a watch on the head
// object, a slow poll of the platform, and pulls from peers. The version in
// force at a host only increases.
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

// HeadKey is the key of the head object. Conditional updates of the head put
// the versions in order.
const HeadKey = "config/head"

// rememberedVersions is the number of recent versions whose part keys are kept.
// A peer that has one of them is sent only the parts that it lacks.
const rememberedVersions = 64

// Store is the subset of the Object API that the spreader uses.
type Store interface {
	Get(ctx context.Context, key string) (storer.Object, error)
	Create(ctx context.Context, key string, value []byte) (storer.Object, error)
	Update(ctx context.Context, key string, version int64, value []byte) (storer.Object, error)
	Delete(ctx context.Context, key string, version int64) error
	Watch(ctx context.Context, prefix string, since int64) ([]storer.Object, error)
}

// Exchange is the subset of the transport between routers that the spreader uses.
type Exchange interface {
	PullConfiguration(ctx context.Context, address string, req *messenger.PullRequest) (*messenger.PullReply, error)
}

// Config configures a Spreader.
type Config struct {
	Host             string // name of this host
	AvailabilityZone string
	Clock            *clocker.Clock
	Store            Store
	Exchange         Exchange
	// Peers returns the other routers; nil means that there are none.
	Peers func() []heartbeater.Peer
	// Seeds are exchange addresses to pull from at startup.
	Seeds []string
	// Log receives state changes; nil means slog.Default.
	Log *slog.Logger
}

// snapshot is one complete version of the configuration.
type snapshot struct {
	head  *messenger.ConfigurationHead
	parts map[string]*messenger.ConfigurationPart
	index *indexer.Index
}

// Spreader holds the version in force. It is safe for concurrent use.
type Spreader struct {
	cfg               Config
	current           atomic.Pointer[snapshot]
	ready             atomic.Bool
	platformReachable atomic.Bool // the latest call to the platform was answered
	// watchedHeadVersion is the highest object version of the head that a watch
	// returned.
	watchedHeadVersion atomic.Int64

	mu sync.Mutex // serializes adopt
	// partKeysByVersion holds the part keys of recent versions.
	partKeysByVersion map[int64]map[string]bool

	cancel context.CancelFunc
	group  *errgroup.Group
}

// New starts a spreader at version 0.
func New(ctx context.Context, cfg Config) *Spreader {
	if cfg.Peers == nil {
		cfg.Peers = func() []heartbeater.Peer { return nil }
	}
	if cfg.Log == nil {
		cfg.Log = slog.Default()
	}
	s := &Spreader{cfg: cfg, partKeysByVersion: map[int64]map[string]bool{}}
	s.current.Store(&snapshot{head: &messenger.ConfigurationHead{}, index: indexer.New(&messenger.Configuration{})})
	s.platformReachable.Store(true)
	ctx, s.cancel = context.WithCancel(ctx)
	s.group, ctx = errgroup.WithContext(ctx)
	started := make(chan struct{})
	s.group.Go(func() error {
		s.learnInitialVersion(ctx)
		close(started)
		return s.pollLoop(ctx)
	})
	s.group.Go(func() error {
		<-started
		return s.watchLoop(ctx)
	})
	s.group.Go(func() error {
		<-started
		return s.pullLoop(ctx)
	})
	return s
}

// Close stops the background tasks and waits for them.
func (s *Spreader) Close(ctx context.Context) error {
	s.cancel()
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

// Index returns the version in force. It is version 0 until the first version
// is adopted.
func (s *Spreader) Index() *indexer.Index {
	return s.current.Load().index
}

// Ready reports whether the host has queried the platform and its peers since
// startup and has a version in force.
func (s *Spreader) Ready() bool {
	return s.ready.Load() && s.Index().Version() > 0
}

// PlatformReachable reports whether the latest call to the platform was answered.
func (s *Spreader) PlatformReachable() bool {
	return s.platformReachable.Load()
}

// PullConfiguration returns the head and the parts that the requester's version
// lacks. The reply is empty if the requester is up to date.
func (s *Spreader) PullConfiguration(_ context.Context, req *messenger.PullRequest) (*messenger.PullReply, error) {
	current := s.current.Load()
	if current.head.Version <= req.GetKnownVersion() {
		return &messenger.PullReply{}, nil
	}
	s.mu.Lock()
	knownKeys := s.partKeysByVersion[req.GetKnownVersion()]
	s.mu.Unlock()
	reply := &messenger.PullReply{Head: headForPeers(current.head)}
	for _, key := range current.head.PartKeys {
		if !knownKeys[key] {
			reply.Parts = append(reply.Parts, current.parts[key])
		}
	}
	countOutcome("sent", "peer")
	return reply, nil
}

// headForPeers returns the head without the fields that only publishers read.
func headForPeers(h *messenger.ConfigurationHead) *messenger.ConfigurationHead {
	return &messenger.ConfigurationHead{
		Version:     h.Version,
		PartKeys:    h.PartKeys,
		AppliedBy:   h.AppliedBy,
		AppliedAtMs: h.AppliedAtMs,
		OperationId: h.OperationId,
	}
}

// adopt puts a complete version in force if it is higher than the current one.
func (s *Spreader) adopt(head *messenger.ConfigurationHead, parts map[string]*messenger.ConfigurationPart, source string) error {
	ordered := make([]*messenger.ConfigurationPart, 0, len(head.PartKeys))
	for _, key := range head.PartKeys {
		if parts[key] == nil {
			return ErrBadPart{Key: key, Reason: "is missing"}
		}
		ordered = append(ordered, parts[key])
	}
	declarations, err := Join(ordered)
	if err != nil {
		return trace.Wrap(err)
	}
	next := &snapshot{head: head, parts: parts, index: indexer.New(&messenger.Configuration{
		Version:      head.Version,
		Declarations: declarations,
		AppliedBy:    head.AppliedBy,
		AppliedAtMs:  head.AppliedAtMs,
		OperationId:  head.OperationId,
	})}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.current.Load()
	if !Supersedes(head.Version, current.head.Version) {
		countOutcome("not_higher", source)
		return nil
	}
	s.recordPartKeys(head)
	s.current.Store(next)
	countOutcome("adopted", source)
	s.cfg.Log.Info("configuration in force", "Host", s.cfg.Host, "Version", head.Version,
		"Before", current.head.Version, "Source", source, "AfterMs", int64(s.cfg.Clock.Now())-head.AppliedAtMs)
	return nil
}

// Supersedes reports whether an offered version may replace the one in force.
func Supersedes(offered, inForce int64) bool {
	return offered > inForce
}

// recordPartKeys records the part keys of a version and drops those of old
// versions. The caller holds mu.
func (s *Spreader) recordPartKeys(head *messenger.ConfigurationHead) {
	keys := make(map[string]bool, len(head.PartKeys))
	for _, key := range head.PartKeys {
		keys[key] = true
	}
	s.partKeysByVersion[head.Version] = keys
	for version := range s.partKeysByVersion {
		if version <= head.Version-rememberedVersions {
			delete(s.partKeysByVersion, version)
		}
	}
}

func countOutcome(outcome, source string) {
	metrics.GetOrCreateCounter(`cowsliphinge_configuration_total{outcome="` + outcome + `",source="` + source + `"}`).Inc()
}
