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

// boundMs is how soon an accepted version is in force at every host that
// reaches the platform or an up-to-date peer.
const boundMs = 5 * clocker.Second

func inZone(zone string) func(*node) bool {
	return func(n *node) bool { return n.zone == zone }
}

func outside(zone string) func(*node) bool {
	return func(n *node) bool { return n.zone != zone }
}

func TestSpreadUnderFaults(t *testing.T) {
	faults := []struct {
		name string
		// break happens before the second version is applied at host-0, late after it.
		before, late func(f *fleet)
		reached      func(*node) bool
		heal         func(f *fleet)
	}{
		{name: "none"},
		{name: "stalled watches", before: func(f *fleet) { f.store.SetFaults(platform.Faults{StallWatches: true}) }},
		{name: "outage after accept", late: func(f *fleet) { f.store.SetFaults(platform.Faults{Outage: true}) }},
		{
			name:   "stalled watches and the applying host crashes",
			before: func(f *fleet) { f.store.SetFaults(platform.Faults{StallWatches: true}) },
			late:   func(f *fleet) { f.nodes[0].stop() },
		},
		{name: "the applying host crashes", late: func(f *fleet) { f.nodes[0].stop() }},
		{name: "only the applying host reaches the platform", before: func(f *fleet) {
			f.cutFromPlatform(true, func(n *node) bool { return n != f.nodes[0] })
		}},
		{name: "a zone is cut from the platform", before: func(f *fleet) {
			f.cutFromPlatform(true, inZone("zone-1"))
		}},
		{
			name: "a zone is cut from all", reached: outside("zone-1"),
			before: func(f *fleet) { f.cutZone("zone-1", true) },
			heal:   func(f *fleet) { f.cutZone("zone-1", false) },
		},
		{name: "lagging peer lists", before: (*fleet).freeze},
		{name: "two hosts of a zone crashed and nobody noticed", before: func(f *fleet) {
			f.freeze()
			f.nodes[1].stop()
			f.nodes[5].stop()
		}},
	}
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 4, 16)
				mustApply(t, f.nodes[0], 0, "mason")
				f.inForce(t, 1, boundMs, everywhere)
				f.change(fault.before)
				// Not at an instant at which hosts pull.
				_ = f.clock.Sleep(context.Background(), 7)
				mustApply(t, f.nodes[0], 1, "mason", "florist")
				f.change(fault.late)
				reached := fault.reached
				if reached == nil {
					reached = everywhere
				}
				f.inForce(t, 2, boundMs, reached)
				f.change(fault.heal)
				f.inForce(t, 2, boundMs, everywhere)
			})
		})
	}
}

func (f *fleet) change(do func(*fleet)) {
	if do != nil {
		do(f)
	}
}

func TestRestartTakesTheHighestItCanLearn(t *testing.T) {
	cases := []struct {
		name string
		// platform is what the restarted host sees of the platform.
		platform func(t *testing.T, n *node)
	}{
		{"platform cut off", func(_ *testing.T, n *node) { n.gate.cut.Store(true) }},
		{"stale reads", func(t *testing.T, n *node) {
			old, err := n.fleet.store.Get(context.Background(), spreader.HeadKey)
			assert.NilError(t, err)
			n.gate.stale.Store(&old)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 1, 3)
				mustApply(t, f.nodes[0], 0, "mason")
				f.inForce(t, 1, boundMs, everywhere)
				c.platform(t, f.nodes[2])
				mustApply(t, f.nodes[0], 1, "mason", "florist")
				f.inForce(t, 2, boundMs, everywhere)

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

func TestNotReadyWhileNothingIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 2)
		_ = f.clock.Sleep(context.Background(), clocker.Minute)
		assert.Assert(t, !f.nodes[1].s.Ready())
		mustApply(t, f.nodes[0], 0, "mason")
		f.inForce(t, 1, 2*boundMs, everywhere)
		_ = f.clock.Sleep(context.Background(), 2*boundMs)
		assert.Assert(t, f.nodes[1].s.Ready())
	})
}

func TestCutZoneHealsByPeersAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 9)
		mustApply(t, f.nodes[0], 0, "a")
		f.inForce(t, 1, boundMs, everywhere)
		f.cutZone("zone-2", true)
		for i := int64(1); i < 100; i++ {
			mustApply(t, f.nodes[0], i, "a", string(rune('b'+i%20)))
			_ = f.clock.Sleep(context.Background(), clocker.Second)
		}
		assert.Equal(t, f.nodes[2].s.Index().Version(), int64(1))
		f.cutZone("zone-2", false)
		f.cutFromPlatform(true, inZone("zone-2"))
		f.inForce(t, 100, boundMs, inZone("zone-2"))
	})
}

// oldPeer answers every pull with an old version.
type oldPeer struct {
	reply *messenger.PullReply
}

func (p oldPeer) PullConfiguration(context.Context, string, *messenger.PullRequest) (*messenger.PullReply, error) {
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

		g := &gate{Store: f.store}
		s := spreader.New(context.Background(), spreader.Config{
			Host: "late", AvailabilityZone: "zone-0", Clock: f.clock, Store: g, Exchange: oldPeer{reply},
			Seeds: []string{"old"}, Log: slog.New(slog.DiscardHandler),
			Peers: func() []heartbeater.Peer {
				return []heartbeater.Peer{{Host: "old", AvailabilityZone: "zone-1", ExchangeAddress: "old", LastHeard: 1, ConfigurationVersion: 3}}
			},
		})
		defer func() { assert.NilError(t, s.Close(context.Background())) }()
		_ = f.clock.Sleep(context.Background(), clocker.Second)
		assert.Equal(t, s.Index().Version(), int64(2))
		g.stale.Store(&old)
		for range 1000 {
			_ = f.clock.Sleep(context.Background(), 100)
			assert.Equal(t, s.Index().Version(), int64(2))
		}
	})
}
