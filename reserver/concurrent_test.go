package reserver_test

import (
	"context"
	"errors"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
	"cowsliphinge/messenger"
	"cowsliphinge/reserver"
	"cowsliphinge/standin/platform"
)

// exchangeByName delivers transfer requests to reservers by name.
type exchangeByName map[string]*reserver.Reserver

func (e exchangeByName) Transfer(ctx context.Context, address string, request *messenger.TransferRequest) (*messenger.TransferReply, error) {
	if r, ok := e[address]; ok {
		return r.Transfer(ctx, request)
	}
	return nil, errors.New("unreachable")
}

// TestConcurrentHosts uses up one budget from many goroutines on three hosts with running
// background tasks, while answers of the platform are lost.
func TestConcurrentHosts(t *testing.T) {
	ctx := context.Background()
	clock := clocker.NewManual(clocker.Hour)
	store := platform.New(clock)
	names := []string{"h1", "h2", "h3"}
	hosts := exchangeByName{}
	var peers []heartbeater.Peer
	for _, name := range names {
		peers = append(peers, heartbeater.Peer{Host: name, Incarnation: name, AvailabilityZone: "akl-a", ExchangeAddress: name})
	}
	var ready sync.RWMutex
	ready.Lock()
	for _, name := range names {
		hosts[name] = reserver.New(ctx, reserver.Config{
			Incarnation: name, Host: name, AvailabilityZone: "akl-a", Clock: clock, Store: store, Exchange: hosts, Policy: policy,
			Peers: func() []heartbeater.Peer {
				ready.RLock()
				defer ready.RUnlock()
				return peers
			},
		})
	}
	ready.Unlock()
	_, err := hosts["h1"].TopUp(ctx, &messenger.TopUpRequest{OperationId: "op", Budget: "mason", Tokens: 200_000})
	assert.NilError(t, err)

	stop := advanceClock(clock)
	served := drainBudget(hosts, clock, store)
	stop()
	assert.Assert(t, served <= 200_000, "served %d", served)
	assert.Assert(t, served > 0)
	for _, name := range names {
		assert.NilError(t, hosts[name].Close(ctx))
	}
	last := newReserver(t, clock, store, "h4")
	report, err := last.Report(ctx, "mason")
	assert.NilError(t, err)
	// Tokens that a host returns to one that closed before it stay charged.
	var lateTokens int64
	for _, r := range hosts {
		lateTokens += r.LateTokens()
	}
	assert.Equal(t, report.Charged, served+lateTokens)
	assert.Equal(t, report.Assigned, served+lateTokens)
	assert.NilError(t, last.Close(ctx))
}

// advanceClock advances the clock until the returned function is called.
func advanceClock(clock *clocker.Clock) func() {
	var stopped atomic.Bool
	var wg sync.WaitGroup
	wg.Go(func() {
		for !stopped.Load() {
			clock.Advance(5)
			runtime.Gosched()
		}
	})
	return func() {
		stopped.Store(true)
		wg.Wait()
	}
}

// drainBudget reserves and settles on all hosts until each goroutine was refused three
// times, and returns the tokens that were used.
func drainBudget(hosts exchangeByName, clock *clocker.Clock, store *platform.Store) int64 {
	var served atomic.Int64
	var wg sync.WaitGroup
	for _, host := range hosts {
		for i := range 4 {
			wg.Go(func() {
				for refusals := 0; refusals < 3; {
					store.SetFaults(platform.Faults{LoseAnswers: i % 2})
					reservation, err := host.Reserve(context.Background(), "mason", 300, 0, clock.Now()+clocker.Minute)
					if err != nil {
						refusals++
						continue
					}
					host.Settle(reservation, 100)
					served.Add(100)
				}
			})
		}
	}
	wg.Wait()
	store.SetFaults(platform.Faults{})
	return served.Load()
}
