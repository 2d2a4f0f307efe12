package heartbeater

import (
	"context"
	"hash/fnv"
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
	// defaultBeatInterval is the time between rounds of beats, in milliseconds.
	defaultBeatInterval = clocker.Second
	// defaultHostListInterval is the time between reads of the host list, in milliseconds.
	defaultHostListInterval = 15 * clocker.Second
	// beatTimeout is the timeout of one exchange of beats, in milliseconds.
	beatTimeout = clocker.Second
	// minRoundInterval is the shortest time between two rounds of beats, in milliseconds. It
	// bounds the extra rounds that Announce causes.
	minRoundInterval = 100 * clocker.Millis(1)
	// announcementRounds is the number of rounds that Announce brings forward. A single one
	// reaches too few hosts where some targets do not answer.
	announcementRounds = 3
	// maxPendingBeats bounds the exchanges in progress. It is above what the regular rounds
	// need while no target answers.
	maxPendingBeats = 16
)

var (
	beatsAnswered   = metrics.GetOrCreateCounter(`cowsliphinge_beats_total{outcome="answered"}`)
	beatsFailed     = metrics.GetOrCreateCounter(`cowsliphinge_beats_total{outcome="failed"}`)
	beatsReceived   = metrics.GetOrCreateCounter(`cowsliphinge_beats_total{outcome="received"}`)
	beatsSkipped    = metrics.GetOrCreateCounter(`cowsliphinge_beats_total{outcome="skipped"}`)
	announcements   = metrics.GetOrCreateCounter("cowsliphinge_beat_announcements_total")
	hostListsFailed = metrics.GetOrCreateCounter(`cowsliphinge_host_list_total{outcome="failed"}`)
)

// HostList reads the platform's list of hosts, which lags behind the actual hosts.
type HostList interface {
	Hosts(ctx context.Context) ([]storer.ListedHost, error)
}

// Exchange sends beats to other routers.
type Exchange interface {
	SendBeat(ctx context.Context, address string, beat *messenger.Beat) (*messenger.BeatReply, error)
}

// Config configures a Heartbeater.
type Config struct {
	// OwnBeat returns the current beat of this host; the Heartbeater sets Heard, SentAtMs and
	// what the sender has heard of.
	OwnBeat func() *messenger.Beat
	// OwnConfirmations returns until when the store has told this host of all changes; nil if
	// it does not follow the store.
	OwnConfirmations func() Confirmations
	// BeatReceived, unless nil, is called with each beat and reply that arrives.
	BeatReceived func(*messenger.Beat)
	Clock        *clocker.Clock
	// DeclaredHosts returns the hosts of the configuration in force; it may be nil.
	DeclaredHosts func() []*messenger.Host
	// SeedAddresses are exchange addresses that get beats in turn while all peers are suspect
	// or none is known.
	SeedAddresses []string
	// HostList may be nil.
	HostList HostList
	Exchange Exchange
	// BeatInterval and HostListInterval are in milliseconds; 0 means 1 s and 15 s.
	BeatInterval     clocker.Millis
	HostListInterval clocker.Millis
}

// Heartbeater exchanges beats with other routers, reads the host list and publishes the
// peers. It wraps the pure logic of Members.
type Heartbeater struct {
	cfg    Config
	cancel context.CancelFunc
	tasks  errgroup.Group

	peers atomic.Pointer[[]Peer]
	// changes selects the lines about peers. The caller of updatePeers holds mu.
	changes peerChanges
	// hostListRead is true once the host list was read.
	hostListRead atomic.Bool
	// announced has an element for each round to bring forward.
	announced chan struct{}
	// pending holds an element for each exchange in progress.
	pending chan struct{}
	// nextSeedAddress, modulo their number, is an index into SeedAddresses. It is used only
	// by the background task that sends beats.
	nextSeedAddress int

	mu      sync.Mutex
	members *Members
}

// New returns a Heartbeater that sends beats and reads the host list until Close.
func New(ctx context.Context, cfg Config) *Heartbeater {
	if cfg.BeatInterval == 0 {
		cfg.BeatInterval = defaultBeatInterval
	}
	if cfg.HostListInterval == 0 {
		cfg.HostListInterval = defaultHostListInterval
	}
	own := cfg.OwnBeat()
	ctx, cancel := context.WithCancel(ctx)
	h := &Heartbeater{
		cfg:       cfg,
		cancel:    cancel,
		announced: make(chan struct{}, announcementRounds),
		pending:   make(chan struct{}, maxPendingBeats),
		members: NewMembers(MembersConfig{
			Host:             own.Host,
			Incarnation:      own.Incarnation,
			AvailabilityZone: own.AvailabilityZone,
			BeatInterval:     cfg.BeatInterval,
			RandomSeed:       randomSeed(own.Incarnation),
		}),
	}
	h.updatePeers()
	h.tasks.Go(func() error {
		for ctx.Err() == nil {
			h.runBeatRound(ctx)
			h.awaitNextRound(ctx)
		}
		return nil
	})
	if cfg.HostList != nil {
		h.tasks.Go(func() error {
			for ctx.Err() == nil {
				h.readHostList(ctx)
				_ = cfg.Clock.Sleep(ctx, cfg.HostListInterval)
			}
			return nil
		})
	}
	return h
}

// Close stops the background tasks.
func (h *Heartbeater) Close(context.Context) error {
	h.cancel()
	return h.tasks.Wait()
}

// Peers returns all known hosts except the own one, ordered by name. The slice is
// shared and must not be modified.
func (h *Heartbeater) Peers() []Peer {
	return *h.peers.Load()
}

// Replaced reports whether the incarnation is the one that was current here just before the
// present one of its host. It is false for all others, also for older ones.
func (h *Heartbeater) Replaced(incarnation string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.members.Replaced(incarnation)
}

// SendBeat is the server side of the exchange: it merges a beat of another host and replies
// with the own one. If another incarnation of that host is current here, the reply forwards
// the state of that incarnation first, see Members.ConflictingBeat.
func (h *Heartbeater) SendBeat(_ context.Context, beat *messenger.Beat) (*messenger.BeatReply, error) {
	beatsReceived.Inc()
	h.receive(beat)
	own := h.ownBeat()
	h.mu.Lock()
	conflicting := h.members.ConflictingBeat(beat, h.cfg.Clock.Now())
	h.mu.Unlock()
	if conflicting != nil {
		own.Heard = append([]*messenger.Beat{conflicting}, own.Heard[:min(len(own.Heard), MaxForwardedBeats-1)]...)
	}
	return &messenger.BeatReply{Beat: own}, nil
}

// NewestServers returns the backend servers as of the latest revision that any received beat
// reported.
func (h *Heartbeater) NewestServers() ServersState {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.members.NewestServers()
}

// Confirmations returns the latest confirmations by the store that other hosts reported.
func (h *Heartbeater) Confirmations() Confirmations {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.members.Confirmations()
}

// runBeatRound sends the own beat to the targets of one round. It does not wait for the
// replies: the next round is not late because a target does not answer.
func (h *Heartbeater) runBeatRound(ctx context.Context) {
	h.updatePeers()
	beat := h.ownBeat()
	for _, address := range h.targets(beat.ExchangeAddress) {
		select {
		case h.pending <- struct{}{}:
		default:
			beatsSkipped.Inc()
			continue
		}
		h.tasks.Go(func() error {
			defer func() { <-h.pending }()
			h.exchangeBeats(ctx, address, beat)
			return nil
		})
	}
}

// awaitNextRound waits for the beat interval, or until Announce is called.
func (h *Heartbeater) awaitNextRound(ctx context.Context) {
	if h.cfg.Clock.Sleep(ctx, minRoundInterval) != nil {
		return
	}
	wait, cancel := h.cfg.Clock.WithTimeout(ctx, h.cfg.BeatInterval-minRoundInterval)
	defer cancel()
	select {
	case <-h.announced:
		announcements.Inc()
	case <-wait.Done():
	}
}

// Announce brings the next rounds of beats forward, each at most to minRoundInterval after
// the one before.
func (h *Heartbeater) Announce() {
	for range announcementRounds {
		select {
		case h.announced <- struct{}{}:
		default: // requested before
		}
	}
}

// NewestVersion returns the highest configuration version that any received beat reported.
func (h *Heartbeater) NewestVersion() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.members.NewestVersion()
}

// exchangeBeats sends the beat to one address and merges the reply.
func (h *Heartbeater) exchangeBeats(ctx context.Context, address string, beat *messenger.Beat) {
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
	beatsAnswered.Inc()
	h.receive(reply.Beat)
}

func (h *Heartbeater) receive(beat *messenger.Beat) {
	if h.cfg.BeatReceived != nil {
		h.cfg.BeatReceived(beat)
	}
	h.mu.Lock()
	previous := h.members.NewestVersion()
	changed := h.members.Receive(beat, h.cfg.Clock.Now())
	newest := h.members.NewestVersion()
	h.mu.Unlock()
	if changed {
		h.updatePeers()
	}
	// A host that is behind missed the version itself, and so may others have.
	if newest > previous && newest > h.cfg.OwnBeat().ConfigurationVersion {
		h.Announce()
	}
}

func (h *Heartbeater) readHostList(ctx context.Context) {
	hosts, err := h.cfg.HostList.Hosts(ctx)
	if err != nil {
		hostListsFailed.Inc()
		return
	}
	h.mu.Lock()
	h.members.SetListed(hosts)
	h.mu.Unlock()
	h.updatePeers()
	if !h.hostListRead.Swap(true) {
		h.Announce() // the first round had no targets
	}
}

// HostListRead reports whether Peers includes the hosts of the host list.
func (h *Heartbeater) HostListRead() bool {
	return h.hostListRead.Load()
}

// updatePeers reads the declared hosts, publishes the peers and logs what changed.
func (h *Heartbeater) updatePeers() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cfg.DeclaredHosts != nil {
		h.members.SetDeclared(h.cfg.DeclaredHosts())
	}
	peers := h.members.Peers(h.cfg.Clock.Now())
	if old := h.peers.Swap(&peers); old != nil {
		for _, c := range h.changes.observe(*old, peers, h.cfg.Clock.Now()) {
			c.log()
		}
	}
}

// ownBeat returns the beat of this host with its timestamp and the forwarded beats.
func (h *Heartbeater) ownBeat() *messenger.Beat {
	beat := h.cfg.OwnBeat()
	now := h.cfg.Clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	beat.SentAtMs = int64(h.members.BeatTimestamp(now))
	beat.Heard = h.members.SampleBeats(now)
	beat.NewestConfigurationVersion = max(beat.ConfigurationVersion, h.members.NewestVersion())
	servers := newerServers(ServersState{beat.ServersRevision, beat.ServersFingerprint}, h.members.NewestServers())
	beat.NewestServersRevision, beat.NewestServersFingerprint = servers.Revision, servers.Fingerprint
	confirmed := h.members.Confirmations()
	if h.cfg.OwnConfirmations != nil {
		own := h.cfg.OwnConfirmations()
		confirmed.Configuration = max(confirmed.Configuration, own.Configuration)
		confirmed.Servers = max(confirmed.Servers, own.Servers)
	}
	confirmed.send(beat, now)
	return beat
}

// targets returns the addresses for one round of beats, with one seed address while no peer
// is live.
func (h *Heartbeater) targets(ownAddress string) []string {
	h.mu.Lock()
	targets := h.members.Targets()
	h.mu.Unlock()
	if n := len(h.cfg.SeedAddresses); n > 0 && h.hasNoLivePeer() {
		h.nextSeedAddress++
		targets = append(targets, h.cfg.SeedAddresses[h.nextSeedAddress%n])
	}
	return slices.DeleteFunc(targets, func(address string) bool { return address == ownAddress })
}

// hasNoLivePeer reports whether every known peer is suspect or none is known.
func (h *Heartbeater) hasNoLivePeer() bool {
	return !slices.ContainsFunc(h.Peers(), func(p Peer) bool { return !p.Suspect })
}

// randomSeed returns a random seed that differs between incarnations.
func randomSeed(incarnation string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(incarnation))
	return h.Sum64()
}
