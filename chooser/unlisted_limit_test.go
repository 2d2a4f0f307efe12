package chooser

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a new incarnation that is throttled by the limit of the one before: this host knew of the
// restart before the entry told of it, and another host still told of the limit.
func TestLimitOfAnEarlierIncarnationIsNotApplied(t *testing.T) {
	c, s := newRestarted()
	earlier := LimitReport{Server: "one", StartedAt: 1, Limited: true, At: 110}
	assert.Equal(t, len(c.ApplyLimitReports([]LimitReport{earlier}, 120)), 0)
	later := LimitReport{Server: "one", StartedAt: 2, Limited: true, PerSecond: 7, At: 115}
	assert.DeepEqual(t, c.ApplyLimitReports([]LimitReport{later}, 120), []string{"one"})
	s.StartedAt = 2
	c.Set(s)
	perSecond, limited := c.Limit("one")
	assert.Assert(t, limited && perSecond == 7)
}

// Guards against a limit that other hosts take for that of the earlier incarnation, or do not take at all.
func TestLimitIsToldOfTheIncarnationThatNamedIt(t *testing.T) {
	c, _ := newRestarted()
	c.RecordActivity("one", StatusReport{Limit: &RequestLimit{Named: true, PerSecond: 7, SentAt: 110}}, 120)
	assert.DeepEqual(t, c.LimitReports(130), []LimitReport{{Server: "one", StartedAt: 2, Limited: true, PerSecond: 7, At: 120}})
}
