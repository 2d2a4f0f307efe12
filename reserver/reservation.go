// Package reserver reserves the worst-case token use of a request from the tokens
// that this process holds, and settles each reservation once with the actual use.
package reserver

import (
	"errors"
	"fmt"

	"cowsliphinge/clocker"
)

// Reservation is the worst-case token use of one request, reserved from a budget.
// The zero value reserves nothing.
type Reservation struct {
	Budget string
	Tokens int64
	// ID is unique within the budget and the incarnation.
	ID int64
}

// ErrBudgetExhausted means that not enough tokens of a budget are left anywhere.
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

// ErrBudgetUnreachable means that the tokens could not be obtained, but may be left
// at the platform or on other hosts.
type ErrBudgetUnreachable struct {
	Budget string
	Tokens int64
	// ExpectedIn is the time until tokens are expected at the earliest, in milliseconds; 0 if it is not known.
	ExpectedIn clocker.Millis
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
