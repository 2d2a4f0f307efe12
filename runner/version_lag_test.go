package runner

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/allotter"
	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
)

// The store compacts its change history, and the watches of nearly all hosts hang. One
// host that receives a new version is enough for the others to detect their lag.
func TestLagIsReportedWhilePeerStaysAhead(t *testing.T) {
	var l lagDetector
	assert.Assert(t, !l.observe(5, 5, 600, 0))
	assert.Assert(t, !l.observe(5, 7, 600, 100), "the local watch may still deliver it")
	assert.Assert(t, !l.observe(5, 7, 600, 600))
	assert.Assert(t, l.observe(5, 8, 600, 700), "further versions do not restart the wait")
	assert.Assert(t, !l.observe(5, 8, 600, 800), "reported just before")
	assert.Assert(t, l.observe(5, 8, 600, 1300))
	assert.Assert(t, !l.observe(8, 8, 600, 5000))
	assert.Assert(t, !l.observe(8, 9, 600, 9000))
}

// Versions change rapidly and the local watch follows one version behind.
func TestNoLagWhileVersionAdvances(t *testing.T) {
	var l lagDetector
	for now := clocker.Millis(0); now < 10*clocker.Second; now += 500 {
		version := int64(now)
		assert.Assert(t, !l.observe(version, version+1, 600, now))
		assert.Assert(t, !l.observe(version+1, version+1, 600, now+100))
	}
}

// Many hosts of a zone watch a store that bills each call. Two of them are designated and
// use short timeouts; in a small zone the timeout of all hosts is the bound.
func TestLargeZoneHasTwoDesignatedHosts(t *testing.T) {
	const bound = 4000
	var zone []string
	for i := range 33 {
		zone = append(zone, fmt.Sprint("host-", i))
		designated, others := 0, 0
		for _, host := range zone {
			switch watchTimeout(host, zone, bound) {
			case bound / designatedHostTimeoutDivisor:
				designated++
			case longWatchTimeout:
				others++
			}
		}
		if len(zone) < minHostsForDesignation {
			assert.Equal(t, designated+others, 0)
			continue
		}
		assert.Equal(t, designated, allotter.HoldersPerZone)
		assert.Equal(t, others, len(zone)-designated)
	}
}

// The watch of backend servers hangs. A peer with a later revision and other servers
// reveals it; one with an earlier revision, or with the same servers, does not.
func TestServersOutdatedNeedsLaterRevision(t *testing.T) {
	peer := func(revision int64, fingerprint uint64) heartbeater.Peer {
		return heartbeater.Peer{ServersRevision: revision, ServersFingerprint: fingerprint}
	}
	assert.Assert(t, !serversOutdated(7, 100, nil))
	assert.Assert(t, !serversOutdated(7, 100, []heartbeater.Peer{peer(90, 8), peer(120, 7), peer(0, 0)}))
	assert.Assert(t, serversOutdated(7, 100, []heartbeater.Peer{peer(90, 8), peer(101, 9)}))
}
