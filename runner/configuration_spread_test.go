package runner

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"cowsliphinge/allotter"
	"cowsliphinge/clocker"
)

// watchRestart is when the watches of all hosts wait again after a change and its batch delay,
// in milliseconds: a large configuration has arrived everywhere.
const watchRestart = 600 * clocker.Millis(1)

// playFleets plays a test with fleets of each size in simulated time.
func playFleets(t *testing.T, play func(*testing.T, fleetScale)) {
	t.Parallel()
	for _, scale := range []fleetScale{smallFleet, grownFleet, largeFleet} {
		t.Run(fmt.Sprintf("%d hosts", scale.zones*scale.hostsPerZone), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { play(t, scale) })
		})
	}
}

// Guards against a late configuration: a change makes all watches start together, the store
// drops its history as the next configuration is accepted, the watches hang, and a third of the
// hosts are cut off. The others must have it in force within the bound.
func TestConfigurationIsInForceInTimeWhileWatchesHang(t *testing.T) {
	playFleets(t, hangWatchesAndChange)
}

func hangWatchesAndChange(t *testing.T, scale fleetScale) {
	f := newFleet(t, scale)
	for i, h := range f.hosts {
		h.cut.Store(i%3 == 0)
	}
	awaitChange(t, f)
}

// awaitChange makes the watches hang as a configuration is accepted, right after another one, and checks
// that the hosts which reach the store have it in force in time.
func awaitChange(t *testing.T, f *fleet) {
	scale := f.scale
	f.store.put(fleetConfiguration{Version: 2, Routes: 1400})
	f.sleep(scale.bound/batchDelayDivisor + watchRestart)
	f.store.dropHistory()
	accepted := f.store.put(fleetConfiguration{Version: 3, Routes: 1400})
	took := f.awaitVersion(t, 3, accepted, 20*clocker.Second)
	t.Logf("in force after %d ms", took)
	assert.Check(t, took <= scale.bound, "the last host has the version in force after %d ms, the bound is %d ms", took, scale.bound)
}

// Guards against requests to a leaving backend server: a host's watch hangs as the server
// reports that it leaves, and no response of the server tells it. All hosts that reach the
// store must stop using the server within the bound.
func TestLeavingServerIsKnownInTimeWhileWatchesHang(t *testing.T) {
	playFleets(t, hangWatchesAndLeave)
}

func hangWatchesAndLeave(t *testing.T, scale fleetScale) {
	f := newFleet(t, scale)
	for i, h := range f.hosts {
		h.cut.Store(i%3 == 0)
	}
	awaitLeaving(t, f)
}

// Guards against requests to a leaving backend server at hosts that count on the heartbeats of
// others: a third of the hosts reaches the store but no other host, and their watches hang.
func TestLeavingServerIsKnownInTimeWithoutHeartbeats(t *testing.T) {
	playFleets(t, func(t *testing.T, scale fleetScale) {
		f := newFleet(t, scale)
		for i, h := range f.hosts {
			h.alone.Store(i%3 == 0)
		}
		awaitLeaving(t, f)
	})
}

// awaitLeaving makes the watches hang as a server reports that it leaves, and checks that the hosts
// which reach the store know in time.
func awaitLeaving(t *testing.T, f *fleet) {
	scale := f.scale
	f.store.dropHistory()
	left := f.store.putServer("draining")
	took := f.await(left, 20*clocker.Second, func(h *fleetHost) bool {
		h.backends.mu.Lock()
		defer h.backends.mu.Unlock()
		s, _ := h.backends.chooser.Server(fleetServer)
		return s.Draining
	})
	t.Logf("known after %d ms", took)
	assert.Check(t, took <= scale.bound, "the last host knows after %d ms, the bound is %d ms", took, scale.bound)
}

// Guards against a late configuration at hosts that count on the heartbeats of others: a third of
// the hosts reaches the store but no other host, and their watches hang.
func TestConfigurationIsInForceInTimeWithoutHeartbeats(t *testing.T) {
	playFleets(t, func(t *testing.T, scale fleetScale) {
		f := newFleet(t, scale)
		for i, h := range f.hosts {
			h.alone.Store(i%3 == 0)
		}
		awaitChange(t, f)
	})
}

// Guards against calls that nothing needs: while heartbeats arrive, hosts that are not designated
// keep their long watches. News may be late at a host now and then. The counted hosts are fixed by the
// members of the zones: a host that misses a beat may take itself for designated for a moment.
func TestLongWatchesAreKeptWhileNewsArrives(t *testing.T) {
	const (
		periods = 2
		// maxEarlyPercent is the share of the watches that may end early.
		maxEarlyPercent = 2
	)
	playFleets(t, func(t *testing.T, scale fleetScale) {
		if scale.hostsPerZone < minHostsForDesignation {
			return // all hosts have short watches
		}
		f := newFleet(t, scale)
		counted := f.undesignated()
		assert.Equal(t, len(counted), len(f.hosts)-allotter.HoldersPerZone*scale.zones)
		watches := func() (made int64) {
			for _, h := range counted {
				made += h.watches.Load()
			}
			return made
		}
		before := watches()
		f.sleep(periods * longWatchTimeout)
		made, needed := watches()-before, int64(2*periods*len(counted)) // of the configuration and of the backend servers
		t.Logf("%d watch calls, %d needed", made, needed)
		assert.Check(t, made <= needed+needed*maxEarlyPercent/100)
	})
}

// undesignated returns the hosts that are not designated while all hosts of the fleet are live.
func (f *fleet) undesignated() []*fleetHost {
	zones := map[string][]string{}
	for _, h := range f.hosts {
		s := h.cfg.Settings
		zones[s.AvailabilityZone] = append(zones[s.AvailabilityZone], s.Host)
	}
	var hosts []*fleetHost
	for _, h := range f.hosts {
		s := h.cfg.Settings
		if !slices.Contains(allotter.Holders(designationShard, zones[s.AvailabilityZone]), s.Host) {
			hosts = append(hosts, h)
		}
	}
	return hosts
}
