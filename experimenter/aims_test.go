package experimenter_test

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/experimenter"
)

// capacity is about what the engines answer a second under least in flight.
const capacity = 50

func parameters(load float64) experimenter.Parameters {
	p := experimenter.Defaults()
	p.Rate = capacity * load
	p.Length = 45_000
	return p
}

func TestFirstTokenBeatsLeastInFlight(t *testing.T) {
	t.Parallel()
	p := parameters(0.9)
	routed := experimenter.Run(p, experimenter.Routed)
	plain := experimenter.Run(p, experimenter.LeastInFlight)
	t.Logf("seed %d: p99 %.0f ms against %.0f ms", p.Seed, routed.P99, plain.P99)
	assert.Assert(t, routed.P99 <= 0.75*plain.P99)
}

func TestGoodputStaysFlatPastSaturation(t *testing.T) {
	t.Parallel()
	peak := experimenter.Run(parameters(1.4), experimenter.Routed)
	over := experimenter.Run(parameters(2), experimenter.Routed)
	t.Logf("seed %d: %.1f/s at 1.4, %.1f/s at 2", parameters(2).Seed, peak.Goodput, over.Goodput)
	assert.Assert(t, over.Goodput >= 0.95*peak.Goodput)
}

func TestLargeAccountStarvesNone(t *testing.T) {
	t.Parallel()
	p := parameters(2)
	p.Demand = []float64{10, 1, 1, 1, 1, 1, 1, 1, 1, 1}
	result := experimenter.Run(p, experimenter.Routed)
	t.Logf("seed %d: shares %.2f", p.Seed, result.Shares)
	assert.Assert(t, slices.Min(result.Shares[1:]) >= 0.9)
	assert.Assert(t, result.Shares[0] < 0.6)
}

func TestRetriesStayWithinBudget(t *testing.T) {
	t.Parallel()
	p := parameters(0.5)
	p.FailingShare = 0.3
	result := experimenter.Run(p, experimenter.Routed)
	t.Logf("seed %d: amplification %.2f", p.Seed, result.Amplification())
	assert.Assert(t, result.Amplification() > 1.05)
	assert.Assert(t, result.Amplification() < 1.2)
}

func TestSlowEngineIsShunned(t *testing.T) {
	t.Parallel()
	p := parameters(0.5)
	p.SlowEngine = 10
	routed := experimenter.Run(p, experimenter.Routed)
	plain := experimenter.Run(p, experimenter.LeastInFlight)
	t.Logf("seed %d: %d late against %d", p.Seed, routed.Ends["late"], plain.Ends["late"])
	assert.Assert(t, plain.Ends["late"] > 0)
	assert.Assert(t, routed.Ends["late"] < plain.Ends["late"])
}

func TestZoneLossIsRetriedElsewhere(t *testing.T) {
	t.Parallel()
	p := parameters(0.5)
	p.ZoneGoneAt = 25_000
	result := experimenter.Run(p, experimenter.Routed)
	t.Logf("seed %d: %v", p.Seed, result.Ends)
	assert.Equal(t, result.Answered, result.Offered)
}

func TestRunsRepeat(t *testing.T) {
	t.Parallel()
	p := parameters(1.2)
	p.Length = 40_000
	first := experimenter.Run(p, experimenter.Routed)
	second := experimenter.Run(p, experimenter.Routed)
	assert.DeepEqual(t, first.Ends, second.Ends)
	assert.Equal(t, first.P99, second.P99)
}
