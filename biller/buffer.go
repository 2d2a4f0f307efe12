package biller

import (
	"slices"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// buffer holds the own bills that are not yet written to the platform, and the
// copies held for other hosts. Full batches are compressed so that the bills of an
// outage of hours fit into memory. It does no I/O and is not safe for concurrent
// use.
type buffer struct {
	incarnation string
	// maxBatchBills is the number of bills that are packed together.
	maxBatchBills int
	// writtenThrough is the sequence number up to which own bills are written,
	// copiedThrough the one up to which a second host has them.
	writtenThrough int64
	copiedThrough  int64
	// packed holds the oldest own bills, each element one batch to write. pending
	// holds the later ones; firstPending is the sequence number of the first of
	// them.
	packed       []packedBatch
	pending      []*messenger.Bill
	firstPending int64
	// nextBatch is the number of the next batch.
	nextBatch      int64
	copiesByOrigin map[string]*originCopies
	copyCount      int
}

// originCopies holds the copies of one incarnation's bills.
type originCopies struct {
	packed   []packedBatch
	unpacked []numberedBill
	// oldestAt is when the oldest of the copies arrived, lastHeard when the last
	// call of the origin arrived.
	oldestAt  clocker.Millis
	lastHeard clocker.Millis
}

type numberedBill struct {
	sequence int64
	bill     *messenger.Bill
}

func newBuffer(incarnation string, maxBatchBills int) *buffer {
	return &buffer{incarnation: incarnation, maxBatchBills: maxBatchBills, firstPending: 1, copiesByOrigin: map[string]*originCopies{}}
}

// add appends a bill and returns its sequence number.
func (b *buffer) add(bill *messenger.Bill) int64 {
	b.pending = append(b.pending, bill)
	sequence := b.lastSequence()
	if len(b.pending) >= 2*b.maxBatchBills {
		b.packOldest()
	}
	return sequence
}

func (b *buffer) lastSequence() int64 {
	return b.firstPending + int64(len(b.pending)) - 1
}

// unwrittenCount returns the number of own bills that are buffered.
func (b *buffer) unwrittenCount() int {
	return int(b.lastSequence() - b.writtenThrough)
}

// packOldest packs the oldest pending bills as the next batch. From then on the
// content of the batch is fixed: each attempt writes the same value.
func (b *buffer) packOldest() {
	n := min(len(b.pending), b.maxBatchBills)
	if n == 0 {
		return
	}
	b.packed = append(b.packed, newPackedBatch(&messenger.BillBatch{
		Incarnation: b.incarnation,
		Sequence:    b.nextBatch,
		Bills:       b.pending[:n],
	}, b.firstPending, b.firstPending+int64(n)-1))
	clear(b.pending[:n])
	b.pending = b.pending[n:]
	b.firstPending += int64(n)
	b.nextBatch++
}

// durable reports whether the bill is copied to a second host or written.
func (b *buffer) durable(sequence int64) bool {
	return sequence <= b.copiedThrough || sequence <= b.writtenThrough
}

// nextCopyBatch returns the next bills to copy. It has no bills if all are copied.
func (b *buffer) nextCopyBatch() *messenger.BillBatch {
	batch := &messenger.BillBatch{Incarnation: b.incarnation, WrittenThrough: b.writtenThrough}
	for _, p := range b.packed {
		if p.last > b.copiedThrough {
			batch.Sequence = p.first
			batch.Bills = p.unpack().Bills
			return batch
		}
	}
	batch.Sequence = max(b.copiedThrough+1, b.firstPending)
	at := int(batch.Sequence - b.firstPending)
	batch.Bills = slices.Clone(b.pending[at:min(len(b.pending), at+b.maxBatchBills)])
	return batch
}

// markCopied records that a second host has the bills of a copy batch.
func (b *buffer) markCopied(batch *messenger.BillBatch) {
	b.copiedThrough = max(b.copiedThrough, batch.Sequence+int64(len(batch.Bills))-1)
}

// nextWriteBatch returns the batch to write next, or nil if nothing is buffered.
func (b *buffer) nextWriteBatch() *messenger.BillBatch {
	if len(b.packed) == 0 {
		b.packOldest()
	}
	if len(b.packed) == 0 {
		return nil
	}
	return b.packed[0].unpack()
}

// markWritten removes the batch that nextWriteBatch returned.
func (b *buffer) markWritten() {
	b.writtenThrough = b.packed[0].last
	b.packed = slices.Delete(b.packed, 0, 1)
}

// renumberNext gives the batch to write next another number.
func (b *buffer) renumberNext() {
	batch := b.packed[0].unpack()
	batch.Sequence = b.nextBatch
	b.packed[0] = newPackedBatch(batch, b.packed[0].first, b.packed[0].last)
	b.nextBatch++
}

// addCopies adds copies of another incarnation's bills. If there would be more than
// limit copies, it reports false and adds none.
func (b *buffer) addCopies(batch *messenger.BillBatch, now clocker.Millis, limit int) bool {
	if len(batch.Bills) > 0 && b.copyCount+len(batch.Bills) > limit {
		return false
	}
	h := b.copiesByOrigin[batch.Incarnation]
	if h == nil {
		h = &originCopies{}
		b.copiesByOrigin[batch.Incarnation] = h
	}
	h.lastHeard = now
	b.dropWritten(h, batch.WrittenThrough)
	if len(h.unpacked)+len(h.packed) == 0 {
		h.oldestAt = now
	}
	for i, bill := range batch.Bills {
		h.unpacked = append(h.unpacked, numberedBill{sequence: batch.Sequence + int64(i), bill: bill})
	}
	b.copyCount += len(batch.Bills)
	if len(h.unpacked) >= 2*b.maxBatchBills {
		h.packAll(batch.Incarnation)
	}
	if len(h.unpacked)+len(h.packed) == 0 {
		delete(b.copiesByOrigin, batch.Incarnation)
	}
	return true
}

// packAll packs all copies that are not yet packed.
func (h *originCopies) packAll(origin string) {
	batch := &messenger.BillBatch{Incarnation: origin}
	first, last := h.unpacked[0].sequence, h.unpacked[0].sequence
	for _, n := range h.unpacked {
		batch.Bills = append(batch.Bills, n.bill)
		first, last = min(first, n.sequence), max(last, n.sequence)
	}
	h.packed = append(h.packed, newPackedBatch(batch, first, last))
	clear(h.unpacked)
	h.unpacked = h.unpacked[:0]
}

// allBills returns all copies.
func (h *originCopies) allBills() []*messenger.Bill {
	var bills []*messenger.Bill
	for _, p := range h.packed {
		bills = append(bills, p.unpack().Bills...)
	}
	for _, n := range h.unpacked {
		bills = append(bills, n.bill)
	}
	return bills
}

// dropWritten removes the copies of bills that the origin has written itself.
// Unpacked copies arrive in the order of their sequence numbers, so only the first
// ones are checked.
func (b *buffer) dropWritten(h *originCopies, writtenThrough int64) {
	h.packed = slices.DeleteFunc(h.packed, func(p packedBatch) bool {
		written := p.last <= writtenThrough
		if written {
			b.copyCount -= p.count
		}
		return written
	})
	n := 0
	for n < len(h.unpacked) && h.unpacked[n].sequence <= writtenThrough {
		n++
	}
	clear(h.unpacked[:n])
	h.unpacked = h.unpacked[n:]
	b.copyCount -= n
}

// adoptCopies turns all orphaned copies into own bills, which are copied to another
// host and written like other own bills. It returns their number.
func (b *buffer) adoptCopies(orphaned func(origin string, h *originCopies) bool) int {
	n := 0
	for origin, h := range b.copiesByOrigin {
		if !orphaned(origin, h) {
			continue
		}
		bills := h.allBills()
		for _, bill := range bills {
			b.add(bill)
		}
		n += len(bills)
		b.copyCount -= len(bills)
		delete(b.copiesByOrigin, origin)
	}
	return n
}

// allBills returns all buffered own bills and copies.
func (b *buffer) allBills() []*messenger.Bill {
	bills := slices.Clone(b.pending)
	for _, p := range b.packed {
		bills = append(bills, p.unpack().Bills...)
	}
	for _, h := range b.copiesByOrigin {
		bills = append(bills, h.allBills()...)
	}
	return bills
}
