package balancer_test

import (
	"context"
	"errors"
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

// loads answers for the addresses that are up and counts queries.
type loads struct {
	mu     sync.Mutex
	down   map[string]bool
	silent map[string]bool
	asked  map[string]int
}

func (l *loads) LoadReport(_ context.Context, address string) (picker.LoadReport, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked[address]++
	switch {
	case l.down[address]:
		return picker.LoadReport{}, errors.New("no connection")
	case l.silent[address]:
		return picker.LoadReport{}, picker.ErrNoReport{Status: 404}
	}
	return picker.LoadReport{}, nil
}

func (l *loads) CacheEvents(context.Context, string, int64) ([]picker.CacheEvent, error) {
	return nil, nil
}

func (l *loads) count(address string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.asked[address]
}

// TestLoadQueriesFindDeadServers runs until the server without a connection is
// ejected and the one without a report was asked as often.
func TestLoadQueriesFindDeadServers(t *testing.T) {
	server := func(name, zone string) *messenger.BackendServer {
		return &messenger.BackendServer{Name: name, Address: name, AvailabilityZone: zone, Service: "draft", Models: []string{"m"}}
	}
	index := indexer.New(&messenger.Configuration{Version: 1, Declarations: &messenger.Declarations{
		Services:       []*messenger.Service{{Name: "draft", Kind: messenger.ServiceKind_LANGUAGE}},
		BackendServers: []*messenger.BackendServer{server("dead", "akl-a"), server("plain", "akl-a"), server("well", "akl-a"), server("far", "ham-a")},
	}})
	l := &loads{down: map[string]bool{"dead": true}, silent: map[string]bool{"plain": true}, asked: map[string]int{}}
	clock := clocker.NewManual(start)
	b := balancer.New(context.Background(), balancer.Config{
		AvailabilityZone: "akl-a", Clock: clock, LoadSource: l, Seed: 1,
		Index: func() *indexer.Index { return index },
	})
	ejected := func() map[string]bool {
		out := map[string]bool{}
		for _, s := range b.Status() {
			out[s.Name] = s.Ejected
		}
		return out
	}
	const most = 200_000
	steps := 0
	for ; steps < most && (!ejected()["dead"] || l.count("plain") < 10); steps++ {
		clock.Advance(20)
		runtime.Gosched()
	}
	assert.Assert(t, steps < most, "dead was asked %d times", l.count("dead"))
	assert.Assert(t, !ejected()["plain"] && !ejected()["well"])
	assert.Equal(t, l.count("far"), 0)
	assert.NilError(t, b.Close(context.Background()))
}
