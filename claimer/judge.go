package claimer

import (
	"bytes"

	"cowsliphinge/messenger"
)

// Finding is what an object that holds a key means for one attempt.
type Finding int

// Findings of Judge.
const (
	// Free: the object may be replaced at its version by a claim.
	Free Finding = iota + 1
	// Own: the attempt's own claim was written.
	Own
	// Taken: the decision stands.
	Taken
)

// View is what Judge decides from.
type View struct {
	// Wanted is the claim that the attempt tries to write.
	Wanted *messenger.Claim
	// Found is the claim that the platform holds.
	Found *messenger.Claim
	// OwnerKnown reports that the found claim's incarnation still runs. It
	// only chooses between InProgress and OutcomeUnknown.
	OwnerKnown bool
	// Abandoned reports that the found claim is of this incarnation, and that
	// its attempt ended before dispatch.
	Abandoned bool
}

// Judge decides what a stored claim means for an attempt. A claim of another
// attempt is free only if it was released, or if this very process knows that
// the attempt will never be dispatched. Neither time nor the silence of its
// owner frees it: an owner that was paused may still dispatch.
func Judge(v View) (Finding, Decision) {
	if owns(v.Wanted, v.Found) {
		if v.Found.State == messenger.ClaimState_CLAIMED {
			return Own, Decision{Verdict: Owned, Claim: v.Wanted}
		}
		return Taken, Decision{Verdict: OutcomeUnknown}
	}
	if v.Found.State == messenger.ClaimState_RELEASED || v.Abandoned {
		return Free, Decision{}
	}
	if !bytes.Equal(v.Wanted.BodyHash, v.Found.BodyHash) {
		return Taken, Decision{Verdict: KeyReused}
	}
	return Taken, repeat(v.Found, v.OwnerKnown)
}

// repeat decides on a repeat of a claimed request.
func repeat(found *messenger.Claim, ownerKnown bool) Decision {
	switch {
	case found.State == messenger.ClaimState_ANSWERED:
		return Decision{Verdict: Answered, Answer: found.Answer}
	case found.State != messenger.ClaimState_LOST && ownerKnown:
		return Decision{Verdict: InProgress}
	default:
		return Decision{Verdict: OutcomeUnknown}
	}
}

// owns reports whether two claims are of the same attempt.
func owns(a, b *messenger.Claim) bool {
	return a.Incarnation == b.Incarnation && a.Attempt == b.Attempt
}
