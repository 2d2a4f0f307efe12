package balancer

import (
	"context"
	"fmt"
	"testing"

	"cowsliphinge/clocker"
	"cowsliphinge/indexer"
	"cowsliphinge/messenger"
	"cowsliphinge/picker"
)

// newIndex returns an index of n servers in ten availability zones.
func newIndex(n int) *indexer.Index {
	d := &messenger.Declarations{Services: []*messenger.Service{{Name: "draft"}}}
	for i := range n {
		d.BackendServers = append(d.BackendServers, &messenger.BackendServer{
			Name: fmt.Sprint("s", i), AvailabilityZone: fmt.Sprint("z", i%10), Service: "draft", Models: []string{"m"},
		})
	}
	return indexer.New(&messenger.Configuration{Version: 1, Declarations: d})
}

// BenchmarkBalancer measures a request and the selection of a poll on a host with n
// servers in ten availability zones.
func BenchmarkBalancer(b *testing.B) {
	for _, n := range []int{120, 1200, 5800} {
		index := newIndex(n)
		clock := clocker.NewManual(1_000_000)
		bal := New(context.Background(), Config{AvailabilityZone: "z0", Clock: clock, Index: func() *indexer.Index { return index }})
		b.Run(fmt.Sprintf("request/servers=%d", n), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				c, err := bal.Acquire(context.Background(), picker.Request{Service: "draft", Model: "m", Prefix: uint64(i%200) + 1})
				if err != nil {
					b.Fatal(err)
				}
				clock.Advance(1)
				bal.Release(c, picker.Succeeded)
			}
		})
		b.Run(fmt.Sprintf("poll/servers=%d", n), func(b *testing.B) {
			for b.Loop() {
				clock.Advance(50)
				next, ok := bal.nextPoll()
				if ok {
					bal.finishPoll(next.name)
				}
			}
		})
		if err := bal.Close(context.Background()); err != nil {
			b.Fatal(err)
		}
	}
}
