package spreader

import (
	"context"
	"errors"
	"sync"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/storer"
)

const (
	// watchTimeout bounds one watch call, so that a host notices when it is no
	// longer a watcher.
	watchTimeout = 20 * clocker.Second
	// watchRetryDelay is the wait after a failed watch, and between checks of whether
	// this host is a watcher.
	watchRetryDelay = 1 * clocker.Second
	// watcherPollInterval is the poll interval of a watcher, in milliseconds. It
	// bounds the delay if its watches stall.
	watcherPollInterval = 2500
	// defaultPollInterval is the poll interval of all other hosts.
	defaultPollInterval = 30 * clocker.Second
	// pullInterval is the wait between two rounds of pulls from peers, in
	// milliseconds.
	pullInterval = 500
	// callTimeout bounds a call to the platform or a peer.
	callTimeout = 2 * clocker.Second
	// maxInitialPeers bounds the peers queried at startup, in addition to the seeds.
	maxInitialPeers = 8
	// initialRetryDelay is the wait after the first attempt to learn a version at
	// startup, in milliseconds. It doubles up to maxInitialRetryDelay.
	initialRetryDelay    = 500
	maxInitialRetryDelay = 4 * clocker.Second
)

// learnInitialVersion adopts the highest version that the platform and the peers
// report, then marks the host ready. It retries until a version is known.
func (s *Spreader) learnInitialVersion(ctx context.Context) {
	for wait := clocker.Millis(initialRetryDelay); ctx.Err() == nil; wait = min(2*wait, maxInitialRetryDelay) {
		s.learnFromAllSources(ctx)
		if s.Index().Version() > 0 {
			s.ready.Store(true)
			return
		}
		if s.cfg.Clock.Sleep(ctx, wait) != nil {
			return
		}
	}
}

// learnFromAllSources queries the platform, the seeds and some peers in parallel.
func (s *Spreader) learnFromAllSources(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { _ = s.Refresh(ctx) })
	for _, address := range s.initialAddresses() {
		wg.Go(func() { _ = s.pull(ctx, address) })
	}
	wg.Wait()
}

func (s *Spreader) initialAddresses() []string {
	addresses := append([]string(nil), s.cfg.Seeds...)
	for i, p := range s.cfg.Peers() {
		if i == maxInitialPeers {
			break
		}
		if p.Host != s.cfg.Host && p.ExchangeAddress != "" {
			addresses = append(addresses, p.ExchangeAddress)
		}
	}
	return addresses
}

// Refresh reads the head from the platform and adopts it if it is higher.
func (s *Spreader) Refresh(ctx context.Context) error {
	head, _, err := s.readHead(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	return s.fetchAndAdopt(ctx, head)
}

// readHead returns the head on the platform and its object version. Before the
// first apply the head is empty and its object version is 0.
func (s *Spreader) readHead(ctx context.Context) (*messenger.ConfigurationHead, int64, error) {
	ctx, cancel := s.cfg.Clock.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := s.cfg.Store.Get(ctx, HeadKey)
	s.platformReachable.Store(err == nil || storer.IsErrNotFound(err))
	if storer.IsErrNotFound(err) {
		return &messenger.ConfigurationHead{}, 0, nil
	}
	if err != nil {
		countOutcome("failed", "platform")
		return nil, 0, trace.Wrap(err)
	}
	head := &messenger.ConfigurationHead{}
	if err := proto.Unmarshal(o.Value, head); err != nil {
		return nil, 0, trace.Wrap(err)
	}
	return head, o.Version, nil
}

// fetchAndAdopt fetches the missing parts of a head and adopts its version.
func (s *Spreader) fetchAndAdopt(ctx context.Context, head *messenger.ConfigurationHead) error {
	if !Supersedes(head.Version, s.Index().Version()) {
		return nil
	}
	parts, err := s.fetchParts(ctx, head)
	if err != nil {
		return trace.Wrap(err)
	}
	return s.adopt(head, parts, "platform")
}

func (s *Spreader) fetchParts(ctx context.Context, head *messenger.ConfigurationHead) (map[string]*messenger.ConfigurationPart, error) {
	current := s.current.Load()
	parts := make(map[string]*messenger.ConfigurationPart, len(head.PartKeys))
	for _, key := range head.PartKeys {
		if p := current.parts[key]; p != nil {
			parts[key] = p
			continue
		}
		p, err := s.fetchPart(ctx, key)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		parts[key] = p
	}
	return parts, nil
}

func (s *Spreader) fetchPart(ctx context.Context, key string) (*messenger.ConfigurationPart, error) {
	ctx, cancel := s.cfg.Clock.WithTimeout(ctx, callTimeout)
	defer cancel()
	var o storer.Object
	err := s.retryRateLimited(ctx, func() error {
		var err error
		o, err = s.cfg.Store.Get(ctx, key)
		return err
	})
	if err != nil {
		countOutcome("failed", "platform")
		return nil, trace.Wrap(err)
	}
	p := &messenger.ConfigurationPart{Key: key, Value: o.Value}
	return p, verifyPart(p)
}

// pull requests newer configuration from a peer and adopts it.
func (s *Spreader) pull(ctx context.Context, address string) error {
	current := s.current.Load()
	reply, err := s.requestConfiguration(ctx, address, current.head.Version)
	if err != nil || reply.GetHead() == nil {
		return err
	}
	err = s.adoptReply(current, reply)
	if !IsErrBadPart(err) || current.head.Version == 0 {
		return err
	}
	// The peer assumed that this host has parts that it lacks: request all parts.
	countOutcome("asked_again", "peer")
	if reply, err = s.requestConfiguration(ctx, address, 0); err != nil || reply.GetHead() == nil {
		return err
	}
	return s.adoptReply(current, reply)
}

func (s *Spreader) requestConfiguration(ctx context.Context, address string, knownVersion int64) (*messenger.PullReply, error) {
	ctx, cancel := s.cfg.Clock.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := s.cfg.Exchange.PullConfiguration(ctx, address, &messenger.PullRequest{KnownVersion: knownVersion})
	if err != nil {
		countOutcome("failed", "peer")
	}
	return reply, err
}

func (s *Spreader) adoptReply(current *snapshot, reply *messenger.PullReply) error {
	if !Supersedes(reply.Head.Version, current.head.Version) {
		return nil
	}
	sentParts := make(map[string]*messenger.ConfigurationPart, len(reply.Parts))
	for _, p := range reply.Parts {
		sentParts[p.GetKey()] = p
	}
	parts := make(map[string]*messenger.ConfigurationPart, len(reply.Head.PartKeys))
	for _, key := range reply.Head.PartKeys {
		parts[key] = current.parts[key]
		if parts[key] == nil {
			parts[key] = sentParts[key]
		}
	}
	return s.adopt(reply.Head, parts, "peer")
}

// watchLoop watches the head while this host is a watcher.
func (s *Spreader) watchLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		if s.sources(0, false).Watcher && s.watchOnce(ctx) == nil {
			continue
		}
		if err := s.cfg.Clock.Sleep(ctx, watchRetryDelay); err != nil {
			return nil
		}
	}
	return nil
}

func (s *Spreader) watchOnce(ctx context.Context) error {
	watchCtx, cancel := s.cfg.Clock.WithTimeout(ctx, watchTimeout)
	defer cancel()
	objects, err := s.cfg.Store.Watch(watchCtx, HeadKey, s.watchedHeadVersion.Load())
	if watchCtx.Err() != nil {
		return nil
	}
	if err != nil {
		s.platformReachable.Store(false)
		countOutcome("failed", "watch")
		return trace.Wrap(err)
	}
	s.platformReachable.Store(true)
	for _, o := range objects {
		if o.Key != HeadKey {
			continue
		}
		head := &messenger.ConfigurationHead{}
		if err := proto.Unmarshal(o.Value, head); err != nil {
			return trace.Wrap(err)
		}
		if err := s.fetchAndAdopt(ctx, head); err != nil {
			return trace.Wrap(err)
		}
		s.watchedHeadVersion.Store(max(o.Version, s.watchedHeadVersion.Load()))
	}
	return nil
}

// pollLoop polls the head at a low rate, as a fallback for watches and pulls.
func (s *Spreader) pollLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := clocker.Millis(defaultPollInterval)
		// Watcher depends neither on the round nor on the last pull.
		if s.sources(0, false).Watcher {
			wait = watcherPollInterval
		}
		// Give each host a period of its own, up to a quarter longer, so that polls do not
		// coincide.
		wait += wait * clocker.Millis(rendezvousScore("poll", s.cfg.Host)%256) / 1024
		if s.cfg.Clock.Sleep(ctx, wait) != nil {
			return nil
		}
		_ = s.Refresh(ctx)
	}
	return nil
}

// pullLoop pulls newer versions from peers.
func (s *Spreader) pullLoop(ctx context.Context) error {
	parentFailed := false
	for round := int64(0); s.cfg.Clock.Sleep(ctx, pullInterval) == nil; round++ {
		sources := s.sources(round, parentFailed)
		for i, address := range sources.PullAddresses {
			err := s.pull(ctx, address)
			if i == 0 {
				parentFailed = err != nil
			}
			if errors.Is(err, context.Canceled) && ctx.Err() != nil {
				return nil
			}
		}
	}
	return nil
}

func (s *Spreader) sources(round int64, parentFailed bool) Sources {
	return ChooseSources(SourcesInput{
		Host:              s.cfg.Host,
		AvailabilityZone:  s.cfg.AvailabilityZone,
		Version:           s.Index().Version(),
		PlatformReachable: s.platformReachable.Load(),
		Peers:             s.cfg.Peers(),
		Round:             round,
		ParentFailed:      parentFailed,
	})
}
