package heartbeater

import (
	"math/rand/v2"
	"slices"
	"strings"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/storer"
)

const (
	// MaxHeard bounds the relayed beats of one beat, sent or accepted.
	MaxHeard = 12
	// heardOfZone is how many of them are about the sender's own zone.
	heardOfZone = 9
	// ringTargets and randomTargets are the peers that get a beat each round:
	// successors on the ring of the own zone, and any others.
	ringTargets   = 1
	randomTargets = 1
	// maxMembers bounds the hosts that are remembered.
	maxMembers = 4096
	// suspectFloor is the shortest silence that makes a peer suspect, in milliseconds.
	suspectFloor = 4 * clocker.Second
	// silenceFactor times the expected interval between news makes a peer suspect.
	silenceFactor = 6
	// forgetAfter drops a silent host that is neither declared nor listed, in milliseconds.
	forgetAfter = 10 * clocker.Minute
)

// MembersConfig configures Members.
type MembersConfig struct {
	Host             string
	AvailabilityZone string
	// BeatEvery is the time between rounds of beats, in milliseconds.
	BeatEvery clocker.Millis
	// Seed of the random choices of targets and relayed beats.
	Seed uint64
}

// Members decides who the peers are, whom to send a beat to and what to relay.
// It does no I/O and is not safe for concurrent use.
type Members struct {
	cfg     MembersConfig
	rng     *rand.Rand
	byHost  map[string]*member
	zone    int // hosts of the own zone, the own host left out
	ordered []*member
}

type member struct {
	peer Peer
	// beat is the latest beat, as relayed; nil if never heard.
	beat *messenger.Beat
	// sentAt is the sender's time of the latest beat.
	sentAt clocker.Millis
	// failures counts beats to it without an answer since it was last heard.
	failures int
	declared bool
	listed   bool
	leaving  bool
}

// NewMembers returns members that know nobody.
func NewMembers(cfg MembersConfig) *Members {
	return &Members{
		cfg:    cfg,
		rng:    rand.New(rand.NewPCG(cfg.Seed, 0)),
		byHost: map[string]*member{},
	}
}

// Declare takes over the hosts of the declarations.
func (m *Members) Declare(hosts []*messenger.Host) {
	for _, known := range m.byHost {
		known.declared = false
	}
	for _, h := range hosts {
		known := m.at(h.Name)
		if known == nil {
			continue
		}
		known.declared = true
		if known.beat != nil {
			continue
		}
		known.peer.AvailabilityZone = h.AvailabilityZone
		known.peer.ExchangeAddress = h.ExchangeAddress
		known.peer.CallerAddress = h.CallerAddress
	}
	m.reorder()
}

// List takes over the platform's host list, which lags: a host on it may be
// gone, and a host that is heard need not be on it yet.
func (m *Members) List(hosts []storer.ListedHost) {
	for _, known := range m.byHost {
		known.listed = false
		known.leaving = false
	}
	for _, h := range hosts {
		known := m.at(h.Name)
		if known == nil {
			continue
		}
		known.listed = true
		known.leaving = h.Leaving
		if known.peer.ExchangeAddress == "" {
			known.peer.ExchangeAddress = h.Address
		}
	}
	m.reorder()
}

// Hear merges a beat that arrived at now, and the beats that it relays. It
// reports whether somebody joined, restarted or began to drain.
func (m *Members) Hear(beat *messenger.Beat, now clocker.Millis) bool {
	changed := m.hear(beat, now, 0)
	for _, relayed := range beat.Heard[:min(len(beat.Heard), MaxHeard)] {
		if m.hear(relayed, now, clocker.Millis(max(0, relayed.AgeMs))) {
			changed = true
		}
	}
	if changed {
		m.reorder()
	}
	return changed
}

func (m *Members) hear(beat *messenger.Beat, now, age clocker.Millis) bool {
	if beat.Host == "" || beat.Incarnation == "" {
		return false
	}
	known := m.at(beat.Host)
	if known == nil {
		return false
	}
	joined := known.beat == nil || replaces(beat.Incarnation, known.peer.Incarnation)
	if !joined && beat.Incarnation != known.peer.Incarnation {
		return false
	}
	if !joined && clocker.Millis(beat.SentAtMs) <= known.sentAt {
		return false
	}
	drained := beat.Draining != known.peer.Draining
	known.sentAt = clocker.Millis(beat.SentAtMs)
	known.beat = beat
	known.failures = 0
	known.peer = Peer{
		Host:                 beat.Host,
		Incarnation:          beat.Incarnation,
		AvailabilityZone:     beat.AvailabilityZone,
		ExchangeAddress:      beat.ExchangeAddress,
		CallerAddress:        beat.CallerAddress,
		ConfigurationVersion: beat.ConfigurationVersion,
		LastHeard:            now - age,
		Draining:             beat.Draining,
		PlatformReachable:    beat.PlatformReachable,
		InFlight:             beat.InFlight,
		HeldTokens:           beat.HeldTokens,
	}
	return joined || drained
}

// Failed notes that a beat to the exchange address got no answer.
func (m *Members) Failed(address string) {
	for _, known := range m.ordered {
		if known.peer.ExchangeAddress == address {
			known.failures++
		}
	}
}

// Peers returns all known hosts but the own one, ordered by name, and forgets
// those that are silent and neither declared nor listed.
func (m *Members) Peers(now clocker.Millis) []Peer {
	m.forget(now)
	peers := make([]Peer, 0, len(m.ordered))
	for _, known := range m.ordered {
		p := known.peer
		p.Draining = p.Draining || known.leaving
		p.Suspect = m.suspect(known, now)
		peers = append(peers, p)
	}
	return peers
}

// Targets returns the exchange addresses that get the next round of beats: a
// fixed number, whatever the size of the fleet.
func (m *Members) Targets() []string {
	targets := m.ring()
	for range randomTargets {
		if len(m.ordered) == 0 {
			break
		}
		address := m.ordered[m.rng.IntN(len(m.ordered))].peer.ExchangeAddress
		if address != "" && !slices.Contains(targets, address) {
			targets = append(targets, address)
		}
	}
	return targets
}

// ring returns the successors of the own host on the ring of its zone, behind
// those that do not answer.
func (m *Members) ring() []string {
	var targets []string
	at, _ := slices.BinarySearchFunc(m.ordered, m.cfg.Host, func(k *member, host string) int {
		return strings.Compare(k.peer.Host, host)
	})
	healthy := 0
	for i := range m.ordered {
		known := m.ordered[(at+i)%len(m.ordered)]
		if known.peer.AvailabilityZone != m.cfg.AvailabilityZone || known.peer.ExchangeAddress == "" {
			continue
		}
		targets = append(targets, known.peer.ExchangeAddress)
		if known.failures == 0 {
			healthy++
		}
		if healthy == ringTargets || len(targets) == ringTargets+1 {
			break
		}
	}
	return targets
}

// Sample returns the beats to relay: a bounded random choice of those heard
// lately, most of them about the own zone.
func (m *Members) Sample(now clocker.Millis) []*messenger.Beat {
	sample := make([]*messenger.Beat, 0, MaxHeard)
	sample = m.sample(sample, now, heardOfZone, func(k *member) bool {
		return k.peer.AvailabilityZone == m.cfg.AvailabilityZone
	})
	return m.sample(sample, now, MaxHeard-len(sample), func(k *member) bool {
		return k.peer.AvailabilityZone != m.cfg.AvailabilityZone
	})
}

func (m *Members) sample(sample []*messenger.Beat, now clocker.Millis, n int, keep func(*member) bool) []*messenger.Beat {
	if len(m.ordered) == 0 || n <= 0 {
		return sample
	}
	start := m.rng.IntN(len(m.ordered))
	for i := range m.ordered {
		known := m.ordered[(start+i)%len(m.ordered)]
		if known.beat == nil || !keep(known) || m.suspect(known, now) {
			continue
		}
		sample = append(sample, relay(known, now))
		if n--; n == 0 {
			break
		}
	}
	return sample
}

func relay(known *member, now clocker.Millis) *messenger.Beat {
	return &messenger.Beat{
		Incarnation:          known.beat.Incarnation,
		Host:                 known.beat.Host,
		AvailabilityZone:     known.beat.AvailabilityZone,
		ExchangeAddress:      known.beat.ExchangeAddress,
		CallerAddress:        known.beat.CallerAddress,
		ConfigurationVersion: known.beat.ConfigurationVersion,
		Draining:             known.beat.Draining,
		PlatformReachable:    known.beat.PlatformReachable,
		SentAtMs:             known.beat.SentAtMs,
		InFlight:             known.beat.InFlight,
		HeldTokens:           known.beat.HeldTokens,
		AgeMs:                int64(now - known.peer.LastHeard),
	}
}

// suspect reports whether a host is silent for longer than chance explains.
func (m *Members) suspect(known *member, now clocker.Millis) bool {
	return known.beat == nil || now-known.peer.LastHeard > m.silence(known.peer.AvailabilityZone)
}

// silence returns how long a host of the zone may be silent, in milliseconds:
// news of a host arrives the more seldom the more hosts share the relayed beats.
func (m *Members) silence(zone string) clocker.Millis {
	hosts, perRound := m.zone, heardOfZone
	if zone != m.cfg.AvailabilityZone {
		hosts, perRound = len(m.ordered)-m.zone, MaxHeard-heardOfZone
	}
	messages := 2 * (ringTargets + randomTargets)
	interval := m.cfg.BeatEvery * clocker.Millis(hosts) / clocker.Millis(messages*perRound)
	return max(suspectFloor, silenceFactor*interval)
}

func (m *Members) forget(now clocker.Millis) {
	for host, known := range m.byHost {
		if known.declared || known.listed || now-known.peer.LastHeard <= forgetAfter {
			continue
		}
		delete(m.byHost, host)
		m.ordered = slices.DeleteFunc(m.ordered, func(k *member) bool { return k == known })
	}
}

// at returns the member of the host, new if need be, or nil for the own host
// and once too many hosts are known.
func (m *Members) at(host string) *member {
	if host == m.cfg.Host {
		return nil
	}
	known, ok := m.byHost[host]
	if ok {
		return known
	}
	if len(m.byHost) >= maxMembers {
		return nil
	}
	known = &member{peer: Peer{Host: host}}
	m.byHost[host] = known
	return known
}

func (m *Members) reorder() {
	m.ordered = m.ordered[:0]
	m.zone = 0
	for _, known := range m.byHost {
		m.ordered = append(m.ordered, known)
		if known.peer.AvailabilityZone == m.cfg.AvailabilityZone {
			m.zone++
		}
	}
	slices.SortFunc(m.ordered, func(a, b *member) int { return strings.Compare(a.peer.Host, b.peer.Host) })
}
