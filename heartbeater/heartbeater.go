package heartbeater

import (
	"context"
	"hash/fnv"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/storer"
)

const (
	// defaultBeatEvery is the time between rounds of beats, in milliseconds.
	defaultBeatEvery = clocker.Second
	// defaultListEvery is the time between reads of the host list, in milliseconds.
	defaultListEvery = 15 * clocker.Second
	// beatTimeout bounds one exchange of beats, in milliseconds.
	beatTimeout = clocker.Second
)

var (
	beatsSent     = metrics.GetOrCreateCounter(`cowsliphinge_beats_total{outcome="answered"}`)
	beatsFailed   = metrics.GetOrCreateCounter(`cowsliphinge_beats_total{outcome="failed"}`)
	beatsReceived = metrics.GetOrCreateCounter(`cowsliphinge_beats_total{outcome="received"}`)
	listsFailed   = metrics.GetOrCreateCounter(`cowsliphinge_host_list_total{outcome="failed"}`)
)

// HostList is the platform's lagging list of hosts.
type HostList interface {
	Hosts(ctx context.Context) ([]storer.ListedHost, error)
}

// Exchange sends beats to other routers.
type Exchange interface {
	SendBeat(ctx context.Context, address string, beat *messenger.Beat) (*messenger.BeatReply, error)
}

// Config configures a Heartbeater.
type Config struct {
	// Self returns the present beat of this host; Heard and SentAtMs are filled in here.
	OwnBeat func() *messenger.Beat
	Clock   *clocker.Clock
	// Declared returns the hosts of the configuration in force; may be nil.
	DeclaredHosts func() []*messenger.Host
	// Seeds are exchange addresses that get beats in turn while no peer is heard.
	SeedAddresses []string
	// HostList may be nil.
	HostList HostList
	Exchange Exchange
	// BeatEvery and ListEvery are in milliseconds; 0 means 1 s and 15 s.
	BeatInterval     clocker.Millis
	HostListInterval clocker.Millis
}

// Heartbeater is the shell around Members.
type Heartbeater struct {
	cfg    Config
	cancel context.CancelFunc
	duties errgroup.Group

	peers atomic.Pointer[[]Peer]
	// nextSeed is used by the beating duty alone.
	nextSeed int

	mu      sync.Mutex
	members *Members
}

// New returns a heartbeater that beats and reads the host list until Close.
func New(ctx context.Context, cfg Config) *Heartbeater {
	if cfg.BeatInterval == 0 {
		cfg.BeatInterval = defaultBeatEvery
	}
	if cfg.HostListInterval == 0 {
		cfg.HostListInterval = defaultListEvery
	}
	self := cfg.OwnBeat()
	ctx, cancel := context.WithCancel(ctx)
	h := &Heartbeater{
		cfg:    cfg,
		cancel: cancel,
		members: NewMembers(MembersConfig{
			Host:             self.Host,
			Incarnation:      self.Incarnation,
			AvailabilityZone: self.AvailabilityZone,
			BeatInterval:     cfg.BeatInterval,
			RandomSeed:       seed(self.Incarnation),
		}),
	}
	h.refresh()
	h.duties.Go(func() error {
		for ctx.Err() == nil {
			h.beat(ctx)
			_ = cfg.Clock.Sleep(ctx, cfg.BeatInterval)
		}
		return nil
	})
	if cfg.HostList != nil {
		h.duties.Go(func() error {
			for ctx.Err() == nil {
				h.list(ctx)
				_ = cfg.Clock.Sleep(ctx, cfg.HostListInterval)
			}
			return nil
		})
	}
	return h
}

// Close ends the duties.
func (h *Heartbeater) Close(context.Context) error {
	h.cancel()
	return h.duties.Wait()
}

// Peers returns all known hosts but the own one, ordered by name. The slice is
// shared and must not be changed.
func (h *Heartbeater) Peers() []Peer {
	return *h.peers.Load()
}

// Replaced reports whether a later life of its host was heard here after this one.
func (h *Heartbeater) Replaced(incarnation string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.members.Replaced(incarnation)
}

// SendBeat takes a beat of another host and answers with the own one.
func (h *Heartbeater) SendBeat(_ context.Context, beat *messenger.Beat) (*messenger.BeatReply, error) {
	beatsReceived.Inc()
	h.hear(beat)
	own := h.self()
	h.mu.Lock()
	earlier := h.members.ConflictingBeat(beat, h.cfg.Clock.Now())
	h.mu.Unlock()
	if earlier != nil {
		own.Heard = append([]*messenger.Beat{earlier}, own.Heard[:min(len(own.Heard), MaxForwardedBeats-1)]...)
	}
	return &messenger.BeatReply{Beat: own}, nil
}

func (h *Heartbeater) beat(ctx context.Context) {
	h.refresh()
	beat := h.self()
	var round errgroup.Group
	for _, address := range h.targets(beat.ExchangeAddress) {
		round.Go(func() error {
			h.exchange(ctx, address, beat)
			return nil
		})
	}
	_ = round.Wait()
}

func (h *Heartbeater) exchange(ctx context.Context, address string, beat *messenger.Beat) {
	ctx, cancel := h.cfg.Clock.WithTimeout(ctx, beatTimeout)
	defer cancel()
	reply, err := h.cfg.Exchange.SendBeat(ctx, address, beat)
	if err != nil || reply.GetBeat() == nil {
		beatsFailed.Inc()
		h.mu.Lock()
		h.members.RecordFailure(address)
		h.mu.Unlock()
		return
	}
	beatsSent.Inc()
	h.hear(reply.Beat)
}

func (h *Heartbeater) hear(beat *messenger.Beat) {
	h.mu.Lock()
	changed := h.members.Receive(beat, h.cfg.Clock.Now())
	h.mu.Unlock()
	if changed {
		h.refresh()
	}
}

func (h *Heartbeater) list(ctx context.Context) {
	hosts, err := h.cfg.HostList.Hosts(ctx)
	if err != nil {
		listsFailed.Inc()
		return
	}
	h.mu.Lock()
	h.members.SetListed(hosts)
	h.mu.Unlock()
	h.refresh()
}

// refresh takes over the declared hosts and publishes the peers.
func (h *Heartbeater) refresh() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cfg.DeclaredHosts != nil {
		h.members.SetDeclared(h.cfg.DeclaredHosts())
	}
	peers := h.members.Peers(h.cfg.Clock.Now())
	if old := h.peers.Swap(&peers); old != nil {
		logChanges(*old, peers)
	}
}

func (h *Heartbeater) self() *messenger.Beat {
	beat := h.cfg.OwnBeat()
	now := h.cfg.Clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	beat.SentAtMs = int64(h.members.BeatTimestamp(now))
	beat.Heard = h.members.SampleBeats(now)
	return beat
}

func (h *Heartbeater) targets(own string) []string {
	h.mu.Lock()
	targets := h.members.Targets()
	h.mu.Unlock()
	if n := len(h.cfg.SeedAddresses); n > 0 && h.alone() {
		h.nextSeed++
		targets = append(targets, h.cfg.SeedAddresses[h.nextSeed%n])
	}
	return slices.DeleteFunc(targets, func(address string) bool { return address == own })
}

// alone reports whether no peer is heard.
func (h *Heartbeater) alone() bool {
	return !slices.ContainsFunc(h.Peers(), func(p Peer) bool { return !p.Suspect })
}

func logChanges(old, now []Peer) {
	before := make(map[string]Peer, len(old))
	for _, p := range old {
		before[p.Host] = p
	}
	for _, p := range now {
		was, known := before[p.Host]
		if known && was.Suspect == p.Suspect && was.Draining == p.Draining && was.Incarnation == p.Incarnation {
			continue
		}
		slog.Info("peer changed", "host", p.Host, "incarnation", p.Incarnation, "suspect", p.Suspect, "draining", p.Draining)
	}
}

func seed(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}
