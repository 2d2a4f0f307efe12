package allotter

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// Guards against tokens that are lost for good because a process came back after the end of its lease: it is charged
// with what can have been open until then, never with less than was used.
func TestTokensThatWereNotOpenAreReturnedAfterTheLease(t *testing.T) {
	lost := int64(0)
	for _, down := range []clocker.Millis{0, 300, 2000, 5000, 60_000} {
		f := newScheduledFleet(1, NoFault, false)
		h := f.hosts[0]
		h.spendOrWrite(500)
		h.write()
		before := h.allotter.cfg.Incarnation
		f.now += guardLease + clocker.Second // without the store
		used := f.consumed
		for h.spend(100) {
		}
		assert.Assert(t, f.consumed > used && h.allotter.Opened() > 0 && h.allotter.Headroom(guardBudget) < h.allotter.Held()/2, "a part is open")
		h.kill()
		f.now += down
		h.start()
		w, ok := h.plan()
		assert.Equal(t, ok && w.Returned > 0, down < clocker.Minute)
		h.write()
		entry := findEntry(f.object.Budgets[0], before)
		charged := assignedTo(entry)
		assert.Assert(t, charged >= f.consumed, "down for %d ms: %d tokens charged, %d used", down, charged, f.consumed)
		assert.Assert(t, charged-f.consumed >= lost, "down for %d ms: less is lost than after a shorter time", down)
		lost = charged - f.consumed
	}
}

// Guards against a write whose answer is lost and that states lower rates than the known content: both bind. The planted
// fault ignores the rates of the write.
func TestRatesOfWritesInDoubtBind(t *testing.T) {
	for _, fault := range []Fault{NoFault, OpensFasterInDoubt} {
		f := newScheduledFleet(1, fault, false)
		h := f.hosts[0]
		for range 10 { // much demand, so that the known rates are high
			f.now += 50
			assert.Assert(t, h.spendOrWrite(1000))
		}
		h.write()
		before := h.allotter.cfg.Incarnation
		f.now += 8 * clocker.Second
		h.allotter.ObserveContact(f.now)
		w, ok := h.plan()
		assert.Assert(t, ok && f.apply(w))
		h.allotter.OutcomeUnknown(w)
		f.now += guardLease + clocker.Second
		for h.spend(100) {
		}
		h.kill()
		h.start()
		h.write()
		charged := assignedTo(findEntry(f.object.Budgets[0], before))
		assert.Equal(t, charged < f.consumed, fault != NoFault, "%s: %d tokens charged, %d used", fault, charged, f.consumed)
	}
}

// Guards against overflows and against fields that another build leaves out or fills in wrongly: what is charged grows
// with the time, stays between nothing and the guarded tokens, and is never less than what the rates open.
func TestOpenedTokensStayWithinBounds(t *testing.T) {
	times := []clocker.Millis{0, 1, 200, 1000, 5000, clocker.Hour, 100_000 * clocker.Hour}
	for _, r := range []openRates{{1, 1}, {7, 3}, {1000, 100_000}, {MaxGranted, MaxGranted}, {math.MaxInt64, math.MaxInt64}} {
		for _, slowTime := range []clocker.Millis{math.MinInt64 / 2, -1, 0, 1200, clocker.Hour, math.MaxInt64 / 2} {
			for _, guarded := range []int64{0, 1, 999, MaxGranted} {
				before := int64(0)
				for _, elapsed := range times {
					charged := r.openedAtMost(guarded, elapsed, slowTime)
					assert.Assert(t, charged >= before && charged <= guarded && charged >= min(guarded, r.opened(elapsed, slowTime)))
					before = charged
				}
			}
		}
	}
	assert.Equal(t, openRates{100, 1000}.opened(1500, 1000), int64(100+500))
	assert.Equal(t, openRates{100, 1000}.opened(1500, 0), int64(1500), "without FastAfterMs the fast rate begins with the end of the lease")
	assert.Equal(t, slowerRates(openRates{5, 50}, openRates{}), openRates{5, 50})
	assert.Equal(t, slowerRates(openRates{5, 50}, openRates{9, 20}), openRates{5, 20})
}

// Guards against fields that are missing, negative or huge: an entry that states no rates is charged in full after its
// lease, and one without FastAfterMs by its fast rate from the end of the lease on.
func TestMalformedSchedulesReturnNoMoreThanProved(t *testing.T) {
	const elapsed = guardLease + 2*clocker.Second
	for name, c := range map[string]struct {
		change func(h *messenger.Holder, l *messenger.GuardLease)
		// returned are the tokens returned of 10,000 guarded ones of a limit of 11,000. With 1,000 and 2,000 tokens a second from
		// one second after the lease on, 3,000 are open after 2 s, and 440 in the margin.
		returned int64
	}{
		"none":                  {func(*messenger.Holder, *messenger.GuardLease) {}, 10_000 - 3000 - 440 - 1},
		"no slow rate":          {func(h *messenger.Holder, _ *messenger.GuardLease) { h.OpenPerSecond = 0 }, 0},
		"no fast rate":          {func(h *messenger.Holder, _ *messenger.GuardLease) { h.FastPerSecond = 0 }, 0},
		"negative rate":         {func(h *messenger.Holder, _ *messenger.GuardLease) { h.OpenPerSecond = math.MinInt64 }, 0},
		"huge rate":             {func(h *messenger.Holder, _ *messenger.GuardLease) { h.FastPerSecond = math.MaxInt64 }, 0},
		"no start of fast rate": {func(_ *messenger.Holder, l *messenger.GuardLease) { l.FastAfterMs = 0 }, 10_000 - 4000 - 440 - 1},
		"negative start":        {func(_ *messenger.Holder, l *messenger.GuardLease) { l.FastAfterMs = math.MinInt64 }, 10_000 - 4000 - 440 - 1},
		"no duration":           {func(_ *messenger.Holder, l *messenger.GuardLease) { l.DurationMs = 0 }, 0},
		"negative duration":     {func(_ *messenger.Holder, l *messenger.GuardLease) { l.DurationMs = math.MinInt64 }, 0},
		"guarded beyond limit":  {func(h *messenger.Holder, _ *messenger.GuardLease) { h.Guarded = math.MaxInt64 }, 11_000 - 3000 - 440 - 1},
		"negative guarded":      {func(h *messenger.Holder, _ *messenger.GuardLease) { h.Guarded = -1 }, 0},
	} {
		f := newScheduledFleet(1, NoFault, false)
		a := f.hosts[0].allotter
		g := a.cfg.Guard
		h := &messenger.Holder{Incarnation: "dead", Limit: 11_000, Guarded: 10_000, OpenPerSecond: 1000, FastPerSecond: 2000}
		l := &messenger.GuardLease{
			Incarnation: "dead", Address: g.Address, AtMs: int64(g.StartedAt - elapsed), BootMs: int64(g.BootAt - elapsed),
			DurationMs: int64(guardLease), FastAfterMs: int64(guardLease + clocker.Second),
		}
		c.change(h, l)
		returned, _ := a.returnable(l, h, 0)
		assert.Check(t, returned == c.returned, "%s: %d returned, %d expected", name, returned, c.returned)
	}
}

// Rates are missing where nothing is guarded, or where the guard has no schedule, as in earlier builds.
func TestRatesFollowTheDemand(t *testing.T) {
	g := &GuardConfig{LeaseTime: 2000, OpenFactor: 1, OpenShare: 0.5, FastAfter: 3000, FastFactor: 8, OpenTime: 4000}
	assert.Equal(t, g.openRates(&messenger.Holder{Guarded: 4000, PerSecond: 300}, 1000), openRates{300, 2400})
	assert.Equal(t, g.openRates(&messenger.Holder{Guarded: 4000, PerSecond: 3000}, 1000), openRates{500, 24_000}, "half of the unguarded part in a second")
	assert.Equal(t, g.openRates(&messenger.Holder{Guarded: 4000}, 0), openRates{1, 1000})
	assert.Equal(t, g.openRates(&messenger.Holder{PerSecond: 300}, 1000), openRates{})
	assert.Equal(t, (&GuardConfig{LeaseTime: 2000}).openRates(&messenger.Holder{Guarded: 4000, PerSecond: 300}, 1000), openRates{})
}
