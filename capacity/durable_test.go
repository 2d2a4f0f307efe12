package capacity_test

import (
	"context"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"cowsliphinge/biller"
	"cowsliphinge/claimer"
	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/reserver"
	"cowsliphinge/standin/platform"
)

func bill(i int) *messenger.Bill {
	return &messenger.Bill{
		ClientAccount: fmt.Sprintf("account-%06d", i%500),
		RequestId:     fmt.Sprintf("host-00000-19a3f2986c1-b183df5c-%d", i),
		Budget:        fmt.Sprintf("budget-%06d", i%500),
		Service:       "drafts",
		Tokens:        760,
		PromptTokens:  400,
		OutputTokens:  360,
		FinishedAtMs:  int64(start),
		Incarnation:   "host-00000-19a3f2986c1-b183df5c",
	}
}

// BenchmarkBillBatch encodes one batch. Sizes are bills in it.
func BenchmarkBillBatch(b *testing.B) {
	sizes(b, func(b *testing.B, n int) {
		batch := &messenger.BillBatch{Incarnation: "host-00000-19a3f2986c1-b183df5c"}
		for i := range n {
			batch.Bills = append(batch.Bills, bill(i))
		}
		var value []byte
		for b.Loop() {
			value, _ = proto.Marshal(batch)
		}
		b.ReportMetric(float64(len(value))/float64(n), "B/bill")
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/bill")
	}, 100, 600, 2000)
}

// BenchmarkSumBills totals all bills for an operator. Sizes are batches of 100.
func BenchmarkSumBills(b *testing.B) {
	sizes(b, func(b *testing.B, n int) {
		clock := clocker.NewManual(start)
		store := platform.New(clock)
		for i := range n {
			batch := &messenger.BillBatch{Incarnation: "i", Sequence: int64(i)}
			for j := range 100 {
				batch.Bills = append(batch.Bills, bill(100*i+j))
			}
			value, _ := proto.Marshal(batch)
			if _, err := store.Create(context.Background(), fmt.Sprintf("bill/i/%012d", i), value); err != nil {
				b.Fatal(err)
			}
		}
		bl := biller.New(context.Background(), biller.Config{Incarnation: "me", Clock: clock, Store: store})
		before := store.Counts()
		for b.Loop() {
			if _, err := bl.SumBills(context.Background(), &messenger.SumBillsRequest{}); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(store.Counts().Reads-before.Reads)/float64(b.N), "reads/op")
	}, 50, 250, 1000)
}

// BenchmarkClaim claims, dispatches and finishes one call. Sizes are the
// claims that are stored already.
func BenchmarkClaim(b *testing.B) {
	sizes(b, func(b *testing.B, n int) {
		clock := clocker.NewManual(start)
		store := platform.New(clock)
		c := claimer.New(context.Background(), claimer.Config{Incarnation: "host-00000-19a3f2986c1-b183df5c", Clock: clock, Store: store})
		run := func(i int) {
			d := c.Claim(context.Background(), claimer.Request{
				ClientAccount:  "account-000001",
				IdempotencyKey: fmt.Sprintf("key-%d", i),
				Deadline:       start + clocker.Hour,
			})
			if d.Verdict != claimer.Owned {
				b.Fatal(d.Verdict)
			}
			c.MarkDispatched(d.Claim)
			c.Finish(context.Background(), d.Claim, &messenger.StoredAnswer{Status: 200, Body: make([]byte, 400)})
		}
		for i := range n {
			run(i)
		}
		before := store.Counts()
		count := n
		for b.Loop() {
			run(count)
			count++
		}
		after := store.Counts()
		done := float64(count - n)
		b.ReportMetric(float64(after.Writes-before.Writes)/done, "writes/op")
		b.ReportMetric(float64(after.Reads-before.Reads)/done, "reads/op")
		b.ReportMetric(float64(after.Bytes-before.Bytes)/done, "platform-B/op")
	}, 100, 1000, 10000)
}

// BenchmarkBudgets reserves and settles from many budgets of one host. Sizes
// are budgets in use.
func BenchmarkBudgets(b *testing.B) {
	sizes(b, func(b *testing.B, n int) {
		clock := clocker.NewManual(start)
		store := platform.New(clock)
		before := heap()
		r := reserver.New(context.Background(), reserver.Config{
			Incarnation: "host-00000-19a3f2986c1-b183df5c", Host: "host-00000", AvailabilityZone: zone(0),
			Clock: clock, Store: store,
			Policy: func() *messenger.Policy {
				return &messenger.Policy{HeadroomMs: 5000, OfflineReserveMs: 600000, MaxShareOfRestMilli: 125, PatienceMs: 2000}
			},
		})
		use := func(i int) {
			budget := fmt.Sprintf("budget-%06d", i%n)
			reservation, err := r.Reserve(context.Background(), budget, 1000, 0, start+clocker.Hour)
			if err != nil {
				b.Fatal(err)
			}
			r.Settle(reservation, 400)
		}
		for i := range n {
			if _, err := r.TopUp(context.Background(), &messenger.TopUpRequest{OperationId: "op", Budget: fmt.Sprintf("budget-%06d", i), Tokens: 1 << 40}); err != nil {
				b.Fatal(err)
			}
			use(i)
		}
		counts := store.Counts()
		state := heap() - before
		for i := 0; b.Loop(); i++ {
			use(i)
		}
		b.ReportMetric(state/float64(n), "heap-B/budget")
		b.ReportMetric(float64(counts.Writes)/float64(n), "writes/budget")
		b.ReportMetric(float64(counts.Reads)/float64(n), "reads/budget")
	}, 100, 1000, 10000)
}

// BenchmarkHeldTokens is asked for each heartbeat. Sizes are budgets in use.
func BenchmarkHeldTokens(b *testing.B) {
	sizes(b, func(b *testing.B, n int) {
		clock := clocker.NewManual(start)
		r := reserver.New(context.Background(), reserver.Config{
			Incarnation: "i", Clock: clock, Store: platform.New(clock),
			Policy: func() *messenger.Policy { return &messenger.Policy{PatienceMs: 1} },
		})
		for i := range n {
			if _, err := r.TopUp(context.Background(), &messenger.TopUpRequest{OperationId: "op", Budget: fmt.Sprintf("budget-%06d", i), Tokens: 1}); err != nil {
				b.Fatal(err)
			}
		}
		for b.Loop() {
			_ = r.HeldTokens()
		}
	}, 100, 1000, 10000)
}
