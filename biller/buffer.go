package biller

import (
	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// buffer holds the bills that are not yet written to the platform, and the
// copies kept for other hosts. It does no I/O and is not safe for concurrent use.
type buffer struct {
	incarnation string
	// pending are the own bills; the first has the sequence first.
	pending []*messenger.Bill
	first   int64
	// copied is the sequence up to which bills are with a second host.
	copied int64
	// batch is the number of the next batch; sealed is how many pending bills
	// it holds, 0 while it is open.
	batch  int64
	sealed int
	held   map[string]*held
	copies int
}

// held are the copies of one incarnation's bills.
type held struct {
	bills []numbered
	// since is when the oldest of the copies arrived, heard when the latest news did.
	since clocker.Millis
	heard clocker.Millis
}

type numbered struct {
	sequence int64
	bill     *messenger.Bill
}

func newBuffer(incarnation string) *buffer {
	return &buffer{incarnation: incarnation, first: 1, held: map[string]*held{}}
}

// add appends a bill and returns its sequence.
func (b *buffer) add(bill *messenger.Bill) int64 {
	b.pending = append(b.pending, bill)
	return b.last()
}

func (b *buffer) last() int64 {
	return b.first + int64(len(b.pending)) - 1
}

// safe reports whether the bill is with a second host or written.
func (b *buffer) safe(sequence int64) bool {
	return sequence <= b.copied || sequence < b.first
}

// uncopied returns the next bills to copy, at most limit, as a copy batch. The
// batch is empty if all are copied.
func (b *buffer) uncopied(limit int) *messenger.BillBatch {
	from := max(b.copied+1, b.first)
	at := int(from - b.first)
	to := min(len(b.pending), at+limit)
	return &messenger.BillBatch{
		Incarnation:    b.incarnation,
		Sequence:       from,
		Bills:          append([]*messenger.Bill(nil), b.pending[at:to]...),
		WrittenThrough: b.first - 1,
	}
}

// copiedTo notes that a second host has the bills of a copy batch.
func (b *buffer) copiedTo(batch *messenger.BillBatch) {
	b.copied = max(b.copied, batch.Sequence+int64(len(batch.Bills))-1)
}

// seal fixes the content of the next batch, so that each try to write it
// writes the same. It returns nil if nothing is pending.
func (b *buffer) seal(limit int) *messenger.BillBatch {
	if b.sealed == 0 {
		b.sealed = min(len(b.pending), limit)
	}
	if b.sealed == 0 {
		return nil
	}
	return &messenger.BillBatch{
		Incarnation: b.incarnation,
		Sequence:    b.batch,
		Bills:       append([]*messenger.Bill(nil), b.pending[:b.sealed]...),
	}
}

// written drops the sealed batch.
func (b *buffer) written() {
	clear(b.pending[:b.sealed])
	b.pending = b.pending[b.sealed:]
	b.first += int64(b.sealed)
	b.skip()
}

// skip gives the pending bills another batch number.
func (b *buffer) skip() {
	b.sealed = 0
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
	if len(h.bills) == 0 {
		h.since = now
	}
	for i, bill := range batch.Bills {
		h.bills = append(h.bills, numbered{sequence: batch.Sequence + int64(i), bill: bill})
	}
	b.copies += len(batch.Bills)
	if len(h.bills) == 0 {
		delete(b.held, batch.Incarnation)
	}
	return true
}

// drop forgets the copies that their origin wrote itself. Copies arrive in the
// order of their sequences, so that only the first ones are looked at.
func (b *buffer) drop(h *held, writtenThrough int64) {
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
		for _, copied := range h.bills {
			b.add(copied.bill)
		}
		n += len(h.bills)
		b.copies -= len(h.bills)
		delete(b.held, origin)
	}
	return n
}

// bills returns everything that is buffered.
func (b *buffer) bills() []*messenger.Bill {
	bills := append([]*messenger.Bill(nil), b.pending...)
	for _, h := range b.held {
		for _, n := range h.bills {
			bills = append(bills, n.bill)
		}
	}
	return bills
}
