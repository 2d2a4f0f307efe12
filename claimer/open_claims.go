package claimer

import (
	"bytes"
	"cmp"
	"slices"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// openClaim is a claim of a key that this incarnation has not finished writing. It is
// open from before its claim is written until the final state is stored or need not be:
// the key went to another claim, the claim was not made, or its object no longer exists.
type openClaim struct {
	key string
	// claim is the claim that the platform stores, or will store once a write that
	// is under way takes effect.
	claim *messenger.Claim
	// version is the object version of the written claim; 0 while unknown.
	version  int64
	deadline clocker.Millis
	owned    bool
	// dispatched is set by MarkDispatched; no code reads it.
	dispatched bool
	// final is the claim in its final state. It is set once, and writing it is
	// retried until it is stored or need not be.
	final *messenger.Claim
	// writing is true while a goroutine writes final.
	writing bool
}

// openClaims holds the open claims of one incarnation. It does no I/O and is not
// safe for concurrent use.
type openClaims struct {
	incarnation string
	maxOpen     int
	lastNumber  int64
	byKey       map[string]*openClaim
}

func newOpenClaims(incarnation string, maxOpen int) *openClaims {
	return &openClaims{incarnation: incarnation, maxOpen: maxOpen, byKey: map[string]*openClaim{}}
}

// start opens a claim. If one with the same key is open, it returns nil and the
// decision that follows from the open one.
func (a *openClaims) start(req Request, now clocker.Millis) (*openClaim, Decision) {
	key := objectKey(req.ClientAccount, req.IdempotencyKey)
	if open, ok := a.byKey[key]; ok {
		return nil, a.decideFromOpen(open, req)
	}
	if len(a.byKey) >= a.maxOpen {
		return nil, Decision{Verdict: UnknownForNow}
	}
	a.lastNumber++
	oc := &openClaim{key: key, deadline: req.Deadline, claim: &messenger.Claim{
		ClientAccount:  req.ClientAccount,
		IdempotencyKey: req.IdempotencyKey,
		Incarnation:    a.incarnation,
		Attempt:        a.lastNumber,
		State:          messenger.ClaimState_CLAIMED,
		BodyHash:       bytes.Clone(req.RequestHash[:]),
		ClaimedAtMs:    int64(now),
	}}
	a.byKey[key] = oc
	return oc, Decision{}
}

// decideFromOpen decides on a retried request while this incarnation has an open claim
// of its key. Unless that claim is owned, it is not known what other incarnations did
// with the key.
func (a *openClaims) decideFromOpen(open *openClaim, req Request) Decision {
	if !open.owned {
		return Decision{Verdict: UnknownForNow}
	}
	if !bytes.Equal(open.claim.BodyHash, req.RequestHash[:]) {
		return Decision{Verdict: KeyReused}
	}
	if open.final == nil {
		return Decision{Verdict: InProgress}
	}
	if open.final.State == messenger.ClaimState_RELEASED {
		// The release may already be stored, and another host may be running the
		// request.
		return Decision{Verdict: UnknownForNow}
	}
	return decideRetry(open.final, true)
}

// find returns the open claim that a claim message belongs to, or nil.
func (a *openClaims) find(claim *messenger.Claim) *openClaim {
	open := a.byKey[objectKey(claim.ClientAccount, claim.IdempotencyKey)]
	if open == nil || !sameAttempt(open.claim, claim) {
		return nil
	}
	return open
}

// abandoned reports whether a stored claim was made by this incarnation and is no
// longer open. Such a claim was never dispatched: an open claim is removed only once its
// final state is stored or need not be, or once it is known that it is not dispatched.
func (a *openClaims) abandoned(stored *messenger.Claim) bool {
	return stored.Incarnation == a.incarnation &&
		stored.State == messenger.ClaimState_CLAIMED && a.find(stored) == nil
}

// setFinal sets the final state of an open claim. It reports false and changes
// nothing if the state is already set.
func (a *openClaims) setFinal(oc *openClaim, state messenger.ClaimState, answer *messenger.StoredAnswer) bool {
	if oc.final != nil {
		return false
	}
	oc.final = &messenger.Claim{
		ClientAccount:  oc.claim.ClientAccount,
		IdempotencyKey: oc.claim.IdempotencyKey,
		Incarnation:    oc.claim.Incarnation,
		Attempt:        oc.claim.Attempt,
		State:          state,
		BodyHash:       oc.claim.BodyHash,
		ClaimedAtMs:    oc.claim.ClaimedAtMs,
		Answer:         answer,
	}
	return true
}

// remove removes an open claim that needs no further writes.
func (a *openClaims) remove(oc *openClaim) {
	if a.byKey[oc.key] == oc {
		delete(a.byKey, oc.key)
	}
}

// takePending returns the open claims whose final state is not yet written and marks
// them as being written.
func (a *openClaims) takePending() []*openClaim {
	var pending []*openClaim
	for _, oc := range a.byKey {
		if oc.final == nil || oc.writing {
			continue
		}
		oc.writing = true
		pending = append(pending, oc)
	}
	slices.SortFunc(pending, func(x, y *openClaim) int { return cmp.Compare(x.claim.Attempt, y.claim.Attempt) })
	return pending
}
