package runner

import (
	"fmt"
	"slices"
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

// Many hosts of a zone watch a store that bills each call. The first designated one uses short
// timeouts, and in a small zone all hosts do; these differ between hosts.
func TestOneHostOfALargeZoneWatchesClosely(t *testing.T) {
	const bound = 4000
	var zone []string
	for i := range 33 {
		zone = append(zone, fmt.Sprint("host-", i))
		short, others := 0, 0
		for position, host := range zone {
			timeout := watchTimeout(host, zone, float64(position)/float64(len(zone)), bound, false)
			switch {
			case timeout == longWatchTimeout:
				others++
			case len(zone) >= minHostsForDesignation:
				assert.Assert(t, timeout >= bound/8 && timeout <= bound/4, "%d", timeout)
				short++
			default:
				assert.Assert(t, timeout >= bound/3 && timeout <= bound*2/3+bound/100, "%d", timeout)
				short++
			}
		}
		if len(zone) < minHostsForDesignation {
			assert.Equal(t, others, 0)
			continue
		}
		assert.Equal(t, short, 1)
		assert.Equal(t, others, len(zone)-short)
	}
	assert.Assert(t, watchTimeout("host-0", zone[:2], 0, bound, false) < watchTimeout("host-1", zone[:2], 0.5, bound, false))
}

// Hosts of a large zone hear nothing recent from others: all use timeouts as in a small zone.
func TestHostWithoutNewsWatchesForItself(t *testing.T) {
	const bound = 4000
	var zone []string
	for i := range 33 {
		zone = append(zone, fmt.Sprint("host-", i))
	}
	for _, host := range zone {
		fresh := watchTimeout(host, zone, 0.5, bound, false)
		stale := watchTimeout(host, zone, 0.5, bound, true)
		switch slices.Index(allotter.Holders(designationShard, zone), host) {
		case 0:
			assert.Equal(t, stale, fresh)
			continue
		case 1: // it watches as closely as the first one would
			assert.Assert(t, stale <= bound/designatedHostTimeoutDivisor, "%d", stale)
		}
		assert.Equal(t, fresh, longWatchTimeout)
		assert.Assert(t, stale <= bound*smallZoneTimeoutPercent/100, "%d", stale)
	}
}

// Guards against refused calls of all hosts of a large zone at the rate of a small one, and against late
// recovery of those on which others rely.
func TestMostHostsOfALargeZoneRetryRarely(t *testing.T) {
	const bound = 3000
	var zone []allotter.Candidate
	for i := range 16 {
		zone = append(zone, allotter.Candidate{Host: fmt.Sprint("host-", i), CapacityMilli: int64(100 * (1 + i%3))})
		rare := 0
		for _, c := range zone {
			switch interval := retryInterval(c.Host, zone, bound); interval {
			case 0:
			case bound / 2:
				rare++
			default:
				t.Fatalf("interval of %d", interval)
			}
		}
		if len(zone) < minHostsForDesignation {
			assert.Equal(t, rare, 0)
			continue
		}
		assert.Assert(t, rare >= len(zone)-2*allotter.HoldersPerZone && rare <= len(zone)-allotter.HoldersPerZone, "%d of %d", rare, len(zone))
		for _, host := range allotter.HoldersByCapacity(designationShard, zone) {
			assert.Equal(t, retryInterval(host, zone, bound), clocker.Millis(0), "a holder of budgets")
		}
	}
}

// The watch of backend servers hangs. Another host with other servers from a later revision
// reveals it; one with an earlier revision, or with the same servers, does not.
func TestServersOutdatedNeedsLaterRevision(t *testing.T) {
	newest := func(revision int64, fingerprint uint64) heartbeater.ServersState {
		return heartbeater.ServersState{Revision: revision, Fingerprint: fingerprint}
	}
	assert.Assert(t, !serversOutdated(7, 100, newest(0, 0)))
	assert.Assert(t, !serversOutdated(7, 100, newest(90, 8)))
	assert.Assert(t, !serversOutdated(7, 100, newest(120, 7)))
	assert.Assert(t, serversOutdated(7, 100, newest(101, 9)))
}
