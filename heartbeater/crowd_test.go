package heartbeater_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
	"cowsliphinge/messenger"
)

// Pattern: hundreds of hosts in a few zones, whose names put each zone together. All
// of them live; once they know each other, hardly one is taken for silent, and the
// beats of a zone go to all its hosts alike.
func TestHostsOfALargeFleetAreNotSuspected(t *testing.T) {
	const (
		zones, perZone = 6, 33
		every          = 500 * clocker.Millis(1)
		settled        = 10 * clocker.Second
		end            = 30 * clocker.Second
	)
	type host struct {
		beat    *messenger.Beat
		members *heartbeater.Members
		got     int
	}
	byAddress := map[string]*host{}
	var fleet []*host
	for z := range zones {
		for n := range perZone {
			name := fmt.Sprintf("front-%c-%02d", 'a'+z, n)
			h := &host{beat: beat(name, name+"-1-1", 0)}
			h.beat.AvailabilityZone = fmt.Sprintf("%c", 'a'+z)
			h.members = heartbeater.NewMembers(heartbeater.MembersConfig{Host: name, AvailabilityZone: h.beat.AvailabilityZone, BeatInterval: every, RandomSeed: uint64(len(fleet))})
			byAddress[h.beat.ExchangeAddress] = h
			fleet = append(fleet, h)
		}
	}
	for _, h := range fleet { // as by the host list and first beats
		for _, other := range fleet {
			if other != h {
				h.members.Receive(other.beat, 0)
			}
		}
	}
	say := func(h *host, now clocker.Millis) *messenger.Beat {
		b := beat(h.beat.Host, h.beat.Incarnation, now)
		b.AvailabilityZone = h.beat.AvailabilityZone
		b.Heard = h.members.SampleBeats(now)
		return b
	}
	suspected, seen := 0, 0
	for now := every; now <= end; now += every {
		for i, h := range fleet {
			at := now + clocker.Millis(i) // all within one round, one after the other
			for _, address := range h.members.Targets() {
				other := byAddress[address]
				other.got++
				other.members.Receive(say(h, at), at)
				h.members.Receive(say(other, at), at)
			}
		}
		if now < settled {
			continue
		}
		for _, h := range fleet {
			for _, p := range h.members.Peers(now + every) {
				seen++
				if p.Suspect {
					suspected++
				}
			}
		}
	}
	assert.Assert(t, suspected*1000 <= seen, "%d of %d looks at a live host found it suspect", suspected, seen)
	least, most := fleet[0].got, fleet[0].got
	for _, h := range fleet {
		least, most = min(least, h.got), max(most, h.got)
	}
	assert.Assert(t, most <= 4*least, "hosts got %d to %d beats", least, most)
}
