package biller

import (
	"context"
	"fmt"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"cowsliphinge/messenger"
	"cowsliphinge/storer"
)

// prefix starts the key of each batch.
const prefix = "bill/"

// writeDuty writes batches at an interval, and at once while no peer takes
// copies, and takes over copies whose origin is gone.
func (b *Biller) writeDuty(ctx context.Context) {
	wait := b.cfg.WriteInterval
	for {
		sleepOrWake(ctx, b.cfg.Clock, wait, b.writeNow)
		if ctx.Err() != nil {
			return
		}
		b.takeOver(b.gone(b.cfg.Clock.Now()))
		b.gauge()
		wait = b.cfg.WriteInterval
		if !b.write(ctx) {
			wait = retryEvery
			continue
		}
		b.tellWritten(ctx)
		_ = b.cfg.Clock.Sleep(ctx, writePause) // an ended ctx is seen above
		b.compact(ctx, b.cfg.CompactionBatches)
	}
}

// gauge shows what is buffered.
func (b *Biller) gauge() {
	b.mu.Lock()
	defer b.mu.Unlock()
	billsPending.Set(float64(b.buffer.unwritten()))
	copiesHeld.Set(float64(b.buffer.copies))
}

// write writes batches until nothing is pending. It reports false if the
// platform does not take one.
func (b *Biller) write(ctx context.Context) bool {
	for ctx.Err() == nil {
		b.mu.Lock()
		batch := b.buffer.next()
		b.mu.Unlock()
		if batch == nil {
			return true
		}
		found, err := b.writeBatch(ctx, fmt.Sprintf("%s%s/%012d", prefix, batch.Incarnation, batch.Sequence), batch)
		if err != nil {
			writeFailed.Inc()
			return false
		}
		b.mu.Lock()
		if found {
			b.buffer.written()
			b.smallBatches++
			written.Add(len(batch.Bills))
			b.progressed()
		} else {
			b.buffer.renumber()
		}
		b.mu.Unlock()
	}
	return false
}

// writeBatch creates the object of a batch. After an unknown outcome or a
// conflict it reads back: the batch is written only if the same bills are found.
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
	found := &messenger.BillBatch{}
	if err := proto.Unmarshal(o.Value, found); err != nil {
		return false, nil
	}
	return proto.Equal(found, batch), nil
}
