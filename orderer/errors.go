package orderer

import "errors"

// ErrOldFencing says that an engine refused an order because a later holder of
// the lease ordered before.
type ErrOldFencing struct {
	Address string
}

// Error implements error.
func (err ErrOldFencing) Error() string {
	return "engine " + err.Address + " refused an old fencing number"
}

// IsErrOldFencing reports whether err is an ErrOldFencing.
func IsErrOldFencing(err error) bool {
	var target ErrOldFencing
	return errors.As(err, &target)
}
