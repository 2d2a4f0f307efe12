package biller

import (
	"context"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/storer"
)

const (
	// listPage is the number of batches that one read returns.
	listPage = 25
	// pagesAtOnce is the number of reads after which a sum pauses, so that other
	// duties get their share of the platform's calls.
	pagesAtOnce = 4
	// listPause is that pause, and the one after a read that was over the rate
	// bound, in milliseconds.
	listPause = 200 * clocker.Millis(1)
	// passBound is the longest time of one pass, in milliseconds.
	passBound = 10 * clocker.Minute
)

// SumBills returns the totals of all written bills and of those buffered here.
// Callers that ask at the same time share one pass over the written bills.
func (b *Biller) SumBills(ctx context.Context, req *messenger.SumBillsRequest) (*messenger.SumBillsReply, error) {
	passed := b.passes.DoChan("", func() (any, error) {
		return b.pass(context.WithoutCancel(ctx))
	})
	select {
	case <-ctx.Done():
		return nil, trace.Wrap(ctx.Err())
	case result := <-passed:
		if result.Err != nil {
			return nil, trace.Wrap(result.Err)
		}
		return &messenger.SumBillsReply{Sums: filter(result.Val.([]*messenger.BillSum), req)}, nil
	}
}

// pass reads all bills and returns their totals.
func (b *Biller) pass(ctx context.Context) ([]*messenger.BillSum, error) {
	set := Set{}
	b.mu.Lock()
	b.collect(set, b.buffer.bills()...)
	b.mu.Unlock()
	after := ""
	until := b.cfg.Clock.Now() + passBound
	for pages := 1; ; pages++ {
		page, err := b.list(ctx, after, until)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		for _, o := range page {
			batch := &messenger.BillBatch{}
			if err := proto.Unmarshal(o.Value, batch); err != nil {
				return nil, trace.Wrap(err, "object %s", o.Key)
			}
			b.collect(set, batch.Bills...)
			after = o.Key
		}
		if len(page) < listPage {
			return set.Sum(), nil
		}
		if pages%pagesAtOnce == 0 {
			_ = b.cfg.Clock.Sleep(ctx, listPause)
		}
	}
}

// list reads a page, and waits where it meets the rate bound, until a point in time.
func (b *Biller) list(ctx context.Context, after string, until clocker.Millis) ([]storer.Object, error) {
	for {
		page, err := b.cfg.Store.List(ctx, prefix, after, listPage)
		if !storer.IsErrRateLimited(err) || b.cfg.Clock.Now() >= until {
			return page, err
		}
		if err := b.cfg.Clock.Sleep(ctx, listPause); err != nil {
			return nil, err
		}
	}
}

// filter returns the totals that match; empty fields match all.
func filter(sums []*messenger.BillSum, req *messenger.SumBillsRequest) []*messenger.BillSum {
	matching := make([]*messenger.BillSum, 0, len(sums))
	for _, sum := range sums {
		if req.ClientAccount != "" && req.ClientAccount != sum.ClientAccount {
			continue
		}
		if req.Budget != "" && req.Budget != sum.Budget {
			continue
		}
		matching = append(matching, sum)
	}
	return matching
}
