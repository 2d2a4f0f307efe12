package biller_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"testing/synctest"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

const (
	// scheduleLength is the number of choices of a run.
	scheduleLength = 120
	// faultSeeds is the number of seeds within which an injected fault must be detected.
	faultSeeds = 2000
)

type schedule []byte

func (t *schedule) choose(n int) int {
	if len(*t) == 0 || n == 0 {
		return 0
	}
	c := int((*t)[0]) % n
	*t = (*t)[1:]
	return c
}

var outcomes = []outcome{deliver, deliver, deliver, loseAnswer, drop, delay}

// runSchedule runs the choices of a schedule. At most one host crashes; any call may
// fail. Afterwards all bills must be written, and each must count once.
func runSchedule(t *testing.T, choices schedule, fault injectedFault) (violation error) {
	synctest.Test(t, func(*testing.T) {
		w := newSimulation(fault, "akl-a", "akl-a", "akl-b")
		defer w.shutdown()
		for len(choices) > 0 {
			w.takeStep(&choices)
		}
		w.runUntilTakenOver()
		w.releaseDelayed()
		violation = w.checkSum()
	})
	return violation
}

func (w *simulation) takeStep(choices *schedule) {
	calls := w.parkedCalls()
	h := w.hosts[choices.choose(len(w.hosts))]
	switch action := choices.choose(16); {
	case action < 4 && !h.crashed && !h.stopped:
		w.record(h, fmt.Sprintf("r%d", len(w.billed)), int64(10+choices.choose(50)))
	case action == 4:
		w.clock.Advance([]clocker.Millis{300, clocker.Second, 10 * clocker.Second, clocker.Hour}[choices.choose(4)])
	case action == 5 && w.crashes == 0 && !h.stopped:
		w.crash(h)
	case action == 6:
		w.releaseDelayed()
	case action == 7 && choices.choose(4) == 0:
		w.stop(h)
	case len(calls) > 0:
		w.resume(calls[choices.choose(len(calls))], outcomes[choices.choose(len(outcomes))])
	default:
		w.clock.Advance(clocker.Second)
	}
	synctest.Wait()
}

// stop closes the biller of a host gracefully.
func (w *simulation) stop(h *host) {
	if h.crashed || h.stopped || w.crashes > 0 {
		return
	}
	w.mu.Lock()
	h.stopped = true
	w.mu.Unlock()
	go func() { _ = h.biller.Close(w.ctx) }()
}

func TestAnyScheduleCountsBillsOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		choices := rapid.SliceOfN(rapid.Byte(), scheduleLength/2, scheduleLength).Draw(rt, "tape")
		if err := runSchedule(t, choices, noFault); err != nil {
			rt.Fatal(err)
		}
	})
}

func TestRandomSchedulesCountBillsOnce(t *testing.T) {
	for seed := range uint64(100) {
		assert.NilError(t, runSchedule(t, randomSchedule(seed), noFault), "seed %d", seed)
	}
}

func TestPlantedFaultsAreCaught(t *testing.T) {
	for _, m := range []injectedFault{billWithoutCopy, sumWithoutMerge, unknownIsWritten} {
		t.Run(string(m), func(t *testing.T) {
			for seed := range uint64(faultSeeds) {
				if err := runSchedule(t, randomSchedule(seed), m); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Errorf("fault not detected by seeds 0 to %d", faultSeeds-1)
		})
	}
}

func randomSchedule(seed uint64) schedule {
	rng := rand.New(rand.NewPCG(seed, 1))
	choices := make(schedule, scheduleLength)
	for i := range choices {
		choices[i] = byte(rng.IntN(256))
	}
	return choices
}

// TestDeaths counts how many of 30 bills whose Record returned nil are lost when
// hosts crash one second later, for three ways of keeping bills.
func TestDeaths(t *testing.T) {
	for _, c := range []struct {
		strategy string
		crashed  int
		lost     int64
	}{
		{"memory only", 0, 0},
		{"memory only", 1, 30},
		{"memory only", 2, 30},
		{"written before the last byte", 0, 0},
		{"written before the last byte", 1, 0},
		{"written before the last byte", 2, 0},
		{"second host", 0, 0},
		{"second host", 1, 0},
		{"second host", 2, 30},
		{"second host, a minute apart", 2, 0},
	} {
		t.Run(fmt.Sprintf("%s, %d dead", c.strategy, c.crashed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				lost, writes := loseBills(c.strategy, c.crashed)
				t.Logf("%d bills lost, %d platform writes before the deaths", lost, writes)
				assert.Equal(t, lost, c.lost)
			})
		})
	}
}

func loseBills(strategy string, crashed int) (lost, writes int64) {
	fault := noFault
	if strategy == "memory only" {
		fault = billWithoutCopy
	}
	w := newSimulation(fault, "akl-a", "akl-a", "akl-b")
	defer w.shutdown()
	w.noPeers = strategy == "written before the last byte"
	for i := range 30 {
		w.record(w.hosts[0], fmt.Sprint(i), 7)
		w.deliverAll()
	}
	w.clock.Advance(clocker.Second)
	w.deliverAll()
	writes = w.store.Counts().Writes
	for _, h := range w.hosts[:crashed] {
		w.crash(h)
		if strategy == "second host, a minute apart" {
			w.outage(clocker.Minute)
		}
	}
	w.runUntilTakenOver()
	sum, _ := w.sum()
	for _, safe := range w.acknowledged {
		if safe {
			lost++
		}
	}
	return lost - sum.Requests, writes
}

// outage advances the clock while the platform does not answer.
func (w *simulation) outage(d clocker.Millis) {
	for until := w.clock.Now() + d; w.clock.Now() < until; {
		for _, s := range w.parkedCalls() {
			o := deliver
			if s.kind != "copy" {
				o = drop
			}
			w.resume(s, o)
		}
		w.clock.Advance(clocker.Second)
	}
}

// deliverAll resumes calls without faults until none is parked.
func (w *simulation) deliverAll() {
	for calls := w.parkedCalls(); len(calls) > 0; calls = w.parkedCalls() {
		w.resume(calls[0], deliver)
	}
}

func TestCloseWritesOwnBillsAndCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(noFault, "akl-a", "akl-a")
		defer w.shutdown()
		for i := range 10 {
			w.record(w.hosts[0], fmt.Sprint(i), 3)
			w.deliverAll()
		}
		w.crash(w.hosts[0])
		w.startClose(w.hosts[1])
		assert.Equal(t, w.parkedCalls()[0].kind, "create")
		w.resume(w.parkedCalls()[0], loseAnswer)
		w.deliverAll()
		sum, err := w.sum()
		assert.NilError(t, err)
		assert.Equal(t, sum.Requests, int64(10))
		assert.Equal(t, sum.Tokens, int64(30))
	})
}

func (w *simulation) startClose(h *host) {
	go func() { _ = h.biller.Close(context.WithoutCancel(w.ctx)) }()
}

func TestBatchIsRenumberedWhenItsKeyIsTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(noFault, "akl-a")
		defer w.shutdown()
		foreign, err := proto.Marshal(&messenger.BillBatch{Incarnation: "h0", Bills: []*messenger.Bill{
			{ClientAccount: "mason", Budget: "mason", RequestId: "other", Tokens: 5},
		}})
		assert.NilError(t, err)
		_, err = w.store.Create(t.Context(), "bill/h0/000000000000", foreign)
		assert.NilError(t, err)
		w.record(w.hosts[0], "r", 3)
		w.runUntilTakenOver()
		sum, err := w.sum()
		assert.NilError(t, err)
		assert.Equal(t, sum.Requests, int64(2))
		assert.Equal(t, sum.Tokens, int64(8))
	})
}

// TestMain fixes the seed of package rapid, so that each run has the same result.
// Set another one with -rapid.seed=N -rapid.checks=M.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	os.Exit(m.Run())
}

func TestCloseReleasesCopiesOnPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(noFault, "akl-a", "akl-a")
		defer w.shutdown()
		w.record(w.hosts[0], "r", 3)
		w.deliverAll()
		w.startClose(w.hosts[0])
		w.deliverAll()
		writes := w.store.Counts().Writes
		w.crash(w.hosts[0])
		w.runUntilTakenOver()
		assert.Equal(t, w.store.Counts().Writes, writes, "the holder does not write the bills again")
	})
}
