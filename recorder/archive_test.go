package recorder

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

// Guards against an archive that replaces origins before their streams may have ended, or that grows
// without a bound.
func TestArchiveHoldsTheLifetimeOfStreams(t *testing.T) {
	for _, perSecond := range []int{1, 100, 700} {
		var a Archive
		var pages [ArchivePages][]Origin
		var versions [ArchivePages]int64
		version, stream := int64(0), uint64(0)
		const lifetime = 60 * clocker.Second
		begun := map[uint64]clocker.Millis{}
		for now := clocker.Second; now < 300*clocker.Second; now += clocker.Second {
			for range perSecond {
				stream++
				begun[stream] = now
				a.Add([]Origin{{Stream: stream, Software: "v"}, {Stream: stream, Software: "v"}})
			}
			if now%(40*clocker.Second) == 0 {
				a.Lost()
			}
			if !a.Loaded() {
				a.Load(versions, now)
			}
			page, expected, origins := a.Next(lifetime, now)
			assert.Equal(t, expected, versions[page])
			assert.Assert(t, len(origins) <= 2*maxPageOrigins)
			version++
			pages[page], versions[page] = origins, version
			a.Written(page, version, len(origins))
			assert.Assert(t, !a.Unwritten())
		}
		archived := map[uint64]bool{}
		for _, p := range pages {
			for _, o := range p {
				archived[o.Stream] = true
			}
		}
		for s, at := range begun {
			assert.Assert(t, archived[s] || at < 300*clocker.Second-lifetime/2, "stream of %d ms at %d a second", at, perSecond)
		}
	}
}
