package claimer_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"cowsliphinge/claimer"
	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/storer"
)

// constantStore is a store whose objects all have the same value.
type constantStore []byte

func (s constantStore) Get(_ context.Context, key string) (storer.Object, error) {
	return storer.Object{Key: key, Version: 1, Value: s}, nil
}

func (constantStore) Create(_ context.Context, key string, _ []byte) (storer.Object, error) {
	return storer.Object{}, storer.ErrConflict{Key: key}
}

func (constantStore) Update(_ context.Context, key string, version int64, value []byte) (storer.Object, error) {
	return storer.Object{Key: key, Version: version + 1, Value: value}, nil
}

func (constantStore) Delete(context.Context, string, int64) error {
	return nil
}

func (s constantStore) List(_ context.Context, prefix, after string, _ int) ([]storer.Object, error) {
	if after != "" {
		return nil, nil
	}
	return []storer.Object{{Key: prefix + "a", Version: 1, Value: s}}, nil
}

// FuzzClaim claims an arbitrary key with an arbitrary value stored for it. Only a
// released claim may be owned again, and a forged ticket never is.
func FuzzClaim(f *testing.F) {
	released, err := proto.Marshal(&messenger.Claim{Incarnation: "b-1-1", State: messenger.ClaimState_RELEASED, Attempt: 1 << 40})
	if err != nil {
		f.Fatal(err)
	}
	record, err := proto.Marshal(&messenger.TicketRecord{Parts: -1 << 63})
	if err != nil {
		f.Fatal(err)
	}
	for _, key := range []string{"key", "ticket.b-1-1.1.9999999.code", "ticket.a-1-1.1.9999999.code", "ticket....", "ticket.a-1-1.-1.-9223372036854775808.x"} {
		for _, value := range [][]byte{released, record, {0xff}, nil} {
			f.Add(key, value)
		}
	}
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		var d claimer.Decision
		synctest.Test(t, func(t *testing.T) {
			clock := clocker.NewManual(clocker.Hour)
			c := claimer.New(t.Context(), claimer.Config{
				Incarnation: "a-1-1", Clock: clock, Store: constantStore(value), Alive: func(string) bool { return false }, MayBeAlive: func(string) bool { return true },
			})
			advanceUntilDone(clock, func() {
				d = c.Claim(t.Context(), newRequest(clock, key, "urn"))
				if d.Claim != nil {
					c.Finish(t.Context(), d.Claim, nil)
				}
				_ = c.Close(t.Context()) // the store rejects new objects
			})
		})
		if d.Verdict != claimer.Owned {
			return
		}
		stored := &messenger.Claim{}
		assert.NilError(t, proto.Unmarshal(value, stored))
		assert.Equal(t, stored.State, messenger.ClaimState_RELEASED)
		assert.Assert(t, !isTicket(key) || !strings.HasPrefix(key, "ticket.a-1-1."))
	})
}

func isTicket(key string) bool {
	_, ok := claimer.ParseTicket(key)
	return ok
}
