package capacity_test

import (
	"context"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"cowsliphinge/balancer"
	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
	"cowsliphinge/indexer"
	"cowsliphinge/messenger"
	"cowsliphinge/picker"
)

// BenchmarkAcquire is the choice of a backend server and its release. Sizes
// are language servers in ten availability zones.
func BenchmarkAcquire(b *testing.B) {
	sizes(b, func(b *testing.B, n int) {
		index := indexer.New(&messenger.Configuration{Version: 1, Declarations: declarations(1, n, 10)})
		clock := clocker.NewManual(start)
		before := heap()
		bal := balancer.New(context.Background(), balancer.Config{
			AvailabilityZone: zone(0),
			Clock:            clock,
			Index:            func() *indexer.Index { return index },
		})
		defer func() { _ = bal.Close(context.Background()) }()
		request := picker.Request{
			Service: "drafts", Model: "draft-1", ClientAccount: "account-000000",
			Tokens: 100, Deadline: start + clocker.Hour,
		}
		for i := 0; b.Loop(); i++ {
			request.Prefix = uint64(i % 1000)
			choice, err := bal.Acquire(context.Background(), request)
			if err != nil {
				b.Fatal(err)
			}
			bal.Release(choice, picker.Succeeded)
		}
		b.ReportMetric(heap()-before, "heap-B")
	}, 12, 120, 1200, 5800)
}

// BenchmarkBeat is what a host does for one heartbeat heard and one sent.
// Sizes are hosts.
func BenchmarkBeat(b *testing.B) {
	sizes(b, func(b *testing.B, n int) {
		before := heap()
		members := heartbeater.NewMembers(heartbeater.MembersConfig{Host: "host-00000", AvailabilityZone: zone(0), BeatInterval: clocker.Second, RandomSeed: 1})
		members.SetDeclared(declarations(1, 1, n).Hosts)
		beats := make([]*messenger.Beat, n)
		for i := range beats {
			beats[i] = &messenger.Beat{
				Incarnation:          fmt.Sprintf("host-%05d-19a3f2986c1-b183df5c", i),
				Host:                 fmt.Sprintf("host-%05d", i),
				AvailabilityZone:     zone(i),
				ExchangeAddress:      fmt.Sprintf("10.%d.%d.2:8081", i/250, i%250),
				CallerAddress:        fmt.Sprintf("10.%d.%d.2:8080", i/250, i%250),
				ConfigurationVersion: 100000,
				PlatformReachable:    true,
				SentAtMs:             int64(start),
				InFlight:             60,
				HeldTokens:           1 << 40,
			}
			members.Receive(beats[i], start)
		}
		state := heap() - before
		sent := &messenger.Beat{}
		for i := 0; b.Loop(); i++ {
			now := start + clocker.Millis(i)
			members.Receive(beats[1+i%(n-1)], now)
			sent = proto.CloneOf(beats[0])
			sent.Heard = members.SampleBeats(now)
		}
		b.ReportMetric(state, "heap-B")
		b.ReportMetric(float64(proto.Size(sent)), "beat-B")
		b.ReportMetric(float64(len(members.Targets())), "targets")
	}, 9, 110, 1100)
}

// BenchmarkPeers is the list of peers that is made anew for each beat heard
// that tells something new. Sizes are hosts.
func BenchmarkPeers(b *testing.B) {
	sizes(b, func(b *testing.B, n int) {
		members := heartbeater.NewMembers(heartbeater.MembersConfig{Host: "host-00000", AvailabilityZone: zone(0), BeatInterval: clocker.Second, RandomSeed: 1})
		members.SetDeclared(declarations(1, 1, n).Hosts)
		for b.Loop() {
			_ = members.Peers(start)
		}
	}, 9, 110, 1100)
}
