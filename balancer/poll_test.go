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

// fakeLoadSource is a LoadSource that counts the queries. It fails for the addresses in
// down and returns ErrNoReport for those in noReport.
type fakeLoadSource struct {
	mu       sync.Mutex
	down     map[string]bool
	noReport map[string]bool
	queries  map[string]int
}

func (l *fakeLoadSource) FetchLoad(_ context.Context, address string) (picker.LoadReport, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queries[address]++
	switch {
	case l.down[address]:
		return picker.LoadReport{}, errors.New("no connection")
	case l.noReport[address]:
		return picker.LoadReport{}, picker.ErrNoReport{Status: 404}
	}
	return picker.LoadReport{}, nil
}

func (l *fakeLoadSource) FetchCacheEvents(context.Context, string, int64) ([]picker.CacheEvent, error) {
	return nil, nil
}

func (l *fakeLoadSource) count(address string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queries[address]
}

// TestLoadQueriesEjectUnreachableServers runs until the unreachable server is ejected and
// the server without load reports was queried at least 10 times. The latter must not be
// ejected.
func TestLoadQueriesEjectUnreachableServers(t *testing.T) {
	server := func(name, zone string) *messenger.BackendServer {
		return &messenger.BackendServer{Name: name, Address: name, AvailabilityZone: zone, Service: "draft", Models: []string{"m"}}
	}
	index := indexer.New(&messenger.Configuration{Version: 1, Declarations: &messenger.Declarations{
		Services:       []*messenger.Service{{Name: "draft", Kind: messenger.ServiceKind_LANGUAGE}},
		BackendServers: []*messenger.BackendServer{server("dead", "akl-a"), server("plain", "akl-a"), server("well", "akl-a"), server("far", "ham-a")},
	}})
	l := &fakeLoadSource{down: map[string]bool{"dead": true}, noReport: map[string]bool{"plain": true}, queries: map[string]int{}}
	clock := clocker.NewManual(startTime)
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
	const maxSteps = 200_000
	steps := 0
	for ; steps < maxSteps && (!ejected()["dead"] || l.count("plain") < 10); steps++ {
		clock.Advance(20)
		runtime.Gosched()
	}
	assert.Assert(t, steps < maxSteps, "the unreachable server was queried %d times", l.count("dead"))
	assert.Assert(t, !ejected()["plain"] && !ejected()["well"])
	assert.Equal(t, l.count("far"), 0)
	assert.NilError(t, b.Close(context.Background()))
}
