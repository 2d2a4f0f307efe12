package orderer

import "errors"

// ErrOldFencing says that an engine refused an order because a later holder of
// the lease ordered before.
type ErrStaleFencing struct {
	Address string
}

// Error implements error.
func (err ErrStaleFencing) Error() string {
	return "engine " + err.Address + " refused an old fencing number"
}

// IsErrOldFencing reports whether err is an ErrOldFencing.
func IsErrStaleFencing(err error) bool {
	var target ErrStaleFencing
	return errors.As(err, &target)
}
