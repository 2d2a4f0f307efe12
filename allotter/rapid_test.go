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

// TestMain fixes the seed and the length of runs unless flags say otherwise, so
// that each run of CI gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20260117", "rapid.steps": "120", "rapid.checks": "300", "rapid.nofailfile": "true", "rapid.shrinktime": "0s"} {
		if !given[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// run draws one run of a fleet in which all hosts make the planted mistakes.
func run(mistake allotter.Mistake, reclaims bool) func(*rapid.T) {
	return func(t *rapid.T) {
		m := newMachine(3)
		m.mistake, m.reclaims = mistake, reclaims
		for _, h := range m.hosts {
			m.plant(h)
		}
		t.Repeat(m.actions())
		if err := m.wind(); err != nil {
			t.Fatal(err)
		}
		if err := m.settled(); err != nil {
			t.Fatal(err)
		}
	}
}

func TestNoInterleavingOverspends(t *testing.T) {
	rapid.Check(t, run("", false))
}

func TestPlantedMistakesAreFound(t *testing.T) {
	for _, mistake := range []allotter.Mistake{
		allotter.RaiseBeforeConfirm, allotter.LowerAfterWrite, allotter.UnknownIsSuccess, allotter.SettleTwice,
	} {
		t.Run(string(mistake), func(t *testing.T) {
			assert.Assert(t, fails(t, run(mistake, false)))
		})
	}
	t.Run("reclaim by time-out", func(t *testing.T) {
		assert.Assert(t, fails(t, run("", true)))
	})
}

// recorder notes a failure in place of failing.
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

// fails reports whether the check finds a failing run.
func fails(t *testing.T, prop func(*rapid.T)) bool {
	r := &recorder{TB: t}
	done := make(chan struct{})
	go func() {
		defer close(done)
		rapid.Check(r, prop)
	}()
	<-done
	return r.failed
}
