package claimer_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cowsliphinge/claimer"
	"cowsliphinge/clocker"
	"cowsliphinge/standin/platform"
)

const (
	simulatedHosts = 3
	// mutationSeeds is the number of runs within which each mutation must be detected.
	mutationSeeds = 5000
	// scheduleLength is the number of choices of one run.
	scheduleLength = 160
)

// schedule is the list of choices that determines a run.
type schedule []byte

// choose takes the next choice and returns it as a number from 0 to n-1. An
// exhausted schedule returns 0.
func (t *schedule) choose(n int) int {
	if len(*t) == 0 || n == 0 {
		return 0
	}
	c := int((*t)[0]) % n
	*t = (*t)[1:]
	return c
}

// callEffects are the effects that the scheduler chooses from. Half of them let
// the call succeed.
var callEffects = []callEffect{deliver, deliver, deliver, deliver, loseAnswer, drop, delay, refuse}

// clockSteps are the amounts by which the clock is advanced: one retry interval,
// past a request's deadline, and past the lifetime of a ticket.
var clockSteps = []clocker.Millis{250, 250, 6 * clocker.Second, 2 * clocker.Hour}

// checkSchedule runs a schedule and returns the violations found.
func checkSchedule(t *testing.T, choices schedule, mutation mutation) (violation error) {
	_, violation = runSchedule(t, choices, mutation)
	return violation
}

// runSchedule runs a schedule and returns the number of decisions for each verdict
// and the violations found.
func runSchedule(t *testing.T, choices schedule, mutation mutation) (verdicts map[claimer.Verdict]int, violation error) {
	synctest.Test(t, func(*testing.T) {
		sim := newSimulation(mutation, simulatedHosts)
		defer sim.shutdown()
		keys := []string{"k0", "k1", sim.hosts[0].claimer.IssueTicket("mason")}
		for len(choices) > 0 && violation == nil {
			sim.step(&choices, &keys)
			violation = sim.violation()
		}
		if violation == nil {
			violation = sim.retryAll(keys)
		}
		if violation == nil {
			violation = sim.checkHistory()
		}
		verdicts = sim.verdicts
	})
	return verdicts, violation
}

// step takes one step of a schedule: it sends a request, advances the clock, disturbs
// the hosts or, most often, resumes a parked call.
func (sim *simulation) step(choices *schedule, keys *[]string) {
	calls := sim.waiting()
	switch action := choices.choose(16); {
	case action < 3:
		h := sim.hosts[choices.choose(len(sim.hosts))]
		if !h.crashed {
			body := []string{"urn", "urn", "urn", "plaque"}[choices.choose(4)]
			sim.sendRequest(h, (*keys)[choices.choose(len(*keys))], body)
		}
	case action == 3:
		sim.clock.Advance(clockSteps[choices.choose(len(clockSteps))])
	case action == 4:
		sim.disturb(choices, keys)
	case len(calls) > 0:
		call := calls[choices.choose(len(calls))]
		sim.resume(call, callEffects[choices.choose(len(callEffects))])
	default:
		sim.clock.Advance(clockSteps[0])
	}
	synctest.Wait()
}

// disturb delivers delayed writes, changes what hosts believe of each other,
// crashes or stops a host, or issues another ticket.
func (sim *simulation) disturb(choices *schedule, keys *[]string) {
	h := sim.hosts[choices.choose(len(sim.hosts))]
	switch choices.choose(5) {
	case 0:
		sim.releaseDelayed()
	case 1:
		sim.mu.Lock()
		sim.aliveInverted = !sim.aliveInverted
		sim.mu.Unlock()
	case 2:
		sim.crash(h)
	case 3:
		sim.stop(h)
	case 4:
		if !h.crashed && !h.stopped {
			*keys = append(*keys, h.claimer.IssueTicket("mason"))
		}
	}
}

// crash ends an incarnation permanently and starts a new host. Writes of the crashed
// incarnation that are under way may still take effect.
func (sim *simulation) crash(h *host) {
	if h.crashed || len(sim.hosts) > 5 {
		return
	}
	sim.mu.Lock()
	h.crashed = true
	sim.mu.Unlock()
	sim.start(fmt.Sprintf("h-%x-0", len(sim.hosts)+1))
}

// stop closes a host's claimer gracefully; the host may still receive requests.
func (sim *simulation) stop(h *host) {
	if h.crashed || h.stopped {
		return
	}
	h.stopped = true
	ctx := context.WithValue(sim.ctx, workerKey{}, "stop")
	go func() { _ = h.claimer.Close(ctx) }()
}

// retryAll delivers delayed writes, lets all calls return, and then sends a request
// for each key to a new host. No request may run twice.
func (sim *simulation) retryAll(keys []string) error {
	sim.releaseDelayed()
	last := sim.start("last-ff-0")
	sim.runUntilIdle()
	for _, key := range keys {
		sim.sendRequest(last, key, "urn")
	}
	sim.runUntilIdle()
	return sim.violation()
}

// runUntilIdle resumes calls without faults until only background tasks wait.
func (sim *simulation) runUntilIdle() {
	sim.runUntilIdleFor(1, deliverAll)
}

// runUntilIdleFor resumes calls until none is parked for the given number of retry
// intervals.
func (sim *simulation) runUntilIdleFor(intervals int, outcomeOf func(*parkedCall) callEffect) {
	idle := 0
	for range 4000 {
		calls := sim.waiting()
		if len(calls) > 0 {
			idle = 0
			sim.resume(calls[0], outcomeOf(calls[0]))
			continue
		}
		if idle++; idle > intervals {
			return
		}
		sim.clock.Advance(clockSteps[0])
	}
}

// Checks with schedules drawn by rapid that no request runs twice, that verdicts agree
// with what ran, and that the history is linearizable.
func TestAtMostOnceMachine(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		choices := rapid.SliceOfN(rapid.Byte(), scheduleLength/2, scheduleLength).Draw(rt, "tape")
		if err := checkSchedule(t, choices, noMutation); err != nil {
			rt.Fatal(err)
		}
	})
}

// Checks that the simulation detects each mutation of the code.
func TestPlantedFaultsAreCaught(t *testing.T) {
	mutations := []mutation{unknownIsSuccess, unconditionalCreate, reclaimDead, foreignTicketAccepted, releaseAfterSilence, failedReadIsFree}
	for _, mutation := range mutations {
		t.Run(string(mutation), func(t *testing.T) {
			for seed := range uint64(mutationSeeds) {
				if err := checkSchedule(t, randomSchedule(seed), mutation); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Errorf("not detected with seeds 0 to %d", mutationSeeds-1)
		})
	}
}

// Checks random schedules for violations, and that together they lead to every
// verdict.
func TestRandomSchedulesCoverAllVerdicts(t *testing.T) {
	total := map[claimer.Verdict]int{}
	for seed := range uint64(300) {
		verdicts, err := runSchedule(t, randomSchedule(seed), noMutation)
		assert.NilError(t, err, "seed %d", seed)
		for verdict, n := range verdicts {
			total[verdict] += n
		}
	}
	t.Logf("verdicts: %v", total)
	for v := claimer.Owned; v <= claimer.UnknownForNow; v++ {
		assert.Assert(t, total[v] > 0, "no run led to %s", v)
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

// TestConcurrentHistories runs requests concurrently without the scheduler, so that
// the race detector sees real interleavings, and checks the recorded history.
func TestConcurrentHistories(t *testing.T) {
	synctest.Test(t, runConcurrently)
}

func runConcurrently(t *testing.T) {
	sim := newSimulation(noMutation, 4)
	defer sim.cancel()
	sim.unscheduled = true
	rng := rand.New(rand.NewPCG(7, 7))
	for i := range 400 {
		sim.sendRequest(sim.hosts[rng.IntN(len(sim.hosts))], fmt.Sprintf("k%d", i/40*4+rng.IntN(4)), "urn")
		switch rng.IntN(8) {
		case 0:
			sim.store.SetFaults(platform.Faults{LoseAnswers: 1 + rng.IntN(2)})
		case 1:
			sim.store.SetFaults(platform.Faults{DropWrites: 1})
		case 2:
			sim.store.SetFaults(platform.Faults{DelayWrites: 1})
		case 3:
			sim.store.ReleaseDelayed()
		}
		if i%8 == 0 {
			advanceUntilDone(sim.clock, sim.requests.Wait)
		}
	}
	advanceUntilDone(sim.clock, sim.requests.Wait)
	assert.NilError(t, sim.violation())
	assert.NilError(t, sim.checkHistory())
	sim.mu.Lock()
	defer sim.mu.Unlock()
	t.Logf("verdicts: %v", sim.verdicts)
	assert.Equal(t, len(sim.runs), 40)
}

// TestMain sets the seed of package rapid to 1 unless -rapid.seed is given, so that
// runs are reproducible. Other runs: -rapid.seed=N -rapid.checks=M.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	os.Exit(m.Run())
}
