package mover_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/mover"
)

const drainAt = 100 * clocker.Second

func smallMove() (*messenger.Move, []*messenger.MoveStep) {
	move := &messenger.Move{Name: "m", LeavingHosts: []string{"h"}, LeavingBackendServers: []string{"b"}, DrainAtMs: int64(drainAt)}
	return move, []*messenger.MoveStep{
		{Order: 1, Kind: mover.Drain, Target: "b", State: mover.Pending},
		{Order: 2, Kind: mover.Drain, Target: "h", State: mover.Pending},
		{Order: 3, Kind: mover.Return, Target: "h", State: mover.Pending},
	}
}

func TestAdvanceWaitsForEachCondition(t *testing.T) {
	drained := func() mover.Observation {
		return mover.Observation{
			Idle: map[string]bool{"b": true}, UnreturnedLimits: map[string]int64{"h": 0},
			Hosts: map[string]mover.HostObservation{"h": {Draining: true}},
		}
	}
	settled := drainAt + 16*clocker.Second
	cases := []struct {
		name   string
		now    clocker.Millis
		change func(*mover.Observation)
		done   int // steps done after two calls of Advance
		state  string
	}{
		{"all drained", settled, func(*mover.Observation) {}, 3, mover.Done},
		{"before the drain", drainAt - 1, func(*mover.Observation) {}, 0, mover.Pending},
		{"before reports are trusted", drainAt + 1, func(*mover.Observation) {}, 0, mover.Running},
		{"backend server busy", settled, func(s *mover.Observation) { s.Idle["b"] = false }, 2, mover.Running},
		{"a host still has requests on leaving servers", settled, func(s *mover.Observation) { s.LeavingInFlight = 1 }, 2, mover.Running},
		{"host takes callers", settled, func(s *mover.Observation) { s.Hosts["h"] = mover.HostObservation{} }, 1, mover.Done},
		{"host has requests", settled, func(s *mover.Observation) { s.Hosts["h"] = mover.HostObservation{Draining: true, InFlight: 1} }, 1, mover.Done},
		{"host is suspect before it drained", settled, func(s *mover.Observation) { s.Hosts["h"] = mover.HostObservation{Suspect: true} }, 1, mover.Done},
		{"host stopped after its drain", settled, func(s *mover.Observation) { s.Hosts["h"] = mover.HostObservation{Suspect: true, Draining: true} }, 3, mover.Done},
		{"limits not returned", settled, func(s *mover.Observation) { s.UnreturnedLimits["h"] = 1 }, 2, mover.Done},
		{"limits unknown", settled, func(s *mover.Observation) { s.UnreturnedLimits = nil }, 2, mover.Done},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			move, steps := smallMove()
			observed := drained()
			c.change(&observed)
			for range 2 {
				steps = mover.Advance(move, steps, observed, c.now)
			}
			done := 0
			for _, s := range steps {
				if s.State == mover.Done {
					done++
				}
			}
			assert.Equal(t, done, c.done, "%v", steps)
			assert.Equal(t, steps[0].State, c.state)
			assert.Equal(t, mover.Complete(steps), c.done == len(steps))
		})
	}
}

func TestPostponedOnlyShortlyBeforeAnUnreadyDrain(t *testing.T) {
	move, _ := smallMove()
	steps := []*messenger.MoveStep{{Kind: mover.Load, Target: "x", State: mover.Running, EstimatedMs: 25000}}
	assert.Assert(t, mover.Postponed(move, steps, drainAt-61*clocker.Second) == nil)
	assert.Assert(t, mover.Postponed(move, steps, drainAt-40*clocker.Second) == nil)
	postponed := mover.Postponed(move, steps, drainAt-30*clocker.Second)
	assert.Equal(t, postponed.DrainAtMs, int64(drainAt+mover.PostponeMs))
	assert.Assert(t, mover.Postponed(move, steps, drainAt) == nil)
	steps[0].EstimatedMs = 0
	assert.Assert(t, mover.Postponed(move, steps, drainAt-10*clocker.Second) == nil)
	assert.Assert(t, mover.Postponed(move, steps, drainAt-9*clocker.Second) != nil)
	steps[0].State = mover.Done
	assert.Assert(t, mover.Postponed(move, steps, drainAt-30*clocker.Second) == nil)
}

func TestPlanFindings(t *testing.T) {
	const now = 1000 * clocker.Second
	cases := []struct {
		name    string
		change  func(d *messenger.Declarations, m *messenger.Move)
		finding string // path of the finding that must be there; empty for none
		warning bool
	}{
		{"feasible", func(*messenger.Declarations, *messenger.Move) {}, "", false},
		{"unknown host", func(_ *messenger.Declarations, m *messenger.Move) { m.LeavingHosts = append(m.LeavingHosts, "x") }, "$", false},
		{"drain too soon", func(_ *messenger.Declarations, m *messenger.Move) { m.DrainAtMs = int64(now) }, "$.DrainAtMs", false},
		{"no time to drain", func(_ *messenger.Declarations, m *messenger.Move) { m.DueAtMs = m.DrainAtMs }, "$.DueAtMs", false},
		{"weight store too slow", func(d *messenger.Declarations, _ *messenger.Move) {
			d.Policy = &messenger.Policy{WeightStoreMbPerSecond: 1}
		}, "$.DrainAtMs", false},
		{"too little capacity", func(_ *messenger.Declarations, m *messenger.Move) {
			m.LeavingBackendServers = append(m.LeavingBackendServers, "b-engine-1")
			m.ArrivingBackendServers = nil
		}, "$.LeavingBackendServers", false},
		{"zone without hosts", func(_ *messenger.Declarations, m *messenger.Move) {
			m.LeavingHosts = append(m.LeavingHosts, "b-1", "b-2")
		}, "$.LeavingHosts", false},
		{"zone keeps hosts without servers", func(_ *messenger.Declarations, m *messenger.Move) { m.LeavingHosts = nil }, "$.LeavingBackendServers", true},
		{"zone with one host", func(_ *messenger.Declarations, m *messenger.Move) {
			m.LeavingHosts = append(m.LeavingHosts, "b-1")
		}, "$.LeavingHosts", true},
		{"longer than the offline reserve", func(_ *messenger.Declarations, m *messenger.Move) { m.DueAtMs += int64(clocker.Hour) }, "$.DueAtMs", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := declarations(now)
			c.change(d, d.Moves[0])
			report := mover.Plan(d, d.Moves[0], now)
			if c.finding == "" {
				assert.Equal(t, len(report.Findings), 0, "%v", report.Findings)
				assert.Equal(t, len(report.Steps), 10)
				return
			}
			found := false
			for _, f := range report.Findings {
				found = found || f.Path == c.finding && f.Warning == c.warning
			}
			assert.Assert(t, found, "%v", report.Findings)
		})
	}
}

// The planner and Postponed must use the same margin before the drain: otherwise
// a move that is planned without findings is postponed when it runs.
func TestPlanLeavesTimeAheadOfTheDrain(t *testing.T) {
	const now = 1000 * clocker.Second
	d := declarations(now)
	move := d.Moves[0]
	move.StartAtMs = int64(now)
	var needed clocker.Millis
	for _, s := range mover.Plan(d, move, now).Steps {
		if s.Kind == mover.Load || s.Kind == mover.Warm {
			needed += clocker.Millis(s.EstimatedMs)
		}
	}
	for _, c := range []struct {
		ahead    clocker.Millis
		findings int
	}{{9 * clocker.Second, 1}, {10 * clocker.Second, 0}} {
		move.DrainAtMs = int64(now + needed + c.ahead)
		move.DueAtMs = move.DrainAtMs + int64(2*clocker.Minute)
		report := mover.Plan(d, move, now)
		assert.Equal(t, len(report.Findings), c.findings, "%v", report.Findings)
	}
}
