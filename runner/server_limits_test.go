package runner

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/chooser"
	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/storer"
)

// A host tells another one of a limit and of its end, as heartbeats do; their clocks differ.
func TestHeartbeatsCarryLimitsOfServers(t *testing.T) {
	ownClock, otherClock := clocker.NewManual(50_000), clocker.NewManual(9_000)
	own, other := newTestBackendPool(ownClock), newTestBackendPool(otherClock)
	own.Replace([]storer.Object{serverEntry("one", "")}, 0)
	other.Replace([]storer.Object{serverEntry("one", "")}, 0)
	own.RecordActivity("one", chooser.StatusReport{Limit: &chooser.RequestLimit{Named: true, PerSecond: 1.75, SentAt: 49_900}})
	ownClock.Advance(300)
	other.applyLimitsOfBeat(&messenger.Beat{Limits: own.serverLimits()})
	perSecond, limited := other.chooser.Limit("one")
	assert.Assert(t, limited && perSecond == 1.75)

	ownClock.Advance(1000)
	otherClock.Advance(1000)
	own.RecordActivity("one", chooser.StatusReport{Limit: &chooser.RequestLimit{SentAt: ownClock.Now() - 100}})
	other.applyLimitsOfBeat(&messenger.Beat{Limits: own.serverLimits()})
	_, limited = other.chooser.Limit("one")
	assert.Assert(t, !limited)
	ownClock.Advance(clocker.Minute)
	assert.Equal(t, len(own.serverLimits()), 0)
}
