package reserver

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

// Pattern: hundreds of hosts start together and hear of each other bit by bit. None
// takes itself for a holder before the fleet is known.
func TestFleetIsKnownOnceItStaysTheSame(t *testing.T) {
	const settleFor, most = 1500, 7500
	var s settling
	at := func(now clocker.Millis, hosts uint64, alone bool) bool {
		return s.note(hosts, alone, now, settleFor, most)
	}
	assert.Assert(t, !at(1000, 1, true))
	assert.Assert(t, !at(4000, 1, true), "alone for long, and the host list may lag")
	assert.Assert(t, !at(4500, 20, false))
	assert.Assert(t, !at(5500, 190, false))
	assert.Assert(t, !at(6900, 190, false))
	assert.Assert(t, at(7000, 190, false))
	assert.Assert(t, at(7100, 3, false), "hosts that go do not undo it")

	s = settling{}
	for now := clocker.Millis(1000); now < 1000+most; now += 500 {
		assert.Assert(t, !at(now, uint64(now), false), "hosts come and go")
	}
	assert.Assert(t, at(1000+most, 1, false))

	s = settling{}
	assert.Assert(t, s.note(1, true, 1000, 0, 0), "no wait is configured")
}
