package runner

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

// Pattern: the store drops its history, and the watches of nearly all hosts hang. One
// host that hears of a new version is enough.
func TestOneHostThatKnowsMoreIsEnough(t *testing.T) {
	var l lag
	assert.Assert(t, !l.lasts(5, 5, 600, 0))
	assert.Assert(t, !l.lasts(5, 7, 600, 100), "the own watch may bring it")
	assert.Assert(t, !l.lasts(5, 7, 600, 600))
	assert.Assert(t, l.lasts(5, 8, 600, 700), "versions that go on do not start the wait anew")
	assert.Assert(t, !l.lasts(5, 8, 600, 800), "asked just now")
	assert.Assert(t, l.lasts(5, 8, 600, 1300))
	assert.Assert(t, !l.lasts(8, 8, 600, 5000))
	assert.Assert(t, !l.lasts(8, 9, 600, 9000))
}

// Pattern: a storm of versions that the own watch follows a step behind.
func TestFollowingIsNoLag(t *testing.T) {
	var l lag
	for now := clocker.Millis(0); now < 10*clocker.Second; now += 500 {
		version := int64(now)
		assert.Assert(t, !l.lasts(version, version+1, 600, now))
		assert.Assert(t, !l.lasts(version+1, version+1, 600, now+100))
	}
}
