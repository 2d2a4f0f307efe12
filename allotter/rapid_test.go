package allotter_test

import (
	"flag"
	"os"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cowsliphinge/allotter"
)

// TestMain sets a fixed seed and run length unless flags are given, so that every CI
// run gives the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	explicit := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { explicit[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20260117", "rapid.steps": "120", "rapid.checks": "300", "rapid.nofailfile": "true", "rapid.shrinktime": "0s"} {
		if !explicit[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// randomRun returns a property that drives a fleet through random steps, with the
// given faults injected on all hosts.
func randomRun(fault allotter.Fault, reclaimEntries bool) func(*rapid.T) {
	return randomRunOf(newRandomFleet, fault, reclaimEntries)
}

func randomRunOf(newFleet func(hosts int) *randomFleet, fault allotter.Fault, reclaimEntries bool) func(*rapid.T) {
	return randomRunWith(newFleet, (*randomFleet).actions, fault, reclaimEntries)
}

func randomRunWith(newFleet func(hosts int) *randomFleet, actions func(*randomFleet) map[string]func(*rapid.T), fault allotter.Fault, reclaimEntries bool) func(*rapid.T) {
	return func(t *rapid.T) {
		f := newFleet(3)
		f.fault, f.reclaimEntries = fault, reclaimEntries
		for _, h := range f.hosts {
			f.injectFaults(h)
		}
		t.Repeat(actions(f))
		if err := f.shutDown(); err != nil {
			t.Fatal(err)
		}
		if err := f.checkCharges(); err != nil {
			t.Fatal(err)
		}
	}
}

func TestNoInterleavingOverspends(t *testing.T) {
	rapid.Check(t, randomRun("", false))
}

// The same with hosts that guard tokens, and that return those of a crashed host at their address. The planted faults
// show that the check sees it.
func TestNoInterleavingOverspendsWithGuards(t *testing.T) {
	rapid.Check(t, randomRunOf(newGuardedRandomFleet, "", false))
	for _, fault := range []allotter.Fault{allotter.RaiseBeforeConfirm, allotter.IgnoresLease, allotter.TrustsOldLeases, allotter.ReturnsOpened} {
		t.Run(string(fault), func(t *testing.T) {
			assert.Assert(t, findsFailure(t, randomRunOf(newGuardedRandomFleet, fault, false)))
		})
	}
}

// Guards against tokens that are spent twice because hosts balance what they have or return what is too small for a
// request. The planted faults show that the check sees it.
func TestNoInterleavingOverspendsWithBalancing(t *testing.T) {
	for _, newFleet := range []func(int) *randomFleet{newRandomFleet, newGuardedRandomFleet} {
		rapid.Check(t, randomRunWith(newFleet, (*randomFleet).balancingActions, "", false))
	}
	for _, fault := range []allotter.Fault{allotter.RaiseBeforeConfirm, allotter.IgnoresLease, allotter.TrustsOldLeases} {
		t.Run(string(fault), func(t *testing.T) {
			assert.Assert(t, findsFailure(t, randomRunWith(newGuardedRandomFleet, (*randomFleet).balancingActions, fault, false)))
		})
	}
}

func TestInjectedFaultsAreFound(t *testing.T) {
	for _, fault := range []allotter.Fault{
		allotter.RaiseBeforeConfirm, allotter.LowerAfterWrite, allotter.UnknownIsSuccess, allotter.SettleTwice,
	} {
		t.Run(string(fault), func(t *testing.T) {
			assert.Assert(t, findsFailure(t, randomRun(fault, false)))
		})
	}
	t.Run("reclaim by time-out", func(t *testing.T) {
		assert.Assert(t, findsFailure(t, randomRun("", true)))
	})
}

// recorder records a failure instead of failing the test.
type recorder struct {
	rapid.TB
	failed bool
}

func (r *recorder) Logf(string, ...any)   {}
func (r *recorder) Log(...any)            {}
func (r *recorder) Error(...any)          { r.failed = true }
func (r *recorder) Errorf(string, ...any) { r.failed = true }
func (r *recorder) Fail()                 { r.failed = true }
func (r *recorder) Failed() bool          { return r.failed }
func (r *recorder) Fatal(...any)          { r.FailNow() }
func (r *recorder) Fatalf(string, ...any) { r.FailNow() }

func (r *recorder) FailNow() {
	r.failed = true
	runtime.Goexit()
}

// findsFailure reports whether rapid finds a run that violates the property.
func findsFailure(t *testing.T, prop func(*rapid.T)) bool {
	r := &recorder{TB: t}
	done := make(chan struct{})
	go func() {
		defer close(done)
		rapid.Check(r, prop)
	}()
	<-done
	return r.failed
}
