package spreader_test

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
	"cowsliphinge/messenger"
	"cowsliphinge/spreader"
	"cowsliphinge/standin/platform"
)

// convergenceLimit bounds the time until an accepted version is in force at
// every host that reaches the platform or an up-to-date peer.
const convergenceLimit = 5 * clocker.Second

func inZone(zone string) func(*node) bool {
	return func(n *node) bool { return n.zone == zone }
}

func outsideZone(zone string) func(*node) bool {
	return func(n *node) bool { return n.zone != zone }
}

func TestSpreadUnderFaults(t *testing.T) {
	faults := []struct {
		name string
		// beforeApply and afterApply inject faults before and after the second
		// version is applied at host-0.
		beforeApply, afterApply func(f *fleet)
		converging              func(*node) bool
		repair                  func(f *fleet)
	}{
		{name: "none"},
		{name: "stalled watches", beforeApply: func(f *fleet) { f.store.SetFaults(platform.Faults{StallWatches: true}) }},
		{name: "outage after accept", afterApply: func(f *fleet) { f.store.SetFaults(platform.Faults{Outage: true}) }},
		{
			name:        "stalled watches and the applying host crashes",
			beforeApply: func(f *fleet) { f.store.SetFaults(platform.Faults{StallWatches: true}) },
			afterApply:  func(f *fleet) { f.nodes[0].stop() },
		},
		{name: "the applying host crashes", afterApply: func(f *fleet) { f.nodes[0].stop() }},
		{name: "only the applying host reaches the platform", beforeApply: func(f *fleet) {
			f.disconnectPlatform(true, func(n *node) bool { return n != f.nodes[0] })
		}},
		{name: "a zone is cut from the platform", beforeApply: func(f *fleet) {
			f.disconnectPlatform(true, inZone("zone-1"))
		}},
		{
			name: "a zone is cut from all", converging: outsideZone("zone-1"),
			beforeApply: func(f *fleet) { f.isolateZone("zone-1", true) },
			repair:      func(f *fleet) { f.isolateZone("zone-1", false) },
		},
		{name: "lagging peer lists", beforeApply: (*fleet).freezePeers},
		{name: "two crashed hosts of a zone are not detected", beforeApply: func(f *fleet) {
			f.freezePeers()
			f.nodes[1].stop()
			f.nodes[5].stop()
		}},
	}
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 4, 16)
				mustApply(t, f.nodes[0], 0, "mason")
				f.waitForVersion(t, 1, convergenceLimit, allHosts)
				f.applyFault(fault.beforeApply)
				// Apply at an instant at which no host pulls.
				_ = f.clock.Sleep(context.Background(), 7)
				mustApply(t, f.nodes[0], 1, "mason", "florist")
				f.applyFault(fault.afterApply)
				converging := fault.converging
				if converging == nil {
					converging = allHosts
				}
				f.waitForVersion(t, 2, convergenceLimit, converging)
				f.applyFault(fault.repair)
				f.waitForVersion(t, 2, convergenceLimit, allHosts)
			})
		})
	}
}

func (f *fleet) applyFault(inject func(*fleet)) {
	if inject != nil {
		inject(f)
	}
}

func TestRestartTakesTheHighestItCanLearn(t *testing.T) {
	cases := []struct {
		name string
		// platform sets the fault between the restarted host and the platform.
		platform func(t *testing.T, n *node)
	}{
		{"platform cut off", func(_ *testing.T, n *node) { n.platform.disconnected.Store(true) }},
		{"stale reads", func(t *testing.T, n *node) {
			old, err := n.fleet.store.Get(context.Background(), spreader.HeadKey)
			assert.NilError(t, err)
			n.platform.staleHead.Store(&old)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 1, 3)
				mustApply(t, f.nodes[0], 0, "mason")
				f.waitForVersion(t, 1, convergenceLimit, allHosts)
				c.platform(t, f.nodes[2])
				mustApply(t, f.nodes[0], 1, "mason", "florist")
				f.waitForVersion(t, 2, convergenceLimit, allHosts)

				f.nodes[2].seeds = []string{"host-0"}
				f.nodes[2].restart()
				for range 5000 {
					if f.nodes[2].s.Ready() {
						break
					}
					_ = f.clock.Sleep(context.Background(), 1)
				}
				assert.Assert(t, f.nodes[2].s.Ready())
				assert.Equal(t, f.nodes[2].s.Index().Version(), int64(2))
			})
		})
	}
}

func TestNotReadyWithoutConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 2)
		_ = f.clock.Sleep(context.Background(), clocker.Minute)
		assert.Assert(t, !f.nodes[1].s.Ready())
		mustApply(t, f.nodes[0], 0, "mason")
		f.waitForVersion(t, 1, 2*convergenceLimit, allHosts)
		_ = f.clock.Sleep(context.Background(), 2*convergenceLimit)
		assert.Assert(t, f.nodes[1].s.Ready())
	})
}

func TestIsolatedZoneCatchesUpFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 9)
		mustApply(t, f.nodes[0], 0, "a")
		f.waitForVersion(t, 1, convergenceLimit, allHosts)
		f.isolateZone("zone-2", true)
		for i := int64(1); i < 100; i++ {
			mustApply(t, f.nodes[0], i, "a", string(rune('b'+i%20)))
			_ = f.clock.Sleep(context.Background(), clocker.Second)
		}
		assert.Equal(t, f.nodes[2].s.Index().Version(), int64(1))
		f.isolateZone("zone-2", false)
		f.disconnectPlatform(true, inZone("zone-2"))
		f.waitForVersion(t, 100, convergenceLimit, inZone("zone-2"))
	})
}

// stalePeer answers every pull with an old version.
type stalePeer struct {
	reply *messenger.PullReply
}

func (p stalePeer) PullConfiguration(context.Context, string, *messenger.PullRequest) (*messenger.PullReply, error) {
	return proto.CloneOf(p.reply), nil
}

func TestStaleSourcesNeverLowerTheVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 1)
		mustApply(t, f.nodes[0], 0, "mason")
		old, err := f.store.Get(context.Background(), spreader.HeadKey)
		assert.NilError(t, err)
		reply, err := f.nodes[0].s.PullConfiguration(context.Background(), &messenger.PullRequest{})
		assert.NilError(t, err)
		mustApply(t, f.nodes[0], 1, "mason", "florist")

		proxy := &platformProxy{Store: f.store}
		s := spreader.New(context.Background(), spreader.Config{
			Host: "late", AvailabilityZone: "zone-0", Clock: f.clock, Store: proxy, Exchange: stalePeer{reply},
			Seeds: []string{"old"}, Log: slog.New(slog.DiscardHandler),
			Peers: func() []heartbeater.Peer {
				return []heartbeater.Peer{{Host: "old", AvailabilityZone: "zone-1", ExchangeAddress: "old", LastHeard: 1, ConfigurationVersion: 3}}
			},
		})
		defer func() { assert.NilError(t, s.Close(context.Background())) }()
		_ = f.clock.Sleep(context.Background(), clocker.Second)
		assert.Equal(t, s.Index().Version(), int64(2))
		proxy.staleHead.Store(&old)
		for range 1000 {
			_ = f.clock.Sleep(context.Background(), 100)
			assert.Equal(t, s.Index().Version(), int64(2))
		}
	})
}
