package spreader

import (
	"errors"
	"fmt"

	"cowsliphinge/clocker"
)

// ErrVersionConflict means that a change was based on a version that is not the
// current one, and had no effect.
type ErrVersionConflict struct {
	// Expected is the version that the change was based on.
	Expected int64
	// Actual is the current version.
	Actual int64
	// AppliedBy is the operator who applied the current version.
	AppliedBy string
	// AppliedAt is when the current version was accepted.
	AppliedAt clocker.Millis
}

// Error implements error.
func (err ErrVersionConflict) Error() string {
	return fmt.Sprintf("conflict: based on version %d, but version %d is present, applied by %q at %s",
		err.Expected, err.Actual, err.AppliedBy, err.AppliedAt.Format("2006-01-02T15:04:05.000Z"))
}

// IsErrVersionConflict reports whether err is an ErrVersionConflict.
func IsErrVersionConflict(err error) bool {
	var target ErrVersionConflict
	return errors.As(err, &target)
}

// ErrOutcomeUnknown means that a change may have been accepted or may still be
// accepted later. Repeating it with the same operation ID is safe and returns
// the outcome.
type ErrOutcomeUnknown struct {
	OperationID string
	Cause       string
}

// Error implements error.
func (err ErrOutcomeUnknown) Error() string {
	return fmt.Sprintf("outcome of operation %s is unknown, repeat it with the same ID: %s", err.OperationID, err.Cause)
}

// IsErrOutcomeUnknown reports whether err is an ErrOutcomeUnknown.
func IsErrOutcomeUnknown(err error) bool {
	var target ErrOutcomeUnknown
	return errors.As(err, &target)
}

// ErrBadRequest means that a field of a request is invalid.
type ErrBadRequest struct {
	Field  string
	Reason string
}

// Error implements error.
func (err ErrBadRequest) Error() string {
	return err.Field + " " + err.Reason
}

// IsErrBadRequest reports whether err is an ErrBadRequest.
func IsErrBadRequest(err error) bool {
	var target ErrBadRequest
	return errors.As(err, &target)
}

// ErrBadPart means that a part of a configuration is missing, cannot be decoded
// or does not match its key.
type ErrBadPart struct {
	Key    string
	Reason string
}

// Error implements error.
func (err ErrBadPart) Error() string {
	return fmt.Sprintf("configuration part %s: %s", err.Key, err.Reason)
}

// IsErrBadPart reports whether err is an ErrBadPart.
func IsErrBadPart(err error) bool {
	var target ErrBadPart
	return errors.As(err, &target)
}
