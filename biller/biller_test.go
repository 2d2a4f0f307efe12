package biller_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cowsliphinge/biller"
	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
	"cowsliphinge/messenger"
	"cowsliphinge/standin/platform"
	"cowsliphinge/storer"
)

func ExampleMerge() {
	bound := &messenger.Bill{Tokens: 500, Partial: true}
	final := &messenger.Bill{Tokens: 300}
	fmt.Println(biller.Merge(bound, final).Tokens, biller.Merge(final, &messenger.Bill{Tokens: 310}).Tokens)
	// Output: 300 310
}

func TestMergeIsCommutativeIdempotentAndAssociative(t *testing.T) {
	draw := rapid.Custom(func(rt *rapid.T) *messenger.Bill {
		return &messenger.Bill{
			Tokens:       rapid.Int64Range(0, 3).Draw(rt, "tokens"),
			Partial:      rapid.Bool().Draw(rt, "partial"),
			FinishedAtMs: rapid.Int64Range(0, 2).Draw(rt, "finished"),
			Incarnation:  rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "incarnation"),
		}
	})
	rapid.Check(t, func(rt *rapid.T) {
		a, b, c := draw.Draw(rt, "a"), draw.Draw(rt, "b"), draw.Draw(rt, "c")
		assert.Assert(rt, proto.Equal(biller.Merge(a, b), biller.Merge(b, a)))
		assert.Assert(rt, proto.Equal(biller.Merge(a, a), a))
		assert.Assert(rt, proto.Equal(biller.Merge(biller.Merge(a, b), c), biller.Merge(a, biller.Merge(b, c))))
	})
}

func TestFullBufferRefusesBills(t *testing.T) {
	clock := clocker.NewManual(clocker.Hour)
	store := platform.New(clock)
	store.SetFaults(platform.Faults{Outage: true})
	b := biller.New(t.Context(), biller.Config{
		Incarnation: "h0", Clock: clock, Store: store, MaxUnwritten: 3,
		Peers: func() []heartbeater.Peer { return nil },
	})
	ctx, cancel := clock.WithTimeout(t.Context(), 0)
	defer cancel()
	<-ctx.Done()
	biller.SetInFlightMargin(b, 3)
	for i := range 6 {
		assert.Equal(t, b.HasCapacity(), i < 3)
		err := b.Record(ctx, &messenger.Bill{ClientAccount: "mason", RequestId: fmt.Sprint(i), Tokens: 1})
		assert.Assert(t, biller.IsErrNotCopied(err), "%v", err)
	}
	err := b.Record(ctx, &messenger.Bill{ClientAccount: "mason", RequestId: "6"})
	assert.Assert(t, biller.IsErrFull(err), "%v", err)
	assert.Assert(t, biller.IsErrInvalidBill(b.Record(ctx, &messenger.Bill{RequestId: "7"})))
	store.SetFaults(platform.Faults{})
	assert.NilError(t, b.Close(t.Context()))
	reply, err := b.SumBills(t.Context(), &messenger.SumBillsRequest{})
	assert.NilError(t, err)
	assert.Equal(t, reply.Sums[0].Requests, int64(6))
	reply, err = b.SumBills(t.Context(), &messenger.SumBillsRequest{ClientAccount: "school"})
	assert.NilError(t, err)
	assert.Equal(t, len(reply.Sums), 0)
}

// compactingStore is a platform where batches are compacted between two pages of a
// list.
type compactingStore struct {
	*platform.Store
	betweenPages func()
}

func (c *compactingStore) List(ctx context.Context, prefix, after string, limit int) ([]storer.Object, error) {
	page, err := c.Store.List(ctx, prefix, after, limit)
	if c.betweenPages != nil {
		between := c.betweenPages
		c.betweenPages = nil
		between()
	}
	return page, err
}

// rateLimitedStore is a platform that rejects every second list, starting with the
// first.
type rateLimitedStore struct {
	*platform.Store
	lists int
}

func (l *rateLimitedStore) List(ctx context.Context, prefix, after string, limit int) ([]storer.Object, error) {
	if l.lists++; l.lists%2 == 1 {
		return nil, storer.ErrRateLimited{Key: prefix}
	}
	return l.Store.List(ctx, prefix, after, limit)
}

func TestSumWaitsWhenRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		clock := clocker.NewManual(clocker.Hour)
		cfg := biller.Config{Incarnation: "h0", Clock: clock, Store: &rateLimitedStore{Store: platform.New(clock)}, MaxBatchBills: 1}
		cfg.Peers = func() []heartbeater.Peer { return nil }
		b := biller.New(ctx, cfg)
		for i := range 130 {
			_ = b.Record(ctx, &messenger.Bill{ClientAccount: "mason", RequestId: fmt.Sprint(i), Tokens: 1})
		}
		assert.Assert(t, biller.Write(t.Context(), b))
		summed := make(chan int64, 2)
		for range 2 {
			go func() {
				reply, err := b.SumBills(t.Context(), &messenger.SumBillsRequest{})
				assert.Check(t, err)
				summed <- reply.Sums[0].Requests
			}()
		}
		for synctest.Wait(); len(summed) < 2; synctest.Wait() {
			clock.Advance(200)
		}
		assert.Equal(t, <-summed, int64(130))
		assert.Equal(t, <-summed, int64(130))
		assert.Equal(t, cfg.Store.(*rateLimitedStore).lists, 12, "both callers share one read of six pages")
	})
}

func TestSumWhileBatchesAreCompacted(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	clock := clocker.NewManual(clocker.Hour)
	store := &compactingStore{Store: platform.New(clock)}
	cfg := biller.Config{Incarnation: "h0", Clock: clock, Store: store, MaxBatchBills: 1, CompactionBatches: 100}
	cfg.Peers = func() []heartbeater.Peer { return nil }
	writer := biller.New(ctx, cfg)
	for i := range 60 {
		_ = writer.Record(ctx, &messenger.Bill{ClientAccount: "mason", RequestId: fmt.Sprint(i), Tokens: 1})
	}
	assert.Assert(t, biller.Write(t.Context(), writer))
	store.betweenPages = func() { biller.Compact(t.Context(), writer) }
	cfg.Incarnation = "reader"
	reply, err := biller.New(ctx, cfg).SumBills(t.Context(), &messenger.SumBillsRequest{})
	assert.NilError(t, err)
	assert.Equal(t, reply.Sums[0].Requests, int64(60))
	objects, err := store.Store.List(t.Context(), "", "", 100)
	assert.NilError(t, err)
	assert.Equal(t, len(objects), 1)
}
