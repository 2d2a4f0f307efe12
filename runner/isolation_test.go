package runner

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
)

// Single hosts are partitioned from the store and from all other hosts, while callers
// still reach them. They refuse callers after isolationTimeout without heartbeats. They
// keep serving in an outage of the store, in a partitioned zone, or when no other host
// was ever heard from.
func TestIsolationNeedsUnreachableStoreAndSilentPeers(t *testing.T) {
	const now = 10 * clocker.Second
	heard := func(at ...clocker.Millis) []heartbeater.Peer {
		var peers []heartbeater.Peer
		for _, t := range at {
			peers = append(peers, heartbeater.Peer{LastHeard: t})
		}
		return peers
	}
	assert.Assert(t, isolated(false, heard(now-isolationTimeout, 5000, 0), now))
	assert.Assert(t, !isolated(true, heard(5000, 6000), now), "the store is reachable")
	assert.Assert(t, !isolated(false, heard(5000, now-1), now), "a peer is reachable")
	assert.Assert(t, !isolated(false, nil, now))
	assert.Assert(t, !isolated(false, heard(0, 0), now), "no heartbeat received yet")
}
