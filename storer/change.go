package storer

import (
	"errors"
	"fmt"
)

// Change is one object as a watch reports it.
type Change struct {
	Object
	// Deleted is true if the object is gone; its value is then the last one.
	Deleted bool
}

// ErrHistoryGone says that a watch asked for changes that the platform does not
// keep any more: the kind has to be listed again.
type ErrHistoryGone struct {
	Kind  string
	Since int64
}

// Error implements error.
func (err ErrHistoryGone) Error() string {
	return fmt.Sprintf("changes of %s since revision %d are gone", err.Kind, err.Since)
}

// IsErrHistoryGone reports whether err is an ErrHistoryGone.
func IsErrHistoryGone(err error) bool {
	return errors.As(err, &ErrHistoryGone{})
}
