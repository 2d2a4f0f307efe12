package logger

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a log full of one odd object, which each list of the store returns again.
func TestOneLineForEachRevision(t *testing.T) {
	var f RevisionFilter
	assert.Assert(t, f.First("servers/a", 4))
	assert.Assert(t, !f.First("servers/a", 4))
	assert.Assert(t, f.First("servers/b", 4))
	assert.Assert(t, f.First("servers/a", 5))
	for i := range 2 * maxFilteredKeys {
		f.First(fmt.Sprint(i), 1)
	}
	assert.Assert(t, len(f.last) <= maxFilteredKeys)
}
