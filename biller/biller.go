package biller

import (
	"context"
	"log/slog"
	"sync"
	"unicode/utf8"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"
	"google.golang.org/protobuf/proto"

	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
	"cowsliphinge/messenger"
	"cowsliphinge/storer"
)

const (
	// defaultWriteInterval is the time between two rounds of writing batches, in
	// milliseconds.
	defaultWriteInterval = 30 * clocker.Second
	// defaultTakeoverTimeout is how long an origin must be silent before this host
	// takes over its copies, in milliseconds.
	defaultTakeoverTimeout = 30 * clocker.Second
	// defaultMaxUnwritten is the number of unwritten bills at which new requests
	// must be refused. The buffer accepts inFlightMargin more, for the requests in
	// flight at that time.
	defaultMaxUnwritten = 500_000
	inFlightMargin      = 50_000
	// maxCopyAge is how long a copy is kept without a report that it was written,
	// in milliseconds. After that this host writes it itself.
	maxCopyAge = 10 * clocker.Minute
	// defaultMaxBatchBills is the maximum number of bills in a batch and in a copy.
	defaultMaxBatchBills = 2_000
	// copyTimeout limits one copy call, in milliseconds.
	copyTimeout = 300 * clocker.Millis(1)
	// maxCopyAttempts is the number of peers tried before the platform.
	maxCopyAttempts = 3
	// minWriteInterval is the minimum time between two rounds of writing, in
	// milliseconds. It leaves platform calls to the budgets of a host that has no
	// peer for copies.
	minWriteInterval = 200 * clocker.Millis(1)
	// retryInterval is the time between failed attempts, in milliseconds.
	retryInterval = 250 * clocker.Millis(1)
	// failedPeerBackoff is how long no copies are sent to a peer that failed, in
	// milliseconds.
	failedPeerBackoff = clocker.Second
)

var (
	billsRecorded  = metrics.GetOrCreateCounter(`cowsliphinge_bills_total{event="recorded"}`)
	billsRefused   = metrics.GetOrCreateCounter(`cowsliphinge_bills_total{event="refused_full"}`)
	billsNotCopied = metrics.GetOrCreateCounter(`cowsliphinge_bills_total{event="not_copied_in_time"}`)
	billsCopied    = metrics.GetOrCreateCounter(`cowsliphinge_bills_total{event="copied"}`)
	copiesReceived = metrics.GetOrCreateCounter(`cowsliphinge_bills_total{event="held_for_peer"}`)
	copiesRefused  = metrics.GetOrCreateCounter(`cowsliphinge_bills_total{event="held_refused_full"}`)
	billsAdopted   = metrics.GetOrCreateCounter(`cowsliphinge_bills_total{event="adopted"}`)
	billsWritten   = metrics.GetOrCreateCounter(`cowsliphinge_bills_total{event="written"}`)
	copyFailures   = metrics.GetOrCreateCounter(`cowsliphinge_bill_retries_total{reason="copy_failed"}`)
	billsPending   = metrics.GetOrCreateGauge(`cowsliphinge_bills_pending`, nil)
	copiesHeld     = metrics.GetOrCreateGauge(`cowsliphinge_bill_copies_held`, nil)
	compactions    = metrics.GetOrCreateCounter(`cowsliphinge_bills_total{event="batches_compacted"}`)
	writeFailures  = metrics.GetOrCreateCounter(`cowsliphinge_bill_retries_total{reason="write_failed"}`)
)

// Store is the part of the Object API that the Biller uses.
type Store interface {
	Get(ctx context.Context, key string) (storer.Object, error)
	List(ctx context.Context, prefix, after string, limit int) ([]storer.Object, error)
	Create(ctx context.Context, key string, value []byte) (storer.Object, error)
	Delete(ctx context.Context, key string, version int64) error
}

// Exchange copies bills to other routers.
type Exchange interface {
	CopyBills(ctx context.Context, address string, batch *messenger.BillBatch) (*messenger.CopyReply, error)
}

// Config configures a Biller.
type Config struct {
	Incarnation      string
	Host             string
	AvailabilityZone string
	Clock            *clocker.Clock
	Store            Store
	Exchange         Exchange
	Peers            func() []heartbeater.Peer
	// WriteInterval and TakeoverTimeout are in milliseconds; 0 means 30 s.
	WriteInterval   clocker.Millis
	TakeoverTimeout clocker.Millis
	// MaxUnwritten is the number of unwritten bills from which HasCapacity reports false,
	// and the maximum number of copies held for other hosts; 0 means 500,000.
	MaxUnwritten int
	// MaxBatchBills is the maximum number of bills in a batch and in a copy; 0
	// means 2,000.
	MaxBatchBills int
	// CompactionBatches is the number of own batches that one compaction replaces;
	// 0 means 50.
	CompactionBatches int
}

// Biller records the bills of one incarnation. It does the I/O, locking and
// background tasks around the buffer, which is pure logic.
type Biller struct {
	cfg    Config
	cancel context.CancelFunc
	tasks  errgroup.Group
	// copyWake and writeWake wake copyLoop and writeLoop.
	copyWake  chan struct{}
	writeWake chan struct{}
	// sumCalls lets concurrent callers share one read of all bills.
	sumCalls singleflight.Group
	// addToSet merges bills into a set. Tests replace it.
	addToSet func(Set, ...*messenger.Bill)
	// smallBatches is the number of own batches that are not compacted,
	// nextCompacted the number of the next compacted batch. Only one goroutine at a
	// time uses them.
	smallBatches  int
	nextCompacted int64
	// inFlightMargin is how many bills are accepted above MaxUnwritten.
	inFlightMargin int

	mu       sync.Mutex
	buffer   *buffer
	progress chan struct{}
	// holders are the addresses of the peers that hold copies.
	holders    map[string]bool
	avoidUntil map[string]clocker.Millis
}

// New returns a Biller that copies and writes bills in the background until Close
// is called.
func New(ctx context.Context, cfg Config) *Biller {
	if cfg.WriteInterval == 0 {
		cfg.WriteInterval = defaultWriteInterval
	}
	if cfg.TakeoverTimeout == 0 {
		cfg.TakeoverTimeout = defaultTakeoverTimeout
	}
	if cfg.MaxUnwritten == 0 {
		cfg.MaxUnwritten = defaultMaxUnwritten
	}
	if cfg.MaxBatchBills == 0 {
		cfg.MaxBatchBills = defaultMaxBatchBills
	}
	if cfg.CompactionBatches == 0 {
		cfg.CompactionBatches = defaultCompactionBatches
	}
	ctx, cancel := context.WithCancel(ctx)
	b := &Biller{
		cfg:            cfg,
		cancel:         cancel,
		copyWake:       make(chan struct{}, 1),
		writeWake:      make(chan struct{}, 1),
		addToSet:       Set.Add,
		inFlightMargin: inFlightMargin,
		buffer:         newBuffer(cfg.Incarnation, cfg.MaxBatchBills),
		progress:       make(chan struct{}),
		holders:        map[string]bool{},
		avoidUntil:     map[string]clocker.Millis{},
	}
	b.tasks.Go(func() error {
		b.copyLoop(ctx)
		return nil
	})
	b.tasks.Go(func() error {
		b.writeLoop(ctx)
		return nil
	})
	return b
}

// Close writes all own bills and all copies held for other hosts. If ctx ends
// first, it returns an error with the number of bills that are not written.
func (b *Biller) Close(ctx context.Context) error {
	b.cancel()
	_ = b.tasks.Wait()
	b.takeOver(func(string, *originCopies) bool { return true })
	for {
		if b.writePending(ctx) {
			b.reportWritten(ctx)
			b.compact(ctx, 2)
			return nil
		}
		if err := b.cfg.Clock.Sleep(ctx, retryInterval); err != nil {
			return trace.Wrap(err, "%d bills are not written", b.Pending())
		}
	}
}

// Record buffers a bill until it is written to the platform. It returns nil once
// the bill is copied to a second host or written. After ErrNotCopied the bill is
// still buffered and will be written; after ErrFull or ErrInvalidBill it is not.
func (b *Biller) Record(ctx context.Context, bill *messenger.Bill) error {
	if err := validate(bill); err != nil {
		return err
	}
	b.mu.Lock()
	if n := b.buffer.unwrittenCount(); n >= b.cfg.MaxUnwritten+b.inFlightMargin {
		b.mu.Unlock()
		billsRefused.Inc()
		return ErrFull{Pending: n}
	}
	sequence := b.buffer.add(proto.CloneOf(bill))
	halfFull := b.buffer.unwrittenCount() >= b.cfg.MaxUnwritten/2
	b.mu.Unlock()
	billsRecorded.Inc()
	if halfFull {
		wake(b.writeWake)
	}
	wake(b.copyWake)
	for {
		b.mu.Lock()
		durable := b.buffer.durable(sequence)
		progress := b.progress
		b.mu.Unlock()
		if durable {
			return nil
		}
		select {
		case <-progress:
		case <-ctx.Done():
			billsNotCopied.Inc()
			return ErrNotCopied{RequestID: bill.RequestId}
		}
	}
}

// HasCapacity reports whether there is capacity for the bills of new requests. While it is
// false, requests must be refused before dispatch.
func (b *Biller) HasCapacity() bool {
	return b.Pending() < b.cfg.MaxUnwritten
}

// Pending returns the number of own bills that are not yet written.
func (b *Biller) Pending() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.unwrittenCount()
}

// CopyBills holds copies of another host's bills until that host has written them.
func (b *Biller) CopyBills(_ context.Context, batch *messenger.BillBatch) (*messenger.CopyReply, error) {
	if batch.Incarnation == "" || batch.Incarnation == b.cfg.Incarnation {
		return nil, ErrInvalidBill{Field: "Incarnation"}
	}
	for _, bill := range batch.Bills {
		if err := validate(bill); err != nil {
			return nil, err
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.buffer.addCopies(batch, b.cfg.Clock.Now(), b.cfg.MaxUnwritten) {
		copiesRefused.Inc()
		return nil, ErrFull{Pending: b.buffer.copyCount}
	}
	copiesReceived.Add(len(batch.Bills))
	return &messenger.CopyReply{Count: int64(len(batch.Bills))}, nil
}

// takeOver turns the orphaned copies into own bills.
func (b *Biller) takeOver(orphaned func(origin string, h *originCopies) bool) {
	b.mu.Lock()
	n := b.buffer.adoptCopies(orphaned)
	b.mu.Unlock()
	if n == 0 {
		return
	}
	billsAdopted.Add(n)
	slog.Info("bills taken over", "count", n)
	wake(b.copyWake)
}

// orphaned returns a function that reports whether copies must be taken over: their
// origin is silent or was replaced, or they are older than maxCopyAge. The origin
// may still run, for example after a pause, and write the same bills; each of them
// counts once.
func (b *Biller) orphaned(now clocker.Millis) func(origin string, h *originCopies) bool {
	alive := map[string]bool{}
	for _, p := range b.cfg.Peers() {
		alive[p.Incarnation] = !p.Suspect
	}
	return func(origin string, h *originCopies) bool {
		silent := !alive[origin] && now-h.lastHeard >= b.cfg.TakeoverTimeout
		return silent || now-h.oldestAt >= maxCopyAge
	}
}

func (b *Biller) signalProgress() {
	close(b.progress)
	b.progress = make(chan struct{})
}

func validate(bill *messenger.Bill) error {
	switch {
	case bill.GetClientAccount() == "":
		return ErrInvalidBill{Field: "ClientAccount"}
	case bill.RequestId == "":
		return ErrInvalidBill{Field: "RequestId"}
	case bill.Tokens < 0:
		return ErrInvalidBill{Field: "Tokens"}
	}
	for _, name := range []string{bill.ClientAccount, bill.RequestId, bill.Budget, bill.Service, bill.Incarnation} {
		if !utf8.ValidString(name) {
			return ErrInvalidBill{Field: "name in UTF-8"}
		}
	}
	return nil
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
