package runner

import (
	"testing"
	"testing/synctest"

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

// A host tells another one that a service is brittle, before that one has sent it a request, and of the end;
// their clocks differ.
func TestHeartbeatsCarryBrittleness(t *testing.T) {
	ownClock, otherClock := clocker.NewManual(50_000), clocker.NewManual(9_000)
	own, other := newTestBackendPool(ownClock), newTestBackendPool(otherClock)
	own.Replace([]storer.Object{serverEntry("one", "")}, 0)
	own.RecordActivity("one", chooser.StatusReport{Brittleness: &chooser.Brittleness{Brittle: true, RejectionsPerSecond: 2.5, SentAt: 49_900}})
	ownClock.Advance(300)
	other.applyBrittlenessOfBeat(&messenger.Beat{Brittleness: own.brittleness()})
	perSecond, brittle := other.chooser.Brittle("s")
	assert.Assert(t, brittle && perSecond == 2.5)

	ownClock.Advance(1000)
	otherClock.Advance(1000)
	own.RecordActivity("one", chooser.StatusReport{Brittleness: &chooser.Brittleness{SentAt: ownClock.Now() - 100}})
	other.applyBrittlenessOfBeat(&messenger.Beat{Brittleness: own.brittleness()})
	_, brittle = other.chooser.Brittle("s")
	assert.Assert(t, !brittle)
}

// The hosts of a fleet share the positions for a server among them, each one once.
func TestHostsAgreeOnTheirPositions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, smallFleet)
		for _, server := range []string{"one", "two"} {
			taken := map[int]bool{}
			for _, h := range f.hosts {
				taken[h.sharePosition(server)] = true
			}
			for position := range f.hosts {
				assert.Assert(t, taken[position], "%s: position %d", server, position)
			}
		}
	})
}
