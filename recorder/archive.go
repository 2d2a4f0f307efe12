package recorder

import (
	"slices"

	"cowsliphinge/clocker"
)

const (
	// ArchivePages is the number of objects of the store that hold archived origins. They are filled in
	// turn, each for its part of the lifetime, and the one that was written first is replaced.
	ArchivePages = 8
	// maxPageOrigins bounds the origins of a page.
	maxPageOrigins = 8192
)

// Archive decides which page of the archive holds which origins. An origin never changes, so that pages of
// several writers, or of a restored store, don't contradict each other. It is not safe for concurrent use.
type Archive struct {
	// versions are those of the pages in the store, 0 for a page that does not exist.
	versions [ArchivePages]int64
	loaded   bool
	// page is the page in use since pageSince, and origins what it holds; the last unwritten ones are
	// not in the store yet.
	page      int
	pageSince clocker.Millis
	origins   []Origin
	unwritten int
	// held are the streams of origins.
	held map[uint64]bool
}

// Add adds origins that the store has to get. Beyond the bound of a page they are dropped.
func (a *Archive) Add(origins []Origin) {
	for _, o := range origins {
		if a.unwritten < maxPageOrigins && !a.held[o.Stream] {
			a.hold(o)
			a.unwritten++
		}
	}
}

func (a *Archive) hold(o Origin) {
	if a.held == nil {
		a.held = map[uint64]bool{}
	}
	a.held[o.Stream] = true
	a.origins = append(a.origins, o)
}

// Unwritten reports whether there are origins that the store has not got.
func (a *Archive) Unwritten() bool { return a.unwritten > 0 }

// Loaded reports whether the versions of the pages are known.
func (a *Archive) Loaded() bool { return a.loaded }

// Load sets the versions of all pages as read from the store. The page that was written first is next.
func (a *Archive) Load(versions [ArchivePages]int64, now clocker.Millis) {
	a.versions, a.loaded = versions, true
	a.begin(now)
}

func (a *Archive) begin(now clocker.Millis) {
	a.page, a.pageSince = slices.Index(a.versions[:], slices.Min(a.versions[:])), now
}

// Next returns the page to write, its version in the store (0 to create it), and all that it has to hold.
// The versions must be known.
func (a *Archive) Next(lifetime, now clocker.Millis) (page int, version int64, origins []Origin) {
	if now-a.pageSince > lifetime/ArchivePages || len(a.origins) > maxPageOrigins {
		unwritten := a.origins[len(a.origins)-a.unwritten:]
		a.origins, a.held = nil, nil
		for _, o := range unwritten {
			a.hold(o)
		}
		a.begin(now)
	}
	return a.page, a.versions[a.page], slices.Clone(a.origins)
}

// Written records that the store has n origins of the page in a new version.
func (a *Archive) Written(page int, version int64, n int) {
	a.versions[page] = version
	a.unwritten = max(len(a.origins)-n, 0)
}

// Lost records that a page was written by another host, or may have been by this one: the versions have
// to be loaded again.
func (a *Archive) Lost() { a.loaded = false }
