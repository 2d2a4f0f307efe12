package heartbeater

import (
	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// Sample returns the beats to relay: a bounded random choice, fresh news first,
// with a share for the own zone.
func (m *Members) SampleBeats(now clocker.Millis) []*messenger.Beat {
	own := func(k *member) bool { return k.peer.AvailabilityZone == m.cfg.AvailabilityZone }
	other := func(k *member) bool { return !own(k) }
	chosen := make([]*member, 0, MaxForwardedBeats)
	share := heardOfZone
	if m.zone == len(m.ordered) {
		share = MaxForwardedBeats
	}
	chosen = m.choose(chosen, now, share, own)
	chosen = m.choose(chosen, now, MaxForwardedBeats, other)
	sample := make([]*messenger.Beat, 0, len(chosen))
	for _, known := range chosen {
		sample = append(sample, relay(known, now))
	}
	return sample
}

// choose appends members until there are n: those with fresh news along the ring of
// the ones to keep, from a random place on it, then others. The place is one of that
// ring: on the ring of all hosts those behind a gap would be chosen most of the time.
func (m *Members) choose(chosen []*member, now clocker.Millis, n int, keep func(*member) bool) []*member {
	var kept []*member
	for _, known := range m.ordered {
		if known.heard && keep(known) && !m.suspect(known, now) {
			kept = append(kept, known)
		}
	}
	if len(kept) == 0 {
		return chosen
	}
	start := m.rng.IntN(len(kept))
	for _, fresh := range []bool{true, false} {
		for i := range kept {
			if len(chosen) >= n {
				return chosen
			}
			known := kept[(start+i)%len(kept)]
			if recent := now-known.peer.LastHeard <= freshFor; recent == fresh {
				chosen = append(chosen, known)
			}
		}
	}
	return chosen
}

// relay returns the news of a member, without its addresses once it is known
// for a while.
func relay(known *member, now clocker.Millis) *messenger.Beat {
	beat := &messenger.Beat{
		Incarnation:          known.peer.Incarnation,
		ConfigurationVersion: known.peer.ConfigurationVersion,
		ServersFingerprint:   known.peer.ServersFingerprint,
		ServersRevision:      known.peer.ServersRevision,
		Draining:             known.peer.Draining,
		PlatformReachable:    known.peer.PlatformReachable,
		SentAtMs:             int64(known.sentAt),
		InFlight:             known.peer.InFlight,
		HeldTokens:           known.peer.HeldTokens,
		LeavingInFlight:      known.peer.LeavingInFlight,
		RequestsCut:          known.peer.RequestsCut,
		AgeMs:                int64(now - known.peer.LastHeard),
	}
	if now-known.joinedAt <= fullFor {
		beat.Host = known.peer.Host
		beat.AvailabilityZone = known.peer.AvailabilityZone
		beat.ExchangeAddress = known.peer.ExchangeAddress
		beat.CallerAddress = known.peer.CallerAddress
	}
	return beat
}
