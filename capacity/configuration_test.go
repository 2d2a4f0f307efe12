package capacity_test

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	"cowsliphinge/clocker"
	"cowsliphinge/indexer"
	"cowsliphinge/messenger"
	"cowsliphinge/spreader"
	"cowsliphinge/standin/platform"
)

// BenchmarkAdopt is what each host does for a new version: join all parts and
// build the index. Sizes are client accounts.
func BenchmarkAdopt(b *testing.B) {
	sizes(b, func(b *testing.B, n int) {
		parts, err := spreader.Split(declarations(n, 100, 10))
		if err != nil {
			b.Fatal(err)
		}
		var bytes int
		for _, p := range parts {
			bytes += len(p.Value)
		}
		before := heap()
		var index *indexer.Index
		for b.Loop() {
			d, err := spreader.Join(parts)
			if err != nil {
				b.Fatal(err)
			}
			index = indexer.New(&messenger.Configuration{Version: 1, Declarations: d})
		}
		b.ReportMetric(heap()-before, "heap-B")
		b.ReportMetric(float64(bytes), "wire-B")
		b.ReportMetric(float64(len(parts)), "parts")
		runtime.KeepAlive(index)
	}, 1000, 10000, 100000)
}

// BenchmarkPublish is one change of one client account at the host that takes
// the command. Sizes are client accounts.
func BenchmarkPublish(b *testing.B) {
	sizes(b, func(b *testing.B, n int) {
		clock := clocker.NewWall()
		store := platform.New(clock)
		s := spreader.New(context.Background(), spreader.Config{Host: "host-00000", Clock: clock, Store: store, Log: slog.New(slog.DiscardHandler)})
		defer func() { _ = s.Close(context.Background()) }()
		d := declarations(n, 100, 10)
		reply, err := s.Apply(context.Background(), &messenger.ApplyRequest{OperationId: "first", Declarations: d})
		if err != nil {
			b.Fatal(err)
		}
		before := store.Counts()
		version := reply.Version
		changes := 0
		for b.Loop() {
			changes++
			next := proto.CloneOf(d)
			next.ClientAccounts[n/2].Weight = int64(changes)
			reply, err := s.Apply(context.Background(), &messenger.ApplyRequest{
				OperationId:     fmt.Sprintf("change-%d", changes),
				ExpectedVersion: version,
				Declarations:    next,
			})
			if err != nil {
				b.Fatal(err)
			}
			version = reply.Version
		}
		after := store.Counts()
		b.ReportMetric(float64(after.Writes-before.Writes)/float64(changes), "writes/op")
		b.ReportMetric(float64(after.Reads-before.Reads)/float64(changes), "reads/op")
		head, err := store.Get(context.Background(), spreader.HeadKey)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(head.Value)), "head-B")
	}, 1000, 4000, 16000)
}
