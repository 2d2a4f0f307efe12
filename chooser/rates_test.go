package chooser

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

// Engines of one speed, one of them half as fast, and one first event in five ten times late. Guards against fixed rates
// of one deployment, against rates that outliers spoil, and against rates without bounds.
func TestRatesAreLearnedFromFirstEvents(t *testing.T) {
	for _, rate := range []float64{36.7, 92, 400, 0.001} {
		c := newTwoZoneChooser(2)
		random := rand.New(rand.NewPCG(1, 1))
		assert.Equal(t, *c.rates("engine"), Rates{PerToken: 1.0 / 92, PerBatched: 6, PerQueued: 50}, "initially the fixed ones")
		for i := range 600 {
			id := []string{"a0", "a1", "b0", "b1"}[i%4]
			d := Dispatch{UncachedTokens: 1000 + random.IntN(8000), Batched: float64(random.IntN(5)), Slowdown: 1}
			after := firstEventBaseMs + 6*d.Batched + float64(d.UncachedTokens)/rate
			if id == "b1" {
				after *= 2
			}
			if random.IntN(5) == 0 {
				after *= 10
			}
			c.RecordActivity(id, StatusReport{FirstEvent: &FirstEvent{Dispatch: d, After: clocker.Millis(after)}}, clocker.Millis(i))
		}
		learned := 1 / c.rates("engine").PerToken
		if rate < 1 {
			assert.Assert(t, learned >= 92.0/maxPrefillFactor-1e-9)
			continue
		}
		assert.Assert(t, learned > rate/2.5 && learned < rate*1.5, "%.1f tokens/ms, learned %.1f", rate, learned)
		ratio := c.servers["b1"].speed.slowness / c.servers["a0"].speed.slowness
		assert.Assert(t, ratio > 1.2 && ratio < 2.5, "%g", ratio)
	}
}

// Guards against observations that count again with each message, and against values out of range from other hosts.
func TestSpeedsOfOtherHostsCountOnce(t *testing.T) {
	c, other := newTwoZoneChooser(2), newTwoZoneChooser(2)
	for range 10 {
		other.servers["a0"].speed.observe(0.5)
	}
	for range 20 {
		c.ApplySpeedReports("other", other.SpeedReports())
	}
	assert.Assert(t, math.Abs(c.servers["a0"].speed.slowness-other.servers["a0"].speed.slowness) < 1e-9)
	assert.Equal(t, len(c.SpeedReports()), 0, "only own observations are told")
	for i, bad := range []float64{math.NaN(), math.Inf(1), -1, 1e300, 1e-300, 0} {
		c.ApplySpeedReports(fmt.Sprint(i), []SpeedReport{{Server: "a1", Slowness: bad, Evidence: math.Inf(1)}, {Server: "a1", Slowness: 2, Evidence: bad}, {Server: "none", Slowness: 1, Evidence: 1}})
	}
	f := c.servers["a1"].speed.factor()
	assert.Assert(t, f >= 1.0/maxSlowness && f <= maxSlowness)
	c.Set(Server{ID: "a0", Service: "engine", Address: "10.0.0.1:1", AvailabilityZone: "a", Slots: 8, StartedAt: 9})
	c.ApplySpeedReports("other", other.SpeedReports())
	assert.Equal(t, c.servers["a0"].speed.factor(), 1.0, "it was another incarnation")
}

// A server reports a slow machine, and later nothing. Guards against requests to it now, and against a report that
// counts after it has become stale.
func TestReportedSlowdownFades(t *testing.T) {
	c := newTwoZoneChooser(2)
	r := Request{Service: "engine", Prompt: []PromptPart{{ID: "own", Tokens: 4000}}}
	c.RecordActivity("a0", StatusReport{Load: &Load{Slots: 8}, Slowdown: 4}, 1000)
	c.RecordActivity("a1", StatusReport{Load: &Load{Slots: 8}, Slowdown: 0.1}, 1000)
	got := map[string]int{}
	for range 100 {
		early, _ := choose(c, r, 1010)
		assert.Assert(t, early.ID != "a0")
		late, _ := choose(c, r, 1000+slowdownLifetime)
		got[late.ID]++
	}
	assert.Assert(t, got["a0"] > 25 && got["a1"] > 25, "%v: a fast machine draws no more than others", got)
}

// An engine reports waiting requests, or this host's own prompts fill its memory. Guards against engines that fall over,
// and against refusals while none has room.
func TestFullEngineGetsNothingWhileOthersHaveRoom(t *testing.T) {
	r := Request{Service: "engine", Prompt: []PromptPart{{ID: "own", Tokens: 9000}}}
	c := newTwoZoneChooser(1)
	c.RecordActivity("a0", StatusReport{Load: &Load{Running: 1, Queued: 3, Slots: 8}}, 10)
	s, _ := choose(c, r, 20)
	assert.Equal(t, s.ID, "b0")
	for range 3 { // 27,000 of 100,000 tokens
		c.Start("b0", r)
	}
	_, ok := choose(c, r, 20)
	assert.Assert(t, ok, "none has room")
	s, _ = choose(c, r, 20+maxLoadAge)
	assert.Equal(t, s.ID, "a0", "its report is old")
	for range 3 {
		c.Release("b0", r)
		c.Finish("b0", NoFailure, 30)
	}
	s, _ = choose(c, r, 20)
	assert.Equal(t, s.ID, "b0")
}

// A server joins a service whose hosts have each sent some requests. Guards against hosts that all send their next ones to
// it.
func TestNewServerIsNotSentTheNextRequestsOfAllHosts(t *testing.T) {
	toNew := 0
	for _, c := range newChoosers(60, 10) {
		for range 40 {
			s, _ := choose(c, shortRequest, 0)
			c.Start(s.ID, shortRequest)
			c.Finish(s.ID, NoFailure, 0)
		}
		c.Set(Server{ID: "a99", Service: "engine", Address: "10.0.0.1:1", AvailabilityZone: "a", Slots: 12})
		if s, _ := choose(c, shortRequest, 10); s.ID == "a99" {
			toNew++
		}
	}
	assert.Assert(t, toNew <= 15, "%d of 60", toNew)
}

func BenchmarkChooseEngine(b *testing.B) {
	for _, prompt := range [][]PromptPart{nil, prompt("session")} {
		b.Run(fmt.Sprintf("parts=%d", len(prompt)), func(b *testing.B) {
			c := newTwoZoneChooser(62)
			r := Request{Service: "engine", Prompt: prompt}
			for i := range b.N {
				choice := c.Choose(r, clocker.Millis(i))
				c.Start(choice.Server.ID, r)
				c.RecordActivity(choice.Server.ID, StatusReport{Load: &Load{Running: 3, Slots: 8}}, clocker.Millis(i))
				c.Finish(choice.Server.ID, NoFailure, clocker.Millis(i))
			}
		})
	}
}
