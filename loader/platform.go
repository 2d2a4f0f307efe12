package loader

import (
	"context"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"cowsliphinge/biller"
	"cowsliphinge/checker"
	"cowsliphinge/messenger"
	"cowsliphinge/storer"
)

const (
	// billPrefix and budgetPrefix start the keys of batches and shards.
	billPrefix   = "bill/"
	budgetPrefix = "budget/"
	// listPage is the number of objects that one read returns.
	listPage = 50
	// collectCalls bounds the reads of a collection, in calls a second.
	collectCalls = 1000
)

// collectPlatform reads bills and budgets from the Object API.
func (r *runner) collectPlatform(ctx context.Context) error {
	if r.cfg.Settle != nil {
		if err := r.cfg.Settle(ctx); err != nil {
			return trace.Wrap(err)
		}
	}
	store := r.store()
	if store == nil {
		return nil
	}
	if err := r.cfg.Clock.Sleep(ctx, r.cfg.Plan.SettleMs); err != nil {
		return trace.Wrap(err)
	}
	if err := CollectBills(ctx, store, r.cfg.Recorder); err != nil {
		return trace.Wrap(err)
	}
	return CollectBudgets(ctx, store, r.cfg.Recorder)
}

func (r *runner) store() Store {
	if r.cfg.Store != nil || r.cfg.Plan.PlatformURL == "" {
		return r.cfg.Store
	}
	return storer.NewClient(storer.ClientConfig{
		URL:            r.cfg.Plan.PlatformURL,
		CallsPerSecond: func() int64 { return collectCalls },
		Clock:          r.cfg.Clock,
	})
}

// Store is the part of the Object API that a collection needs.
type Store interface {
	List(ctx context.Context, prefix, after string, limit int) ([]storer.Object, error)
}

// CollectBills records each bill that the platform holds, one for a request.
func CollectBills(ctx context.Context, store Store, recorder *checker.Recorder) error {
	bills := biller.Set{}
	err := each(ctx, store, billPrefix, func(value []byte) error {
		batch := &messenger.BillBatch{}
		if err := proto.Unmarshal(value, batch); err != nil {
			return trace.Wrap(err)
		}
		bills.Add(batch.Bills...)
		return nil
	})
	if err != nil {
		return trace.Wrap(err)
	}
	for _, b := range bills {
		recorder.Record(checker.Entry{Bill: &checker.Bill{
			ClientAccount: b.ClientAccount,
			RequestID:     b.RequestId,
			Budget:        b.Budget,
			Tokens:        b.Tokens,
			Partial:       b.Partial,
		}})
	}
	return nil
}

// CollectBudgets records what the platform holds of each budget, apart from
// what was granted before the run.
func CollectBudgets(ctx context.Context, store Store, recorder *checker.Recorder) error {
	found := map[string]*checker.Budget{}
	err := each(ctx, store, budgetPrefix, func(value []byte) error {
		shard := &messenger.BudgetShard{}
		if err := proto.Unmarshal(value, shard); err != nil {
			return trace.Wrap(err)
		}
		for _, b := range shard.Budgets {
			sum := found[b.Name]
			if sum == nil {
				sum = &checker.Budget{Name: b.Name}
				found[b.Name] = sum
			}
			sum.Granted += b.Granted
			sum.Assigned += assigned(b)
		}
		return nil
	})
	for _, b := range found {
		recorder.Record(checker.Entry{Budget: b})
	}
	return trace.Wrap(err)
}

// assigned is what incarnations may put into use, or have.
func assigned(b *messenger.Budget) int64 {
	sum := b.FoldedCharge
	for _, h := range b.Holders {
		if h.Closed {
			sum += h.Charge
			continue
		}
		sum += h.Limit
	}
	return sum
}

func each(ctx context.Context, store Store, prefix string, visit func(value []byte) error) error {
	after := ""
	for {
		page, err := store.List(ctx, prefix, after, listPage)
		if err != nil {
			return trace.Wrap(err)
		}
		for _, o := range page {
			if err := visit(o.Value); err != nil {
				return trace.Wrap(err, "object %s", o.Key)
			}
			after = o.Key
		}
		if len(page) < listPage {
			return nil
		}
	}
}
