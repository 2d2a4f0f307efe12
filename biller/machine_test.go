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
	// tapeLength is the number of choices of a run.
	tapeLength = 120
	// mutationSeeds bounds the runs in which a planted fault must be caught.
	mutationSeeds = 2000
)

type tape []byte

func (t *tape) next(n int) int {
	if len(*t) == 0 || n == 0 {
		return 0
	}
	c := int((*t)[0]) % n
	*t = (*t)[1:]
	return c
}

var outcomes = []outcome{deliver, deliver, deliver, loseAnswer, drop, delay}

// play runs the choices of a tape: at most one host dies, anything else may
// fail, and afterwards all bills are written, each counted once.
func play(t *testing.T, choices tape, m mutation) (violation error) {
	synctest.Test(t, func(*testing.T) {
		w := newWorld(m, "akl-a", "akl-a", "akl-b")
		defer w.shutdown()
		for len(choices) > 0 {
			w.act(&choices)
		}
		w.drain()
		w.releaseDelayed()
		violation = w.check()
	})
	return violation
}

func (w *world) act(choices *tape) {
	steps := w.waiting()
	h := w.hosts[choices.next(len(w.hosts))]
	switch action := choices.next(16); {
	case action < 4 && !h.crashed && !h.stopped:
		w.record(h, fmt.Sprintf("r%d", len(w.billed)), int64(10+choices.next(50)))
	case action == 4:
		w.clock.Advance([]clocker.Millis{300, clocker.Second, 10 * clocker.Second, clocker.Hour}[choices.next(4)])
	case action == 5 && w.crashes == 0 && !h.stopped:
		w.crash(h)
	case action == 6:
		w.releaseDelayed()
	case action == 7 && choices.next(4) == 0:
		w.stop(h)
	case len(steps) > 0:
		w.resume(steps[choices.next(len(steps))], outcomes[choices.next(len(outcomes))])
	default:
		w.clock.Advance(clocker.Second)
	}
	synctest.Wait()
}

// stop closes a biller gracefully.
func (w *world) stop(h *host) {
	if h.crashed || h.stopped || w.crashes > 0 {
		return
	}
	w.mu.Lock()
	h.stopped = true
	w.mu.Unlock()
	go func() { _ = h.biller.Close(w.ctx) }()
}

func TestBillOnceMachine(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		choices := rapid.SliceOfN(rapid.Byte(), tapeLength/2, tapeLength).Draw(rt, "tape")
		if err := play(t, choices, none); err != nil {
			rt.Fatal(err)
		}
	})
}

func TestRandomTapesHold(t *testing.T) {
	for seed := range uint64(100) {
		assert.NilError(t, play(t, randomTape(seed), none), "seed %d", seed)
	}
}

func TestPlantedFaultsAreCaught(t *testing.T) {
	for _, m := range []mutation{billWithoutCopy, sumWithoutMerge, unknownIsWritten} {
		t.Run(string(m), func(t *testing.T) {
			for seed := range uint64(mutationSeeds) {
				if err := play(t, randomTape(seed), m); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Errorf("not caught by seeds 0 to %d", mutationSeeds-1)
		})
	}
}

func randomTape(seed uint64) tape {
	rng := rand.New(rand.NewPCG(seed, 1))
	choices := make(tape, tapeLength)
	for i := range choices {
		choices[i] = byte(rng.IntN(256))
	}
	return choices
}

// TestDeaths shows how many of 30 bills that were reported safe are lost when
// hosts die ten seconds later, for three ways to keep bills.
func TestDeaths(t *testing.T) {
	for _, c := range []struct {
		way  string
		dead int
		lost int64
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
		t.Run(fmt.Sprintf("%s, %d dead", c.way, c.dead), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				lost, writes := deaths(c.way, c.dead)
				t.Logf("%d bills lost, %d platform writes before the deaths", lost, writes)
				assert.Equal(t, lost, c.lost)
			})
		})
	}
}

func deaths(way string, dead int) (lost, writes int64) {
	m := none
	if way == "memory only" {
		m = billWithoutCopy
	}
	w := newWorld(m, "akl-a", "akl-a", "akl-b")
	defer w.shutdown()
	w.alone = way == "written before the last byte"
	for i := range 30 {
		w.record(w.hosts[0], fmt.Sprint(i), 7)
		w.settleCalls()
	}
	w.clock.Advance(clocker.Second)
	w.settleCalls()
	writes = w.store.Counts().Writes
	for _, h := range w.hosts[:dead] {
		w.crash(h)
		if way == "second host, a minute apart" {
			w.outage(clocker.Minute)
		}
	}
	w.drain()
	sum, _ := w.sum()
	for _, safe := range w.safe {
		if safe {
			lost++
		}
	}
	return lost - sum.Requests, writes
}

// outage lets time pass while the platform does not answer.
func (w *world) outage(d clocker.Millis) {
	for until := w.clock.Now() + d; w.clock.Now() < until; {
		for _, s := range w.waiting() {
			o := deliver
			if s.kind != "copy" {
				o = drop
			}
			w.resume(s, o)
		}
		w.clock.Advance(clocker.Second)
	}
}

// settleCalls resumes calls until none waits.
func (w *world) settleCalls() {
	for steps := w.waiting(); len(steps) > 0; steps = w.waiting() {
		w.resume(steps[0], deliver)
	}
}

func TestCloseWritesEverything(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(none, "akl-a", "akl-a")
		defer w.shutdown()
		for i := range 10 {
			w.record(w.hosts[0], fmt.Sprint(i), 3)
			w.settleCalls()
		}
		w.crash(w.hosts[0])
		w.closeNow(w.hosts[1])
		assert.Equal(t, w.waiting()[0].kind, "create")
		w.resume(w.waiting()[0], loseAnswer)
		w.settleCalls()
		sum, err := w.sum()
		assert.NilError(t, err)
		assert.Equal(t, sum.Requests, int64(10))
		assert.Equal(t, sum.Tokens, int64(30))
	})
}

func (w *world) closeNow(h *host) {
	go func() { _ = h.biller.Close(context.WithoutCancel(w.ctx)) }()
}

func TestForeignObjectDoesNotSwallowABatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(none, "akl-a")
		defer w.shutdown()
		foreign, err := proto.Marshal(&messenger.BillBatch{Incarnation: "h0", Bills: []*messenger.Bill{
			{ClientAccount: "mason", Budget: "mason", RequestId: "other", Tokens: 5},
		}})
		assert.NilError(t, err)
		_, err = w.store.Create(t.Context(), "bill/h0/000000000000", foreign)
		assert.NilError(t, err)
		w.record(w.hosts[0], "r", 3)
		w.drain()
		sum, err := w.sum()
		assert.NilError(t, err)
		assert.Equal(t, sum.Requests, int64(2))
		assert.Equal(t, sum.Tokens, int64(8))
	})
}

// TestMain fixes the seed of package rapid, so that each run gives the same
// verdict. Other seeds: -rapid.seed=N -rapid.checks=M.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	os.Exit(m.Run())
}

func TestStoppedHostLeavesNoCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(none, "akl-a", "akl-a")
		defer w.shutdown()
		w.record(w.hosts[0], "r", 3)
		w.settleCalls()
		w.closeNow(w.hosts[0])
		w.settleCalls()
		writes := w.store.Counts().Writes
		w.crash(w.hosts[0])
		w.drain()
		assert.Equal(t, w.store.Counts().Writes, writes, "the holder wrote nothing again")
	})
}
