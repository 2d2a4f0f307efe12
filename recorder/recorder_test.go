package recorder

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cowsliphinge/clocker"
)

const lifetime = clocker.Minute

func ExampleRecorder() {
	r := New(0)
	r.Began(Origin{Stream: StreamHash("request-1"), Software: "v1"}, lifetime, 0)
	fmt.Println(r.Find(StreamHash("request-1")))
	fmt.Println(r.Find(StreamHash("request-2")))
	// Output:
	// v1 true
	//  false
}

// A stream keeps its first origin while it may go on, and the memory is bounded.
func TestOriginsAreKeptForTheirLifetime(t *testing.T) {
	r := New(0)
	r.Began(Origin{Stream: 1, Software: "v1"}, lifetime, 0)
	r.Add(Origin{Stream: 1, Software: "v2"}, lifetime, 1)
	for now := clocker.Millis(0); now <= lifetime; now += clocker.Second {
		r.Add(Origin{Stream: uint64(1000 + now), Software: "v2"}, lifetime, now)
		software, known := r.Find(1)
		assert.Assert(t, known && software == "v1")
	}
	for now := lifetime; now <= 4*lifetime; now += lifetime + 1 {
		r.Add(Origin{Stream: uint64(now), Software: "v2"}, lifetime, now)
	}
	_, known := r.Find(1)
	assert.Assert(t, !known)
	for i := range uint64(5 * maxStreams) {
		r.Began(Origin{Stream: i}, lifetime, 0)
	}
	assert.Assert(t, len(r.newer)+len(r.older) <= 2*maxStreams && len(r.own) <= maxStreams)
}

// What this host began is passed on once, but not what can't go on any more.
func TestOwnOriginsArePassedOnOnce(t *testing.T) {
	r := New(0)
	r.Began(Origin{Stream: 1}, lifetime, 0)
	r.Began(Origin{Stream: 2}, lifetime, lifetime)
	r.Add(Origin{Stream: 3}, lifetime, lifetime)
	assert.DeepEqual(t, r.TakeOwn(lifetime, lifetime+1), []Origin{{Stream: 2}})
	assert.Equal(t, len(r.TakeOwn(lifetime, lifetime+1)), 0)
}

// The hosts that are asked include those that were told, whichever host began a stream and whichever
// asks.
func TestAskedHostsIncludeThoseThatWereTold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := make([]string, rapid.IntRange(2, 200).Draw(t, "hosts"))
		for i := range hosts {
			hosts[i] = fmt.Sprint("front-", i)
		}
		stream := rapid.Uint64().Draw(t, "stream")
		others := func(self string) []string {
			return slices.DeleteFunc(slices.Clone(hosts), func(h string) bool { return h == self })
		}
		began := rapid.SampledFrom(hosts).Draw(t, "began")
		asks := rapid.SampledFrom(hosts).Draw(t, "asks")
		asked := Keepers(stream, others(asks), 3)
		for _, told := range Keepers(stream, others(began), 2) {
			assert.Assert(t, told == asks || slices.Contains(asked, told))
		}
	})
}

// A host that starts must not take today's version for the only one before it has read the record, nor
// while the record has another one that may have begun streams.
func TestOnlyVersionIsKnownByTheRecord(t *testing.T) {
	v := NewVersions()
	v.Seen("s", "v2", 1)
	_, known := v.Only("s", lifetime, 1)
	assert.Assert(t, !known)
	v.ApplyRecord(map[string][]string{"s": {"v1"}, "other": {"v7"}}, 1)
	_, known = v.Only("s", lifetime, 1)
	assert.Assert(t, !known && v.Several(lifetime, 1))
	only, known := v.Only("other", lifetime, 1)
	assert.Assert(t, known && only == "v7")
	for now := clocker.Millis(1); now <= 2+lifetime; now += clocker.Second {
		v.Seen("s", "v2", now)
	}
	v.Seen("s", "v2", 2+lifetime)
	only, known = v.Only("s", lifetime, 2+lifetime)
	assert.Assert(t, known && only == "v2" && !v.Several(lifetime, 2+lifetime))
	assert.Assert(t, v.Outdated(lifetime, 2+lifetime))
	assert.DeepEqual(t, v.Record(lifetime, 2+lifetime), map[string][]string{"s": {"v2"}})
}

// Servers of a new version get requests once the record has it, also when it comes back, and after a
// while if the store can't be written.
func TestNewVersionWaitsForTheRecord(t *testing.T) {
	v := NewVersions()
	v.ApplyRecord(map[string][]string{"s": {"v1"}}, 1)
	now := clocker.Second
	v.Seen("s", "v1", now)
	v.Seen("s", "v2", now)
	assert.Assert(t, v.Admitted("s", "v1", now) && !v.Admitted("s", "v2", now) && !v.Admitted("s", "v3", now))
	since, waiting := v.Waiting(now)
	assert.Assert(t, waiting && since == now)
	v.ApplyRecord(map[string][]string{"s": {"v1", "v2"}}, now)
	_, waiting = v.Waiting(now)
	assert.Assert(t, !waiting && v.Admitted("s", "v2", now))

	v.ApplyRecord(map[string][]string{"s": {"v1"}}, now) // v2 was gone for long
	now += 10 * lifetime
	_, waiting = v.Waiting(now)
	assert.Assert(t, !waiting)
	v.Seen("s", "v2", now)
	assert.Assert(t, !v.Admitted("s", "v2", now))
	v.Seen("s", "v2", now+admitTimeout)
	assert.Assert(t, v.Admitted("s", "v2", now+admitTimeout))
}
