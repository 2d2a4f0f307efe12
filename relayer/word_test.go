package relayer

import (
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/matcher"
)

func TestLeavingServerGetsNothingNewWhateverItAnswers(t *testing.T) {
	for name, first := range map[string]script{
		"an answer": answer(200, "x", "X-Leaving: 1"),
		"a failure": answer(500, "x", "X-Leaving: 1"),
		"a refusal": answer(503, "", "X-Not-Run: 1", "X-Leaving: 1"),
	} {
		t.Run(name, func(t *testing.T) {
			b := newBackend(t, first)
			w := newWorld(t, matcher.Route{Kind: matcher.Unsafe}, b)
			w.call(t, "POST", "/r/", "order")
			got := w.call(t, "POST", "/r/", "order")
			assert.Equal(t, got.status, 503)
			assert.Equal(t, b.runs(), 1)
		})
	}
}

// An answer of another server at the address tells nothing of the one that was meant.
func TestWordOfAnotherServerIsNotTaken(t *testing.T) {
	b := newBackend(t, answer(421, "", "X-Leaving: 1"), answer(200, "x"))
	w := newWorld(t, matcher.Route{Kind: matcher.Unsafe}, b)
	w.call(t, "POST", "/r/", "order")
	assert.Equal(t, w.call(t, "POST", "/r/", "order").status, 200)
}

func TestRefusalNamesTheEndOfAServersPause(t *testing.T) {
	b := newBackend(t, answer(503, "", "X-Not-Run: 1", "Retry-After: 1.5"))
	w := newWorld(t, matcher.Route{Kind: matcher.Unsafe}, b)
	for range 3 {
		got := w.call(t, "POST", "/r/", "order", "X-Time", "60000")
		assert.Equal(t, got.status, 503)
	}
	assert.Equal(t, b.runs(), 1)
	got := w.call(t, "POST", "/r/", "order", "X-Time", "60000")
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, after > 0.5 && after < 2, "%v", after)
}

func TestPausesOfServers(t *testing.T) {
	for header, want := range map[string]int64{"": 0, "0": 0, "-1": 0, "soon": 0, "NaN": 0, "+Inf": int64(maxPause), "1e99": int64(maxPause), "0.25": 250, "2": 2000} {
		got := int64(parsePause(header))
		if want > 0 {
			want += int64(pauseMargin)
		}
		assert.Equal(t, got, want, header)
	}
}
