package spreader_test

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/indexer"
	"cowsliphinge/messenger"
	"cowsliphinge/spreader"
	"cowsliphinge/standin/platform"
	"cowsliphinge/storer"
)

// rateLimitedStore rejects a call for a part if it is an even-numbered call.
type rateLimitedStore struct {
	*platform.Store

	mu    sync.Mutex
	calls int
}

func (l *rateLimitedStore) checkRate(key string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if strings.HasPrefix(key, "config/part/") && l.calls%2 == 0 {
		return storer.ErrRateLimited{Key: key}
	}
	return nil
}

// Get implements spreader.Store.
func (l *rateLimitedStore) Get(ctx context.Context, key string) (storer.Object, error) {
	if err := l.checkRate(key); err != nil {
		return storer.Object{}, err
	}
	return l.Store.Get(ctx, key)
}

// Create implements spreader.Store.
func (l *rateLimitedStore) Create(ctx context.Context, key string, value []byte) (storer.Object, error) {
	if err := l.checkRate(key); err != nil {
		return storer.Object{}, err
	}
	return l.Store.Create(ctx, key, value)
}

func TestRateLimitedPartsAreWrittenAndFetched(t *testing.T) {
	clock := clocker.NewWall()
	store := &rateLimitedStore{Store: platform.New(clock)}
	open := func(host string) *spreader.Spreader {
		s := spreader.New(context.Background(), spreader.Config{Host: host, Clock: clock, Store: store, Log: slog.New(slog.DiscardHandler)})
		t.Cleanup(func() { _ = s.Close(context.Background()) })
		return s
	}
	d := &messenger.Declarations{Deployment: "test", Policy: &messenger.Policy{}}
	for i := range 600 {
		name := fmt.Sprintf("account-%d", i)
		d.ClientAccounts = append(d.ClientAccounts, &messenger.ClientAccount{Name: name, KeySha256: indexer.HashKey(name), Budget: name})
	}
	reply, err := open("host-a").Apply(context.Background(), &messenger.ApplyRequest{OperationId: "first", Declarations: d})
	assert.NilError(t, err)
	assert.Equal(t, reply.Version, int64(1))
	other := open("host-b")
	assert.NilError(t, other.Refresh(context.Background()))
	assert.Equal(t, other.Index().Version(), int64(1))
	assert.Equal(t, len(other.Index().Configuration.Declarations.ClientAccounts), 600)
}
