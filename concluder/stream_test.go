package concluder

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against streams that end too early and look complete: nothing proves the end of a stream but a server that has sent
// the last event of the caller, and its own end.
func TestStreamIsWholeOnlyBehindItsLastEvent(t *testing.T) {
	for mask := range 1 << 5 {
		e := StreamEnd{Complete: mask&1 > 0, Unproven: mask&2 > 0, Partial: mask&4 > 0, CaughtUp: mask&8 > 0, LeavesWithAllTokens: mask&16 > 0}
		if e.Whole() {
			assert.Assert(t, e.CaughtUp && !e.Partial && (e.Complete || e.Unproven && e.LeavesWithAllTokens), "%+v", e)
		}
	}
	assert.Assert(t, StreamEnd{Complete: true, CaughtUp: true}.Whole())
}

// Guards against a silent server that is left for one that has shown nothing, and against two servers that keep a request.
func TestSilentServerIsLeftOnlyForProgressOrForWantOfTime(t *testing.T) {
	for _, second := range []Shown{Nothing, Progress, Failure} {
		for _, over := range []bool{false, true} {
			assert.Equal(t, Overlap{FirstHasBytes: true, Second: second, Over: over}.Next(), KeepFirst)
		}
	}
	assert.Equal(t, Overlap{Second: Nothing}.Next(), Wait)
	assert.Equal(t, Overlap{Second: Progress}.Next(), TakeOver)
	assert.Equal(t, Overlap{Second: Failure}.Next(), TryNext)
	assert.Equal(t, Overlap{Second: Failure, Over: true}.Next(), TryNext)
	assert.Equal(t, Overlap{Over: true}.Next(), TakeOver)
}

func ExampleResumeAfter() {
	fmt.Println(ResumeAfter(3))
	fmt.Println(ResumeAfter(1))
	// Output:
	// 2 true
	// 0 false
}
