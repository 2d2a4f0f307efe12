package chooser

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against memory exhaustion and panics caused by malformed prompt parts: zero or
// negative token counts, huge token counts, or a very large number of small parts.
func TestPromptCacheIsBounded(t *testing.T) {
	for _, capacity := range []int{420_042, 1000, math.MaxInt, -5} {
		for _, tokens := range []int{math.MinInt, -1 << 40, -1, 0, 1, 700, 1 << 62, math.MaxInt} {
			c := promptCache{capacity: capacity}
			for i := range 20_000 {
				c.add(PromptPart{ID: fmt.Sprint("odd", i), Tokens: tokens})
			}
			assert.Assert(t, len(c.byID) <= 4096, "%d parts of %d tokens in a cache of %d tokens", len(c.byID), tokens, capacity)
			c.add(PromptPart{ID: "sound", Tokens: 300})
			assert.Equal(t, c.has("sound"), capacity > 0, "after parts of %d tokens in a cache of %d tokens", tokens, capacity)
		}
	}
}

func TestLeastRecentlyUsedPartsAreEvicted(t *testing.T) {
	c := promptCache{capacity: 1000}
	for _, id := range []string{"a", "b", "c", "a", "d"} {
		c.add(PromptPart{ID: id, Tokens: 300})
	}
	assert.Assert(t, c.has("a") && !c.has("b") && c.has("c") && c.has("d"))
}
