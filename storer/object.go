// Package storer is the client of the platform's Object API and host list.
//
// A write can fail in two ways that differ: it surely had no effect
// (IsErrNotFound, IsErrConflict, IsErrRateLimited), or nobody knows
// (IsErrOutcomeUnknown), and the writer has to read back.
package storer

import (
	"errors"
	"fmt"
)

// Object is one versioned value.
type Object struct {
	Key string
	// Version grows with each write to any object and is 0 for a missing one.
	Version int64
	// Value holds at most MaxValueBytes.
	Value []byte
}

// MaxValueBytes bounds a value.
const MaxValueBytes = 1 << 20

// ErrNotFound says that no object has the key.
type ErrNotFound struct {
	Key string
}

// Error implements error.
func (err ErrNotFound) Error() string {
	return fmt.Sprintf("object %s does not exist", err.Key)
}

// IsErrNotFound reports whether err is an ErrNotFound.
func IsErrNotFound(err error) bool {
	var target ErrNotFound
	return errors.As(err, &target)
}

// ErrConflict says that a conditional write met another version and had no effect.
type ErrConflict struct {
	Key     string
	Version int64
	// Value is the object's present value if the platform told it, else nil.
	Value []byte
}

// Error implements error.
func (err ErrConflict) Error() string {
	return fmt.Sprintf("object %s is at version %d", err.Key, err.Version)
}

// IsErrConflict reports whether err is an ErrConflict.
func IsErrConflict(err error) bool {
	var target ErrConflict
	return errors.As(err, &target)
}

// ErrOutcomeUnknown says that a call got no answer; a write may have taken
// effect, or may still take effect later.
type ErrOutcomeUnknown struct {
	Key   string
	Cause string
}

// Error implements error.
func (err ErrOutcomeUnknown) Error() string {
	return fmt.Sprintf("no answer for object %s: %s", err.Key, err.Cause)
}

// IsErrOutcomeUnknown reports whether err is an ErrOutcomeUnknown.
func IsErrOutcomeUnknown(err error) bool {
	var target ErrOutcomeUnknown
	return errors.As(err, &target)
}

// ErrRateLimited says that the call was not sent, or was turned away before it
// took effect, because too many were made.
type ErrRateLimited struct {
	Key string
}

// Error implements error.
func (err ErrRateLimited) Error() string {
	return fmt.Sprintf("too many calls to reach object %s", err.Key)
}

// IsErrRateLimited reports whether err is an ErrRateLimited.
func IsErrRateLimited(err error) bool {
	var target ErrRateLimited
	return errors.As(err, &target)
}

// ErrTooLarge says that a value is above MaxValueBytes and was not written.
type ErrTooLarge struct {
	Key   string
	Bytes int
}

// Error implements error.
func (err ErrTooLarge) Error() string {
	return fmt.Sprintf("value of object %s has %d bytes, more than %d", err.Key, err.Bytes, MaxValueBytes)
}

// IsErrTooLarge reports whether err is an ErrTooLarge.
func IsErrTooLarge(err error) bool {
	var target ErrTooLarge
	return errors.As(err, &target)
}
