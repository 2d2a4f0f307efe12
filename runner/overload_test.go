package runner

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
)

// Pattern: one tenant's callers all arrive at one small host, whose neighbours idle.
// It turns new connections away until its timers are on time again.
func TestHotHostTurnsNewConnectionsAway(t *testing.T) {
	var o overload
	now := clocker.Millis(0)
	play := func(late clocker.Millis, can bool, d clocker.Millis) bool {
		high := false
		for end := now + d; now < end; now += lagPause + late {
			high = o.note(late, can, now)
		}
		return high
	}
	assert.Assert(t, !play(1, true, 5*clocker.Second))
	assert.Assert(t, !play(90, true, 300), "a short burst")
	assert.Assert(t, play(90, true, 3*clocker.Second))
	assert.Assert(t, play(1, true, clocker.Second), "ceased before the balancer noticed")
	assert.Assert(t, !play(1, true, 4*clocker.Second))
}

// Pattern: a surge at all hosts. Nobody turns callers away: they have no better place.
func TestSurgeEverywhereMovesNobody(t *testing.T) {
	var o overload
	for now := clocker.Millis(0); now < 10*clocker.Second; now += 100 {
		assert.Assert(t, !o.note(200, false, now))
	}
	zone := []heartbeater.Peer{{InFlight: 40}, {InFlight: 60}}
	assert.Assert(t, !othersCan(60, zone))
	assert.Assert(t, othersCan(120, zone))
	assert.Assert(t, !othersCan(120, nil))
}
