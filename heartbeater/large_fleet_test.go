package heartbeater_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
	"cowsliphinge/messenger"
)

// Guards against: in a large fleet whose host names group the hosts by zone, live hosts are
// suspect, or the beats are distributed unevenly. All hosts are live; after they know each
// other, at most 1 in 1000 checks may find a host suspect.
func TestHostsOfALargeFleetAreNotSuspected(t *testing.T) {
	const (
		zones, perZone = 6, 33
		interval       = 500 * clocker.Millis(1)
		settleTime     = 10 * clocker.Second
		end            = 30 * clocker.Second
	)
	type host struct {
		beat          *messenger.Beat
		members       *heartbeater.Members
		beatsReceived int
	}
	byAddress := map[string]*host{}
	var fleet []*host
	for z := range zones {
		for n := range perZone {
			name := fmt.Sprintf("front-%c-%02d", 'a'+z, n)
			h := &host{beat: beat(name, name+"-1-1", 0)}
			h.beat.AvailabilityZone = fmt.Sprintf("%c", 'a'+z)
			h.members = heartbeater.NewMembers(heartbeater.MembersConfig{Host: name, AvailabilityZone: h.beat.AvailabilityZone, BeatInterval: interval, RandomSeed: uint64(len(fleet))})
			byAddress[h.beat.ExchangeAddress] = h
			fleet = append(fleet, h)
		}
	}
	for _, h := range fleet { // initial state after the host list and the first beats
		for _, other := range fleet {
			if other != h {
				h.members.Receive(other.beat, 0)
			}
		}
	}
	beatFrom := func(h *host, now clocker.Millis) *messenger.Beat {
		b := beat(h.beat.Host, h.beat.Incarnation, now)
		b.AvailabilityZone = h.beat.AvailabilityZone
		b.Heard = h.members.SampleBeats(now)
		return b
	}
	suspected, checked := 0, 0
	for now := interval; now <= end; now += interval {
		for i, h := range fleet {
			at := now + clocker.Millis(i) // one after the other within a round
			for _, address := range h.members.Targets() {
				other := byAddress[address]
				other.beatsReceived++
				other.members.Receive(beatFrom(h, at), at)
				h.members.Receive(beatFrom(other, at), at)
			}
		}
		if now < settleTime {
			continue
		}
		for _, h := range fleet {
			for _, p := range h.members.Peers(now + interval) {
				checked++
				if p.Suspect {
					suspected++
				}
			}
		}
	}
	assert.Assert(t, suspected*1000 <= checked, "a live host was suspect in %d of %d checks", suspected, checked)
	least, most := fleet[0].beatsReceived, fleet[0].beatsReceived
	for _, h := range fleet {
		least, most = min(least, h.beatsReceived), max(most, h.beatsReceived)
	}
	assert.Assert(t, most <= 4*least, "hosts received between %d and %d beats", least, most)
}
