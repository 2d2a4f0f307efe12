package heartbeater

import (
	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// SampleBeats returns the beats to forward: a bounded random sample that prefers fresh
// beats and reserves a share for the own zone.
func (m *Members) SampleBeats(now clocker.Millis) []*messenger.Beat {
	inOwnZone := func(member *memberState) bool { return member.peer.AvailabilityZone == m.cfg.AvailabilityZone }
	inOtherZone := func(member *memberState) bool { return !inOwnZone(member) }
	sample := make([]*memberState, 0, MaxForwardedBeats)
	ownZoneLimit := ownZoneBeats
	if m.ownZoneSize == len(m.sorted) {
		ownZoneLimit = MaxForwardedBeats
	}
	sample = m.appendSample(sample, now, ownZoneLimit, inOwnZone)
	sample = m.appendSample(sample, now, MaxForwardedBeats, inOtherZone)
	beats := make([]*messenger.Beat, 0, len(sample))
	for _, member := range sample {
		beats = append(beats, forwardedBeat(member, now))
	}
	return beats
}

// appendSample appends included members that are not suspect until the sample has limit
// entries. It goes round the sorted candidates from a random start, first for those with
// fresh beats, then for the others. The start is a position among the candidates: with a
// start among all members, those that follow a gap of other members would be sampled far
// more often.
func (m *Members) appendSample(sample []*memberState, now clocker.Millis, limit int, include func(*memberState) bool) []*memberState {
	var candidates []*memberState
	for _, member := range m.sorted {
		if member.hasBeat && include(member) && !m.isSuspect(member, now) {
			candidates = append(candidates, member)
		}
	}
	if len(candidates) == 0 {
		return sample
	}
	start := m.rng.IntN(len(candidates))
	for _, wantFresh := range []bool{true, false} {
		for i := range candidates {
			if len(sample) >= limit {
				return sample
			}
			member := candidates[(start+i)%len(candidates)]
			if isFresh := now-member.peer.LastHeard <= freshAge; isFresh == wantFresh {
				sample = append(sample, member)
			}
		}
	}
	return sample
}

// forwardedBeat returns a beat with the state of a member. The host name, zone and addresses
// are included only for addressForwardPeriod after its current incarnation joined.
func forwardedBeat(member *memberState, now clocker.Millis) *messenger.Beat {
	beat := &messenger.Beat{
		Incarnation:          member.peer.Incarnation,
		ConfigurationVersion: member.peer.ConfigurationVersion,
		ServersFingerprint:   member.peer.ServersFingerprint,
		ServersRevision:      member.peer.ServersRevision,
		Draining:             member.peer.Draining,
		PlatformReachable:    member.peer.PlatformReachable,
		BackendsCut:          member.peer.BackendsCut,
		SentAtMs:             int64(member.lastSentAt),
		InFlight:             member.peer.InFlight,
		CapacityMilli:        member.peer.CapacityMilli,
		Witnesses:            member.peer.Witnesses,
		HeldTokens:           member.peer.HeldTokens,
		LeavingInFlight:      member.peer.LeavingInFlight,
		RequestsCut:          member.peer.RequestsCut,
		AgeMs:                int64(now - member.peer.LastHeard),
	}
	if now-member.joinedAt <= addressForwardPeriod {
		beat.Host = member.peer.Host
		beat.AvailabilityZone = member.peer.AvailabilityZone
		beat.ExchangeAddress = member.peer.ExchangeAddress
		beat.CallerAddress = member.peer.CallerAddress
	}
	return beat
}
