package biller

import (
	"context"
	"fmt"

	"cowsliphinge/messenger"
)

// SumWithoutMerge makes b count each written bill, a fault.
func (b *Biller) SumWithoutMerge() {
	b.collect = func(s Set, bills ...*messenger.Bill) {
		for _, bill := range bills {
			s[Key{RequestID: fmt.Sprint(len(s))}] = bill
		}
	}
}

// SetMargin sets how many bills are kept above the limit.
func SetInFlightMargin(b *Biller, n int) {
	b.margin = n
}

// Write writes all batches, one of each bill if they were recorded one by one.
func Write(ctx context.Context, b *Biller) bool {
	return b.write(ctx)
}

// Compact compacts all batches of b.
func Compact(ctx context.Context, b *Biller) {
	b.compact(ctx, 1)
}
