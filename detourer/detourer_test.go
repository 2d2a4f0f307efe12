package detourer

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
)

func cutOff(t *testing.T) *Detourer {
	t.Helper()
	d := New(1)
	d.Connected(1000)
	assert.Assert(t, d.VerifyAfterDial(2000, 2250))
	assert.Assert(t, d.Verified(Verification{Detour: true}, 2600))
	assert.Assert(t, d.Cut())
	return d
}

// A host with a few requests a second is cut off from all servers: its first failed connection leads to
// a verification, however few others there were.
func TestFirstFailureAtLowLoadIsVerified(t *testing.T) {
	cutOff(t)
}

// Servers that are all down are reached by no host. The verifications become rarer.
func TestServersThatAreDownAreNoCut(t *testing.T) {
	d := New(1)
	verifications := 0
	for now := clocker.Millis(1000); now < 61*clocker.Second; now += 50 {
		if d.VerifyAfterDial(now-10, now) {
			verifications++
			assert.Assert(t, !d.Verified(Verification{}, now))
		}
	}
	assert.Assert(t, !d.Cut())
	assert.Assert(t, verifications <= 35, "%d", verifications)
}

// One server fails under load while others accept connections.
func TestFailureOfOneServerIsNotVerified(t *testing.T) {
	d := New(1)
	d.Connected(1200)
	assert.Assert(t, !d.VerifyAfterDial(1000, 1250))
	assert.Assert(t, !d.VerifyAfterLoss(1300))
	assert.Assert(t, d.VerifyAfterLoss(1200+quietTime+1))
}

// Failures come from many requests at once.
func TestOneVerificationAtATime(t *testing.T) {
	d := New(1)
	assert.Assert(t, d.VerifyAfterDial(1000, 1250))
	assert.Assert(t, !d.VerifyAfterDial(1000, 1250))
	assert.Assert(t, !d.Verified(Verification{Direct: true}, 1260))
	assert.Assert(t, !d.VerifyAfterDial(1250, 1500))
	assert.Assert(t, d.VerifyAfterDial(1500, 1250+minVerifyInterval))
}

// The path comes back, loses a probe, and comes back for good.
func TestPathIsRestoredAfterProbesInARow(t *testing.T) {
	d := cutOff(t)
	now := clocker.Millis(2600)
	probe := func(connected bool) bool {
		assert.Assert(t, !d.ProbeDue(now))
		now += probeInterval
		assert.Assert(t, d.ProbeDue(now))
		return d.Probed(connected, now)
	}
	assert.Assert(t, !probe(false))
	assert.Assert(t, !probe(true))
	assert.Assert(t, !probe(false))
	assert.Assert(t, !probe(true))
	assert.Assert(t, probe(true))
	assert.Assert(t, !d.Cut() && !d.ProbeDue(now+clocker.Hour))
	assert.Assert(t, !d.VerifyAfterDial(now, now))
	assert.Assert(t, d.VerifyAfterDial(now+1000, now+1250))
}

func peers(zone string, n int) []heartbeater.Peer {
	var all []heartbeater.Peer
	for i := range n {
		name := fmt.Sprintf("%s-%d", zone, i)
		all = append(all, heartbeater.Peer{Host: name, Incarnation: name + "-1", AvailabilityZone: zone, ExchangeAddress: name})
	}
	return all
}

// Hosts that can't help are left out: silent or stopping ones, those that are cut off themselves, and
// for a while those that offered no tunnel.
func TestHostsThatCannotHelpAreNotChosen(t *testing.T) {
	all := peers("a", 6)
	all[0].Suspect = true
	all[1].Draining = true
	all[2].BackendsCut = true
	all[3].Incarnation = ""
	d := New(1)
	d.HostFailed("a-4", 1000)
	for range 20 {
		hosts := d.Hosts(all, "a", 1500)
		assert.Equal(t, len(hosts), 1)
		assert.Equal(t, hosts[0].Host, "a-5")
	}
	assert.Equal(t, len(d.Hosts(all, "a", 1000+hostPause)), 2)
}

// Most or all hosts of some zones are cut off and have not told yet: a host of each other zone is
// tried, after those of the own zone. At 8, 90 and 195 hosts.
func TestHostsOfAllZonesAreTried(t *testing.T) {
	for _, perZone := range []int{2, 18, 39} {
		all := slices.Concat(peers("a", perZone+1), peers("b", perZone), peers("c", perZone))
		d := New(1)
		for range 20 {
			var zones []string
			for _, p := range d.Hosts(all, "a", 1000) {
				zones = append(zones, p.AvailabilityZone)
			}
			slices.Sort(zones[ownZoneHosts : ownZoneHosts+2])
			assert.DeepEqual(t, zones[:ownZoneHosts+2], []string{"a", "a", "b", "c"})
			zones = nil
			for _, p := range d.Verifiers(all, "a", 1000) {
				zones = append(zones, p.AvailabilityZone)
			}
			assert.Equal(t, len(zones), minVerifiers)
			slices.Sort(zones[:2])
			assert.DeepEqual(t, zones[:2], []string{"b", "c"})
		}
	}
}

// Guards against a verification that asks mostly hosts that are cut off as well: these have few requests in
// flight, since they refuse them at once.
func TestVerifiersAreChosenWhateverTheirLoad(t *testing.T) {
	for _, perZone := range []int{10, 20, 40} {
		all := slices.Concat(peers("a", perZone), peers("b", perZone), peers("c", perZone))
		for i := range all {
			if i%2 == 0 {
				all[i].InFlight = 10
			}
		}
		d := New(1)
		const draws = 1000
		idle := 0
		for range draws {
			for _, p := range d.Verifiers(all, "a", 1000) {
				if p.InFlight == 0 {
					idle++
				}
			}
		}
		share := float64(idle) / (draws * minVerifiers)
		assert.Assert(t, share > 0.45 && share < 0.55, "%d hosts a zone: %.2f", perZone, share)
	}
}

// Many hosts of a zone are cut off at once: their connections spread over the others, and busy ones get
// fewer.
func TestDetoursSpreadOverHosts(t *testing.T) {
	all := peers("a", 10)
	for i := range all {
		all[i].InFlight = int64(10 * (i % 2))
	}
	chosen := map[string]int{}
	d := New(1)
	const detours = 1000
	for range detours {
		chosen[d.Hosts(all, "a", 1000)[0].Host]++
	}
	for _, p := range all {
		assert.Assert(t, chosen[p.Host] < detours/4, "%v", chosen)
	}
	assert.Assert(t, chosen["a-1"] < chosen["a-0"], "%v", chosen)
}
