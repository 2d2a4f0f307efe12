package picker

import (
	"errors"
	"fmt"

	"cowsliphinge/clocker"
)

// LoadReport is the load that a model engine reports. It is as of SampledAtMs, some time
// before the report arrives.
type LoadReport struct {
	Running      int64
	Queued       int64
	Slots        int64
	CachedBlocks int64
	SampledAtMs  clocker.Millis
}

// Kinds of CacheEvent.
const (
	CacheStored  = "Stored"
	CacheEvicted = "Evicted"
)

// CacheEvent reports that a model engine stored or evicted a prompt prefix. Events may
// arrive late, and some may be missing.
type CacheEvent struct {
	Sequence int64
	Kind     string
	Prefix   uint64
}

// ErrNoReport means that a backend server answered a poll without the requested load
// report or cache events. The server is alive, but its load is unknown.
type ErrNoReport struct {
	Status int
}

// Error implements error.
func (err ErrNoReport) Error() string {
	return fmt.Sprintf("no load report or cache events: status %d", err.Status)
}

// IsErrNoReport reports whether err is an ErrNoReport.
func IsErrNoReport(err error) bool {
	var target ErrNoReport
	return errors.As(err, &target)
}
