package allotter_test

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	"cowsliphinge/allotter"
	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

const benchHolders = 20 // two holders in each of ten availability zones

// fullShard returns an object with n budgets, each with an entry of every holder.
func fullShard(n int) *messenger.BudgetShard {
	shard := &messenger.BudgetShard{}
	for i := range n {
		b := &messenger.Budget{Name: fmt.Sprintf("account-%06d", i), Granted: 1 << 50}
		for h := range benchHolders {
			b.Holders = append(b.Holders, &messenger.Holder{Incarnation: fmt.Sprintf("host-%04d-19a0c5b2f3e-%08x", h, h), Limit: 1 << 30})
		}
		for op := range 4 {
			b.TopUps = append(b.TopUps, &messenger.TopUpRecord{OperationId: fmt.Sprintf("operation-%d-%d", i, op), Tokens: 1 << 48, AtMs: 1 << 40})
		}
		shard.Budgets = append(shard.Budgets, b)
	}
	return shard
}

// BenchmarkRaiseLimit decodes the object, plans a higher limit of one budget, encodes the
// write and confirms it.
func BenchmarkRaiseLimit(b *testing.B) {
	for _, n := range []int{10, 42, 400} {
		b.Run(fmt.Sprintf("budgets=%d", n), func(b *testing.B) {
			value, err := proto.Marshal(fullShard(n))
			if err != nil {
				b.Fatal(err)
			}
			policy := &messenger.Policy{HeadroomMs: 5000, OfflineReserveMs: 60000, MaxShareOfRestMilli: 125}
			live := func(string) bool { return true }
			b.ReportAllocs()
			for i := range b.N {
				a := allotter.New(allotter.Config{Incarnation: "host-9999-19a0c5b2f3e-00000000"})
				a.AddWaiting("account-000000", 1000, 0)
				object := &messenger.BudgetShard{}
				if err := proto.Unmarshal(value, object); err != nil {
					b.Fatal(err)
				}
				a.Merge(int64(i+1), object, clocker.Hour)
				w, due := a.Plan(allotter.Conditions{Now: clocker.Hour, Policy: policy, KeepsHeadroom: true, IsLive: live})
				if !due {
					b.Fatal("no write was planned")
				}
				if _, err := proto.Marshal(w.Value); err != nil {
					b.Fatal(err)
				}
				a.Confirm(w, int64(i+2), clocker.Hour)
			}
			b.ReportMetric(float64(len(value)), "object-bytes")
		})
	}
}

// BenchmarkActiveBudget reports the memory used by an active budget, without the
// decoded object of the shard.
func BenchmarkActiveBudget(b *testing.B) {
	const budgets = 100_000
	for range b.N {
		before := heap()
		a := allotter.New(allotter.Config{Incarnation: "h"})
		for i := range budgets {
			name := fmt.Sprintf("account-%06d", i)
			a.Receive("peer", &messenger.TransferTotal{Budget: name, Given: 1000})
			a.Reserve(name, 10, 0, clocker.Hour)
		}
		after := heap()
		b.ReportMetric(float64(after-before)/budgets, "bytes/budget")
		runtime.KeepAlive(a)
	}
}

// BenchmarkDecodedShard reports the memory used by a decoded object per budget.
func BenchmarkDecodedShard(b *testing.B) {
	value, err := proto.Marshal(fullShard(42))
	if err != nil {
		b.Fatal(err)
	}
	const copies = 200
	for range b.N {
		before := heap()
		var decoded []*messenger.BudgetShard
		for range copies {
			object := &messenger.BudgetShard{}
			if err := proto.Unmarshal(value, object); err != nil {
				b.Fatal(err)
			}
			decoded = append(decoded, object)
		}
		after := heap()
		b.ReportMetric(float64(after-before)/copies/42, "bytes/budget")
		runtime.KeepAlive(decoded)
	}
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
