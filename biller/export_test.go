package biller

import (
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
