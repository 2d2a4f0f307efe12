package biller

import (
	"slices"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// buffer holds the bills that are not yet written to the platform, and the
// copies kept for other hosts. Full batches are packed, so that an outage of
// hours fits into memory. It does no I/O and is not safe for concurrent use.
type buffer struct {
	incarnation string
	// batchBills is the number of bills that are packed together.
	batchBills int
	// through is the sequence up to which own bills are written, copied the one
	// up to which they are with a second host.
	through int64
	copied  int64
	// packs are the oldest own bills, each one batch to write; pending are the
	// later ones, of which the first has the sequence first.
	packs   []pack
	pending []*messenger.Bill
	first   int64
	// batch is the number of the next batch.
	batch  int64
	held   map[string]*held
	copies int
}

// held are the copies of one incarnation's bills.
type held struct {
	packs []pack
	bills []numbered
	// since is when the oldest of the copies arrived, heard when the latest news did.
	since clocker.Millis
	heard clocker.Millis
}

type numbered struct {
	sequence int64
	bill     *messenger.Bill
}

func newBuffer(incarnation string, batchBills int) *buffer {
	return &buffer{incarnation: incarnation, batchBills: batchBills, first: 1, held: map[string]*held{}}
}

// add appends a bill and returns its sequence.
func (b *buffer) add(bill *messenger.Bill) int64 {
	b.pending = append(b.pending, bill)
	sequence := b.last()
	if len(b.pending) >= 2*b.batchBills {
		b.pack()
	}
	return sequence
}

func (b *buffer) last() int64 {
	return b.first + int64(len(b.pending)) - 1
}

// unwritten returns how many own bills are buffered.
func (b *buffer) unwritten() int {
	return int(b.last() - b.through)
}

// pack packs the oldest pending bills as the next batch, whose content is then
// fixed: each try to write it writes the same.
func (b *buffer) pack() {
	n := min(len(b.pending), b.batchBills)
	if n == 0 {
		return
	}
	b.packs = append(b.packs, newPack(&messenger.BillBatch{
		Incarnation: b.incarnation,
		Sequence:    b.batch,
		Bills:       b.pending[:n],
	}, b.first, b.first+int64(n)-1))
	clear(b.pending[:n])
	b.pending = b.pending[n:]
	b.first += int64(n)
	b.batch++
}

// safe reports whether the bill is with a second host or written.
func (b *buffer) safe(sequence int64) bool {
	return sequence <= b.copied || sequence <= b.through
}

// uncopied returns the next bills to copy as a copy batch, empty if all are copied.
func (b *buffer) uncopied() *messenger.BillBatch {
	batch := &messenger.BillBatch{Incarnation: b.incarnation, WrittenThrough: b.through}
	for _, p := range b.packs {
		if p.last > b.copied {
			batch.Sequence = p.first
			batch.Bills = p.batch().Bills
			return batch
		}
	}
	batch.Sequence = max(b.copied+1, b.first)
	at := int(batch.Sequence - b.first)
	batch.Bills = slices.Clone(b.pending[at:min(len(b.pending), at+b.batchBills)])
	return batch
}

// copiedTo notes that a second host has the bills of a copy batch.
func (b *buffer) copiedTo(batch *messenger.BillBatch) {
	b.copied = max(b.copied, batch.Sequence+int64(len(batch.Bills))-1)
}

// next returns the batch to write next, or nil if nothing is buffered.
func (b *buffer) next() *messenger.BillBatch {
	if len(b.packs) == 0 {
		b.pack()
	}
	if len(b.packs) == 0 {
		return nil
	}
	return b.packs[0].batch()
}

// written drops the batch that was to be written next.
func (b *buffer) written() {
	b.through = b.packs[0].last
	b.packs = slices.Delete(b.packs, 0, 1)
}

// renumber gives the batch that is to be written next another number.
func (b *buffer) renumber() {
	batch := b.packs[0].batch()
	batch.Sequence = b.batch
	b.packs[0] = newPack(batch, b.packs[0].first, b.packs[0].last)
	b.batch++
}

// hold keeps the copies of another incarnation's bills. It reports false, and
// keeps none, if they would be more than limit.
func (b *buffer) hold(batch *messenger.BillBatch, now clocker.Millis, limit int) bool {
	if len(batch.Bills) > 0 && b.copies+len(batch.Bills) > limit {
		return false
	}
	h := b.held[batch.Incarnation]
	if h == nil {
		h = &held{}
		b.held[batch.Incarnation] = h
	}
	h.heard = now
	b.drop(h, batch.WrittenThrough)
	if len(h.bills)+len(h.packs) == 0 {
		h.since = now
	}
	for i, bill := range batch.Bills {
		h.bills = append(h.bills, numbered{sequence: batch.Sequence + int64(i), bill: bill})
	}
	b.copies += len(batch.Bills)
	if len(h.bills) >= 2*b.batchBills {
		h.pack(batch.Incarnation)
	}
	if len(h.bills)+len(h.packs) == 0 {
		delete(b.held, batch.Incarnation)
	}
	return true
}

// pack packs all copies that are not yet packed.
func (h *held) pack(origin string) {
	batch := &messenger.BillBatch{Incarnation: origin}
	first, last := h.bills[0].sequence, h.bills[0].sequence
	for _, n := range h.bills {
		batch.Bills = append(batch.Bills, n.bill)
		first, last = min(first, n.sequence), max(last, n.sequence)
	}
	h.packs = append(h.packs, newPack(batch, first, last))
	clear(h.bills)
	h.bills = h.bills[:0]
}

// all returns the copies.
func (h *held) all() []*messenger.Bill {
	var bills []*messenger.Bill
	for _, p := range h.packs {
		bills = append(bills, p.batch().Bills...)
	}
	for _, n := range h.bills {
		bills = append(bills, n.bill)
	}
	return bills
}

// drop forgets the copies that their origin wrote itself. Copies arrive in the
// order of their sequences, so that only the first ones are looked at.
func (b *buffer) drop(h *held, writtenThrough int64) {
	h.packs = slices.DeleteFunc(h.packs, func(p pack) bool {
		written := p.last <= writtenThrough
		if written {
			b.copies -= p.bills
		}
		return written
	})
	n := 0
	for n < len(h.bills) && h.bills[n].sequence <= writtenThrough {
		n++
	}
	clear(h.bills[:n])
	h.bills = h.bills[n:]
	b.copies -= n
}

// adopt makes own bills of the copies of each origin that gone reports, and
// returns how many. They are copied to another host and written like own ones.
func (b *buffer) adopt(gone func(origin string, h *held) bool) int {
	n := 0
	for origin, h := range b.held {
		if !gone(origin, h) {
			continue
		}
		bills := h.all()
		for _, bill := range bills {
			b.add(bill)
		}
		n += len(bills)
		b.copies -= len(bills)
		delete(b.held, origin)
	}
	return n
}

// bills returns everything that is buffered.
func (b *buffer) bills() []*messenger.Bill {
	bills := slices.Clone(b.pending)
	for _, p := range b.packs {
		bills = append(bills, p.batch().Bills...)
	}
	for _, h := range b.held {
		bills = append(bills, h.all()...)
	}
	return bills
}
