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
	// pageSize is the number of batches read by one call.
	pageSize = 25
	// pagesPerBurst is the number of reads after which a sum pauses, so that other
	// tasks get their share of the platform calls.
	pagesPerBurst = 4
	// burstPause is the length of that pause, and of the pause after a read that
	// was over the rate limit, in milliseconds.
	burstPause = 200 * clocker.Millis(1)
	// rateLimitRetryTime is how long after its start a sum still retries reads that
	// are over the rate limit, in milliseconds.
	rateLimitRetryTime = 10 * clocker.Minute
)

// SumBills returns the totals of all written bills and of those buffered here.
// Concurrent callers share one read of the written bills.
func (b *Biller) SumBills(ctx context.Context, req *messenger.SumBillsRequest) (*messenger.SumBillsReply, error) {
	results := b.sumCalls.DoChan("", func() (any, error) {
		return b.sumAll(context.WithoutCancel(ctx))
	})
	select {
	case <-ctx.Done():
		return nil, trace.Wrap(ctx.Err())
	case result := <-results:
		if result.Err != nil {
			return nil, trace.Wrap(result.Err)
		}
		return &messenger.SumBillsReply{Sums: filterSums(result.Val.([]*messenger.BillSum), req)}, nil
	}
}

// sumAll reads all bills and returns their totals.
func (b *Biller) sumAll(ctx context.Context) ([]*messenger.BillSum, error) {
	set := Set{}
	b.mu.Lock()
	b.addToSet(set, b.buffer.allBills()...)
	b.mu.Unlock()
	after := ""
	retryUntil := b.cfg.Clock.Now() + rateLimitRetryTime
	for pages := 1; ; pages++ {
		page, err := b.readPage(ctx, after, retryUntil)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		for _, o := range page {
			batch := &messenger.BillBatch{}
			if err := proto.Unmarshal(o.Value, batch); err != nil {
				return nil, trace.Wrap(err, "object %s", o.Key)
			}
			b.addToSet(set, batch.Bills...)
			after = o.Key
		}
		if len(page) < pageSize {
			return set.Sum(), nil
		}
		if pages%pagesPerBurst == 0 {
			_ = b.cfg.Clock.Sleep(ctx, burstPause)
		}
	}
}

// readPage reads one page. It retries a read that is over the rate limit until
// retryUntil.
func (b *Biller) readPage(ctx context.Context, after string, retryUntil clocker.Millis) ([]storer.Object, error) {
	for {
		page, err := b.cfg.Store.List(ctx, batchPrefix, after, pageSize)
		if !storer.IsErrRateLimited(err) || b.cfg.Clock.Now() >= retryUntil {
			return page, err
		}
		if err := b.cfg.Clock.Sleep(ctx, burstPause); err != nil {
			return nil, err
		}
	}
}

// filterSums returns the totals that match the request; empty fields match all.
func filterSums(sums []*messenger.BillSum, req *messenger.SumBillsRequest) []*messenger.BillSum {
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
