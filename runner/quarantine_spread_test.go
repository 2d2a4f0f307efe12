package runner

import (
	"fmt"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/quarantiner"
)

// promptOf returns a request of an account whose prompt has the parts; its body is the last one.
func promptOf(account string, parts ...string) quarantiner.Request {
	return quarantiner.NewRequest(account, quarantiner.Content{Method: "POST", Target: "/x", Body: []byte(parts[len(parts)-1])}, parts)
}

// crashUnder makes hosts see one crash each under the same prompt part, a quarter of a second
// apart, and returns when the last one was seen.
func (f *fleet) crashUnder(hosts []*fleetHost, part string) clocker.Millis {
	for i, h := range hosts {
		f.sleep(250)
		s := quarantiner.Server{ID: fmt.Sprint("i-", part, i), StartedAt: 1}
		h.withholder.Crashed(s, promptOf("one", part, fmt.Sprint("own", i)))
	}
	return f.clock.Now()
}

func refusesPart(part string) func(*fleetHost) bool {
	r := promptOf("one", part, "x")
	return func(h *fleetHost) bool { return h.withholder.Refused(r) > 0 }
}

// A host that does not know of crashes elsewhere sends the next request with the same part. All
// hosts must refuse it within the time after which the bounds hold, also those that were cut off.
func TestAllHostsRefuseAPromptPartSoonAfterItsCrashes(t *testing.T) {
	for _, scale := range []fleetScale{smallFleet, grownFleet, largeFleet} {
		t.Run(fmt.Sprint(scale.zones*scale.hostsPerZone), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, scale)
				cut := f.hosts[len(f.hosts)-1]
				cut.cut.Store(true)
				third := f.crashUnder(f.hosts[:3], "deadly")
				took := f.await(third, scale.bound, refusesPart("deadly"))
				t.Logf("%d hosts refuse the part %d ms after the third crash", len(f.hosts), took)
				assert.Assert(t, took < scale.bound/2)
				back := f.clock.Now()
				cut.cut.Store(false)
				took = f.await(back, scale.bound, refusesPart("deadly"))
				t.Logf("a host that was cut off refuses it %d ms after its return", took)
				assert.Assert(t, took < scale.bound)
				f.hosts[4].withholder.Answered(quarantiner.Server{ID: "i"}, promptOf("one", "deadly", "y"), true)
				ended := f.clock.Now()
				took = f.await(ended, scale.bound, func(h *fleetHost) bool { return !refusesPart("deadly")(h) })
				t.Logf("all hosts allow it again %d ms after an answer", took)
				assert.Assert(t, took < scale.bound)
			})
		})
	}
}

// The same for one request that comes again, at the third crash: a host that does not know of the first
// two sends it to one server more.
func TestAllHostsRefuseARequestSoonAfterItsThirdCrash(t *testing.T) {
	for _, scale := range []fleetScale{smallFleet, grownFleet, largeFleet} {
		t.Run(fmt.Sprint(scale.zones*scale.hostsPerZone), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, scale)
				deadly := quarantiner.NewRequest("one", quarantiner.Content{Method: "PUT", Target: "/order", Body: []byte("deadly")}, nil)
				for i, h := range f.hosts[:3] {
					f.sleep(250)
					h.withholder.Crashed(quarantiner.Server{ID: fmt.Sprint("i-", i), StartedAt: 1}, deadly)
				}
				third := f.clock.Now()
				took := f.await(third, scale.bound, func(h *fleetHost) bool { return h.withholder.Refused(deadly) > 0 })
				t.Logf("%d hosts refuse the request %d ms after the third crash", len(f.hosts), took)
				assert.Assert(t, took < scale.bound/2)
			})
		})
	}
}
