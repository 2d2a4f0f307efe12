// Package capacity_test measures the slopes of docs/CAPACITY.md: each
// benchmark runs one role at three sizes or more.
package capacity_test

import (
	"fmt"
	"runtime"
	"testing"

	"cowsliphinge/clocker"
	"cowsliphinge/indexer"
	"cowsliphinge/messenger"
)

// start is the time at which manual clocks begin.
const start = 1_000_000 * clocker.Second

// declarations has the given numbers of client accounts, language servers and
// hosts, in ten availability zones.
func declarations(accounts, servers, hosts int) *messenger.Declarations {
	d := &messenger.Declarations{
		Deployment: "capacity",
		Services: []*messenger.Service{
			{Name: "drafts", Kind: messenger.ServiceKind_LANGUAGE, Idempotent: true},
			{Name: "orders", Kind: messenger.ServiceKind_APPLICATION, TokensPerCall: 5},
		},
		Models: []*messenger.Model{{Name: "draft-1", Version: "1", SizeMb: 10}},
		Policy: &messenger.Policy{},
	}
	for i := range accounts {
		name := fmt.Sprintf("account-%06d", i)
		d.ClientAccounts = append(d.ClientAccounts, &messenger.ClientAccount{Name: name, KeySha256: indexer.HashKey(name), Budget: name})
	}
	for i := range servers {
		d.BackendServers = append(d.BackendServers, &messenger.BackendServer{
			Name:             fmt.Sprintf("engine-%05d", i),
			Address:          fmt.Sprintf("10.%d.%d.1:9000", i/250, i%250),
			AvailabilityZone: zone(i),
			Service:          "drafts",
			Models:           []string{"draft-1"},
			Slots:            16,
		})
	}
	for i := range hosts {
		d.Hosts = append(d.Hosts, &messenger.Host{
			Name:             fmt.Sprintf("host-%05d", i),
			AvailabilityZone: zone(i),
			CallerAddress:    fmt.Sprintf("10.%d.%d.2:8080", i/250, i%250),
			ExchangeAddress:  fmt.Sprintf("10.%d.%d.2:8081", i/250, i%250),
		})
	}
	return d
}

func zone(i int) string {
	return fmt.Sprintf("zone-%d", i%10)
}

// sizes runs a benchmark at each size.
func sizes(b *testing.B, run func(b *testing.B, size int), list ...int) {
	for _, size := range list {
		b.Run(fmt.Sprintf("size=%d", size), func(b *testing.B) { run(b, size) })
	}
}

// heap returns the live bytes after a collection.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
