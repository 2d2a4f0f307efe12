package biller

import (
	"context"
	"fmt"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"cowsliphinge/messenger"
	"cowsliphinge/storer"
)

// batchPrefix starts the key of each batch.
const batchPrefix = "bill/"

// writeLoop writes batches at an interval, and immediately while no peer accepts
// copies. It also takes over orphaned copies.
func (b *Biller) writeLoop(ctx context.Context) {
	interval := b.cfg.WriteInterval
	for {
		sleepOrWake(ctx, b.cfg.Clock, interval, b.writeWake)
		if ctx.Err() != nil {
			return
		}
		b.takeOver(b.orphaned(b.cfg.Clock.Now()))
		b.updateGauges()
		interval = b.cfg.WriteInterval
		if !b.writePending(ctx) {
			interval = retryInterval
			continue
		}
		b.reportWritten(ctx)
		_ = b.cfg.Clock.Sleep(ctx, minWriteInterval) // the loop checks ctx
		b.compact(ctx, b.cfg.CompactionBatches)
	}
}

// updateGauges publishes how many bills and copies are buffered.
func (b *Biller) updateGauges() {
	b.mu.Lock()
	defer b.mu.Unlock()
	billsPending.Set(float64(b.buffer.unwrittenCount()))
	copiesHeld.Set(float64(b.buffer.copyCount))
}

// writePending writes batches until no own bill is left. It reports false if ctx ends
// or the platform does not accept a batch.
func (b *Biller) writePending(ctx context.Context) bool {
	for ctx.Err() == nil {
		b.mu.Lock()
		batch := b.buffer.nextWriteBatch()
		b.mu.Unlock()
		if batch == nil {
			return true
		}
		written, err := b.writeBatch(ctx, fmt.Sprintf("%s%s/%012d", batchPrefix, batch.Incarnation, batch.Sequence), batch)
		if err != nil {
			writeFailures.Inc()
			return false
		}
		b.mu.Lock()
		if written {
			b.buffer.markWritten()
			b.smallBatches++
			billsWritten.Add(len(batch.Bills))
			b.signalProgress()
		} else {
			b.buffer.renumberNext()
		}
		b.mu.Unlock()
	}
	return false
}

// writeBatch creates the object of a batch and reports whether it is written. After an
// unknown outcome or a conflict it reads the object back: the batch is written only if
// the object holds the same bills.
func (b *Biller) writeBatch(ctx context.Context, key string, batch *messenger.BillBatch) (bool, error) {
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(batch)
	if err != nil {
		return false, trace.Wrap(err)
	}
	_, err = b.cfg.Store.Create(ctx, key, value)
	if err == nil {
		return true, nil
	}
	if !storer.IsErrConflict(err) && !storer.IsErrOutcomeUnknown(err) {
		return false, trace.Wrap(err)
	}
	o, err := b.cfg.Store.Get(ctx, key)
	if err != nil {
		return false, trace.Wrap(err)
	}
	stored := &messenger.BillBatch{}
	if err := proto.Unmarshal(o.Value, stored); err != nil {
		return false, nil
	}
	return proto.Equal(stored, batch), nil
}
