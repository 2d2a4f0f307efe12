package leaser_test

import (
	"context"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/leaser"
	"cowsliphinge/messenger"
	"cowsliphinge/storer"
)

// storedLease is a store that contains a lease stored by another writer.
type storedLease []byte

func (l storedLease) Get(_ context.Context, key string) (storer.Object, error) {
	return storer.Object{Key: key, Version: 1, Value: l}, nil
}

func (storedLease) Create(_ context.Context, key string, _ []byte) (storer.Object, error) {
	return storer.Object{}, storer.ErrConflict{Key: key, Version: 1}
}

func (storedLease) Update(_ context.Context, key string, version int64, value []byte) (storer.Object, error) {
	return storer.Object{Key: key, Version: version + 1, Value: value}, nil
}

// FuzzLease reads an arbitrary lease as another writer may have stored it. A lease that
// cannot be decoded is not acquired, and neither is one that another incarnation holds
// and that has not expired.
func FuzzLease(f *testing.F) {
	for _, l := range []*messenger.Lease{
		{Name: "mover", Holder: "other", Fencing: 7, TimeToLiveMs: 10000},
		{Name: "mover", Holder: "other", Fencing: 1<<63 - 1, TimeToLiveMs: 1<<63 - 1},
		{Name: "else", Holder: "self", Fencing: -1, TimeToLiveMs: -1 << 63},
		{},
	} {
		value, err := proto.Marshal(l)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(value)
	}
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, value []byte) {
		ctx := context.Background()
		clock := clocker.NewManual(clocker.Hour)
		l := leaser.New(leaser.Config{Name: "mover", Incarnation: "self", Clock: clock, Store: storedLease(value)})
		stored := &messenger.Lease{}
		readable := proto.Unmarshal(value, stored) == nil
		err := l.AcquireOrRenew(ctx)
		assert.Assert(t, readable == (err == nil), "%v", err)
		_, held := l.Held()
		assert.Assert(t, !held || readable && (stored.Holder == "" || stored.Holder == "self" || stored.TimeToLiveMs <= 0))
		_ = l.Release(ctx) // may fail: another incarnation may hold the lease
		_, held = l.Held()
		assert.Assert(t, !held)
	})
}
