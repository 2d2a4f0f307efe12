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

// outcome is what happens to a parked call when it is resumed.
type outcome int

const (
	deliver outcome = iota
	loseAnswer
	drop
	delay
	shutdown
)

// injectedFault is a fault that the simulation must detect.
type injectedFault string

const (
	noFault          injectedFault = ""
	billWithoutCopy  injectedFault = "bill without copy"
	sumWithoutMerge  injectedFault = "bills summed without set merge"
	unknownIsWritten injectedFault = "unknown outcome read as written"
)

var errUnreachable = errors.New("no route")

// parkedCall is a call of a host that waits for the scheduler.
type parkedCall struct {
	host   *host
	kind   string
	resume chan outcome
}

// simulation consists of several billers, the platform and the network between them.
// All calls park until the scheduler resumes them.
type simulation struct {
	clock  *clocker.Clock
	store  *platform.Store
	fault  injectedFault
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	parked  []*parkedCall
	delayed []func()
	hosts   []*host
	noPeers bool
	crashes int
	closing bool
	// billed holds the amounts passed to Record, acknowledged whether Record returned
	// nil, recordedAt the host; all by request ID.
	billed       map[string]int64
	acknowledged map[string]bool
	recordedAt   map[string]*host
}

type host struct {
	peer       heartbeater.Peer
	simulation *simulation
	biller     *biller.Biller
	crashed    bool
	paused     bool
	stopped    bool
}

func newSimulation(fault injectedFault, zones ...string) *simulation {
	clock := clocker.NewManual(clocker.Hour)
	w := &simulation{
		clock: clock, store: platform.New(clock), fault: fault,
		billed: map[string]int64{}, acknowledged: map[string]bool{}, recordedAt: map[string]*host{},
	}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	for i, zone := range zones {
		name := fmt.Sprintf("h%d", i)
		w.hosts = append(w.hosts, &host{simulation: w, peer: heartbeater.Peer{
			Host: name, Incarnation: name, AvailabilityZone: zone, ExchangeAddress: name,
		}})
	}
	for _, h := range w.hosts {
		h.biller = biller.New(w.ctx, biller.Config{
			Incarnation: h.peer.Incarnation, Host: h.peer.Host, AvailabilityZone: h.peer.AvailabilityZone,
			Clock: clock, Store: hostNetwork{h}, Exchange: hostNetwork{h}, Peers: h.peers, MaxBatchBills: 2, CompactionBatches: 3,
			WriteInterval: 10 * clocker.Second,
		})
	}
	return w
}

func (h *host) peers() []heartbeater.Peer {
	w := h.simulation
	w.mu.Lock()
	defer w.mu.Unlock()
	var peers []heartbeater.Peer
	for _, other := range w.hosts {
		p := other.peer
		p.Suspect = other.crashed || other.stopped
		if other != h && !w.noPeers {
			peers = append(peers, p)
		}
	}
	return peers
}

func (w *simulation) park(h *host, kind string) outcome {
	w.mu.Lock()
	if w.closing {
		w.mu.Unlock()
		return shutdown
	}
	s := &parkedCall{host: h, kind: kind, resume: make(chan outcome)}
	w.parked = append(w.parked, s)
	w.mu.Unlock()
	return <-s.resume
}

func (w *simulation) parkedCalls() []*parkedCall {
	synctest.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	var calls []*parkedCall
	for _, s := range w.parked {
		if !s.host.crashed {
			calls = append(calls, s)
		}
	}
	slices.SortFunc(calls, func(a, b *parkedCall) int {
		return cmp.Or(cmp.Compare(a.host.peer.Host, b.host.peer.Host), cmp.Compare(a.kind, b.kind))
	})
	return calls
}

func (w *simulation) resume(s *parkedCall, o outcome) {
	w.mu.Lock()
	w.parked = slices.DeleteFunc(w.parked, func(p *parkedCall) bool { return p == s })
	w.mu.Unlock()
	s.resume <- o
	synctest.Wait()
}

// record calls Record at a host, as at the end of a request.
func (w *simulation) record(h *host, id string, tokens int64) {
	w.mu.Lock()
	w.billed[id] = tokens
	w.recordedAt[id] = h
	w.mu.Unlock()
	go func() {
		err := h.biller.Record(w.ctx, &messenger.Bill{ClientAccount: "mason", Budget: "mason", RequestId: id, Tokens: tokens})
		w.mu.Lock()
		defer w.mu.Unlock()
		w.acknowledged[id] = err == nil && !w.closing
	}()
}

func (w *simulation) crash(h *host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h.crashed = true
	w.crashes++
}

func (w *simulation) releaseDelayed() {
	w.mu.Lock()
	delayed := w.delayed
	w.delayed = nil
	w.mu.Unlock()
	for _, write := range delayed {
		write()
	}
}

func (w *simulation) shutdown() {
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

// runUntilTakenOver resumes calls without faults until enough time has passed for
// copies of a crashed host to be taken over and written.
func (w *simulation) runUntilTakenOver() {
	for until := w.clock.Now() + 12*clocker.Minute; w.clock.Now() < until; {
		calls := w.parkedCalls()
		if len(calls) == 0 {
			w.clock.Advance(clocker.Second)
			continue
		}
		w.resume(calls[0], deliver)
	}
}

// sum returns the total of the bills on the platform.
func (w *simulation) sum() (*messenger.BillSum, error) {
	reader := biller.New(w.ctx, biller.Config{
		Incarnation: "reader", Clock: w.clock, Store: w.store, Peers: func() []heartbeater.Peer { return nil },
	})
	if w.fault == sumWithoutMerge {
		reader.SumWithoutMerge()
	}
	reply, err := reader.SumBills(w.ctx, &messenger.SumBillsRequest{})
	if err != nil || len(reply.Sums) == 0 {
		return &messenger.BillSum{}, err
	}
	return reply.Sums[0], nil
}

// checkSum returns an error if the platform holds fewer bills than were acknowledged
// or recorded at hosts that did not crash, or more than were recorded.
func (w *simulation) checkSum() error {
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
		if w.acknowledged[id] || !w.recordedAt[id].crashed {
			atLeast++
		}
	}
	if sum.Requests < atLeast || sum.Requests > atMost || sum.Tokens > tokens {
		return fmt.Errorf("%d bills of %d tokens written, of %d to %d bills of %d tokens",
			sum.Requests, sum.Tokens, atLeast, atMost, tokens)
	}
	return nil
}

// hostNetwork is the platform and the network as one host reaches them.
type hostNetwork struct {
	host *host
}

// CopyBills implements biller.Exchange.
func (g hostNetwork) CopyBills(ctx context.Context, address string, batch *messenger.BillBatch) (*messenger.CopyReply, error) {
	w := g.host.simulation
	o := w.park(g.host, "copy")
	i := slices.IndexFunc(w.hosts, func(h *host) bool { return h.peer.ExchangeAddress == address })
	if o == drop || o == shutdown || w.hosts[i].crashed || w.hosts[i].stopped {
		return nil, errUnreachable
	}
	if w.fault == billWithoutCopy {
		return &messenger.CopyReply{Count: int64(len(batch.Bills))}, nil
	}
	reply, err := w.hosts[i].biller.CopyBills(ctx, batch)
	if o != deliver {
		return nil, errUnreachable
	}
	return reply, err
}

// Get implements biller.Store.
func (g hostNetwork) Get(_ context.Context, key string) (storer.Object, error) {
	if g.host.simulation.park(g.host, "get") != deliver {
		return storer.Object{}, storer.ErrOutcomeUnknown{Key: key}
	}
	return g.host.simulation.store.Get(context.Background(), key)
}

// List implements biller.Store.
func (g hostNetwork) List(_ context.Context, prefix, after string, limit int) ([]storer.Object, error) {
	if g.host.simulation.park(g.host, "list") != deliver {
		return nil, storer.ErrOutcomeUnknown{Key: prefix}
	}
	return g.host.simulation.store.List(context.Background(), prefix, after, limit)
}

// Delete implements biller.Store.
func (g hostNetwork) Delete(_ context.Context, key string, version int64) error {
	w := g.host.simulation
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
func (g hostNetwork) Create(_ context.Context, key string, value []byte) (storer.Object, error) {
	w := g.host.simulation
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
	if w.fault == unknownIsWritten && o != shutdown {
		return storer.Object{Key: key, Version: 1}, nil
	}
	return storer.Object{}, storer.ErrOutcomeUnknown{Key: key}
}
