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
	// watchMs bounds one waiting watch, so that a change of role is seen.
	watchMs = 20 * clocker.Second
	// watchPauseMs is the wait after a watch that failed or is not due here.
	watchPauseMs = 1 * clocker.Second
	// watcherPollMs is the poll of a host that watches, against watches that stall.
	watcherPollMs = 2500
	// otherPollMs is the poll of all other hosts.
	otherPollMs = 30 * clocker.Second
	// pullMs is the wait between two rounds of asking peers.
	pullMs = 500
	// callMs bounds a call to the platform or a peer.
	callMs = 2 * clocker.Second
	// startPeers is how many peers are asked at start, seeds apart.
	startPeers = 8
	// startRetryMs is the wait after the first attempt to learn a version; it
	// doubles up to startRetryMaxMs.
	startRetryMs    = 500
	startRetryMaxMs = 4 * clocker.Second
)

// start learns the highest version that the platform and peers tell, then
// reports ready. It repeats until something is known.
func (s *Spreader) start(ctx context.Context) {
	for wait := clocker.Millis(startRetryMs); ctx.Err() == nil; wait = min(2*wait, startRetryMaxMs) {
		s.learnOnce(ctx)
		if s.Index().Version() > 0 {
			s.ready.Store(true)
			return
		}
		if s.cfg.Clock.Sleep(ctx, wait) != nil {
			return
		}
	}
}

// learnOnce asks the platform, the seeds and some peers at once.
func (s *Spreader) learnOnce(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { _ = s.Refresh(ctx) })
	for _, address := range s.startAddresses() {
		wg.Go(func() { _ = s.pull(ctx, address) })
	}
	wg.Wait()
}

func (s *Spreader) startAddresses() []string {
	addresses := append([]string(nil), s.cfg.Seeds...)
	for i, p := range s.cfg.Peers() {
		if i == startPeers {
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
	return s.learnHead(ctx, head)
}

// readHead returns the head on the platform and its object version, which is 0
// before the first apply.
func (s *Spreader) readHead(ctx context.Context) (*messenger.ConfigurationHead, int64, error) {
	ctx, cancel := s.cfg.Clock.WithTimeout(ctx, callMs)
	defer cancel()
	o, err := s.cfg.Store.Get(ctx, HeadKey)
	s.reached.Store(err == nil || storer.IsErrNotFound(err))
	if storer.IsErrNotFound(err) {
		return &messenger.ConfigurationHead{}, 0, nil
	}
	if err != nil {
		count("failed", "platform")
		return nil, 0, trace.Wrap(err)
	}
	head := &messenger.ConfigurationHead{}
	if err := proto.Unmarshal(o.Value, head); err != nil {
		return nil, 0, trace.Wrap(err)
	}
	return head, o.Version, nil
}

// learnHead fetches the parts that are not known yet and adopts the version.
func (s *Spreader) learnHead(ctx context.Context, head *messenger.ConfigurationHead) error {
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
	now := s.now.Load()
	parts := make(map[string]*messenger.ConfigurationPart, len(head.PartKeys))
	for _, key := range head.PartKeys {
		if p := now.parts[key]; p != nil {
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
	ctx, cancel := s.cfg.Clock.WithTimeout(ctx, callMs)
	defer cancel()
	var o storer.Object
	err := s.paced(ctx, func() error {
		var err error
		o, err = s.cfg.Store.Get(ctx, key)
		return err
	})
	if err != nil {
		count("failed", "platform")
		return nil, trace.Wrap(err)
	}
	p := &messenger.ConfigurationPart{Key: key, Value: o.Value}
	return p, checkPart(p)
}

// pull asks a peer for what the version in force lacks.
func (s *Spreader) pull(ctx context.Context, address string) error {
	now := s.now.Load()
	reply, err := s.ask(ctx, address, now.head.Version)
	if err != nil || reply.GetHead() == nil {
		return err
	}
	err = s.adoptReply(now, reply)
	if !IsErrBadPart(err) || now.head.Version == 0 {
		return err
	}
	// The peer thinks that this host has other parts: ask for all of them.
	count("asked_again", "peer")
	if reply, err = s.ask(ctx, address, 0); err != nil || reply.GetHead() == nil {
		return err
	}
	return s.adoptReply(now, reply)
}

func (s *Spreader) ask(ctx context.Context, address string, known int64) (*messenger.PullReply, error) {
	ctx, cancel := s.cfg.Clock.WithTimeout(ctx, callMs)
	defer cancel()
	reply, err := s.cfg.Exchange.PullConfiguration(ctx, address, &messenger.PullRequest{KnownVersion: known})
	if err != nil {
		count("failed", "peer")
	}
	return reply, err
}

func (s *Spreader) adoptReply(now *snapshot, reply *messenger.PullReply) error {
	if !Supersedes(reply.Head.Version, now.head.Version) {
		return nil
	}
	sent := make(map[string]*messenger.ConfigurationPart, len(reply.Parts))
	for _, p := range reply.Parts {
		sent[p.GetKey()] = p
	}
	parts := make(map[string]*messenger.ConfigurationPart, len(reply.Head.PartKeys))
	for _, key := range reply.Head.PartKeys {
		parts[key] = now.parts[key]
		if parts[key] == nil {
			parts[key] = sent[key]
		}
	}
	return s.adopt(reply.Head, parts, "peer")
}

// watchDuty waits for a new head while this host is one of the watchers.
func (s *Spreader) watchDuty(ctx context.Context) error {
	for ctx.Err() == nil {
		if s.plan(0, false).Watcher && s.watchOnce(ctx) == nil {
			continue
		}
		if err := s.cfg.Clock.Sleep(ctx, watchPauseMs); err != nil {
			return nil
		}
	}
	return nil
}

func (s *Spreader) watchOnce(ctx context.Context) error {
	waiting, cancel := s.cfg.Clock.WithTimeout(ctx, watchMs)
	defer cancel()
	objects, err := s.cfg.Store.Watch(waiting, HeadKey, s.watched.Load())
	if waiting.Err() != nil {
		return nil
	}
	if err != nil {
		s.reached.Store(false)
		count("failed", "watch")
		return trace.Wrap(err)
	}
	s.reached.Store(true)
	for _, o := range objects {
		if o.Key != HeadKey {
			continue
		}
		head := &messenger.ConfigurationHead{}
		if err := proto.Unmarshal(o.Value, head); err != nil {
			return trace.Wrap(err)
		}
		if err := s.learnHead(ctx, head); err != nil {
			return trace.Wrap(err)
		}
		s.watched.Store(max(o.Version, s.watched.Load()))
	}
	return nil
}

// pollDuty reads the head slowly, as a fallback.
func (s *Spreader) pollDuty(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := clocker.Millis(otherPollMs)
		if s.plan(0, false).Watcher {
			wait = watcherPollMs
		}
		// Spread the polls of the fleet over the period.
		wait += wait * clocker.Millis(score("poll", s.cfg.Host)%256) / 1024
		if s.cfg.Clock.Sleep(ctx, wait) != nil {
			return nil
		}
		_ = s.Refresh(ctx)
	}
	return nil
}

// pullDuty asks peers for newer versions.
func (s *Spreader) pullDuty(ctx context.Context) error {
	parentFailed := false
	for round := int64(0); s.cfg.Clock.Sleep(ctx, pullMs) == nil; round++ {
		plan := s.plan(round, parentFailed)
		for i, address := range plan.PullAddresses {
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

func (s *Spreader) plan(round int64, parentFailed bool) Plan {
	return NewPlan(View{
		Host:              s.cfg.Host,
		AvailabilityZone:  s.cfg.AvailabilityZone,
		Version:           s.Index().Version(),
		PlatformReachable: s.reached.Load(),
		Peers:             s.cfg.Peers(),
		Round:             round,
		ParentFailed:      parentFailed,
	})
}
