package reserver_test

import (
	"context"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"cowsliphinge/messenger"
	"cowsliphinge/standin/platform"
)

// grantedState is the model of a budget's top-ups as operators see it.
type grantedState struct {
	granted int64
	// applied has one bit for each operation that was applied.
	applied uint64
}

// grantedInput is a top-up, or a report if operation is negative.
type grantedInput struct {
	operation int
	tokens    int64
}

// unknownGranted is the output of a top-up that returned no sum.
const unknownGranted = int64(-1)

var grantedModel = porcupine.Model{
	Init: func() any { return grantedState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in := state.(grantedState), input.(grantedInput)
		if in.operation >= 0 && s.applied&(1<<in.operation) == 0 {
			s.applied |= 1 << in.operation
			s.granted += in.tokens
		}
		granted := output.(int64)
		return granted == unknownGranted || granted == s.granted, s
	},
}

// history records operations with logical times.
type history struct {
	clock atomic.Int64
	mu    sync.Mutex
	ops   []porcupine.Operation
}

func (h *history) add(client int, in grantedInput, call int64, granted, end int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: granted, Return: end})
}

// topUp records one top-up. If an earlier attempt of the call was applied, the reply is
// marked as repeated and its sum was read later, so it is recorded as two operations.
func (h *history) topUp(client int, n *node, operation int) {
	in := grantedInput{operation: operation, tokens: int64(100 + operation)}
	call := h.clock.Add(1)
	reply, err := n.reserver.TopUp(context.Background(), &messenger.TopUpRequest{
		OperationId: fmt.Sprint(operation), Budget: "mason", Tokens: in.tokens,
	})
	end := h.clock.Add(1)
	switch {
	case err != nil:
		h.add(client, in, call, unknownGranted, math.MaxInt64)
	case reply.Repeated:
		h.add(client, in, call, unknownGranted, end)
		h.add(client, grantedInput{operation: -1}, call, reply.Granted, end)
	default:
		h.add(client, in, call, reply.Granted, end)
	}
}

func (h *history) report(client int, n *node) {
	call := h.clock.Add(1)
	report, err := n.reserver.Report(context.Background(), "mason")
	if err == nil {
		h.add(client, grantedInput{operation: -1}, call, report.Granted, h.clock.Add(1))
	}
}

// recordHistory runs concurrent top-ups and reports on three hosts, while answers are lost
// and writes are dropped or delayed.
func recordHistory() *history {
	f := newFleet(&messenger.Policy{HeadroomMs: 5000, OfflineReserveMs: 5000, MaxShareOfRestMilli: 125, PatienceMs: 2000}, 3, 1)
	h := &history{}
	lossy := []platform.Faults{{LoseAnswers: 1}, {DropWrites: 1}, {DelayWrites: 1}, {LoseAnswers: 6}}
	var wg sync.WaitGroup
	for client, n := range f.nodes {
		wg.Go(func() {
			for i := range 12 {
				f.store.SetFaults(lossy[(client+i)%len(lossy)])
				h.topUp(client, n, (client*7+i)%16)
				h.report(client, n)
				f.store.ReleaseDelayed()
			}
		})
	}
	wg.Wait()
	return h
}

func TestTopUpsAreLinearizable(t *testing.T) {
	h := recordHistory()
	assert.Assert(t, porcupine.CheckOperations(grantedModel, h.ops))
}

// The model rejects a history in which one reply reports too large a sum.
func TestDoubleCountedTopUpIsDetected(t *testing.T) {
	h := recordHistory()
	for i, op := range h.ops {
		if granted := op.Output.(int64); granted != unknownGranted {
			h.ops[i].Output = granted + 2000 // more than all operations together
			break
		}
	}
	assert.Assert(t, !porcupine.CheckOperations(grantedModel, h.ops))
}

// Top-ups that the object no longer lists still count only once when they are repeated.
func TestTopUpsDroppedFromObjectCountOnce(t *testing.T) {
	f := newFleet(&messenger.Policy{HeadroomMs: 5000, MaxShareOfRestMilli: 125}, 2, 1)
	for range 2 {
		for i := range 100 {
			f.topUp(t, f.nodes[i%2], fmt.Sprint("op-", i), "mason", 10)
		}
	}
	b := f.storedBudget(t, "mason")
	assert.Equal(t, b.Granted, int64(1000))
	assert.Equal(t, len(b.TopUps), 32)
}
