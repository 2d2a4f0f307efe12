package biller

import (
	"context"
	"fmt"

	"cowsliphinge/messenger"
)

// SumWithoutMerge injects a fault: b counts each written bill instead of merging
// the bills of a request.
func (b *Biller) SumWithoutMerge() {
	b.addToSet = func(s Set, bills ...*messenger.Bill) {
		for _, bill := range bills {
			s[Key{RequestID: fmt.Sprint(len(s))}] = bill
		}
	}
}

// SetInFlightMargin sets how many bills are accepted above MaxUnwritten.
func SetInFlightMargin(b *Biller, n int) {
	b.inFlightMargin = n
}

// Write writes all pending bills of b. It reports whether all are written.
func Write(ctx context.Context, b *Biller) bool {
	return b.writePending(ctx)
}

// Compact compacts the small batches of b, however few there are.
func Compact(ctx context.Context, b *Biller) {
	b.compact(ctx, 1)
}
