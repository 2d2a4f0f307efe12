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
	return leaser.New(leaser.Config{Name: "mover", Holder: holder, Clock: clock, Store: store})
}

func TestPausedHolderLosesItsLease(t *testing.T) {
	ctx := context.Background()
	clock := clocker.NewManual(1)
	store := platform.New(clock)
	old, young := newLease(clock, store, "old"), newLease(clock, store, "young")
	assert.NilError(t, old.AcquireOrRenew(ctx))
	fencing, held := old.Held()
	assert.Assert(t, held)
	assert.Equal(t, fencing, int64(1))
	assert.NilError(t, young.AcquireOrRenew(ctx))
	_, held = young.Held()
	assert.Assert(t, !held)

	clock.Advance(9 * clocker.Second) // old is paused
	_, held = old.Held()
	assert.Assert(t, !held)
	assert.NilError(t, young.AcquireOrRenew(ctx))
	_, held = young.Held()
	assert.Assert(t, !held, "taken before its time to live was over")
	clock.Advance(clocker.Second)
	assert.NilError(t, young.AcquireOrRenew(ctx))
	fencing, held = young.Held()
	assert.Assert(t, held)
	assert.Equal(t, fencing, int64(2))

	assert.Assert(t, old.AcquireOrRenew(ctx) != nil) // wakes and renews
	_, held = old.Held()
	assert.Assert(t, !held)
	assert.NilError(t, young.Release(ctx))
	assert.NilError(t, old.AcquireOrRenew(ctx))
	fencing, held = old.Held()
	assert.Assert(t, held)
	assert.Equal(t, fencing, int64(3))
}

// busyStore turns updates away as a rate bound does, then loses the answer of one.
type busyStore struct {
	*platform.Store
	busy, lost int
}

func (s *busyStore) Update(ctx context.Context, key string, version int64, value []byte) (storer.Object, error) {
	if s.busy > 0 {
		s.busy--
		return storer.Object{}, storer.ErrRateLimited{Key: key}
	}
	o, err := s.Store.Update(ctx, key, version, value)
	if s.lost > 0 && err == nil {
		s.lost--
		return storer.Object{}, storer.ErrOutcomeUnknown{Key: key}
	}
	return o, err
}

// A stop that falls together with a busy platform still gives the lease up.
func TestReleaseOutlastsABusyPlatform(t *testing.T) {
	ctx := context.Background()
	clock := clocker.NewWall()
	store := &busyStore{Store: platform.New(clock)}
	lease := leaser.New(leaser.Config{Name: "mover", Holder: "old", Clock: clock, Store: store})
	assert.NilError(t, lease.AcquireOrRenew(ctx))
	store.busy, store.lost = 2, 1
	assert.NilError(t, lease.Release(ctx))
	next := leaser.New(leaser.Config{Name: "mover", Holder: "young", Clock: clock, Store: store})
	assert.NilError(t, next.AcquireOrRenew(ctx))
	_, held := next.Held()
	assert.Assert(t, held)
}

// TestOneHolderAtATime drives three hosts through random pauses, lost answers,
// dropped and delayed writes, and checks after each step that at most one host
// trusts its lease and that fencing numbers only grow.
func TestOneHolderAtATime(t *testing.T) {
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
				assert.Assert(t, fencing >= highest, "seed %d: fencing went from %d to %d", seed, highest, fencing)
				assert.Assert(t, i == holder || fencing > highest, "seed %d: two holders with number %d", seed, fencing)
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
