package biller_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"cowsliphinge/biller"
	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
	"cowsliphinge/messenger"
	"cowsliphinge/standin/platform"
)

// directExchange copies bills to a biller of the same process.
type directExchange struct {
	peer *biller.Biller
}

// CopyBills implements biller.Exchange.
func (d directExchange) CopyBills(ctx context.Context, _ string, batch *messenger.BillBatch) (*messenger.CopyReply, error) {
	wire, err := proto.Marshal(batch)
	if err != nil {
		return nil, err
	}
	received := &messenger.BillBatch{}
	if err := proto.Unmarshal(wire, received); err != nil {
		return nil, err
	}
	return d.peer.CopyBills(ctx, received)
}

func heapBytes() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

func realisticBill(i int) *messenger.Bill {
	id := sha256.Sum256([]byte(fmt.Sprint(i)))
	return &messenger.Bill{
		ClientAccount: "tenant-0123", RequestId: hex.EncodeToString(id[:16]), Budget: fmt.Sprintf("budget-%06d", i%1000),
		Service: "drafts", Tokens: 1100 + int64(id[0]), PromptTokens: 1100, OutputTokens: int64(id[0]),
		FinishedAtMs: 1_790_000_000_000 + int64(i)*16,
		Incarnation:  "entry-host-0001-19a2b3c4d5e-0123abcd",
	}
}

// BenchmarkBill measures the cost of n bills from Record to the platform: 64
// concurrent requests record them, a second host holds copies, and Close writes
// them.
func BenchmarkBill(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 90_000} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			for range b.N {
				recordAndWrite(b, n)
			}
		})
	}
}

func recordAndWrite(b *testing.B, n int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clock := clocker.NewManual(clocker.Hour)
	store := platform.New(clock)
	cfg := biller.Config{Host: "h0", AvailabilityZone: "akl-a", Clock: clock, Store: store, MaxUnwritten: 100_000}
	cfg.Peers = func() []heartbeater.Peer { return nil }
	cfg.Incarnation = "entry-host-0002-19a2b3c4d5e-0123abcd"
	second := biller.New(ctx, cfg)
	cfg.Incarnation = "entry-host-0001-19a2b3c4d5e-0123abcd"
	cfg.Exchange = directExchange{second}
	cfg.Peers = func() []heartbeater.Peer {
		return []heartbeater.Peer{{Host: "h1", Incarnation: "h1", AvailabilityZone: "akl-a", ExchangeAddress: "h1"}}
	}
	first := biller.New(ctx, cfg)
	before := heapBytes()
	b.ResetTimer()
	recordAll(b, first, n)
	b.StopTimer()
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/record")
	b.ReportMetric((heapBytes()-before)/float64(n), "B-both-hosts/bill")
	assert.NilError(b, first.Close(ctx))
	counts := store.Counts()
	b.ReportMetric(float64(counts.Writes)/float64(n), "writes/bill")
	b.ReportMetric(float64(counts.Bytes)/float64(n), "platform-B/bill")
	started := time.Now()
	_, err := first.SumBills(ctx, &messenger.SumBillsRequest{})
	b.ReportMetric(float64(time.Since(started).Nanoseconds())/float64(n), "ns-sum/bill")
	assert.NilError(b, err)
	runtime.KeepAlive(second)
}

func recordAll(b *testing.B, first *biller.Biller, n int) {
	const requests = 64
	done := make(chan error, requests)
	for r := range requests {
		go func() {
			for i := r; i < n; i += requests {
				if err := first.Record(context.Background(), realisticBill(i)); err != nil {
					done <- err
					return
				}
			}
			done <- nil
		}()
	}
	for range requests {
		assert.NilError(b, <-done)
	}
}
