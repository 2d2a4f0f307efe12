package balancer_test

import (
	"context"
	"runtime"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/balancer"
	"cowsliphinge/clocker"
	"cowsliphinge/indexer"
	"cowsliphinge/messenger"
	"cowsliphinge/picker"
)

// restartingEngine is a LoadSource of one model engine, whose events start anew at 1 when it restarts.
type restartingEngine struct {
	mu     sync.Mutex
	events []picker.CacheEvent
	// told counts the events that were fetched since the restart, and polls the queries.
	told, polls int
}

func (e *restartingEngine) FetchLoad(context.Context, string) (picker.LoadReport, error) {
	return picker.LoadReport{}, nil
}

func (e *restartingEngine) FetchCacheEvents(_ context.Context, _ string, after int64) ([]picker.CacheEvent, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.polls++
	var events []picker.CacheEvent
	for _, event := range e.events {
		if event.Sequence > after {
			events = append(events, event)
		}
	}
	e.told += len(events)
	return events, nil
}

// start makes the engine one that has stored n prefixes since its start.
func (e *restartingEngine) start(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.events, e.told, e.polls = nil, 0, 0
	for i := range n {
		e.events = append(e.events, picker.CacheEvent{Sequence: int64(i + 1), Kind: picker.CacheStored, Prefix: uint64(i + 1)})
	}
}

func (e *restartingEngine) counts() (told, polls int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.told, e.polls
}

// Guards against a host that hears nothing more of the cache of a model engine: the engine restarted, and its
// events start anew below the sequence number of the last one before.
func TestCacheEventsOfARestartedEngineAreFetched(t *testing.T) {
	index := indexer.New(&messenger.Configuration{Version: 1, Declarations: &messenger.Declarations{
		Services:       []*messenger.Service{{Name: "draft", Kind: messenger.ServiceKind_LANGUAGE}},
		BackendServers: []*messenger.BackendServer{{Name: "one", Address: "one", AvailabilityZone: "akl-a", Service: "draft", Models: []string{"m"}}},
	}})
	e := &restartingEngine{}
	e.start(500)
	clock := clocker.NewManual(startTime)
	b := balancer.New(context.Background(), balancer.Config{
		AvailabilityZone: "akl-a", Clock: clock, LoadSource: e, Seed: 1,
		Index: func() *indexer.Index { return index },
	})
	await := func(done func() bool) bool {
		for range 200_000 {
			if done() {
				return true
			}
			clock.Advance(20)
			runtime.Gosched()
		}
		return false
	}
	assert.Assert(t, await(func() bool { told, _ := e.counts(); return told >= 500 }))
	e.start(3)
	assert.Assert(t, await(func() bool { told, polls := e.counts(); return told >= 3 || polls > 100 }))
	told, polls := e.counts()
	assert.Assert(t, told >= 3, "%d events after %d queries", told, polls)
	assert.Assert(t, await(func() bool { _, polls := e.counts(); return polls > 100 }))
	told, polls = e.counts()
	assert.Assert(t, told <= polls+3, "%d events in %d queries: old ones are fetched again and again", told, polls)
	assert.NilError(t, b.Close(context.Background()))
}
