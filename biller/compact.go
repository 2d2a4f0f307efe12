package biller

import (
	"context"
	"fmt"

	"google.golang.org/protobuf/proto"

	"cowsliphinge/messenger"
	"cowsliphinge/storer"
)

const (
	// compactedPrefix starts the keys of compacted batches. It sorts behind the
	// keys of all batches: a reader that lists in order either saw a batch
	// before it was deleted, or still comes to the object that replaced it.
	compactedPrefix = prefix + "~/"
	// defaultCompactAfter is the number of own batches that are compacted together.
	defaultCompactAfter = 50
	// compactBytes bounds the bills of a compacted batch, encoded.
	compactBytes = 800 << 10
)

// compact replaces own small batches by one larger. The larger one is created
// before the small ones are deleted, and bills are a set, so that a stop in
// between, or a reader, counts each bill once. It does nothing before there are
// after batches.
func (b *Biller) compact(ctx context.Context, after int) {
	if b.smallBatches < after {
		return
	}
	own := prefix + b.cfg.Incarnation + "/"
	sources, err := b.cfg.Store.List(ctx, own, "", b.cfg.CompactionBatches)
	if err != nil {
		return
	}
	merged, used := mergeBatches(sources)
	merged.Incarnation = b.cfg.Incarnation
	merged.Sequence = b.compacted
	found, err := b.writeBatch(ctx, fmt.Sprintf("%s%s/%012d", compactedPrefix, b.cfg.Incarnation, b.compacted), merged)
	if err != nil {
		return
	}
	b.compacted++
	if !found {
		return
	}
	compactions.Inc()
	for _, o := range sources[:used] {
		// A batch that stays is counted once all the same.
		if b.cfg.Store.Delete(ctx, o.Key, o.Version) == nil {
			b.smallBatches--
		}
	}
}

// mergeBatches returns the bills of as many objects as fit into one, and how
// many those are.
func mergeBatches(sources []storer.Object) (*messenger.BillBatch, int) {
	merged := &messenger.BillBatch{}
	size := 0
	for i, o := range sources {
		size += len(o.Value)
		batch := &messenger.BillBatch{}
		if (size > compactBytes && i > 0) || proto.Unmarshal(o.Value, batch) != nil {
			return merged, i
		}
		merged.Bills = append(merged.Bills, batch.Bills...)
	}
	return merged, len(sources)
}
