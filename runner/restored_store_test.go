package runner

import (
	"fmt"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

// After a restore hosts held on to revisions of before: they missed what was written next, or listed
// again without end. All hosts must have each version in time, over restores in series, and must not
// ask the store more than it takes.
func TestVersionsAreInForceInTimeOverRestoresInSeries(t *testing.T) {
	for _, scale := range []fleetScale{smallFleet, grownFleet, largeFleet} {
		t.Run(fmt.Sprint(scale.zones*scale.hostsPerZone), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, scale)
				version := int64(1)
				for _, gap := range []clocker.Millis{0, 300, 2500} {
					copied := f.store.copy()
					for range 5 {
						version++
						f.store.put(fleetConfiguration{Version: version, Routes: 4})
						f.store.putServer("ready")
						f.sleep(200)
					}
					f.store.restore(copied)
					// The operator writes again, and then more, up to the revisions of before.
					f.store.put(fleetConfiguration{Version: version, Routes: 4})
					f.sleep(gap)
					version++
					written := f.store.put(fleetConfiguration{Version: version, Routes: 4})
					for i := range 20 {
						f.store.putServer(fmt.Sprint("ready", i))
					}
					took := f.awaitVersion(t, version, written, scale.bound)
					t.Logf("%d hosts have the version %d ms after it was written", len(f.hosts), took)
					assert.Assert(t, took < scale.bound)
				}
				drained := f.store.putServer("draining")
				took := f.await(drained, scale.bound, func(h *fleetHost) bool {
					return h.backends.Leaving(fleetServer)
				})
				assert.Assert(t, took < scale.bound, "%d ms", took)
				f.sleep(2 * clocker.Second)
				f.store.busiestSecond()
				f.sleep(5 * clocker.Second)
				calls := f.store.busiestSecond()
				t.Logf("%d calls in the busiest second afterwards", calls)
				assert.Assert(t, calls <= 10*len(f.hosts))
			})
		})
	}
}
