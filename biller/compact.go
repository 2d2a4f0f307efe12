package biller

import (
	"context"
	"fmt"

	"google.golang.org/protobuf/proto"

	"cowsliphinge/messenger"
	"cowsliphinge/storer"
)

const (
	// compactedPrefix starts the keys of compacted batches. It sorts after the keys
	// of all other batches: a reader that lists in order has either read a batch
	// before it was deleted, or still reaches the object that replaced it.
	compactedPrefix = batchPrefix + "~/"
	// defaultCompactionBatches is the number of own batches that one compaction
	// replaces.
	defaultCompactionBatches = 50
	// maxCompactedBytes is the maximum encoded size of the bills of a compacted batch.
	maxCompactedBytes = 800 << 10
)

// compact replaces own small batches by a larger one if there are at least
// minBatches. It creates the larger one before it deletes the small ones. Bills are
// merged as a set, so each bill counts once if the host stops in between or if a
// reader lists at that time.
func (b *Biller) compact(ctx context.Context, minBatches int) {
	if b.smallBatches < minBatches {
		return
	}
	ownPrefix := batchPrefix + b.cfg.Incarnation + "/"
	sources, err := b.cfg.Store.List(ctx, ownPrefix, "", b.cfg.CompactionBatches)
	if err != nil {
		return
	}
	merged, mergedCount := mergeBatches(sources)
	merged.Incarnation = b.cfg.Incarnation
	merged.Sequence = b.nextCompacted
	written, err := b.writeBatch(ctx, fmt.Sprintf("%s%s/%012d", compactedPrefix, b.cfg.Incarnation, b.nextCompacted), merged)
	if err != nil {
		return
	}
	b.nextCompacted++
	if !written {
		return
	}
	compactions.Inc()
	for _, o := range sources[:mergedCount] {
		// If the deletion fails, the bills of the batch still count once.
		if b.cfg.Store.Delete(ctx, o.Key, o.Version) == nil {
			b.smallBatches--
		}
	}
}

// mergeBatches returns the bills of as many objects as fit into one batch, and the
// number of those objects.
func mergeBatches(sources []storer.Object) (*messenger.BillBatch, int) {
	merged := &messenger.BillBatch{}
	size := 0
	for i, o := range sources {
		size += len(o.Value)
		batch := &messenger.BillBatch{}
		if (size > maxCompactedBytes && i > 0) || proto.Unmarshal(o.Value, batch) != nil {
			return merged, i
		}
		merged.Bills = append(merged.Bills, batch.Bills...)
	}
	return merged, len(sources)
}
