package biller

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	"cowsliphinge/messenger"
)

// packedBatch is a compressed batch of bills.
type packedBatch struct {
	// first and last are the sequence numbers of its first and last bill.
	first, last int64
	count       int
	compressed  []byte
}

// compressors are reused because each allocates much memory.
var compressors = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(io.Discard, flate.BestSpeed)
	return w
}}

func newPackedBatch(batch *messenger.BillBatch, first, last int64) packedBatch {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(batch)
	if err != nil {
		// Record and CopyBills check that all strings are valid UTF-8.
		panic(err)
	}
	var value bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	w.Reset(&value)
	_, _ = w.Write(encoded)
	_ = w.Close()
	compressors.Put(w)
	return packedBatch{first: first, last: last, count: len(batch.Bills), compressed: bytes.Clone(value.Bytes())}
}

// unpack returns the batch as it was packed.
func (p packedBatch) unpack() *messenger.BillBatch {
	encoded, err := io.ReadAll(flate.NewReader(bytes.NewReader(p.compressed)))
	batch := &messenger.BillBatch{}
	if err == nil {
		err = proto.Unmarshal(encoded, batch)
	}
	if err != nil {
		// The compressed bytes never leave this process, so they are always valid.
		panic(err)
	}
	return batch
}
