// Package admitter bounds the memory that a process holds for its clients. A Budget counts bytes; each
// connection has a Holding that is charged before bytes are kept. A charge is granted or refused at once and
// never waits. When the budget is full, the unfinished request that holds the most is evicted.
//
// Budget and Holding do no I/O and start no goroutines; Body reads a request body into charged chunks.
package admitter

import (
	"bytes"
	"container/heap"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// memoryDivisor is the part of the memory of a process that its Budget may fill: a quarter. The
	// collector lets the heap grow to 1.4 times what is in use, and the process itself, its connections
	// and their kernel buffers take the rest.
	memoryDivisor = 4
	// reserveDivisor is the part of a Budget that is reserved for small requests.
	reserveDivisor = 4
	// aloneDivisor is the part of the memory that a single request may hold while others hold less than
	// the reserve, so that a body of legal size is served on an idle host.
	aloneDivisor = 3
	// leavingDivisor is the part of a Budget by which evicted requests that have not released their
	// memory yet may exceed it.
	leavingDivisor = 8
	// roomDivisor is the part of a Budget that must be free again before it counts as having room: half, so that
	// a burst of refusals writes few log lines.
	roomDivisor = 2
	// smallBytes is what a small request holds at most: head, body and the overhead of RequestBytes.
	smallBytes = 128 << 10
	// defaultMemoryMb is assumed for a process without a memory limit.
	defaultMemoryMb = 512

	// RequestBytes is the charge for a request in progress besides its head and body. Streams of which
	// nobody reads take 30 to 60 KB for stacks and buffers.
	RequestBytes = 32 << 10
	// headFactor is the charge for a byte of a head: a long line is read into buffers that double, and copied.
	// 512 heads of one 60 KB line took three times what they held.
	headFactor = 3
	// headerLineBytes is the charge for a header line besides its bytes: parsed, a line takes 100 bytes
	// and more, and requests to servers get a copy.
	headerLineBytes = 256
)

// HeadCharge returns the charge for a part of a request's head.
func HeadCharge(part []byte) int64 {
	lines := bytes.Count(part, []byte("\n"))
	return int64(len(part))*headFactor + int64(lines)*headerLineBytes
}

// Reasons of refused charges, as metric labels.
const (
	ReasonFull    = "full"
	ReasonEvicted = "evicted"
)

var (
	heldBytes = metrics.GetOrCreateGauge("cowsliphinge_memory_held_bytes", nil)
	refusals  = metrics.NewCounter(`cowsliphinge_memory_refusals_total{reason="` + ReasonFull + `"}`)
	evictions = metrics.NewCounter(`cowsliphinge_memory_refusals_total{reason="` + ReasonEvicted + `"}`)
)

// ErrMemoryFull is the error of a charge that is not granted.
type ErrMemoryFull struct {
	// Reason is ReasonFull, or ReasonEvicted if the holding was evicted before.
	Reason string
	// Bytes is the charge that was refused.
	Bytes int64
}

// Error implements error.
func (e ErrMemoryFull) Error() string {
	return fmt.Sprintf("the memory budget is full (%s): %d bytes were not granted", e.Reason, e.Bytes)
}

// IsErrMemoryFull reports whether err is or wraps an ErrMemoryFull.
func IsErrMemoryFull(err error) bool {
	var full ErrMemoryFull
	return errors.As(err, &full)
}

// Config configures a Budget.
type Config struct {
	// Bytes is the size of the budget.
	Bytes int64
	// ReservedBytes is the part of it that only requests of at most SmallBytes may use.
	ReservedBytes int64
	SmallBytes    int64
	// AloneBytes is what one request may hold while all others together hold less than ReservedBytes. It
	// may exceed Bytes.
	AloneBytes int64
	// LeavingBytes is how far evicted requests may exceed Bytes until they have released their memory.
	LeavingBytes int64
	// Log may be nil.
	Log *slog.Logger
}

// ForMemory returns the configuration for a process with a memory limit in MB; 0 means no limit, for which
// a default is assumed.
func ForMemory(memoryMb int64) Config {
	if memoryMb <= 0 {
		memoryMb = defaultMemoryMb
	}
	memory := memoryMb << 20
	bytes := memory / memoryDivisor
	return Config{
		Bytes:         bytes,
		ReservedBytes: bytes / reserveDivisor,
		SmallBytes:    smallBytes,
		AloneBytes:    memory / aloneDivisor,
		LeavingBytes:  bytes / leavingDivisor,
	}
}

// Evictor ends the reading of an unfinished request.
type Evictor interface {
	// Evict makes the reader of the request fail. It is called once, with the Budget locked: it must not
	// block and must not call the Budget. The reader then releases what it holds.
	Evict()
}

// Budget is a bound on the bytes held for clients. It is safe for concurrent use.
type Budget struct {
	cfg Config

	mu   sync.Mutex
	held int64
	// leaving is the part of held that evicted requests have not released yet.
	leaving int64
	// progress counts the charges.
	progress uint64
	// unfinished are the holdings that may be evicted.
	unfinished holdingHeap
	// full is true from a refusal or an eviction until there is room again.
	full bool
}

// New returns an empty Budget.
func New(cfg Config) *Budget {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	return &Budget{cfg: cfg}
}

// Held returns the number of bytes held now.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Holding is what one connection holds for its current request. A nil Holding grants everything. It is safe
// for concurrent use.
type Holding struct {
	budget  *Budget
	evictor Evictor

	// All fields below are guarded by the lock of the budget.
	bytes int64
	// inBodies is the part of bytes that bodies hold until they are released.
	inBodies int64
	// lastProgress is the progress count of the last charge.
	lastProgress uint64
	state        holdingState
	// index is the position in Budget.unfinished, valid while listed is true.
	index  int
	listed bool
}

type holdingState int

const (
	// unfinished: the request is being read and may be evicted.
	unfinished holdingState = iota
	// finished: the request is complete, and servers may get it.
	finished
	evicted
)

// Open returns a Holding without bytes.
func (b *Budget) Open(e Evictor) *Holding {
	return &Holding{budget: b, evictor: e}
}

// Charge adds n bytes to the holding, or returns an ErrMemoryFull. Other unfinished requests are evicted for
// it if they hold more, or as much and have made no progress for longer.
func (h *Holding) Charge(n int64) error {
	return h.charge(n, 0)
}

// charge is Charge with the part of n that a body holds.
func (h *Holding) charge(n, inBodies int64) error {
	if h == nil || n <= 0 {
		return nil
	}
	b := h.budget
	b.mu.Lock()
	wasFull := b.full
	reason := b.grant(h, n)
	if reason == "" {
		h.inBodies += inBodies
		b.add(h, n)
	} else {
		b.full = true
	}
	becameFull := b.full && !wasFull
	held := b.held
	b.mu.Unlock()
	if becameFull {
		b.cfg.Log.Warn("memory budget is full", "held_bytes", held, "bytes", b.cfg.Bytes)
	}
	switch reason {
	case "":
		return nil
	case ReasonFull:
		refusals.Inc()
	}
	return ErrMemoryFull{Reason: reason, Bytes: n}
}

// grant decides on a charge and evicts what has to leave for it. It returns why the charge is refused, or "".
func (b *Budget) grant(h *Holding, n int64) string {
	if h.state == evicted {
		return ReasonEvicted
	}
	for !b.fits(h, n) {
		victim := b.largest(h)
		if victim == nil || victim.bytes < h.bytes+n {
			return ReasonFull // of two with as much, the one that charges has made progress later
		}
		if b.held+n > b.cfg.Bytes+b.cfg.LeavingBytes {
			return ReasonFull // memory of earlier victims is still to be released
		}
		b.evict(victim)
	}
	return ""
}

// fits reports whether a charge fits beside what is held. Memory of evicted requests counts as free up to
// LeavingBytes.
func (b *Budget) fits(h *Holding, n int64) bool {
	if others := b.held - h.bytes; others < b.cfg.ReservedBytes && h.bytes+n <= b.cfg.AloneBytes {
		return true
	}
	bound := b.cfg.Bytes
	if h.bytes+n > b.cfg.SmallBytes {
		bound -= b.cfg.ReservedBytes
	}
	return b.held-b.leaving+n <= bound && b.held+n <= b.cfg.Bytes+b.cfg.LeavingBytes
}

// largest returns the unfinished holding with the most bytes other than h, or nil.
func (b *Budget) largest(h *Holding) *Holding {
	switch {
	case len(b.unfinished) == 0:
		return nil
	case b.unfinished[0] != h:
		return b.unfinished[0]
	}
	var next *Holding
	for _, child := range b.unfinished[1:min(3, len(b.unfinished))] {
		if next == nil || precedes(child, next) {
			next = child
		}
	}
	return next
}

func (b *Budget) evict(h *Holding) {
	heap.Remove(&b.unfinished, h.index)
	h.state = evicted
	b.full = true
	b.leaving += h.bytes
	evictions.Inc()
	h.evictor.Evict()
}

// add adds n bytes, which may be negative, to a holding.
func (b *Budget) add(h *Holding, n int64) {
	b.held += n
	h.bytes += n
	heldBytes.Set(float64(b.held))
	if n > 0 {
		b.progress++
		h.lastProgress = b.progress
	}
	if h.state == evicted {
		b.leaving += n
		return
	}
	switch evictable := h.state == unfinished && h.bytes > 0; {
	case evictable && !h.listed:
		heap.Push(&b.unfinished, h)
	case evictable:
		heap.Fix(&b.unfinished, h.index)
	case h.listed:
		heap.Remove(&b.unfinished, h.index)
	}
}

// Finish marks the request as complete: it is not evicted any more. It returns an ErrMemoryFull if it was
// evicted before.
func (h *Holding) Finish() error {
	if h == nil {
		return nil
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.state == evicted {
		return ErrMemoryFull{Reason: ReasonEvicted}
	}
	h.state = finished
	b.add(h, 0)
	return nil
}

// Evicted reports whether the request was evicted.
func (h *Holding) Evicted() bool {
	if h == nil {
		return false
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.state == evicted
}

// Short reports whether the budget was full and has not regained room since.
func (h *Holding) Short() bool {
	if h == nil {
		return false
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.budget.full
}

// Release takes back a part of what was charged.
func (h *Holding) Release(n int64) {
	h.release(n, 0)
}

// release is Release with the part of n that a body held.
func (h *Holding) release(n, inBodies int64) {
	if h == nil || n <= 0 {
		return
	}
	b := h.budget
	b.mu.Lock()
	h.inBodies -= inBodies
	b.add(h, -min(n, h.bytes-h.inBodies))
	hasRoom, held := b.regainRoom(), b.held
	b.mu.Unlock()
	if hasRoom {
		b.cfg.Log.Info("memory budget has room again", "held_bytes", held, "bytes", b.cfg.Bytes)
	}
}

// Reset releases everything except what bodies hold that are still in use, and makes the holding ready for the
// next request of its connection.
func (h *Holding) Reset() {
	if h == nil {
		return
	}
	b := h.budget
	b.mu.Lock()
	b.add(h, h.inBodies-h.bytes)
	if h.state == evicted {
		b.leaving -= h.bytes
	}
	h.state = unfinished
	b.add(h, 0) // a body in use counts for the next request
	hasRoom, held := b.regainRoom(), b.held
	b.mu.Unlock()
	if hasRoom {
		b.cfg.Log.Info("memory budget has room again", "held_bytes", held, "bytes", b.cfg.Bytes)
	}
}

// regainRoom reports whether a budget that was full has room again, once.
func (b *Budget) regainRoom() bool {
	if !b.full || b.held > b.cfg.Bytes-b.cfg.Bytes/roomDivisor {
		return false
	}
	b.full = false
	return true
}

// holdingHeap has the holding that is evicted first at its root.
type holdingHeap []*Holding

// precedes reports whether x is evicted before y.
func precedes(x, y *Holding) bool {
	if x.bytes != y.bytes {
		return x.bytes > y.bytes
	}
	return x.lastProgress < y.lastProgress
}

// Len implements heap.Interface.
func (s holdingHeap) Len() int { return len(s) }

// Less implements heap.Interface.
func (s holdingHeap) Less(i, j int) bool { return precedes(s[i], s[j]) }

// Swap implements heap.Interface.
func (s holdingHeap) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].index, s[j].index = i, j
}

// Push implements heap.Interface.
func (s *holdingHeap) Push(x any) {
	h := x.(*Holding)
	h.index, h.listed = len(*s), true
	*s = append(*s, h)
}

// Pop implements heap.Interface.
func (s *holdingHeap) Pop() any {
	last := len(*s) - 1
	h := (*s)[last]
	(*s)[last] = nil
	*s = (*s)[:last]
	h.listed = false
	return h
}

type contextKey struct{}

// NewContext returns a context that carries the Holding of a connection.
func NewContext(ctx context.Context, h *Holding) context.Context {
	return context.WithValue(ctx, contextKey{}, h)
}

// FromContext returns the Holding of the connection of a request, or nil.
func FromContext(ctx context.Context) *Holding {
	h, _ := ctx.Value(contextKey{}).(*Holding) // nil if there is none
	return h
}
