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
	// defaultWriteEvery is the time between batches, in milliseconds.
	defaultWriteEvery = 30 * clocker.Second
	// defaultTakeoverAfter is how long an origin is silent before its copies
	// are written here, in milliseconds.
	defaultTakeoverAfter = 30 * clocker.Second
	// defaultLimit is the number of unwritten bills from which on requests
	// are to be refused; limitMargin more are kept, of requests in flight then.
	defaultLimit = 500_000
	limitMargin  = 50_000
	// maxHold is the longest time that a copy is kept without news of being
	// written, in milliseconds.
	maxHold = 10 * clocker.Minute
	// defaultBatchBills bounds a batch and a copy.
	defaultBatchBills = 2_000
	// copyTimeout bounds one copy, in milliseconds.
	copyTimeout = 300 * clocker.Millis(1)
	// copyTries is the number of peers tried before the platform is.
	copyTries = 3
	// writePause is the least time between two rounds of writing, in milliseconds,
	// so that a host without a second one leaves platform calls to its budgets.
	writePause = 200 * clocker.Millis(1)
	// retryEvery is the time between failed tries, in milliseconds.
	retryEvery = 250 * clocker.Millis(1)
	// avoidFor is how long a peer that failed is left out, in milliseconds.
	avoidFor = clocker.Second
)

var (
	recorded     = metrics.GetOrCreateCounter(`cowsliphinge_bills_total{event="recorded"}`)
	refusedFull  = metrics.GetOrCreateCounter(`cowsliphinge_bills_total{event="refused_full"}`)
	notCopied    = metrics.GetOrCreateCounter(`cowsliphinge_bills_total{event="not_copied_in_time"}`)
	billsCopied  = metrics.GetOrCreateCounter(`cowsliphinge_bills_total{event="copied"}`)
	billsHeld    = metrics.GetOrCreateCounter(`cowsliphinge_bills_total{event="held_for_peer"}`)
	heldFull     = metrics.GetOrCreateCounter(`cowsliphinge_bills_total{event="held_refused_full"}`)
	adopted      = metrics.GetOrCreateCounter(`cowsliphinge_bills_total{event="adopted"}`)
	written      = metrics.GetOrCreateCounter(`cowsliphinge_bills_total{event="written"}`)
	copyFailed   = metrics.GetOrCreateCounter(`cowsliphinge_bill_retries_total{reason="copy_failed"}`)
	billsPending = metrics.GetOrCreateGauge(`cowsliphinge_bills_pending`, nil)
	copiesHeld   = metrics.GetOrCreateGauge(`cowsliphinge_bill_copies_held`, nil)
	compactions  = metrics.GetOrCreateCounter(`cowsliphinge_bills_total{event="batches_compacted"}`)
	writeFailed  = metrics.GetOrCreateCounter(`cowsliphinge_bill_retries_total{reason="write_failed"}`)
)

// Store is the part of the Object API that bills need.
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
	// WriteEvery and TakeoverAfter are in milliseconds; 0 means 30 s.
	WriteEvery    clocker.Millis
	TakeoverAfter clocker.Millis
	// Limit is the number of unwritten bills from which on HasCapacity reports
	// false; 0 means 500,000.
	Limit int
	// BatchBills bounds a batch and a copy; 0 means 2,000.
	BatchBills int
	// CompactAfter is the number of own batches that are compacted together; 0
	// means 50.
	CompactAfter int
}

// Biller is the shell around the bills of one incarnation.
type Biller struct {
	cfg    Config
	cancel context.CancelFunc
	duties errgroup.Group
	// copyNow and writeNow wake their duties.
	copyNow  chan struct{}
	writeNow chan struct{}
	// passes shares the reading of all bills between callers.
	passes singleflight.Group
	// collect merges bills into a sum.
	collect func(Set, ...*messenger.Bill)
	// smallBatches is how many own batches are not compacted, compacted the
	// number of the next compacted one. One goroutine at a time uses them.
	smallBatches int
	compacted    int64
	// margin is how many bills are kept above the limit.
	margin int

	mu      sync.Mutex
	buffer  *buffer
	changed chan struct{}
	// holders are the peers that hold copies, by address.
	holders map[string]bool
	avoid   map[string]clocker.Millis
}

// New returns a biller that copies and writes bills until Close.
func New(ctx context.Context, cfg Config) *Biller {
	if cfg.WriteEvery == 0 {
		cfg.WriteEvery = defaultWriteEvery
	}
	if cfg.TakeoverAfter == 0 {
		cfg.TakeoverAfter = defaultTakeoverAfter
	}
	if cfg.Limit == 0 {
		cfg.Limit = defaultLimit
	}
	if cfg.BatchBills == 0 {
		cfg.BatchBills = defaultBatchBills
	}
	if cfg.CompactAfter == 0 {
		cfg.CompactAfter = defaultCompactAfter
	}
	ctx, cancel := context.WithCancel(ctx)
	b := &Biller{
		cfg:      cfg,
		cancel:   cancel,
		copyNow:  make(chan struct{}, 1),
		writeNow: make(chan struct{}, 1),
		collect:  Set.Add,
		margin:   limitMargin,
		buffer:   newBuffer(cfg.Incarnation, cfg.BatchBills),
		changed:  make(chan struct{}),
		holders:  map[string]bool{},
		avoid:    map[string]clocker.Millis{},
	}
	b.duties.Go(func() error {
		b.copyDuty(ctx)
		return nil
	})
	b.duties.Go(func() error {
		b.writeDuty(ctx)
		return nil
	})
	return b
}

// Close writes all bills and all copies kept for others. It returns an error
// that says how many are left once ctx ends.
func (b *Biller) Close(ctx context.Context) error {
	b.cancel()
	_ = b.duties.Wait()
	b.takeOver(func(string, *held) bool { return true })
	for {
		if b.write(ctx) {
			b.tellWritten(ctx)
			b.compact(ctx, 2)
			return nil
		}
		if err := b.cfg.Clock.Sleep(ctx, retryEvery); err != nil {
			return trace.Wrap(err, "%d bills are not written", b.Pending())
		}
	}
}

// Record keeps a bill until it is written to the platform. It returns nil once
// the bill is with a second host or written. With ErrNotCopied the bill is kept
// and written all the same; with ErrFull or ErrInvalidBill it is not.
func (b *Biller) Record(ctx context.Context, bill *messenger.Bill) error {
	if err := check(bill); err != nil {
		return err
	}
	b.mu.Lock()
	if n := b.buffer.unwritten(); n >= b.cfg.Limit+b.margin {
		b.mu.Unlock()
		refusedFull.Inc()
		return ErrFull{Pending: n}
	}
	sequence := b.buffer.add(proto.CloneOf(bill))
	full := b.buffer.unwritten() >= b.cfg.Limit/2
	b.mu.Unlock()
	recorded.Inc()
	if full {
		wake(b.writeNow)
	}
	wake(b.copyNow)
	for {
		b.mu.Lock()
		safe := b.buffer.safe(sequence)
		changed := b.changed
		b.mu.Unlock()
		if safe {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			notCopied.Inc()
			return ErrNotCopied{RequestID: bill.RequestId}
		}
	}
}

// HasCapacity reports whether bills of further requests will be taken. A request is to
// be refused before dispatch while it is false.
func (b *Biller) HasCapacity() bool {
	return b.Pending() < b.cfg.Limit
}

// Pending returns how many own bills are not yet written.
func (b *Biller) Pending() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.unwritten()
}

// CopyBills keeps bills for another host until it wrote them.
func (b *Biller) CopyBills(_ context.Context, batch *messenger.BillBatch) (*messenger.CopyReply, error) {
	if batch.Incarnation == "" || batch.Incarnation == b.cfg.Incarnation {
		return nil, ErrInvalidBill{Field: "Incarnation"}
	}
	for _, bill := range batch.Bills {
		if err := check(bill); err != nil {
			return nil, err
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.buffer.hold(batch, b.cfg.Clock.Now(), b.cfg.Limit) {
		heldFull.Inc()
		return nil, ErrFull{Pending: b.buffer.copies}
	}
	billsHeld.Add(len(batch.Bills))
	return &messenger.CopyReply{Count: int64(len(batch.Bills))}, nil
}

// takeOver makes own bills of copies whose origin is gone.
func (b *Biller) takeOver(gone func(origin string, h *held) bool) {
	b.mu.Lock()
	n := b.buffer.adopt(gone)
	b.mu.Unlock()
	if n == 0 {
		return
	}
	adopted.Add(n)
	slog.Info("bills taken over", "count", n)
	wake(b.copyNow)
}

// gone reports whether the origin of copies is silent or was replaced. It may
// still run, as after a pause, and write the same bills: they count once.
func (b *Biller) gone(now clocker.Millis) func(origin string, h *held) bool {
	alive := map[string]bool{}
	for _, p := range b.cfg.Peers() {
		alive[p.Incarnation] = !p.Suspect
	}
	return func(origin string, h *held) bool {
		silent := !alive[origin] && now-h.heard >= b.cfg.TakeoverAfter
		return silent || now-h.since >= maxHold
	}
}

func (b *Biller) progressed() {
	close(b.changed)
	b.changed = make(chan struct{})
}

func check(bill *messenger.Bill) error {
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
