package runner

import (
	"fmt"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

// watchRestart is when the watches of all hosts wait again after a change and its batch delay,
// in milliseconds: a large configuration has arrived everywhere.
const watchRestart = 600 * clocker.Millis(1)

// Guards against a late configuration: a change makes all watches start together, the store
// drops its history as the next configuration is accepted, the watches hang, and a third of the
// hosts are cut off. The others must have it in force within the bound.
func TestConfigurationIsInForceInTimeWhileWatchesHang(t *testing.T) {
	for _, scale := range []fleetScale{smallFleet, grownFleet, largeFleet} {
		t.Run(fmt.Sprintf("%d hosts", scale.zones*scale.hostsPerZone), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { hangWatchesAndChange(t, scale) })
		})
	}
}

func hangWatchesAndChange(t *testing.T, scale fleetScale) {
	f := newFleet(t, scale)
	for i, h := range f.hosts {
		h.cut.Store(i%3 == 0)
	}
	f.store.put(fleetConfiguration{Version: 2, Routes: 1400})
	f.sleep(scale.bound/batchDelayDivisor + watchRestart)
	f.store.dropHistory()
	accepted := f.store.put(fleetConfiguration{Version: 3, Routes: 1400})
	took := f.awaitVersion(t, 3, accepted, 20*clocker.Second)
	t.Logf("in force after %d ms", took)
	assert.Check(t, took <= scale.bound, "the last host has the version in force after %d ms, the bound is %d ms", took, scale.bound)
}
