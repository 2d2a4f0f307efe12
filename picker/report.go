package picker

import (
	"errors"
	"fmt"

	"cowsliphinge/clocker"
)

// LoadReport is what a model engine tells of its load, with a lag.
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

// CacheEvent tells that a model engine stored or evicted a prompt prefix. Events
// come late and with gaps.
type CacheEvent struct {
	Sequence int64
	Kind     string
	Prefix   uint64
}

// ErrNoReport says that a backend server answered, but not with a report. It
// is alive and tells nothing of its load.
type ErrNoReport struct {
	Status int
}

// Error implements error.
func (err ErrNoReport) Error() string {
	return fmt.Sprintf("no report: status %d", err.Status)
}

// IsErrNoReport reports whether err is an ErrNoReport.
func IsErrNoReport(err error) bool {
	var target ErrNoReport
	return errors.As(err, &target)
}
