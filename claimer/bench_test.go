package claimer_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	"cowsliphinge/claimer"
	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/standin/platform"
)

// keyCounts are the numbers of keys for which the cost of a claim is measured.
var keyCounts = []int{1_000, 10_000, 100_000}

// heapBytes returns the number of bytes of allocated heap objects after a garbage
// collection.
func heapBytes() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// BenchmarkClaim measures the cost of claiming and finishing a key with an answer
// of 1 KiB: time, platform calls and memory.
func BenchmarkClaim(b *testing.B) {
	for _, kind := range []string{"key", "ticket"} {
		for _, n := range keyCounts {
			b.Run(fmt.Sprintf("%s/n=%d", kind, n), func(b *testing.B) {
				for range b.N {
					benchmarkClaims(b, kind, n)
				}
			})
		}
	}
}

func benchmarkClaims(b *testing.B, kind string, n int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clock := clocker.NewManual(clocker.Hour)
	store := platform.New(clock)
	c := claimer.New(ctx, claimer.Config{Incarnation: "entry-host-0001-19a2b3c4d5e-0123abcd", Clock: clock, Store: store})
	answer := &messenger.StoredAnswer{Status: 201, ContentType: "application/json", Body: make([]byte, 1024)}
	before := heapBytes()
	b.ResetTimer()
	for i := range n {
		key := fmt.Sprintf("order-%032d", i)
		if kind == "ticket" {
			key = c.IssueTicket("mason")
		}
		d := c.Claim(ctx, newRequest(clock, key, "urn"))
		if d.Verdict != claimer.Owned {
			b.Fatal(d.Verdict)
		}
		c.MarkDispatched(d.Claim)
		c.Finish(ctx, d.Claim, answer)
	}
	b.StopTimer()
	counts := store.Counts()
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/claim")
	b.ReportMetric(float64(counts.Writes)/float64(n), "writes/claim")
	b.ReportMetric(float64(counts.Reads)/float64(n), "reads/claim")
	b.ReportMetric(float64(counts.Bytes)/float64(n), "platform-B/claim")
	if kind == "ticket" {
		b.ReportMetric((heapBytes()-before)/float64(n), "B/ticket")
	}
	runtime.KeepAlive(c)
}
