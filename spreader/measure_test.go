package spreader_test

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"testing/synctest"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/examples"
	"cowsliphinge/indexer"
	"cowsliphinge/messenger"
	"cowsliphinge/spreader"
	standin "cowsliphinge/standin/fleet"
	"cowsliphinge/standin/platform"
)

var measure = flag.Bool("measure", false, "print the figures of the propagation; no limits are checked")

// largeDeclarations returns declarations with the given number of hosts, backend
// servers and client accounts.
func largeDeclarations(hosts, servers, accounts int) *messenger.Declarations {
	d := &messenger.Declarations{Deployment: "large"}
	d.Services = []*messenger.Service{{Name: "drafts", Kind: messenger.ServiceKind_LANGUAGE}}
	for i := range 6 {
		d.Models = append(d.Models, &messenger.Model{Name: fmt.Sprint("model-", i), Version: "1", SizeMb: 100000})
	}
	for i := range accounts {
		name := fmt.Sprintf("account-%06d", i)
		d.ClientAccounts = append(d.ClientAccounts, &messenger.ClientAccount{Name: name, Budget: name, KeySha256: indexer.HashKey(name)})
	}
	for i := range hosts {
		ip := fmt.Sprintf("10.%d.%d.1", i/250, i%250)
		d.Hosts = append(d.Hosts, &messenger.Host{
			Name: fmt.Sprint("host-", i), AvailabilityZone: fmt.Sprint("zone-", i%10), CallerAddress: ip + ":80", ExchangeAddress: ip + ":81",
		})
	}
	for i := range servers {
		d.BackendServers = append(d.BackendServers, &messenger.BackendServer{
			Name: fmt.Sprint("engine-", i), Address: fmt.Sprintf("11.%d.%d.1:80", i/250, i%250), AvailabilityZone: fmt.Sprint("zone-", i%min(hosts, 10)),
			Service: "drafts", Models: []string{fmt.Sprint("model-", i%6)}, Slots: 16,
		})
	}
	return d
}

func formatDelays(delays []clocker.Millis) string {
	slices.Sort(delays)
	return fmt.Sprintf("p50 %d ms, max %d ms", delays[len(delays)/2], delays[len(delays)-1])
}

func countsBetween(a, b platform.Counts) platform.Counts {
	return platform.Counts{Reads: b.Reads - a.Reads, Writes: b.Writes - a.Writes, Watches: b.Watches - a.Watches, Bytes: b.Bytes - a.Bytes}
}

// TestMeasureSpread prints the time from acceptance of a version until it is in
// force, and the calls and bytes per change. The time is simulated: it includes
// waits, but neither processor nor network time.
func TestMeasureSpread(t *testing.T) {
	if !*measure {
		t.Skip("run with -args -measure")
	}
	for _, size := range []struct{ zones, hosts, servers, accounts int }{{4, 9, 16, 10}, {10, 110, 580, 50}, {10, 1100, 5800, 500}} {
		for _, outage := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) { measureSpread(t, size.zones, size.hosts, size.servers, size.accounts, outage) })
		}
	}
}

func measureSpread(t *testing.T, zones, hosts, servers, accounts int, outage bool) {
	f := newFleet(t, zones, hosts)
	d := largeDeclarations(hosts, servers, accounts)
	reply, err := f.nodes[0].s.Apply(context.Background(), &messenger.ApplyRequest{OperationId: "first", Declarations: d})
	assert.NilError(t, err)
	assert.Equal(t, len(reply.Findings), 0, "%v", reply.Findings)
	f.waitForVersion(t, 1, clocker.Minute, allHosts)
	_ = f.clock.Sleep(context.Background(), 5*clocker.Second)

	const idle = 60
	counts, calls := f.store.Counts(), f.pullCalls.Load()
	_ = f.clock.Sleep(context.Background(), idle*clocker.Second)
	idleCounts := countsBetween(counts, f.store.Counts())
	t.Logf("%d hosts, idle: platform %.1f reads/s, %.1f watches/s; %.1f pulls/s per host", hosts,
		float64(idleCounts.Reads)/idle, float64(idleCounts.Watches)/idle, float64(f.pullCalls.Load()-calls)/idle/float64(hosts))

	var delays []clocker.Millis
	counts, bytes := f.store.Counts(), f.pullBytes.Load()
	const changes = 10
	for i := range int64(changes) {
		_ = f.clock.Sleep(context.Background(), 337)
		changed := proto.CloneOf(d)
		changed.ClientAccounts[int(i)%len(changed.ClientAccounts)].Weight = 2 + i
		_, err := f.nodes[0].s.Apply(context.Background(), &messenger.ApplyRequest{OperationId: fmt.Sprint("op-", i), ExpectedVersion: 1 + i, Declarations: changed})
		assert.NilError(t, err)
		if outage {
			f.store.SetFaults(platform.Faults{Outage: true})
		}
		delays = append(delays, f.waitForVersion(t, 2+i, clocker.Minute, allHosts)...)
		f.store.SetFaults(platform.Faults{})
		d = changed
	}
	changeCounts := countsBetween(counts, f.store.Counts())
	t.Logf("%d hosts, platform down after accepted %v: in force %s; per change: platform %d reads, %d writes, %d watches, %d kB; %d bytes between hosts per host",
		hosts, outage, formatDelays(delays), changeCounts.Reads/changes, changeCounts.Writes/changes, changeCounts.Watches/changes, changeCounts.Bytes/changes/1000,
		(f.pullBytes.Load()-bytes)/changes/int64(hosts))
}

// TestMeasureRouters prints the time from acceptance of a version until it is in
// force, with real routers over loopback and the wall clock.
func TestMeasureRouters(t *testing.T) {
	if !*measure {
		t.Skip("run with -args -measure")
	}
	for _, hosts := range []int{9, 30, 100} {
		for _, outage := range []bool{false, true} {
			measureRouters(t, hosts, outage)
		}
	}
}

func measureRouters(t *testing.T, hosts int, outage bool) {
	d, err := examples.Declarations("kauri-lane")
	assert.NilError(t, err)
	for i := len(d.Hosts); i < hosts; i++ {
		h := proto.CloneOf(d.Hosts[i%9])
		h.Name = fmt.Sprint(h.Name, "-", i)
		d.Hosts = append(d.Hosts, h)
	}
	clock := clocker.NewWall()
	f, err := standin.Start(standin.Config{Declarations: d, Clock: clock, Log: slog.New(slog.DiscardHandler)})
	assert.NilError(t, err)
	defer f.Stop()
	for _, h := range f.Declarations.Hosts {
		assert.NilError(t, f.StartHost(context.Background(), h.Name))
	}
	commander := f.Commander(f.Declarations.Hosts[0].Name)
	var allDelays []clocker.Millis
	d = f.Declarations
	for i := range int64(8) {
		d = proto.CloneOf(d)
		d.ClientAccounts[0].Weight = 1 + i
		request := &messenger.ApplyRequest{OperationId: fmt.Sprint("op-", i), ExpectedVersion: i, Declarations: d}
		reply, err := commander.Apply(context.Background(), request)
		for range 3 {
			if err != nil {
				t.Logf("%d routers: apply retried: %v", hosts, err)
				reply, err = commander.Apply(context.Background(), request)
			}
		}
		assert.NilError(t, err)
		assert.Equal(t, reply.Version, i+1, "%v", reply.Findings)
		accepted := clock.Now()
		if outage {
			f.Platform.SetFaults(platform.Faults{Outage: true})
		}
		delays := map[string]clocker.Millis{}
		for len(delays) < hosts && clock.Now() < accepted+30*clocker.Second {
			for name, r := range f.Routers() {
				if _, ok := delays[name]; !ok && r.ConfigurationVersion() > i {
					delays[name] = clock.Now() - accepted
				}
			}
			_ = clock.Sleep(context.Background(), 2)
		}
		f.Platform.SetFaults(platform.Faults{})
		_ = clock.Sleep(context.Background(), 2*clocker.Second)
		if i < 3 {
			continue // membership is still converging
		}
		if len(delays) < hosts {
			t.Logf("%d routers: version %d in force on %d only after 30 s", hosts, i+1, len(delays))
		}
		for _, d := range delays {
			allDelays = append(allDelays, d)
		}
	}
	t.Logf("%d routers over loopback, platform down after accepted %v: in force %s", hosts, outage, formatDelays(allDelays))
}

// TestPartsTouchedByAChange checks, at the largest supported size, that a change
// replaces at most two parts and that each value stays far below the platform's
// size limit.
func TestPartsTouchedByAChange(t *testing.T) {
	d := largeDeclarations(1100, 5800, 500)
	before, err := spreader.Split(d)
	assert.NilError(t, err)
	known, total, largest := map[string]bool{}, 0, 0
	for _, p := range before {
		known[p.Key] = true
		total += len(p.Value)
		largest = max(largest, len(p.Value))
	}
	t.Logf("%d parts, %d bytes, largest %d", len(before), total, largest)
	assert.Assert(t, largest < 200_000)
	joined, err := spreader.Join(before)
	assert.NilError(t, err)
	assert.Assert(t, proto.Equal(joined, spreader.Canonical(d)))
	changes := 24
	if *measure {
		changes = 200
	}
	step := 5800 / changes
	for i := range changes {
		changed := proto.CloneOf(d)
		switch i % 3 {
		case 0:
			changed.BackendServers[i*step].Slots++
		case 1:
			changed.BackendServers = slices.Delete(changed.BackendServers, i*step, i*step+1)
		case 2:
			changed.ClientAccounts = append(changed.ClientAccounts, &messenger.ClientAccount{Name: fmt.Sprint("new-", i)})
		}
		after, err := spreader.Split(changed)
		assert.NilError(t, err)
		replaced := 0
		for _, p := range after {
			if !known[p.Key] {
				replaced++
			}
		}
		assert.Assert(t, replaced >= 1 && replaced <= 2, "change %d replaces %d parts", i, replaced)
	}
}
