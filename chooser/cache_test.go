package chooser

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against: parts of prompts as no sound caller names them (of no or less than no
// tokens, of very many, or very many of few) fill the memory of a host, or end a request
// with a panic.
func TestMemoryOfPartsIsBounded(t *testing.T) {
	for _, capacity := range []int{420_042, 1000, math.MaxInt, -5} {
		for _, tokens := range []int{math.MinInt, -1 << 40, -1, 0, 1, 700, 1 << 62, math.MaxInt} {
			c := partCache{capacity: capacity}
			for i := range 20_000 {
				c.add(PromptPart{ID: fmt.Sprint("odd", i), Tokens: tokens})
			}
			assert.Assert(t, len(c.byID) <= 4096, "%d parts of %d tokens in a memory of %d", len(c.byID), tokens, capacity)
			c.add(PromptPart{ID: "sound", Tokens: 300})
			assert.Equal(t, c.has("sound"), capacity > 0, "behind parts of %d tokens in a memory of %d", tokens, capacity)
		}
	}
}

func TestLeastRecentlyUsedPartsYield(t *testing.T) {
	c := partCache{capacity: 1000}
	for _, id := range []string{"a", "b", "c", "a", "d"} {
		c.add(PromptPart{ID: id, Tokens: 300})
	}
	assert.Assert(t, c.has("a") && !c.has("b") && c.has("c") && c.has("d"))
}
