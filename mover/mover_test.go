package mover_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/mover"
	"cowsliphinge/standin/platform"
)

// TestMoveUnderFaults strikes each fault when each kind of step has begun.
func TestMoveUnderFaults(t *testing.T) {
	faults := map[string]func(w *world){
		"none": func(*world) {},
		"holder crashes": func(w *world) {
			if h := w.holder(); h != nil {
				h.paused.Store(true)
			}
		},
		"holder is paused past its lease": func(w *world) {
			h := w.holder()
			if h == nil {
				return
			}
			h.paused.Store(true)
			_ = w.clock.Sleep(context.Background(), 25*clocker.Second)
			h.paused.Store(false)
		},
		"answers are lost":   func(w *world) { w.store.SetFaults(platform.Faults{LoseAnswers: 6}) },
		"writes are dropped": func(w *world) { w.store.SetFaults(platform.Faults{DropWrites: 6}) },
		"writes are late": func(w *world) {
			w.store.SetFaults(platform.Faults{DelayWrites: 6})
			_ = w.clock.Sleep(context.Background(), 30*clocker.Second)
			w.store.ReleaseDelayed()
		},
		"platform outage": func(w *world) {
			w.store.SetFaults(platform.Faults{Outage: true})
			_ = w.clock.Sleep(context.Background(), clocker.Minute)
			w.store.SetFaults(platform.Faults{})
		},
		"peer list lags": func(w *world) {
			w.peersFrozen.Store(true)
			_ = w.clock.Sleep(context.Background(), clocker.Minute)
			w.peersFrozen.Store(false)
		},
	}
	for name, inject := range faults {
		for _, kind := range []string{mover.Load, mover.Warm, mover.Drain, mover.Return} {
			t.Run(name+" at "+kind, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newWorld(t)
					assert.NilError(t, w.host("b-1").publishState("start", messenger.MoveState_STARTED))
					w.waitFor(kind, 20*clocker.Minute, func() bool { return w.stepStarted(kind) })
					inject(w)
					w.checkFinish()
					w.assertNoRequestsAfter(w.currentDrainAt())
				})
			})
		}
	}
}

// TestLeavingZoneIsCutOffDuringTheMove cuts the leaving zone off once it knows
// the move: it drains by itself, and the move ends only after it is back.
func TestLeavingZonePartitionedDuringMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		assert.NilError(t, w.host("b-1").publishState("start", messenger.MoveState_STARTED))
		w.waitFor("spread", 5*clocker.Second, func() bool {
			return !slices.ContainsFunc(w.hosts, func(h *host) bool { return h.state() != messenger.MoveState_STARTED })
		})
		w.host("a-1").partitioned.Store(true)
		w.host("a-2").partitioned.Store(true)
		_ = w.clock.Sleep(context.Background(), drainInMs+clocker.Minute)
		w.assertNoRequestsAfter(w.drainAt)
		w.writeLimits(true)
		_ = w.clock.Sleep(context.Background(), clocker.Minute)
		assert.Equal(t, w.host("b-1").state(), messenger.MoveState_STARTED, "finished without a word from the leavings")
		w.host("a-1").partitioned.Store(false)
		w.host("a-2").partitioned.Store(false)
		w.waitFor("finish", 5*clocker.Minute, func() bool { return w.host("b-1").state() == messenger.MoveState_FINISHED })
	})
}

// TestRacingOperators cancels at one host while the move goes on at another,
// resumes, and cancels again from two hosts at once.
func TestConcurrentOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		assert.NilError(t, w.host("b-1").publishState("start", messenger.MoveState_STARTED))
		w.waitFor("drain", 20*clocker.Minute, func() bool { return w.stepStarted(mover.Drain) })
		var operators sync.WaitGroup
		operators.Go(func() { assert.Check(t, w.host("a-1").publishState("ann", messenger.MoveState_CANCELLED)) })
		operators.Go(func() { assert.Check(t, w.host("b-2").publishState("bob", messenger.MoveState_CANCELLED)) })
		operators.Wait()
		w.waitFor("cancel", 5*clocker.Second, func() bool { return w.host("b-1").state() == messenger.MoveState_CANCELLED })
		_ = w.clock.Sleep(context.Background(), 10*clocker.Second)
		w.mu.Lock()
		sinceLastRequest := w.clock.Now() - w.lastRequestAt["a-engine-1"]
		w.mu.Unlock()
		assert.Assert(t, sinceLastRequest < clocker.Second, "leavings take no work after the cancel")

		assert.NilError(t, w.host("b-1").publishState("resume", messenger.MoveState_STARTED))
		resumedAt := w.clock.Now()
		w.checkFinish()
		w.assertNoRequestsAfter(resumedAt)
	})
}
