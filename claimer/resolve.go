package claimer

import (
	"bytes"

	"cowsliphinge/messenger"
)

// KeyState is what the stored object of a key means for a proposed claim.
type KeyState int

// Key states that Resolve returns.
const (
	// KeyFree: the object, at the version read, may be overwritten with a claim.
	KeyFree KeyState = iota + 1
	// KeyOwned: the proposed claim itself is stored.
	KeyOwned
	// KeyTaken: the stored claim rules out a new one; the returned decision is final.
	KeyTaken
)

// ResolveInput is the input of Resolve.
type ResolveInput struct {
	// Proposed is the claim that this incarnation tries to write.
	Proposed *messenger.Claim
	// Stored is the claim that the platform stores.
	Stored *messenger.Claim
	// OwnerAlive reports that the incarnation that owns the stored claim still
	// runs. It only selects between InProgress and PermanentlyUnknown.
	OwnerAlive bool
	// Abandoned reports that the stored claim belongs to this incarnation and is
	// never dispatched, because it is no longer open.
	Abandoned bool
}

// Resolve decides what a stored claim means for a proposed one. A key with another
// claim is free only if that claim was released, or if this process knows that it is
// never dispatched. Neither the age of the claim
// nor missing heartbeats of its owner free the key, because an owner that was
// paused may still dispatch the request.
func Resolve(v ResolveInput) (KeyState, Decision) {
	if sameAttempt(v.Proposed, v.Stored) {
		if v.Stored.State == messenger.ClaimState_CLAIMED {
			return KeyOwned, Decision{Verdict: Owned, Claim: v.Proposed}
		}
		return KeyTaken, Decision{Verdict: PermanentlyUnknown}
	}
	if v.Stored.State == messenger.ClaimState_RELEASED || v.Abandoned {
		return KeyFree, Decision{}
	}
	if !bytes.Equal(v.Proposed.BodyHash, v.Stored.BodyHash) {
		return KeyTaken, Decision{Verdict: KeyReused}
	}
	return KeyTaken, decideRetry(v.Stored, v.OwnerAlive)
}

// decideRetry decides on a retried request whose key is already claimed.
func decideRetry(stored *messenger.Claim, ownerAlive bool) Decision {
	switch {
	case stored.State == messenger.ClaimState_ANSWERED:
		return Decision{Verdict: Answered, Answer: stored.Answer}
	case stored.State != messenger.ClaimState_LOST && ownerAlive:
		return Decision{Verdict: InProgress}
	default:
		return Decision{Verdict: PermanentlyUnknown}
	}
}

// sameAttempt reports whether two messages are states of the same claim. An incarnation
// numbers its claims in the field Attempt, separately for each ticket.
func sameAttempt(a, b *messenger.Claim) bool {
	return a.Incarnation == b.Incarnation && a.Attempt == b.Attempt
}
