package picker_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/picker"
)

const now clocker.Millis = 1_000_000

func noneLeaving(string) bool { return false }

func newServer(name, zone string) *messenger.BackendServer {
	return &messenger.BackendServer{Name: name, AvailabilityZone: zone, Service: "draft", Models: []string{"m"}, Slots: 16}
}

// newServers returns n servers in one availability zone.
func newServers(n int, zone string) []*messenger.BackendServer {
	var servers []*messenger.BackendServer
	for i := range n {
		servers = append(servers, newServer(fmt.Sprintf("%s-%d", zone, i), zone))
	}
	return servers
}

func newPicker(servers ...*messenger.BackendServer) *picker.Picker {
	p := picker.New(picker.Config{AvailabilityZone: "a", Seed: 1})
	p.SetServers(now, servers)
	return p
}

func newRequest(prefix uint64) picker.Request {
	return picker.Request{Service: "draft", Model: "m", Prefix: prefix, Tokens: 100}
}

func pick(t *testing.T, p *picker.Picker, at clocker.Millis, r picker.Request) picker.Choice {
	t.Helper()
	c, ok := p.Pick(at, r, noneLeaving)
	assert.Assert(t, ok, "no server")
	return c
}

func TestOwnZoneFirstThenSpill(t *testing.T) {
	p := newPicker(newServer("far", "b"), newServer("near", "a"))
	for range 16 {
		assert.Equal(t, pick(t, p, now, newRequest(0)).Server.Name, "near")
	}
	assert.Equal(t, pick(t, p, now, newRequest(0)).Server.Name, "far")
}

func TestModelAndRole(t *testing.T) {
	prefill := newServer("prefill", "a")
	prefill.Role = "Prefill"
	p := newPicker(prefill, newServer("any", "a"))
	r := newRequest(0)
	assert.Equal(t, pick(t, p, now, r).Server.Name, "any")
	r.Role = "Prefill"
	assert.Equal(t, pick(t, p, now, r).Server.Name, "prefill")
	r.Role = "Decode"
	assert.Equal(t, pick(t, p, now, r).Server.Name, "any")
	r.Model = "other"
	_, ok := p.Pick(now, r, noneLeaving)
	assert.Assert(t, !ok)
	assert.Assert(t, !p.Serves(r, noneLeaving))
}

func TestAffinityRespectsLoadBound(t *testing.T) {
	p := newPicker(newServers(4, "a")...)
	home := pick(t, p, now, newRequest(7)).Server.Name
	at := now
	for i := 2; i <= 40; i++ {
		at += 300
		pick(t, p, at, newRequest(7))
		mean := float64(i) / 4
		bound := max(8, math.Ceil(1.5*mean+0.5))
		for _, s := range newServers(4, "a") {
			assert.Assert(t, float64(p.InFlight(s.Name)) <= bound, "%s has %d requests at a mean of %.1f", s.Name, p.InFlight(s.Name), mean)
		}
		if i <= 8 {
			assert.Equal(t, p.InFlight(home), int64(i))
		}
	}
}

func TestOnlyPrefixesOfARemovedServerMove(t *testing.T) {
	servers := newServers(8, "a")
	homes := func(servers []*messenger.BackendServer) map[uint64]string {
		p := newPicker(servers...)
		homes := map[uint64]string{}
		for prefix := uint64(1); prefix <= 500; prefix++ {
			c := pick(t, p, now+clocker.Millis(prefix)*1000, newRequest(prefix))
			homes[prefix] = c.Server.Name
			p.Release(c.TakenAt, c, picker.Abandoned)
		}
		return homes
	}
	before, after := homes(servers), homes(servers[1:])
	moved := 0
	for prefix, home := range before {
		if home == servers[0].Name {
			moved++
			continue
		}
		assert.Equal(t, after[prefix], home)
	}
	assert.Assert(t, moved > 30 && moved < 110, "%d of 500 prefixes moved", moved)
}

func TestCacheEventsAreHints(t *testing.T) {
	p := newPicker(newServers(4, "a")...)
	home := pick(t, p, now, newRequest(7)).Server.Name
	holder := "a-0"
	if home == holder {
		holder = "a-1"
	}
	p.RecordCacheEvent(now, holder, picker.CacheEvent{Kind: picker.CacheStored, Prefix: 7})
	assert.Equal(t, pick(t, p, now+1000, newRequest(7)).Server.Name, holder)
	p.RecordCacheEvent(now, holder, picker.CacheEvent{Kind: picker.CacheEvicted, Prefix: 7})
	assert.Equal(t, pick(t, p, now+2000, newRequest(7)).Server.Name, home)
	p.RecordCacheEvent(now, holder, picker.CacheEvent{Kind: picker.CacheStored, Prefix: 7})
	assert.Equal(t, pick(t, p, now+61_000, newRequest(7)).Server.Name, home)
	// A hint for a full or leaving server must not exclude the other servers.
	p.RecordCacheEvent(now+61_000, holder, picker.CacheEvent{Kind: picker.CacheStored, Prefix: 7})
	c, ok := p.Pick(now+62_000, newRequest(7), func(name string) bool { return name == holder })
	assert.Assert(t, ok && c.Server.Name != holder)
}

func TestLoadOfOtherRoutersIsCounted(t *testing.T) {
	p := newPicker(newServers(2, "a")...)
	p.RecordLoadReport(now, "a-0", picker.LoadReport{Running: 9, SampledAtMs: now})
	for range 5 {
		assert.Equal(t, pick(t, p, now, newRequest(0)).Server.Name, "a-1")
	}
	// This host's own requests at the sample time do not count as load of other hosts.
	p = newPicker(newServers(2, "a")...)
	for range 8 {
		pick(t, p, now, newRequest(0))
	}
	p.RecordLoadReport(now+1000, "a-0", picker.LoadReport{Running: 4, SampledAtMs: now + 500})
	p.RecordLoadReport(now+1000, "a-1", picker.LoadReport{Running: 5, SampledAtMs: now + 500})
	assert.Equal(t, pick(t, p, now+1000, newRequest(0)).Server.Name, "a-0")
}

func TestSlowServerGetsFewRequestsUntilItsLatencyExpires(t *testing.T) {
	p := newPicker(newServers(4, "a")...)
	at := now
	for range 200 {
		c := pick(t, p, at, newRequest(0))
		at += 100
		if c.Server.Name == "a-0" {
			at += 900
		}
		p.Release(at, c, picker.Succeeded)
	}
	share := func(from clocker.Millis) int {
		n := 0
		var held []picker.Choice
		for range 12 {
			c := pick(t, p, from, newRequest(0))
			held = append(held, c)
			if c.Server.Name == "a-0" {
				n++
			}
		}
		for _, c := range held {
			p.Release(from, c, picker.Abandoned)
		}
		return n
	}
	assert.Equal(t, share(at), 0)
	assert.Equal(t, share(at+61_000), 3)
}

func TestNewServerRampsUp(t *testing.T) {
	p := newPicker(newServers(3, "a")...)
	p.SetServers(now, newServers(4, "a"))
	share := func(at clocker.Millis) int64 {
		var held []picker.Choice
		for range 32 {
			held = append(held, pick(t, p, at, newRequest(0)))
		}
		n := p.InFlight("a-3")
		for _, c := range held {
			p.Release(at, c, picker.Abandoned)
		}
		return n
	}
	assert.Assert(t, share(now) <= 2)
	middle := share(now + 5000)
	assert.Assert(t, middle >= 3 && middle <= 6, "%d", middle)
	assert.Equal(t, share(now+10_000), int64(8))
}

func TestEjectionProbeAndRecovery(t *testing.T) {
	p := newPicker(newServers(2, "a")...)
	bad := pick(t, p, now, newRequest(7))
	p.Release(now, bad, picker.Failed)
	for range 4 {
		c := pick(t, p, now, newRequest(7))
		assert.Equal(t, c.Server.Name, bad.Server.Name)
		p.Release(now, c, picker.Failed)
	}
	assert.Assert(t, p.Ejected(bad.Server.Name))
	assert.Assert(t, pick(t, p, now, newRequest(7)).Server.Name != bad.Server.Name)

	// The probe fails: the second ejection is longer than the maximum of the first.
	probe := pick(t, p, now+1250, newRequest(7))
	assert.Equal(t, probe.Server.Name, bad.Server.Name)
	assert.Assert(t, probe.Probe)
	assert.Assert(t, pick(t, p, now+1250, newRequest(7)).Server.Name != bad.Server.Name, "one probe at a time")
	p.Release(now+1250, probe, picker.Failed)
	assert.Assert(t, pick(t, p, now+2700, newRequest(7)).Server.Name != bad.Server.Name)

	probe = pick(t, p, now+3750, newRequest(7))
	assert.Equal(t, probe.Server.Name, bad.Server.Name)
	p.Release(now+3750, probe, picker.Succeeded)
	assert.Assert(t, !p.Ejected(bad.Server.Name))
	assert.Equal(t, pick(t, p, now+14_000, newRequest(7)).Server.Name, bad.Server.Name)
}

func TestAllServersEjectedStillServe(t *testing.T) {
	p := newPicker(newServers(2, "a")...)
	for range 20 {
		p.Release(now, pick(t, p, now, newRequest(0)), picker.Failed)
	}
	assert.Assert(t, p.Ejected("a-0") && p.Ejected("a-1"))
	pick(t, p, now, newRequest(0))
}

func TestUniformFailuresCauseFewEjections(t *testing.T) {
	p := newPicker(newServers(12, "a")...)
	random := rand.New(rand.NewPCG(1, 1))
	at, ejections := now, 0
	for range 6000 {
		at += 20
		c := pick(t, p, at, newRequest(0))
		o := picker.Succeeded
		if random.Float64() < 0.3 {
			o = picker.Failed
		}
		p.Release(at+10, c, o)
		for _, s := range newServers(12, "a") {
			if p.Ejected(s.Name) {
				ejections++
			}
		}
	}
	assert.Assert(t, ejections < 6000*12/50, "%d of %d", ejections, 6000*12)
}

func TestRefusalCausesBackOff(t *testing.T) {
	p := newPicker(newServers(2, "a")...)
	c := pick(t, p, now, newRequest(0))
	p.Release(now, c, picker.Refused)
	assert.Assert(t, !p.Ejected(c.Server.Name))
	for range 4 {
		assert.Assert(t, pick(t, p, now+49, newRequest(0)).Server.Name != c.Server.Name)
	}
	assert.Equal(t, pick(t, p, now+50, newRequest(0)).Server.Name, c.Server.Name)
}

func TestAvoidedServerIsTheLastResort(t *testing.T) {
	p := newPicker(newServer("one", "a"), newServer("two", "b"))
	r := newRequest(0)
	r.Avoid = []string{"one"}
	for range 16 {
		assert.Equal(t, pick(t, p, now, r).Server.Name, "two")
	}
	_, ok := p.Pick(now, r, noneLeaving)
	assert.Assert(t, !ok, "the other server is full but still eligible")
	c, ok := p.Pick(now, r, func(name string) bool { return name == "two" })
	assert.Assert(t, ok)
	assert.Equal(t, c.Server.Name, "one")
}

func TestAffinityAvoidsAFailingZone(t *testing.T) {
	p := newPicker(append(newServers(3, "a"), newServers(3, "b")...)...)
	prefix := uint64(1)
	remote := picker.Choice{}
	for ; ; prefix++ {
		remote = pick(t, p, now, newRequest(prefix))
		if remote.Server.AvailabilityZone == "b" {
			break
		}
		p.Release(now, remote, picker.Abandoned)
	}
	p.Release(now, remote, picker.Failed)
	for range 5 {
		assert.Equal(t, pick(t, p, now+4999, newRequest(prefix)).Server.AvailabilityZone, "a")
	}
	assert.Equal(t, pick(t, p, now+5000, newRequest(prefix)).Server.Name, remote.Server.Name)
	p.SetMinOwnZoneServers(0)
	assert.Equal(t, pick(t, p, now+5000, newRequest(prefix)).Server.AvailabilityZone, "a")
}

func TestHolderInAnotherZone(t *testing.T) {
	p := newPicker(append(newServers(2, "a"), newServers(2, "b")...)...)
	p.RecordCacheEvent(now, "b-1", picker.CacheEvent{Kind: picker.CacheStored, Prefix: 7})
	c, ok := p.PickHolder(now, newRequest(7), noneLeaving)
	assert.Assert(t, ok && p.HasHolder(now, newRequest(7), noneLeaving))
	assert.Equal(t, c.Server.Name, "b-1")
	p.SetMinOwnZoneServers(0)
	_, ok = p.PickHolder(now, newRequest(7), noneLeaving)
	assert.Assert(t, !ok && !p.HasHolder(now, newRequest(7), noneLeaving))
	p.SetMinOwnZoneServers(picker.DefaultMinOwnZoneServers)
	p.Release(now, c, picker.Failed)
	_, ok = p.PickHolder(now, newRequest(7), noneLeaving)
	assert.Assert(t, !ok && !p.HasHolder(now, newRequest(7), noneLeaving))
}

// TestPickRespectsLeavingAndLimits generates random histories and checks every choice.
func TestPickRespectsLeavingAndLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPicker(append(newServers(4, "a"), newServers(3, "b")...)...)
		leaving := map[string]bool{}
		limits := map[string]int64{}
		names := []string{"a-0", "a-1", "a-2", "a-3", "b-0", "b-1", "b-2"}
		name := rapid.SampledFrom(names)
		var held []picker.Choice
		at := now
		t.Repeat(map[string]func(*rapid.T){
			"pick": func(t *rapid.T) {
				r := newRequest(rapid.Uint64Range(0, 5).Draw(t, "prefix"))
				r.Avoid = rapid.SliceOfN(name, 0, 2).Draw(t, "avoid")
				c, ok := p.Pick(at, r, func(s string) bool { return leaving[s] })
				if !ok {
					return
				}
				held = append(held, c)
				limit := int64(16)
				if l := limits[c.Server.Name]; l > 0 {
					limit = l
				}
				if leaving[c.Server.Name] {
					t.Fatalf("%s is leaving", c.Server.Name)
				}
				if n := p.InFlight(c.Server.Name); n > limit {
					t.Fatalf("%s has %d requests, limit %d", c.Server.Name, n, limit)
				}
			},
			"release": func(t *rapid.T) {
				if len(held) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(held)-1).Draw(t, "choice")
				outcome := picker.Outcome(rapid.IntRange(1, 4).Draw(t, "outcome"))
				before := p.InFlight(held[i].Server.Name)
				p.Release(at, held[i], outcome)
				if p.InFlight(held[i].Server.Name) != before-1 {
					t.Fatal("the slot was not released")
				}
				held = append(held[:i], held[i+1:]...)
			},
			"leave": func(t *rapid.T) { leaving[name.Draw(t, "server")] = rapid.Bool().Draw(t, "leaving") },
			"limit": func(t *rapid.T) {
				s, limit := name.Draw(t, "server"), rapid.Int64Range(1, 16).Draw(t, "limit")
				if p.InFlight(s) <= limit {
					limits[s] = limit
					p.SetLimit(s, limit)
				}
			},
			"report": func(t *rapid.T) {
				p.RecordLoadReport(at, name.Draw(t, "server"), picker.LoadReport{Running: rapid.Int64Range(0, 40).Draw(t, "running"), SampledAtMs: at - 300})
			},
			"time": func(t *rapid.T) { at += clocker.Millis(rapid.Int64Range(0, 5000).Draw(t, "ms")) },
			"redeclare": func(*rapid.T) {
				p.SetServers(at, append(newServers(4, "a"), newServers(3, "b")...))
			},
		})
	})
}
