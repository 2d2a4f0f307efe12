// Package claimer makes a non-idempotent request with an idempotency key run
// at most once in the whole fleet.
package claimer

import (
	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// Request asks to run a keyed request.
type Request struct {
	ClientAccount  string
	IdempotencyKey string
	BodyHash       [32]byte
	Deadline       clocker.Millis
}

// Verdict is what a claim led to.
type Verdict int

// Verdicts of Claim.
const (
	// Owned: the caller of Claim alone may dispatch the request.
	Owned Verdict = iota + 1
	// Answered: the request ran before; the stored answer is returned.
	Answered
	// InProgress: another process runs it now.
	InProgress
	// OutcomeUnknown: it may have run; it will never run again.
	OutcomeUnknown
	// KeyReused: the key was used with another body; nothing ran.
	KeyReused
	// Unreachable: no claim could be made; nothing ran for this request, and
	// nothing could have run for an earlier one.
	Unreachable
)

// Decision is the verdict on a request.
type Decision struct {
	Verdict Verdict
	// Claim is set with Owned.
	Claim *messenger.Claim
	// Answer is set with Answered.
	Answer *messenger.StoredAnswer
}
