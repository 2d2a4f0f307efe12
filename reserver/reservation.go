// Package reserver reserves a request's worst case from the tokens that this
// process holds, and settles it once with what was used.
package reserver

import (
	"errors"
	"fmt"
)

// Reservation is the worst case of one request, taken from a budget. The zero
// value reserves nothing.
type Reservation struct {
	Budget string
	Tokens int64
	// ID is unique within the budget and the incarnation.
	ID int64
}

// ErrBudgetExhausted says that nothing is left of a budget anywhere.
type ErrBudgetExhausted struct {
	Budget string
	Tokens int64
}

// Error implements error.
func (err ErrBudgetExhausted) Error() string {
	return fmt.Sprintf("budget %s has no %d tokens left", err.Budget, err.Tokens)
}

// IsErrBudgetExhausted reports whether err is an ErrBudgetExhausted.
func IsErrBudgetExhausted(err error) bool {
	var target ErrBudgetExhausted
	return errors.As(err, &target)
}

// ErrBudgetUnreachable says that tokens may be left elsewhere, out of reach.
type ErrBudgetUnreachable struct {
	Budget string
	Tokens int64
}

// Error implements error.
func (err ErrBudgetUnreachable) Error() string {
	return fmt.Sprintf("no %d tokens of budget %s within reach", err.Tokens, err.Budget)
}

// IsErrBudgetUnreachable reports whether err is an ErrBudgetUnreachable.
func IsErrBudgetUnreachable(err error) bool {
	var target ErrBudgetUnreachable
	return errors.As(err, &target)
}
