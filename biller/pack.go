package biller

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	"cowsliphinge/messenger"
)

// pack is a batch of bills in compressed form.
type pack struct {
	// first and last are the sequences of its first and last bill.
	first, last int64
	bills       int
	value       []byte
}

// writers are reused, because each takes much memory.
var writers = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(io.Discard, flate.BestSpeed)
	return w
}}

func newPack(batch *messenger.BillBatch, first, last int64) pack {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(batch)
	if err != nil {
		// Strings of bills are checked when they are taken.
		panic(err)
	}
	var value bytes.Buffer
	w := writers.Get().(*flate.Writer)
	w.Reset(&value)
	_, _ = w.Write(encoded)
	_ = w.Close()
	writers.Put(w)
	return pack{first: first, last: last, bills: len(batch.Bills), value: bytes.Clone(value.Bytes())}
}

// batch returns the batch as it was packed.
func (p pack) batch() *messenger.BillBatch {
	encoded, err := io.ReadAll(flate.NewReader(bytes.NewReader(p.value)))
	batch := &messenger.BillBatch{}
	if err == nil {
		err = proto.Unmarshal(encoded, batch)
	}
	if err != nil {
		// The value never left this process.
		panic(err)
	}
	return batch
}
