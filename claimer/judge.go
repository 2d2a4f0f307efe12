package claimer

import (
	"bytes"

	"cowsliphinge/messenger"
)

// Finding is what an object that holds a key means for one attempt.
type KeyState int

// Findings of Judge.
const (
	// Free: the object may be replaced at its version by a claim.
	KeyFree KeyState = iota + 1
	// Own: the attempt's own claim was written.
	KeyOwned
	// Taken: the decision stands.
	KeyTaken
)

// View is what Judge decides from.
type ResolveInput struct {
	// Wanted is the claim that the attempt tries to write.
	Proposed *messenger.Claim
	// Found is the claim that the platform holds.
	Stored *messenger.Claim
	// OwnerKnown reports that the found claim's incarnation still runs. It
	// only chooses between InProgress and OutcomeUnknown.
	OwnerAlive bool
	// Abandoned reports that the found claim is of this incarnation, and that
	// its attempt ended before dispatch.
	Abandoned bool
}

// Judge decides what a stored claim means for an attempt. A claim of another
// attempt is free only if it was released, or if this very process knows that
// the attempt will never be dispatched. Neither time nor the silence of its
// owner frees it: an owner that was paused may still dispatch.
func Resolve(v ResolveInput) (KeyState, Decision) {
	if sameAttempt(v.Proposed, v.Stored) {
		if v.Stored.State == messenger.ClaimState_CLAIMED {
			return KeyOwned, Decision{Verdict: Owned, Claim: v.Proposed}
		}
		return KeyTaken, Decision{Verdict: OutcomeUnknown}
	}
	if v.Stored.State == messenger.ClaimState_RELEASED || v.Abandoned {
		return KeyFree, Decision{}
	}
	if !bytes.Equal(v.Proposed.BodyHash, v.Stored.BodyHash) {
		return KeyTaken, Decision{Verdict: KeyReused}
	}
	return KeyTaken, decideRepeat(v.Stored, v.OwnerAlive)
}

// repeat decides on a repeat of a claimed request.
func decideRepeat(stored *messenger.Claim, ownerKnown bool) Decision {
	switch {
	case stored.State == messenger.ClaimState_ANSWERED:
		return Decision{Verdict: Answered, Answer: stored.Answer}
	case stored.State != messenger.ClaimState_LOST && ownerKnown:
		return Decision{Verdict: InProgress}
	default:
		return Decision{Verdict: OutcomeUnknown}
	}
}

// owns reports whether two claims are of the same attempt.
func sameAttempt(a, b *messenger.Claim) bool {
	return a.Incarnation == b.Incarnation && a.Attempt == b.Attempt
}
