// Package versioner combines the era of a store and a revision in it to one version. A store that
// comes back from a copy begins a new era and gives out revisions again. Versions grow with each
// change all the same: those of a later era are higher than all of the eras before.
package versioner

import "log/slog"

const (
	// revisionBits is the size of a revision in a version: a million changes a second for half
	// a year.
	revisionBits = 44
	// MaxRevision is the highest revision that a version can hold.
	MaxRevision = 1<<revisionBits - 1
	// MaxEra is the highest era that a version can hold.
	MaxEra = 1<<(63-revisionBits) - 1
)

// New returns the version of a revision in an era. Both are cut to their bounds.
func New(era, revision int64) int64 {
	return min(max(era, 0), MaxEra)<<revisionBits | min(max(revision, 0), MaxRevision)
}

// Era returns the era of a version, 0 for a store without eras.
func Era(version int64) int64 {
	return version >> revisionBits
}

// Revision returns the revision of a version in its era.
func Revision(version int64) int64 {
	return version & MaxRevision
}

// Attr returns the era and the revision of a version for a log line.
func Attr(version int64) slog.Attr {
	return slog.Group("", "era", Era(version), "revision", Revision(version))
}
