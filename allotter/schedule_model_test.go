package allotter

import (
	"flag"
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

var scheduleTable = flag.Bool("schedule.table", false, "TestScheduleModel prints a table of all schedules")

// The load of the model: 6 holders, a budget of 500 requests of 200 tokens, of which 2.2% are used each second
// for 10 s before something happens. Requests go to the holders in turn; one that lacks tokens borrows what
// others have open, and then writes if the store answers. The store answers at once and without conflicts. The
// settings are those of package runner, but for the schedule.
const (
	modelHolders = 6
	modelRequest = 200
	modelDemand  = 0.022 * guardGrant // tokens per second
	modelWarmUp  = 10 * clocker.Second
	modelTick    = 10 * clocker.Millis(1)
	// modelShare is a holder's part of the unassigned tokens and its headroom, in thousandths, where all hold
	// 30% of what remains.
	modelShare = 66
	// presentLease is the lease of builds without a schedule.
	presentLease = 3200 * clocker.Millis(1)
	// oldestLease is the greatest age of a lease while the store answers, the longest interval of renewals.
	oldestLease = 1200 * clocker.Millis(1)
)

// schedule is a candidate: the lease, the slow rate as a multiple of the demand and its bound as a share of the
// unguarded tokens, the time since the start of the lease at which the fast rate begins, that rate as a multiple of
// the demand, and the time in which all is open. An openTime of 0 means that all opens at the end of the lease.
type schedule struct {
	lease         clocker.Millis
	factor, share float64
	fastAfter     clocker.Millis
	fastFactor    float64
	openTime      clocker.Millis
}

// scheduleModel is a fleet under the load of the model.
type scheduleModel struct {
	*guardFleet
	due    float64
	turn   int
	writes int
	// refused are the tokens of refused requests, refusedOwed those of them that the holders held.
	refused, refusedOwed int64
}

func newScheduleModel(s schedule) *scheduleModel {
	f := &guardFleet{configure: func(g *GuardConfig) {
		g.LeaseTime, g.OpenFactor, g.OpenShare, g.FastAfter, g.FastFactor, g.OpenTime, g.DrawHorizon = s.lease, s.factor, s.share, s.fastAfter, s.fastFactor, s.openTime, presentLease
	}}
	m := &scheduleModel{guardFleet: newConfiguredFleet(modelHolders, f)}
	for i, h := range f.hosts {
		h.allotter.cfg.Guard.RenewInterval = clocker.Millis(900 + 50*i)
	}
	return m
}

func (m *scheduleModel) conditions(h *guardHost) Conditions {
	c := h.conditions()
	c.BatchRaiseThreshold = 0.95
	c.Policy = &messenger.Policy{FloorTokens: MaxGranted, MaxShareOfRestMilli: modelShare, HeadroomMs: 1500, BusyShareOfRestMilli: 100}
	return c
}

// run lets a time pass at a demand, with or without the store.
func (m *scheduleModel) run(d clocker.Millis, demand float64, store bool) {
	for end := m.now + d; m.now < end; m.now += modelTick {
		for _, h := range m.hosts {
			if store {
				m.writeIfDue(h)
			}
		}
		for m.due += demand * float64(modelTick) / float64(clocker.Second); m.due >= modelRequest; m.due -= modelRequest {
			m.serve(store)
		}
	}
}

// writeIfDue is that of a host, under the conditions of the model.
func (m *scheduleModel) writeIfDue(h *guardHost) {
	if !h.allotter.PlatformCallDue(m.conditions(h)) {
		return
	}
	var promises map[string]clocker.Millis
	if len(h.allotter.PromisesWanted(m.now)) > 0 {
		promises = h.promises()
	}
	h.read()
	c := m.conditions(h)
	c.GuardPromises = promises
	if w, ok := h.allotter.Plan(c); ok && m.apply(w) {
		m.writes++
		h.allotter.Confirm(w, m.version, m.now)
	}
}

// serve handles a request.
func (m *scheduleModel) serve(store bool) {
	m.turn++
	h := m.hosts[m.turn%modelHolders]
	if h.spend(modelRequest) {
		return
	}
	for _, other := range m.hosts {
		lacking := modelRequest - h.allotter.Headroom(guardBudget)
		if other != h && lacking > 0 {
			ask := &messenger.TransferAsk{Budget: guardBudget, Tokens: lacking, Needed: lacking}
			h.allotter.Receive(other.allotter.cfg.Incarnation, other.allotter.TransferTo(h.allotter.cfg.Incarnation, ask, m.now))
		}
	}
	if h.spend(modelRequest) {
		return
	}
	if store {
		h.allotter.AddWaiting(guardBudget, modelRequest, 0)
		m.writeIfDue(h)
		h.allotter.AddWaiting(guardBudget, -modelRequest, 0)
		if h.spend(modelRequest) {
			return
		}
	}
	m.refused += modelRequest
	if m.held() >= modelRequest {
		m.refusedOwed += modelRequest
	}
}

func (m *scheduleModel) held() int64 {
	var sum int64
	for _, h := range m.hosts {
		sum += h.allotter.Held()
	}
	return sum
}

// outage returns the tokens refused though holders held them, and all that were served, in percent of the grant,
// while the store is away.
func (s schedule) outage(d clocker.Millis, factor float64) (refusedOwed, served float64) {
	m := newScheduleModel(s)
	m.run(modelWarmUp, modelDemand, true)
	consumed := m.consumed
	m.refusedOwed = 0
	m.run(d, factor*modelDemand, false)
	return percent(m.refusedOwed), percent(m.consumed - consumed)
}

// death returns the tokens lost with the death of all holders, in percent of the grant: the mean and the most over
// the ages that leases have at the death. The processes are back a time after it, or after the
// last lease. Other demand than usual lasts up to 1.2 s before, little demand 10 s.
func (s schedule) death(factor float64, back clocker.Millis, afterLease bool, ages int) (mean, most float64) {
	for i := range ages {
		m := newScheduleModel(s)
		m.run(modelWarmUp, modelDemand, true)
		if factor < 1 {
			m.run(modelWarmUp, factor*modelDemand, true)
		}
		m.run(clocker.Millis(i)*oldestLease/clocker.Millis(ages), factor*modelDemand, true)
		var lease clocker.Millis
		for _, l := range m.object.Leases {
			lease = max(lease, clocker.Millis(l.AtMs))
		}
		for _, h := range m.hosts {
			h.kill()
		}
		if afterLease {
			m.now = max(m.now, lease+back)
		} else {
			m.now += back
		}
		for _, h := range m.hosts {
			h.start()
		}
		for range 2 {
			for _, h := range m.hosts {
				h.write()
			}
		}
		lost := percent(guardGrant - m.consumed - max(0, Unassigned(m.object.Budgets[0])) - m.held())
		mean += lost / float64(ages)
		most = max(most, lost)
	}
	return mean, most
}

func percent(tokens int64) float64 {
	return math.Round(1000*float64(tokens)/guardGrant) / 10
}

// writesPerSecond returns the writes of a calm fleet in a second.
func (s schedule) writesPerSecond() float64 {
	m := newScheduleModel(s)
	m.run(modelWarmUp, modelDemand, true)
	m.writes = 0
	m.run(10*clocker.Second, modelDemand, true)
	return float64(m.writes) / 10
}

// chosenSchedule is that of package runner.
var chosenSchedule = schedule{lease: 2000, factor: 1, share: 1, fastAfter: presentLease, fastFactor: 7.5, openTime: 3000}

// Guards against a schedule that loses more than 4% of a grant with the death of all holders, that serves less without
// the store than the lease alone, or that costs writes.
func TestChosenScheduleKeepsItsBounds(t *testing.T) {
	const bound = 4.0
	leaseOnly := schedule{lease: presentLease}
	for _, factor := range []float64{1, 0.1, 7.5} {
		_, killed := chosenSchedule.death(factor, 900, true, 4)
		_, most := chosenSchedule.death(factor, 1800, false, 8)
		_, late := chosenSchedule.death(factor, 5000, true, 2)
		_, lateLeaseOnly := leaseOnly.death(factor, 5000, true, 2)
		t.Logf("demand %g times: %.1f%%, %.1f%% and %.1f%% lost, %.1f%% with the lease alone", factor, killed, most, late, lateLeaseOnly)
		assert.Check(t, killed <= bound && most <= bound)
		assert.Check(t, late < lateLeaseOnly)
	}
	owed, served := chosenSchedule.outage(6*clocker.Second, 1)
	owedLeaseOnly, servedLeaseOnly := leaseOnly.outage(6*clocker.Second, 1)
	assert.Check(t, owed < 0.8*owedLeaseOnly && served > servedLeaseOnly)
	_, served = chosenSchedule.outage(3*clocker.Second, 7.5)
	_, servedLeaseOnly = leaseOnly.outage(3*clocker.Second, 7.5)
	assert.Check(t, served > servedLeaseOnly)
	assert.Check(t, chosenSchedule.writesPerSecond() <= leaseOnly.writesPerSecond())
}

// TestScheduleTable prints the figures from which the schedule was chosen (docs/design/guard-schedule.md).
func TestScheduleTable(t *testing.T) {
	if !*scheduleTable {
		t.Skip("only with -schedule.table")
	}
	candidates := []schedule{
		{lease: presentLease},
		{2000, 1, 0.5, presentLease, 7.5, 3000},
		{2000, 1, 1, presentLease, 7.5, 3000},
		{2000, 1.5, 1, presentLease, 7.5, 3000},
		{2400, 1, 1, presentLease, 7.5, 3000},
		{2400, 1.5, 1, presentLease, 7.5, 3000},
		{2400, 2, 1, presentLease, 7.5, 3000},
		{2400, 2, 1, presentLease, 7.5, 1500},
		{2000, 0, 0, 2000, 1, 6000},
		{2000, 0, 0, 2000, 2, 6000},
		{2000, 0, 0, 2000, 7.5, 3000},
		{2000, 0, 0, 2000, 7.5, 1500},
		{lease: 2000},
	}
	for _, s := range candidates {
		row := fmt.Sprintf("| %d | %g, %g | %d | %g, %d |", s.lease, s.factor, s.share, s.fastAfter, s.fastFactor, s.openTime)
		for _, factor := range []float64{1, 7.5} {
			for _, d := range []clocker.Millis{3 * clocker.Second, 6 * clocker.Second} {
				owed, served := s.outage(d, factor)
				row += fmt.Sprintf(" %.1f, %.1f |", owed, served)
			}
		}
		for _, factor := range []float64{1, 0.1, 7.5} {
			for _, back := range []clocker.Millis{750, 1800, 2500, 5000} {
				mean, most := s.death(factor, back, true, 24)
				row += fmt.Sprintf(" %.1f, %.1f |", mean, most)
			}
			mean, most := s.death(factor, 1800, false, 24)
			row += fmt.Sprintf(" %.1f, %.1f |", mean, most)
		}
		t.Logf("%s %.1f |", row, s.writesPerSecond())
	}
}
