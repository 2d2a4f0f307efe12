package reserver

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

// Hundreds of hosts start together and learn of each other gradually. No host considers
// itself a holder before membership is stable.
func TestMembershipIsStableOnceHostsStayTheSame(t *testing.T) {
	const stableFor, timeout = 1500, 7500
	var m membership
	observeAt := func(now clocker.Millis, hosts uint64, noPeers bool) bool {
		return m.observe(hosts, noPeers, now, stableFor, timeout)
	}
	assert.Assert(t, !observeAt(1000, 1, true))
	assert.Assert(t, !observeAt(4000, 1, true), "no peers for a long time: the host list may lag")
	assert.Assert(t, !observeAt(4500, 20, false))
	assert.Assert(t, !observeAt(5500, 190, false))
	assert.Assert(t, !observeAt(6900, 190, false))
	assert.Assert(t, observeAt(7000, 190, false))
	assert.Assert(t, observeAt(7100, 3, false), "membership stays stable when hosts leave")

	m = membership{}
	for now := clocker.Millis(1000); now < 1000+timeout; now += 500 {
		assert.Assert(t, !observeAt(now, uint64(now), false), "hosts come and go")
	}
	assert.Assert(t, observeAt(1000+timeout, 1, false))

	m = membership{}
	assert.Assert(t, m.observe(1, true, 1000, 0, 0), "no wait is configured")
}
