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
	MaxForwardedBeats = 24
	// heardOfZone is how many of them are about the sender's own zone.
	heardOfZone = 8
	// freshFor is how recent news is that is relayed first, in milliseconds.
	freshFor = 2 * clocker.Second
	// fullFor is how long a host's addresses are relayed with its news after
	// it joined or restarted, in milliseconds.
	fullFor = 2 * clocker.Minute
	// zoneTargets and randomTargets are the peers that get a beat each round:
	// one of the own zone, in turn the successor on its ring and a random one,
	// and any other.
	zoneTargets   = 1
	randomTargets = 1
	// maxMembers bounds the hosts that are remembered.
	maxMembers = 4096
	// suspectFloor is the shortest silence that makes a peer suspect, in milliseconds.
	suspectFloor = 4 * clocker.Second
	// suspectFailures is the number of beats without an answer, and without
	// other news of the peer, that make it suspect.
	suspectFailures = 3
	// silenceFactor times the expected interval between news makes a peer suspect.
	silenceFactor = 12
	// maxSentAt is the latest sending time that a later life goes beyond, in
	// milliseconds, so that a malformed one can't overflow.
	maxSentAt = 1 << 62
	// forgetAfter drops a silent host that is neither declared nor listed, in milliseconds.
	forgetAfter = 10 * clocker.Minute
)

// MembersConfig configures Members.
type MembersConfig struct {
	Host string
	// Incarnation is the own life.
	Incarnation      string
	AvailabilityZone string
	// BeatEvery is the time between rounds of beats, in milliseconds.
	BeatInterval clocker.Millis
	// Seed of the random choices of targets and relayed beats.
	RandomSeed uint64
}

// Members decides who the peers are, whom to send a beat to and what to relay.
// It does no I/O and is not safe for concurrent use.
type Members struct {
	cfg    MembersConfig
	rng    *rand.Rand
	byHost map[string]*member
	// ordered are the members by host name; zone is how many are of the own zone.
	ordered []*member
	zone    int
	round   int
	// declared are the hosts taken over last.
	declared []*messenger.Host
	// ahead is added to the own clock in beats, in milliseconds, so that they are later
	// than all of earlier lives of this host.
	ahead clocker.Millis
}

type member struct {
	peer Peer
	// heard is true once any beat of it arrived.
	heard bool
	// sentAt is the sender's time of the latest beat. It orders the beats of all lives of
	// the host, and is compared with no other clock.
	sentAt clocker.Millis
	// replaced is the life before the present one, "" if none was heard.
	replaced string
	// joinedAt is when this incarnation was first heard of.
	joinedAt clocker.Millis
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
		rng:    rand.New(rand.NewPCG(cfg.RandomSeed, 0)),
		byHost: map[string]*member{},
	}
}

// Declare takes over the hosts of the declarations.
func (m *Members) SetDeclared(hosts []*messenger.Host) {
	if slices.Equal(hosts, m.declared) {
		return
	}
	m.declared = hosts
	for _, known := range m.byHost {
		known.declared = false
	}
	for _, h := range hosts {
		known := m.at(h.Name)
		if known == nil {
			continue
		}
		known.declared = true
		if known.heard {
			continue
		}
		m.move(known, h.AvailabilityZone)
		known.peer.ExchangeAddress = h.ExchangeAddress
		known.peer.CallerAddress = h.CallerAddress
	}
}

// List takes over the platform's host list, which lags: a host on it may be
// gone, and a host that is heard need not be on it yet.
func (m *Members) SetListed(hosts []storer.ListedHost) {
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
}

// Hear merges a beat that arrived at now, and the beats that it relays. It
// reports whether somebody joined, restarted or began to drain.
func (m *Members) Receive(beat *messenger.Beat, now clocker.Millis) bool {
	changed := m.hear(beat, now, 0)
	for _, relayed := range beat.Heard[:min(len(beat.Heard), MaxForwardedBeats)] {
		if m.hear(relayed, now, clocker.Millis(max(0, relayed.AgeMs))) {
			changed = true
		}
	}
	return changed
}

func (m *Members) hear(beat *messenger.Beat, now, age clocker.Millis) bool {
	host := hostOf(beat)
	if host == "" || beat.Incarnation == "" {
		return false
	}
	if host == m.cfg.Host {
		m.outrun(beat, now)
		return false
	}
	if m.byHost[host] == nil && beat.ExchangeAddress == "" {
		return false
	}
	known := m.at(host)
	if known == nil {
		return false
	}
	if known.heard && !known.isNews(beat) {
		return false
	}
	joined := !known.heard || beat.Incarnation != known.peer.Incarnation
	if beat.ExchangeAddress == "" && known.peer.ExchangeAddress == "" {
		return false
	}
	if joined {
		known.joinedAt = now
		known.replaced = known.peer.Incarnation
	}
	drained := beat.Draining != known.peer.Draining
	known.sentAt = clocker.Millis(beat.SentAtMs)
	known.heard = true
	known.failures = 0
	m.merge(known, beat, now-age)
	return joined || drained
}

// isNews reports whether a beat was sent after all that was heard of the host. Equal
// times are ordered by incarnation, so that all hosts choose the same life.
func (k *member) isNews(beat *messenger.Beat) bool {
	if at := clocker.Millis(beat.SentAtMs); at != k.sentAt {
		return at > k.sentAt
	}
	return beat.Incarnation > k.peer.Incarnation
}

// outrun makes later beats of this host later than one of another life of it.
func (m *Members) outrun(beat *messenger.Beat, now clocker.Millis) {
	sentAt := clocker.Millis(beat.SentAtMs)
	if beat.Incarnation == m.cfg.Incarnation || sentAt < m.BeatTimestamp(now) || sentAt > maxSentAt {
		return
	}
	m.ahead = sentAt + 1 - now
}

// SentAt returns the sending time of a beat of this host that is sent at now.
func (m *Members) BeatTimestamp(now clocker.Millis) clocker.Millis {
	return now + m.ahead
}

// Earlier returns the news of another life of a beat's host that keeps the beat from
// being heard here, or nil. Its sender needs it for SentAt.
func (m *Members) ConflictingBeat(beat *messenger.Beat, now clocker.Millis) *messenger.Beat {
	known := m.byHost[hostOf(beat)]
	if known == nil || !known.heard || known.peer.Incarnation == beat.Incarnation {
		return nil
	}
	return relay(known, now)
}

// Replaced reports whether a later life of its host was heard after this one.
func (m *Members) Replaced(incarnation string) bool {
	known := m.byHost[HostOf(incarnation)]
	return known != nil && known.replaced == incarnation
}

// merge takes over what a beat tells. Relayed beats of hosts that are known for
// a while leave the addresses out.
func (m *Members) merge(known *member, beat *messenger.Beat, heard clocker.Millis) {
	p := &known.peer
	if beat.ExchangeAddress != "" {
		m.move(known, beat.AvailabilityZone)
		p.ExchangeAddress = beat.ExchangeAddress
		p.CallerAddress = beat.CallerAddress
	}
	p.Incarnation = beat.Incarnation
	p.ConfigurationVersion = beat.ConfigurationVersion
	p.ServersFingerprint = beat.ServersFingerprint
	p.ServersRevision = beat.ServersRevision
	p.LastHeard = heard
	p.Draining = beat.Draining
	p.PlatformReachable = beat.PlatformReachable
	p.InFlight = beat.InFlight
	p.HeldTokens = beat.HeldTokens
	p.LeavingInFlight = beat.LeavingInFlight
	p.RequestsCut = beat.RequestsCut
}

// move puts a member into a zone.
func (m *Members) move(known *member, zone string) {
	if known.peer.AvailabilityZone == m.cfg.AvailabilityZone {
		m.zone--
	}
	known.peer.AvailabilityZone = zone
	if zone == m.cfg.AvailabilityZone {
		m.zone++
	}
}

// Failed notes that a beat to the exchange address got no answer.
func (m *Members) RecordFailure(address string) {
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
	m.round++
	var targets []string
	if m.round%2 == 0 {
		targets = m.ring()
	} else {
		targets = m.add(targets, m.random(true))
	}
	return m.add(targets, m.random(false))
}

// random returns the exchange address of a random member, of the own zone or of any;
// "" for none.
func (m *Members) random(ofZone bool) string {
	candidates := m.ordered
	if ofZone {
		candidates = make([]*member, 0, m.zone)
		for _, known := range m.ordered {
			if known.peer.AvailabilityZone == m.cfg.AvailabilityZone {
				candidates = append(candidates, known)
			}
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[m.rng.IntN(len(candidates))].peer.ExchangeAddress
}

func (*Members) add(targets []string, address string) []string {
	if address == "" || slices.Contains(targets, address) {
		return targets
	}
	return append(targets, address)
}

// ring returns the successors of the own host on the ring of its zone, behind
// those that do not answer.
func (m *Members) ring() []string {
	var targets []string
	at, _ := slices.BinarySearchFunc(m.ordered, m.cfg.Host, byName)
	healthy := 0
	for i := 0; i < len(m.ordered) && len(targets) <= zoneTargets; i++ {
		known := m.ordered[(at+i)%len(m.ordered)]
		if known.peer.AvailabilityZone != m.cfg.AvailabilityZone || known.peer.ExchangeAddress == "" {
			continue
		}
		targets = append(targets, known.peer.ExchangeAddress)
		if known.failures == 0 {
			healthy++
		}
		if healthy == zoneTargets {
			break
		}
	}
	return targets
}

// suspect reports whether a host is silent for longer than chance explains.
func (m *Members) suspect(known *member, now clocker.Millis) bool {
	return !known.heard || known.failures >= suspectFailures || now-known.peer.LastHeard > m.silence(known.peer.AvailabilityZone)
}

// silence returns how long a host of the zone may be silent, in milliseconds:
// news of a host arrives the more seldom the more hosts share the relayed beats.
func (m *Members) silence(zone string) clocker.Millis {
	hosts, perRound := m.zone, heardOfZone
	if zone != m.cfg.AvailabilityZone {
		hosts, perRound = len(m.ordered)-m.zone, MaxForwardedBeats-heardOfZone
	}
	messages := 2 * (zoneTargets + randomTargets)
	interval := m.cfg.BeatInterval * clocker.Millis(hosts) / clocker.Millis(messages*perRound)
	return max(suspectFloor, silenceFactor*interval)
}

func (m *Members) forget(now clocker.Millis) {
	for host, known := range m.byHost {
		if known.declared || known.listed || now-known.peer.LastHeard <= forgetAfter {
			continue
		}
		delete(m.byHost, host)
		m.move(known, "")
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
	at, _ := slices.BinarySearchFunc(m.ordered, host, byName)
	m.ordered = slices.Insert(m.ordered, at, known)
	return known
}

func byName(k *member, host string) int {
	return strings.Compare(k.peer.Host, host)
}
