package biller_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing/synctest"

	"cowsliphinge/biller"
	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
	"cowsliphinge/messenger"
	"cowsliphinge/standin/platform"
	"cowsliphinge/storer"
)

// outcome is what becomes of a parked call.
type outcome int

const (
	deliver outcome = iota
	loseAnswer
	drop
	delay
	shutdown
)

// mutation is a planted fault.
type mutation string

const (
	none             mutation = ""
	billWithoutCopy  mutation = "bill without copy"
	sumWithoutMerge  mutation = "bills summed without set merge"
	unknownIsWritten mutation = "unknown outcome read as written"
)

var errCut = errors.New("no route")

// step is a call of a host that waits for the scheduler.
type step struct {
	host   *host
	kind   string
	resume chan outcome
}

// world is a few billers, the platform and the network between them. All calls
// stop until the scheduler resumes them.
type world struct {
	clock   *clocker.Clock
	store   *platform.Store
	mutated mutation
	ctx     context.Context
	cancel  context.CancelFunc

	mu      sync.Mutex
	parked  []*step
	delayed []func()
	hosts   []*host
	alone   bool
	crashes int
	closing bool
	// billed are the amounts whose Record began; safe those whose Record
	// returned nil, by request ID.
	billed map[string]int64
	safe   map[string]bool
	at     map[string]*host
}

type host struct {
	peer    heartbeater.Peer
	world   *world
	biller  *biller.Biller
	crashed bool
	paused  bool
	stopped bool
}

func newWorld(m mutation, zones ...string) *world {
	clock := clocker.NewManual(clocker.Hour)
	w := &world{
		clock: clock, store: platform.New(clock), mutated: m,
		billed: map[string]int64{}, safe: map[string]bool{}, at: map[string]*host{},
	}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	for i, zone := range zones {
		name := fmt.Sprintf("h%d", i)
		w.hosts = append(w.hosts, &host{world: w, peer: heartbeater.Peer{
			Host: name, Incarnation: name, AvailabilityZone: zone, ExchangeAddress: name,
		}})
	}
	for _, h := range w.hosts {
		h.biller = biller.New(w.ctx, biller.Config{
			Incarnation: h.peer.Incarnation, Host: h.peer.Host, AvailabilityZone: h.peer.AvailabilityZone,
			Clock: clock, Store: gate{h}, Exchange: gate{h}, Peers: h.peers, MaxBatchBills: 2, CompactionBatches: 3,
			WriteInterval: 10 * clocker.Second,
		})
	}
	return w
}

func (h *host) peers() []heartbeater.Peer {
	w := h.world
	w.mu.Lock()
	defer w.mu.Unlock()
	var peers []heartbeater.Peer
	for _, other := range w.hosts {
		p := other.peer
		p.Suspect = other.crashed || other.stopped
		if other != h && !w.alone {
			peers = append(peers, p)
		}
	}
	return peers
}

func (w *world) park(h *host, kind string) outcome {
	w.mu.Lock()
	if w.closing {
		w.mu.Unlock()
		return shutdown
	}
	s := &step{host: h, kind: kind, resume: make(chan outcome)}
	w.parked = append(w.parked, s)
	w.mu.Unlock()
	return <-s.resume
}

func (w *world) waiting() []*step {
	synctest.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	var steps []*step
	for _, s := range w.parked {
		if !s.host.crashed {
			steps = append(steps, s)
		}
	}
	slices.SortFunc(steps, func(a, b *step) int {
		return cmp.Or(cmp.Compare(a.host.peer.Host, b.host.peer.Host), cmp.Compare(a.kind, b.kind))
	})
	return steps
}

func (w *world) resume(s *step, o outcome) {
	w.mu.Lock()
	w.parked = slices.DeleteFunc(w.parked, func(p *step) bool { return p == s })
	w.mu.Unlock()
	s.resume <- o
	synctest.Wait()
}

// record starts a request's end at a host.
func (w *world) record(h *host, id string, tokens int64) {
	w.mu.Lock()
	w.billed[id] = tokens
	w.at[id] = h
	w.mu.Unlock()
	go func() {
		err := h.biller.Record(w.ctx, &messenger.Bill{ClientAccount: "mason", Budget: "mason", RequestId: id, Tokens: tokens})
		w.mu.Lock()
		defer w.mu.Unlock()
		w.safe[id] = err == nil && !w.closing
	}()
}

func (w *world) crash(h *host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h.crashed = true
	w.crashes++
}

func (w *world) releaseDelayed() {
	w.mu.Lock()
	delayed := w.delayed
	w.delayed = nil
	w.mu.Unlock()
	for _, write := range delayed {
		write()
	}
}

func (w *world) shutdown() {
	w.mu.Lock()
	w.closing = true
	parked := w.parked
	w.parked = nil
	w.mu.Unlock()
	w.cancel()
	for _, s := range parked {
		s.resume <- shutdown
	}
	synctest.Wait()
}

// drain resumes calls without faults until the clock has moved on for long
// enough that copies of a dead host were taken over and written.
func (w *world) drain() {
	for until := w.clock.Now() + 12*clocker.Minute; w.clock.Now() < until; {
		steps := w.waiting()
		if len(steps) == 0 {
			w.clock.Advance(clocker.Second)
			continue
		}
		w.resume(steps[0], deliver)
	}
}

// sum returns what the platform holds.
func (w *world) sum() (*messenger.BillSum, error) {
	reader := biller.New(w.ctx, biller.Config{
		Incarnation: "reader", Clock: w.clock, Store: w.store, Peers: func() []heartbeater.Peer { return nil },
	})
	if w.mutated == sumWithoutMerge {
		reader.SumWithoutMerge()
	}
	reply, err := reader.SumBills(w.ctx, &messenger.SumBillsRequest{})
	if err != nil || len(reply.Sums) == 0 {
		return &messenger.BillSum{}, err
	}
	return reply.Sums[0], nil
}

// lost returns the requests whose bill must be written and is not, as a sum.
func (w *world) check() error {
	sum, err := w.sum()
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	var atLeast, atMost, tokens int64
	for id, amount := range w.billed {
		atMost++
		tokens += amount
		if w.safe[id] || !w.at[id].crashed {
			atLeast++
		}
	}
	if sum.Requests < atLeast || sum.Requests > atMost || sum.Tokens > tokens {
		return fmt.Errorf("%d bills of %d tokens written, of %d to %d bills of %d tokens",
			sum.Requests, sum.Tokens, atLeast, atMost, tokens)
	}
	return nil
}

// gate is the platform and the network as one host reaches them.
type gate struct {
	host *host
}

// CopyBills implements biller.Exchange.
func (g gate) CopyBills(ctx context.Context, address string, batch *messenger.BillBatch) (*messenger.CopyReply, error) {
	w := g.host.world
	o := w.park(g.host, "copy")
	i := slices.IndexFunc(w.hosts, func(h *host) bool { return h.peer.ExchangeAddress == address })
	if o == drop || o == shutdown || w.hosts[i].crashed || w.hosts[i].stopped {
		return nil, errCut
	}
	if w.mutated == billWithoutCopy {
		return &messenger.CopyReply{Count: int64(len(batch.Bills))}, nil
	}
	reply, err := w.hosts[i].biller.CopyBills(ctx, batch)
	if o != deliver {
		return nil, errCut
	}
	return reply, err
}

// Get implements biller.Store.
func (g gate) Get(_ context.Context, key string) (storer.Object, error) {
	if g.host.world.park(g.host, "get") != deliver {
		return storer.Object{}, storer.ErrOutcomeUnknown{Key: key}
	}
	return g.host.world.store.Get(context.Background(), key)
}

// List implements biller.Store.
func (g gate) List(_ context.Context, prefix, after string, limit int) ([]storer.Object, error) {
	if g.host.world.park(g.host, "list") != deliver {
		return nil, storer.ErrOutcomeUnknown{Key: prefix}
	}
	return g.host.world.store.List(context.Background(), prefix, after, limit)
}

// Delete implements biller.Store.
func (g gate) Delete(_ context.Context, key string, version int64) error {
	w := g.host.world
	o := w.park(g.host, "delete")
	if o == deliver || o == loseAnswer {
		if err := w.store.Delete(context.Background(), key, version); err != nil || o == deliver {
			return err
		}
	}
	if o == delay {
		w.mu.Lock()
		w.delayed = append(w.delayed, func() { _ = w.store.Delete(context.Background(), key, version) })
		w.mu.Unlock()
	}
	return storer.ErrOutcomeUnknown{Key: key}
}

// Create implements biller.Store.
func (g gate) Create(_ context.Context, key string, value []byte) (storer.Object, error) {
	w := g.host.world
	o := w.park(g.host, "create")
	write := func() (storer.Object, error) { return w.store.Create(context.Background(), key, value) }
	switch o {
	case deliver:
		return write()
	case loseAnswer:
		_, _ = write()
	case delay:
		w.mu.Lock()
		w.delayed = append(w.delayed, func() { _, _ = write() })
		w.mu.Unlock()
	}
	if w.mutated == unknownIsWritten && o != shutdown {
		return storer.Object{Key: key, Version: 1}, nil
	}
	return storer.Object{}, storer.ErrOutcomeUnknown{Key: key}
}
