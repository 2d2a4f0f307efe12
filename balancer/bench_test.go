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

// declare returns n servers in ten availability zones.
func declare(n int) *indexer.Index {
	d := &messenger.Declarations{Services: []*messenger.Service{{Name: "draft"}}}
	for i := range n {
		d.BackendServers = append(d.BackendServers, &messenger.BackendServer{
			Name: fmt.Sprint("s", i), AvailabilityZone: fmt.Sprint("z", i%10), Service: "draft", Models: []string{"m"},
		})
	}
	return indexer.New(&messenger.Configuration{Version: 1, Declarations: d})
}

// BenchmarkBalancer measures a request and the choice of a load query at a host
// before n servers in ten availability zones.
func BenchmarkBalancer(b *testing.B) {
	for _, n := range []int{120, 1200, 5800} {
		index := declare(n)
		clock := clocker.NewManual(1_000_000)
		t := New(context.Background(), Config{AvailabilityZone: "z0", Clock: clock, Index: func() *indexer.Index { return index }})
		b.Run(fmt.Sprintf("request/servers=%d", n), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				c, err := t.Acquire(context.Background(), picker.Request{Service: "draft", Model: "m", Prefix: uint64(i%200) + 1})
				if err != nil {
					b.Fatal(err)
				}
				clock.Advance(1)
				t.Release(c, picker.Succeeded)
			}
		})
		b.Run(fmt.Sprintf("poll/servers=%d", n), func(b *testing.B) {
			for b.Loop() {
				clock.Advance(50)
				next, ok := t.nextPoll()
				if ok {
					t.closePoll(next.name)
				}
			}
		})
		if err := t.Close(context.Background()); err != nil {
			b.Fatal(err)
		}
	}
}
