package biller

import (
	"errors"
	"fmt"
)

// ErrFull is returned if a bill is refused because too many wait to be written.
type ErrFull struct {
	Pending int
}

// Error implements error.
func (err ErrFull) Error() string {
	return fmt.Sprintf("%d bills wait to be written", err.Pending)
}

// IsErrFull reports whether err is an ErrFull.
func IsErrFull(err error) bool {
	var target ErrFull
	return errors.As(err, &target)
}

// ErrNotCopied is returned if a bill is buffered at this host, but not yet copied to
// another one or written to the platform.
type ErrNotCopied struct {
	RequestID string
}

// Error implements error.
func (err ErrNotCopied) Error() string {
	return fmt.Sprintf("bill of request %s is at one host only", err.RequestID)
}

// IsErrNotCopied reports whether err is an ErrNotCopied.
func IsErrNotCopied(err error) bool {
	var target ErrNotCopied
	return errors.As(err, &target)
}

// ErrInvalidBill names the field of a bill that is missing or out of range.
type ErrInvalidBill struct {
	Field string
}

// Error implements error.
func (err ErrInvalidBill) Error() string {
	return fmt.Sprintf("bill has no valid %s", err.Field)
}

// IsErrInvalidBill reports whether err is an ErrInvalidBill.
func IsErrInvalidBill(err error) bool {
	var target ErrInvalidBill
	return errors.As(err, &target)
}
