package versioner_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cowsliphinge/versioner"
)

func Example() {
	before, after := versioner.New(1, 129), versioner.New(2, 62)
	fmt.Println(after > before, versioner.Era(after), versioner.Revision(after))
	// Output: true 2 62
}

// A revision that is given out again must not look older than those of the era before, and a store
// without eras keeps its revisions as versions.
func TestVersionsFollowErasAndThenRevisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		eras := rapid.Int64Range(0, versioner.MaxEra)
		revisions := rapid.Int64Range(0, versioner.MaxRevision)
		e1, e2, r1, r2 := eras.Draw(t, "e1"), eras.Draw(t, "e2"), revisions.Draw(t, "r1"), revisions.Draw(t, "r2")
		a, b := versioner.New(e1, r1), versioner.New(e2, r2)
		assert.Equal(t, a < b, e1 < e2 || e1 == e2 && r1 < r2)
		assert.Equal(t, versioner.Era(a), e1)
		assert.Equal(t, versioner.Revision(a), r1)
		assert.Equal(t, versioner.New(0, r1), r1)
	})
	assert.Equal(t, versioner.New(-1, -1), int64(0))
	assert.Equal(t, versioner.Revision(versioner.New(1, 1<<62)), int64(versioner.MaxRevision))
}
