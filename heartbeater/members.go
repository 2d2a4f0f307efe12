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
	// MaxForwardedBeats bounds the forwarded beats in one beat, sent or accepted.
	MaxForwardedBeats = 24
	// ownZoneBeats is the number of these that describe hosts of the sender's zone.
	ownZoneBeats = 8
	// freshAge is the maximum age of beats that are forwarded first, in milliseconds.
	freshAge = 2 * clocker.Second
	// addressForwardPeriod is how long forwarded beats include the host name, zone and
	// addresses after the first beat of an incarnation arrived here, in milliseconds.
	addressForwardPeriod = 2 * clocker.Minute
	// zoneTargets and randomTargets are the usual numbers of peers that get a beat each
	// round: one of the own zone, alternately the successor on the zone's ring and a
	// random one, and a random one of any zone. The ring is the hosts of the zone in name
	// order, wrapping round. ringSuccessors may return one more than zoneTargets; Targets
	// always adds one random peer of any zone, which randomTargets counts for maxSilence.
	zoneTargets   = 1
	randomTargets = 1
	// maxMembers bounds the hosts in the member list.
	maxMembers = 4096
	// minSuspectSilence is the shortest time without a beat after which a peer is suspect,
	// in milliseconds.
	minSuspectSilence = 4 * clocker.Second
	// suspectFailures is the number of unanswered beats, with no beat of the peer
	// received in between, after which it is suspect.
	suspectFailures = 3
	// suspectIntervals is the number of expected intervals between beats after which a
	// silent peer is suspect.
	suspectIntervals = 12
	// maxTimestamp is the highest reported timestamp above which this host raises its own,
	// in milliseconds. Higher ones are ignored as invalid, because the sum could overflow.
	maxTimestamp = 1 << 62
	// expireAfter is the silence after which a host that is neither declared nor listed is
	// removed, in milliseconds.
	expireAfter = 10 * clocker.Minute
)

// MembersConfig configures Members.
type MembersConfig struct {
	Host string
	// Incarnation is the own incarnation.
	Incarnation      string
	AvailabilityZone string
	// BeatInterval is the time between rounds of beats, in milliseconds.
	BeatInterval clocker.Millis
	// RandomSeed seeds the random choice of targets and forwarded beats.
	RandomSeed uint64
}

// Members tracks the known hosts and selects the targets of beats and the beats to
// forward. A member is a known host other than the own one; a Peer is the published copy of
// its state. Members does no I/O and is not safe for concurrent use.
type Members struct {
	cfg    MembersConfig
	rng    *rand.Rand
	byHost map[string]*memberState
	// sorted holds the members by host name; ownZoneSize is how many are in the own zone.
	sorted      []*memberState
	ownZoneSize int
	round       int
	// declaredHosts are the hosts of the last SetDeclared.
	declaredHosts []*messenger.Host
	// timestampOffset is added to the own clock in beats, in milliseconds. It makes their
	// timestamps later than those of all earlier incarnations of this host.
	timestampOffset clocker.Millis
	// newestVersion is the highest configuration version that a received beat reported.
	newestVersion int64
	newestServers ServersState
	confirmations Confirmations
}

// Confirmations are the times until which the store has told some host of all changes, in
// milliseconds; 0 for never.
type Confirmations struct {
	Configuration clocker.Millis
	Servers       clocker.Millis
}

// receive merges the ages of a beat that arrived at now.
func (c *Confirmations) receive(beat *messenger.Beat, now clocker.Millis) {
	if age := beat.ConfigurationConfirmedAgeMs; age > 0 {
		c.Configuration = max(c.Configuration, now-clocker.Millis(age-1))
	}
	if age := beat.ServersConfirmedAgeMs; age > 0 {
		c.Servers = max(c.Servers, now-clocker.Millis(age-1))
	}
}

// send sets the ages in a beat that is sent at now.
func (c Confirmations) send(beat *messenger.Beat, now clocker.Millis) {
	if c.Configuration > 0 {
		beat.ConfigurationConfirmedAgeMs = int64(max(0, now-c.Configuration)) + 1
	}
	if c.Servers > 0 {
		beat.ServersConfirmedAgeMs = int64(max(0, now-c.Servers)) + 1
	}
}

// ServersState identifies the backend servers that a host knows.
type ServersState struct {
	// Revision is the revision of the store as of which they are known.
	Revision int64
	// Fingerprint is equal on hosts that know the same servers.
	Fingerprint uint64
}

// newerServers returns the state as of the later revision.
func newerServers(a, b ServersState) ServersState {
	if b.Revision > a.Revision {
		return b
	}
	return a
}

// memberState is the state of one member.
type memberState struct {
	peer Peer
	// hasBeat is true once a beat of the host was accepted.
	hasBeat bool
	// lastSentAt is the sender's timestamp of the latest beat. It orders the beats of all
	// incarnations of the host and is never compared with the clock of another host.
	lastSentAt clocker.Millis
	// previousIncarnation is the incarnation before the current one, "" if none is known.
	previousIncarnation string
	// joinedAt is when the first beat of the current incarnation arrived here.
	joinedAt clocker.Millis
	// failedBeats is the number of unanswered beats to the host since its last accepted
	// beat.
	failedBeats int
	declared    bool
	listed      bool
	// leaving is true if the host list marks the host as leaving.
	leaving bool
}

// NewMembers returns an empty member list.
func NewMembers(cfg MembersConfig) *Members {
	return &Members{
		cfg:    cfg,
		rng:    rand.New(rand.NewPCG(cfg.RandomSeed, 0)),
		byHost: map[string]*memberState{},
	}
}

// SetDeclared replaces the declared hosts.
func (m *Members) SetDeclared(hosts []*messenger.Host) {
	if slices.Equal(hosts, m.declaredHosts) {
		return
	}
	m.declaredHosts = hosts
	for _, member := range m.byHost {
		member.declared = false
	}
	for _, h := range hosts {
		member := m.findOrAdd(h.Name)
		if member == nil {
			continue
		}
		member.declared = true
		if member.hasBeat {
			continue
		}
		m.setZone(member, h.AvailabilityZone)
		member.peer.ExchangeAddress = h.ExchangeAddress
		member.peer.CallerAddress = h.CallerAddress
	}
}

// SetListed replaces the entries of the platform's host list. The list lags: a host on it
// may have failed, and a host that sends beats may not be on it yet.
func (m *Members) SetListed(hosts []storer.ListedHost) {
	for _, member := range m.byHost {
		member.listed = false
		member.leaving = false
	}
	for _, h := range hosts {
		member := m.findOrAdd(h.Name)
		if member == nil {
			continue
		}
		member.listed = true
		member.leaving = h.Leaving
		if member.peer.ExchangeAddress == "" {
			member.peer.ExchangeAddress = h.Address
		}
	}
}

// Receive merges a beat that arrived at now, and the beats that it forwards. It reports
// whether a host joined, restarted, or started or stopped draining.
func (m *Members) Receive(beat *messenger.Beat, now clocker.Millis) bool {
	m.confirmations.receive(beat, now)
	changed := m.receiveOne(beat, now, 0)
	for _, forwarded := range beat.Heard[:min(len(beat.Heard), MaxForwardedBeats)] {
		if m.receiveOne(forwarded, now, clocker.Millis(max(0, forwarded.AgeMs))) {
			changed = true
		}
	}
	return changed
}

// NewestVersion returns the highest configuration version that any received beat reported,
// also for hosts that the sender only heard of.
func (m *Members) NewestVersion() int64 {
	return m.newestVersion
}

// NewestServers returns the backend servers as of the latest revision that any received beat
// reported.
func (m *Members) NewestServers() ServersState {
	return m.newestServers
}

// Confirmations returns the latest confirmations that any received beat reported.
func (m *Members) Confirmations() Confirmations {
	return m.confirmations
}

// receiveOne merges a single beat whose content is age old at now.
func (m *Members) receiveOne(beat *messenger.Beat, now, age clocker.Millis) bool {
	m.newestVersion = max(m.newestVersion, beat.ConfigurationVersion, beat.NewestConfigurationVersion)
	m.newestServers = newerServers(m.newestServers, ServersState{beat.ServersRevision, beat.ServersFingerprint})
	m.newestServers = newerServers(m.newestServers, ServersState{beat.NewestServersRevision, beat.NewestServersFingerprint})
	host := beatHost(beat)
	if host == "" || beat.Incarnation == "" {
		return false
	}
	if host == m.cfg.Host {
		m.advanceTimestamps(beat, now)
		return false
	}
	if m.byHost[host] == nil && beat.ExchangeAddress == "" {
		return false
	}
	member := m.findOrAdd(host)
	if member == nil {
		return false
	}
	if member.hasBeat && !member.isNewer(beat) {
		return false
	}
	joined := !member.hasBeat || beat.Incarnation != member.peer.Incarnation
	if beat.ExchangeAddress == "" && member.peer.ExchangeAddress == "" {
		return false
	}
	if joined {
		member.joinedAt = now
		member.previousIncarnation = member.peer.Incarnation
	}
	drainingChanged := beat.Draining != member.peer.Draining
	member.lastSentAt = clocker.Millis(beat.SentAtMs)
	member.hasBeat = true
	member.failedBeats = 0
	m.update(member, beat, now-age)
	return joined || drainingChanged
}

// isNewer reports whether a beat was sent after all accepted beats of the host. Equal
// timestamps are ordered by incarnation, which makes all hosts select the same incarnation.
func (member *memberState) isNewer(beat *messenger.Beat) bool {
	if sentAt := clocker.Millis(beat.SentAtMs); sentAt != member.lastSentAt {
		return sentAt > member.lastSentAt
	}
	return beat.Incarnation > member.peer.Incarnation
}

// advanceTimestamps raises the timestamps of this host's further beats above that of a beat
// of another incarnation of it.
func (m *Members) advanceTimestamps(beat *messenger.Beat, now clocker.Millis) {
	sentAt := clocker.Millis(beat.SentAtMs)
	if beat.Incarnation == m.cfg.Incarnation || sentAt < m.BeatTimestamp(now) || sentAt > maxTimestamp {
		return
	}
	m.timestampOffset = sentAt + 1 - now
}

// BeatTimestamp returns the timestamp of a beat that this host sends at now.
func (m *Members) BeatTimestamp(now clocker.Millis) clocker.Millis {
	return now + m.timestampOffset
}

// ConflictingBeat is called after Receive of the same beat. It returns the state of the
// incarnation that is current here if that isn't the sender's, and nil otherwise. The sender
// then raises its timestamps above that of the returned beat.
func (m *Members) ConflictingBeat(beat *messenger.Beat, now clocker.Millis) *messenger.Beat {
	member := m.byHost[beatHost(beat)]
	if member == nil || !member.hasBeat || member.peer.Incarnation == beat.Incarnation {
		return nil
	}
	return forwardedBeat(member, now)
}

// Replaced reports whether the incarnation is the one that was current here just before the
// present one of its host. It is false for all others, also for older ones.
func (m *Members) Replaced(incarnation string) bool {
	member := m.byHost[HostOf(incarnation)]
	return member != nil && member.previousIncarnation == incarnation
}

// update sets the member's state from a beat. The zone is sent only together with the
// addresses: forwarded beats contain neither once the sender has known the incarnation for
// longer than addressForwardPeriod.
func (m *Members) update(member *memberState, beat *messenger.Beat, heardAt clocker.Millis) {
	p := &member.peer
	if beat.ExchangeAddress != "" {
		m.setZone(member, beat.AvailabilityZone)
		p.ExchangeAddress = beat.ExchangeAddress
		p.CallerAddress = beat.CallerAddress
	}
	p.Witnesses = beat.Witnesses || p.Witnesses && p.Incarnation == beat.Incarnation // earlier builds forward beats without it
	p.Incarnation = beat.Incarnation
	p.ConfigurationVersion = beat.ConfigurationVersion
	p.ServersFingerprint = beat.ServersFingerprint
	p.ServersRevision = beat.ServersRevision
	p.LastHeard = heardAt
	p.Draining = beat.Draining
	p.PlatformReachable = beat.PlatformReachable
	p.BackendsCut = beat.BackendsCut
	p.InFlight = beat.InFlight
	if beat.CapacityMilli > 0 { // earlier builds forward beats without it
		p.CapacityMilli = beat.CapacityMilli
	}
	p.HeldTokens = beat.HeldTokens
	p.LeavingInFlight = beat.LeavingInFlight
	p.RequestsCut = beat.RequestsCut
}

// setZone sets the zone of a member and updates ownZoneSize.
func (m *Members) setZone(member *memberState, zone string) {
	if member.peer.AvailabilityZone == m.cfg.AvailabilityZone {
		m.ownZoneSize--
	}
	member.peer.AvailabilityZone = zone
	if zone == m.cfg.AvailabilityZone {
		m.ownZoneSize++
	}
}

// RecordFailure records that a beat to the exchange address got no answer.
func (m *Members) RecordFailure(address string) {
	for _, member := range m.sorted {
		if member.peer.ExchangeAddress == address {
			member.failedBeats++
		}
	}
}

// Peers removes hosts that are silent and neither declared nor listed, and returns all
// other known hosts except the own one, ordered by name.
func (m *Members) Peers(now clocker.Millis) []Peer {
	m.removeExpired(now)
	peers := make([]Peer, 0, len(m.sorted))
	for _, member := range m.sorted {
		p := member.peer
		p.Draining = p.Draining || member.leaving
		p.Suspect = m.isSuspect(member, now)
		peers = append(peers, p)
	}
	return peers
}

// Targets returns the exchange addresses for the next round of beats. Their number does not
// depend on the size of the fleet.
func (m *Members) Targets() []string {
	m.round++
	var targets []string
	if m.round%2 == 0 {
		targets = m.ringSuccessors()
	} else {
		targets = m.appendTarget(targets, m.randomAddress(true))
	}
	return m.appendTarget(targets, m.randomAddress(false))
}

// randomAddress returns the exchange address of a random member, of the own zone or of any
// zone; "" if there is none.
func (m *Members) randomAddress(ownZoneOnly bool) string {
	candidates := m.sorted
	if ownZoneOnly {
		candidates = make([]*memberState, 0, m.ownZoneSize)
		for _, member := range m.sorted {
			if member.peer.AvailabilityZone == m.cfg.AvailabilityZone {
				candidates = append(candidates, member)
			}
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[m.rng.IntN(len(candidates))].peer.ExchangeAddress
}

// appendTarget appends the address unless it is empty or already a target.
func (*Members) appendTarget(targets []string, address string) []string {
	if address == "" || slices.Contains(targets, address) {
		return targets
	}
	return append(targets, address)
}

// ringSuccessors returns the next members after the own host on the ring of its zone, up to
// and including the first one with no unanswered beat since its last accepted beat, but at
// most zoneTargets+1.
func (m *Members) ringSuccessors() []string {
	var targets []string
	position, _ := slices.BinarySearchFunc(m.sorted, m.cfg.Host, compareHost)
	healthy := 0
	for i := 0; i < len(m.sorted) && len(targets) <= zoneTargets; i++ {
		member := m.sorted[(position+i)%len(m.sorted)]
		if member.peer.AvailabilityZone != m.cfg.AvailabilityZone || member.peer.ExchangeAddress == "" {
			continue
		}
		targets = append(targets, member.peer.ExchangeAddress)
		if member.failedBeats == 0 {
			healthy++
		}
		if healthy == zoneTargets {
			break
		}
	}
	return targets
}

// isSuspect reports whether a host sent no beat yet, answers no beats, or is silent for
// longer than maxSilence.
func (m *Members) isSuspect(member *memberState, now clocker.Millis) bool {
	return !member.hasBeat || member.failedBeats >= suspectFailures || now-member.peer.LastHeard > m.maxSilence(member.peer.AvailabilityZone)
}

// maxSilence returns how long a host of the zone may be silent before it is suspect, in
// milliseconds. It grows with the number of hosts, because these share the limited number
// of forwarded beats.
func (m *Members) maxSilence(zone string) clocker.Millis {
	hosts, forwardedPerBeat := m.ownZoneSize, ownZoneBeats
	if zone != m.cfg.AvailabilityZone {
		hosts, forwardedPerBeat = len(m.sorted)-m.ownZoneSize, MaxForwardedBeats-ownZoneBeats
	}
	// On average a host receives two beats per target and round: the reply to its own beat,
	// and a beat that another host sends first.
	receivedPerRound := 2 * (zoneTargets + randomTargets)
	interval := m.cfg.BeatInterval * clocker.Millis(hosts) / clocker.Millis(receivedPerRound*forwardedPerBeat)
	return max(minSuspectSilence, suspectIntervals*interval)
}

// removeExpired removes the hosts that are neither declared nor listed and are silent for
// longer than expireAfter.
func (m *Members) removeExpired(now clocker.Millis) {
	for host, member := range m.byHost {
		if member.declared || member.listed || now-member.peer.LastHeard <= expireAfter {
			continue
		}
		delete(m.byHost, host)
		m.setZone(member, "")
		m.sorted = slices.DeleteFunc(m.sorted, func(other *memberState) bool { return other == member })
	}
}

// findOrAdd returns the member of the host and adds it if it is unknown. It returns nil for
// the own host, and for an unknown host if maxMembers are known.
func (m *Members) findOrAdd(host string) *memberState {
	if host == m.cfg.Host {
		return nil
	}
	member, ok := m.byHost[host]
	if ok {
		return member
	}
	if len(m.byHost) >= maxMembers {
		return nil
	}
	member = &memberState{peer: Peer{Host: host}}
	m.byHost[host] = member
	position, _ := slices.BinarySearchFunc(m.sorted, host, compareHost)
	m.sorted = slices.Insert(m.sorted, position, member)
	return member
}

func compareHost(member *memberState, host string) int {
	return strings.Compare(member.peer.Host, host)
}
