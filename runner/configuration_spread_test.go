package runner

import (
	"fmt"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

// Guards against a late configuration: the store drops its history as a configuration is
// accepted, all watches hang, and a third of the hosts are cut off. The others must have it
// in force within the bound.
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
	f.store.dropHistory()
	accepted := f.store.put(fleetConfiguration{Version: 2, Routes: 1400})
	took := f.awaitVersion(t, 2, accepted, 20*clocker.Second)
	assert.Check(t, took <= scale.bound, "the last host has the version in force after %d ms, the bound is %d ms", took, scale.bound)
}
