package orderer

import "errors"

// ErrStaleFencing reports that an engine rejected an order because it already
// received one from a later holder of the lease.
type ErrStaleFencing struct {
	Address string
}

// Error implements error.
func (err ErrStaleFencing) Error() string {
	return "engine " + err.Address + " refused an old fencing number"
}

// IsErrStaleFencing reports whether err is an ErrStaleFencing.
func IsErrStaleFencing(err error) bool {
	var target ErrStaleFencing
	return errors.As(err, &target)
}
