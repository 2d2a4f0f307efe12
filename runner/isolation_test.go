package runner

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
)

// Pattern: single hosts are cut off from the store and from all other hosts, while
// callers still reach them. They turn callers away once nobody was heard for a while;
// not so in an outage of the store, in a zone that is cut off, or alone from the start.
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
	assert.Assert(t, !isolated(true, heard(5000, 6000), now), "the store has tokens")
	assert.Assert(t, !isolated(false, heard(5000, now-1), now), "a host of its zone lends")
	assert.Assert(t, !isolated(false, nil, now))
	assert.Assert(t, !isolated(false, heard(0, 0), now), "nobody was heard yet")
}
