package runner

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

// Pattern: a host whose watch hangs knows an old state, while the others agree on a
// new one.
func TestDiffersFromAnAgreedValueAfterAWhile(t *testing.T) {
	var m majority
	others := []uint64{7, 7, 5, 0}
	assert.Assert(t, !m.differs(5, others, 1000, 0), "two of four are no majority")
	others = []uint64{7, 7, 7, 5}
	assert.Assert(t, !m.differs(5, others, 1000, 100))
	assert.Assert(t, !m.differs(5, others, 1000, 1000))
	assert.Assert(t, m.differs(5, others, 1000, 1100))
	assert.Assert(t, !m.differs(5, others, 1000, 1200), "asked just now")
	assert.Assert(t, m.differs(5, others, 1000, 2100))
	assert.Assert(t, !m.differs(7, others, 1000, 5000))
}

// Pattern: servers come and go all the time. The others agree on a new value at each
// look, which this host will hear of by its own watch.
func TestMovingValueIsNoDifference(t *testing.T) {
	var m majority
	for now := clocker.Millis(0); now < 10*clocker.Second; now += 500 {
		assert.Assert(t, !m.differs(1, []uint64{uint64(now) + 2, uint64(now) + 2}, 1000, now))
	}
}
