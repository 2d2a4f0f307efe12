package biller_test

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/biller"
	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
	"cowsliphinge/messenger"
	"cowsliphinge/standin/platform"
)

// fleet is a few billers of one process and the network between them.
type fleet struct {
	clock *clocker.Clock
	store *platform.Store

	mu    sync.Mutex
	hosts map[string]*biller.Biller
	down  map[string]bool
	peers []heartbeater.Peer
}

func newFleet(t *testing.T, zones ...string) *fleet {
	t.Helper()
	clock := clocker.NewManual(clocker.Hour)
	f := &fleet{clock: clock, store: platform.New(clock), hosts: map[string]*biller.Biller{}, down: map[string]bool{}}
	for i, zone := range zones {
		name := fmt.Sprintf("h%d", i)
		f.peers = append(f.peers, heartbeater.Peer{Host: name, Incarnation: name, AvailabilityZone: zone, ExchangeAddress: name})
	}
	for _, p := range f.peers {
		b := biller.New(t.Context(), biller.Config{
			Incarnation: p.Incarnation, Host: p.Host, AvailabilityZone: p.AvailabilityZone,
			Clock: clock, Store: f.store, Exchange: f,
			Peers: func() []heartbeater.Peer { return f.others(p.Host) },
		})
		f.mu.Lock()
		f.hosts[p.Host] = b
		f.mu.Unlock()
	}
	return f
}

func (f *fleet) others(host string) []heartbeater.Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	var others []heartbeater.Peer
	for _, p := range f.peers {
		p.Suspect = f.down[p.Host]
		if p.Host != host {
			others = append(others, p)
		}
	}
	return others
}

// CopyBills implements biller.Exchange.
func (f *fleet) CopyBills(ctx context.Context, address string, batch *messenger.BillBatch) (*messenger.CopyReply, error) {
	f.mu.Lock()
	b := f.hosts[address]
	cut := f.down[address] || f.down[batch.Incarnation]
	f.mu.Unlock()
	if b == nil || cut {
		return nil, errors.New("no route")
	}
	return b.CopyBills(ctx, batch)
}

func (f *fleet) kill(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down[host] = true
}

func (f *fleet) until(t *testing.T, done func() bool) {
	t.Helper()
	for range 2000 {
		for range 100 {
			if done() {
				return
			}
			runtime.Gosched()
		}
		f.clock.Advance(100)
	}
	t.Fatal("never came true")
}

// written returns the sum over the batches that the platform holds.
func (f *fleet) written(t *testing.T) (requests, tokens int64) {
	t.Helper()
	reader := biller.New(t.Context(), biller.Config{
		Incarnation: "reader", Clock: f.clock, Store: f.store, Peers: func() []heartbeater.Peer { return nil },
	})
	reply, err := reader.SumBills(t.Context(), &messenger.SumBillsRequest{})
	assert.NilError(t, err)
	for _, sum := range reply.Sums {
		requests += sum.Requests
		tokens += sum.Tokens
	}
	return requests, tokens
}

func bill(id string, tokens int64) *messenger.Bill {
	return &messenger.Bill{ClientAccount: "mason", Budget: "mason", RequestId: id, Tokens: tokens}
}

func TestBillOutlivesItsHost(t *testing.T) {
	f := newFleet(t, "akl-a", "akl-a", "akl-b")
	f.store.SetFaults(platform.Faults{Outage: true})
	assert.NilError(t, f.hosts["h0"].Record(t.Context(), bill("r1", 40)))
	f.kill("h0")
	f.store.SetFaults(platform.Faults{})
	f.until(t, func() bool { requests, _ := f.written(t); return requests == 1 })
	_, tokens := f.written(t)
	assert.Equal(t, tokens, int64(40))
}

func TestWithoutPeersABillIsWritten(t *testing.T) {
	f := newFleet(t, "akl-a")
	recorded := make(chan error, 1)
	go func() { recorded <- f.hosts["h0"].Record(t.Context(), bill("r1", 40)) }()
	f.until(t, func() bool { requests, _ := f.written(t); return requests == 1 })
	assert.NilError(t, <-recorded)
}

func TestCloseWritesEverything(t *testing.T) {
	f := newFleet(t, "akl-a", "akl-a")
	for i := range 10 {
		assert.NilError(t, f.hosts["h0"].Record(t.Context(), bill(fmt.Sprint(i), 3)))
	}
	f.kill("h0")
	f.store.SetFaults(platform.Faults{LoseAnswers: 1})
	assert.NilError(t, f.hosts["h1"].Close(context.Background()))
	requests, tokens := f.written(t)
	assert.Equal(t, requests, int64(10))
	assert.Equal(t, tokens, int64(30))
}
