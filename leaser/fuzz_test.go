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

// left is a store in which another writer left a lease.
type left []byte

func (l left) Get(_ context.Context, key string) (storer.Object, error) {
	return storer.Object{Key: key, Version: 1, Value: l}, nil
}

func (left) Create(_ context.Context, key string, _ []byte) (storer.Object, error) {
	return storer.Object{}, storer.ErrConflict{Key: key, Version: 1}
}

func (left) Update(_ context.Context, key string, version int64, value []byte) (storer.Object, error) {
	return storer.Object{Key: key, Version: version + 1, Value: value}, nil
}

// FuzzLease reads a lease as another writer left it. What can't be read is not taken, and
// a lease that another holds not before its time.
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
		l := leaser.New(leaser.Config{Name: "mover", Holder: "self", Clock: clock, Store: left(value)})
		found := &messenger.Lease{}
		readable := proto.Unmarshal(value, found) == nil
		err := l.AcquireOrRenew(ctx)
		assert.Assert(t, readable == (err == nil), "%v", err)
		_, held := l.Held()
		assert.Assert(t, !held || readable && (found.Holder == "" || found.Holder == "self" || found.TimeToLiveMs <= 0))
		_ = l.Release(ctx) // it may belong to another
		_, held = l.Held()
		assert.Assert(t, !held)
	})
}
