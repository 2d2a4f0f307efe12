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

// TestMoveUnderFaults injects each fault once each kind of step has started.
func TestMoveUnderFaults(t *testing.T) {
	faults := map[string]func(w *deployment){
		"none": func(*deployment) {},
		"holder crashes": func(w *deployment) {
			if h := w.holder(); h != nil {
				h.paused.Store(true)
			}
		},
		"holder is paused past its lease": func(w *deployment) {
			h := w.holder()
			if h == nil {
				return
			}
			h.paused.Store(true)
			_ = w.clock.Sleep(context.Background(), 25*clocker.Second)
			h.paused.Store(false)
		},
		"answers are lost":   func(w *deployment) { w.store.SetFaults(platform.Faults{LoseAnswers: 6}) },
		"writes are dropped": func(w *deployment) { w.store.SetFaults(platform.Faults{DropWrites: 6}) },
		"writes are late": func(w *deployment) {
			w.store.SetFaults(platform.Faults{DelayWrites: 6})
			_ = w.clock.Sleep(context.Background(), 30*clocker.Second)
			w.store.ReleaseDelayed()
		},
		"platform outage": func(w *deployment) {
			w.store.SetFaults(platform.Faults{Outage: true})
			_ = w.clock.Sleep(context.Background(), clocker.Minute)
			w.store.SetFaults(platform.Faults{})
		},
		"peer list lags": func(w *deployment) {
			w.peersFrozen.Store(true)
			_ = w.clock.Sleep(context.Background(), clocker.Minute)
			w.peersFrozen.Store(false)
		},
	}
	for name, inject := range faults {
		for _, kind := range []string{mover.Load, mover.Warm, mover.Drain, mover.Return} {
			t.Run(name+" at "+kind, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newDeployment(t)
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

// TestLeavingZonePartitionedDuringMove partitions the leaving zone after it has
// received the move. The zone must drain by itself, and the move may finish only
// after the partition has ended.
func TestLeavingZonePartitionedDuringMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newDeployment(t)
		assert.NilError(t, w.host("b-1").publishState("start", messenger.MoveState_STARTED))
		w.waitFor("propagation", 5*clocker.Second, func() bool {
			return !slices.ContainsFunc(w.hosts, func(h *host) bool { return h.state() != messenger.MoveState_STARTED })
		})
		w.host("a-1").partitioned.Store(true)
		w.host("a-2").partitioned.Store(true)
		_ = w.clock.Sleep(context.Background(), drainInMs+clocker.Minute)
		w.assertNoRequestsAfter(w.drainAt)
		w.writeLimits(true)
		_ = w.clock.Sleep(context.Background(), clocker.Minute)
		assert.Equal(t, w.host("b-1").state(), messenger.MoveState_STARTED, "finished without a report from the leaving zone")
		w.host("a-1").partitioned.Store(false)
		w.host("a-2").partitioned.Store(false)
		w.waitFor("finish", 5*clocker.Minute, func() bool { return w.host("b-1").state() == messenger.MoveState_FINISHED })
	})
}

// TestConcurrentOperators cancels a draining move at two hosts at once, checks that
// the leaving engines take requests again, and resumes the move.
func TestConcurrentOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newDeployment(t)
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
		assert.Assert(t, sinceLastRequest < clocker.Second, "leaving engines get no requests after the cancel")

		assert.NilError(t, w.host("b-1").publishState("resume", messenger.MoveState_STARTED))
		resumedAt := w.clock.Now()
		w.checkFinish()
		w.assertNoRequestsAfter(resumedAt)
	})
}
