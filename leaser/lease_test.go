package leaser_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/leaser"
	"cowsliphinge/standin/platform"
	"cowsliphinge/storer"
)

func newLease(clock *clocker.Clock, store *platform.Store, holder string) *leaser.Lease {
	return leaser.New(leaser.Config{Name: "mover", Incarnation: holder, Clock: clock, Store: store})
}

func TestPausedHolderLosesLease(t *testing.T) {
	ctx := context.Background()
	clock := clocker.NewManual(1)
	store := platform.New(clock)
	first, second := newLease(clock, store, "old"), newLease(clock, store, "young")
	assert.NilError(t, first.AcquireOrRenew(ctx))
	fencing, held := first.Held()
	assert.Assert(t, held)
	assert.Equal(t, fencing, int64(1))
	assert.NilError(t, second.AcquireOrRenew(ctx))
	_, held = second.Held()
	assert.Assert(t, !held)

	clock.Advance(9 * clocker.Second) // first is paused
	_, held = first.Held()
	assert.Assert(t, !held)
	assert.NilError(t, second.AcquireOrRenew(ctx))
	_, held = second.Held()
	assert.Assert(t, !held, "acquired before its time to live had passed")
	clock.Advance(clocker.Second)
	assert.NilError(t, second.AcquireOrRenew(ctx))
	fencing, held = second.Held()
	assert.Assert(t, held)
	assert.Equal(t, fencing, int64(2))

	assert.Assert(t, first.AcquireOrRenew(ctx) != nil) // resumes and tries to renew
	_, held = first.Held()
	assert.Assert(t, !held)
	assert.NilError(t, second.Release(ctx))
	assert.NilError(t, first.AcquireOrRenew(ctx))
	fencing, held = first.Held()
	assert.Assert(t, held)
	assert.Equal(t, fencing, int64(3))
}

// faultyStore rejects updates as a rate limit does, then loses answers of updates.
type faultyStore struct {
	*platform.Store
	rateLimited, lostAnswers int
}

func (s *faultyStore) Update(ctx context.Context, key string, version int64, value []byte) (storer.Object, error) {
	if s.rateLimited > 0 {
		s.rateLimited--
		return storer.Object{}, storer.ErrRateLimited{Key: key}
	}
	o, err := s.Store.Update(ctx, key, version, value)
	if s.lostAnswers > 0 && err == nil {
		s.lostAnswers--
		return storer.Object{}, storer.ErrOutcomeUnknown{Key: key}
	}
	return o, err
}

// Guards against a lease that stays held because the platform is rate limited, or an
// answer is lost, while the host stops.
func TestReleaseRetriesWhenRateLimited(t *testing.T) {
	ctx := context.Background()
	clock := clocker.NewWall()
	store := &faultyStore{Store: platform.New(clock)}
	lease := leaser.New(leaser.Config{Name: "mover", Incarnation: "old", Clock: clock, Store: store})
	assert.NilError(t, lease.AcquireOrRenew(ctx))
	store.rateLimited, store.lostAnswers = 2, 1
	assert.NilError(t, lease.Release(ctx))
	next := leaser.New(leaser.Config{Name: "mover", Incarnation: "young", Clock: clock, Store: store})
	assert.NilError(t, next.AcquireOrRenew(ctx))
	_, held := next.Held()
	assert.Assert(t, held)
}

// TestAtMostOneHolder drives three hosts through random pauses, lost answers, and
// dropped and delayed writes. It checks after each step that at most one host holds
// the lease and that fencing tokens only increase.
func TestAtMostOneHolder(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 0))
		clock := clocker.NewManual(1)
		store := platform.New(clock)
		var leases []*leaser.Lease
		for i := range 3 {
			leases = append(leases, newLease(clock, store, fmt.Sprint("host-", i)))
		}
		highest, holder, changes := int64(0), -1, 0
		for range 400 {
			clock.Advance(clocker.Millis(rng.IntN(4000)))
			faults := platform.Faults{}
			switch rng.IntN(8) {
			case 0:
				faults.LoseAnswers = 1
			case 1:
				faults.DropWrites = 1
			case 2:
				faults.DelayWrites = 1
			case 3:
				store.ReleaseDelayed()
			}
			store.SetFaults(faults)
			_ = leases[rng.IntN(len(leases))].AcquireOrRenew(context.Background())
			held := 0
			for i, l := range leases {
				fencing, ok := l.Held()
				if !ok {
					continue
				}
				held++
				assert.Assert(t, fencing >= highest, "seed %d: fencing token changed from %d to %d", seed, highest, fencing)
				assert.Assert(t, i == holder || fencing > highest, "seed %d: two holders with fencing token %d", seed, fencing)
				if i != holder {
					changes++
				}
				highest, holder = fencing, i
			}
			assert.Assert(t, held <= 1, "seed %d: %d holders", seed, held)
		}
		assert.Assert(t, changes > 3, "seed %d: the lease changed hands %d times", seed, changes)
	}
}
