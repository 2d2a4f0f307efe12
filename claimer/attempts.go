package claimer

import (
	"bytes"
	"cmp"
	"slices"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// attempt is one try of this incarnation to run a key, from before its claim
// is written until the claim's last state is durable.
type attempt struct {
	key string
	// claim is what the platform holds, or may come to hold.
	claim *messenger.Claim
	// version of the written claim; 0 while unknown.
	version    int64
	deadline   clocker.Millis
	owned      bool
	dispatched bool
	// final is the last state, set once; it is written until that is known
	// to have happened.
	final *messenger.Claim
	// writing is true while a goroutine writes the final state.
	writing bool
}

// attempts are the open attempts of one incarnation. They do no I/O and are
// not safe for concurrent use.
type attempts struct {
	incarnation string
	maxOpen     int
	lastNumber  int64
	byKey       map[string]*attempt
}

func newAttempts(incarnation string, maxOpen int) *attempts {
	return &attempts{incarnation: incarnation, maxOpen: maxOpen, byKey: map[string]*attempt{}}
}

// begin opens an attempt, or decides from an open one of the same key.
func (a *attempts) start(req Request, now clocker.Millis) (*attempt, Decision) {
	key := objectKey(req.ClientAccount, req.IdempotencyKey)
	if open, ok := a.byKey[key]; ok {
		return nil, a.decideFromOpen(open, req)
	}
	if len(a.byKey) >= a.maxOpen {
		return nil, Decision{Verdict: Undetermined}
	}
	a.lastNumber++
	at := &attempt{key: key, deadline: req.Deadline, claim: &messenger.Claim{
		ClientAccount:  req.ClientAccount,
		IdempotencyKey: req.IdempotencyKey,
		Incarnation:    a.incarnation,
		Attempt:        a.lastNumber,
		State:          messenger.ClaimState_CLAIMED,
		BodyHash:       bytes.Clone(req.BodyHash[:]),
		ClaimedAtMs:    int64(now),
	}}
	a.byKey[key] = at
	return at, Decision{}
}

// local decides on a repeat while this incarnation has the key open. It cannot
// tell what other incarnations did unless it owns the claim.
func (a *attempts) decideFromOpen(open *attempt, req Request) Decision {
	if !open.owned {
		return Decision{Verdict: Undetermined}
	}
	if !bytes.Equal(open.claim.BodyHash, req.BodyHash[:]) {
		return Decision{Verdict: KeyReused}
	}
	if open.final == nil {
		return Decision{Verdict: InProgress}
	}
	if open.final.State == messenger.ClaimState_RELEASED {
		// The release may be durable, and another host may run the key by now.
		return Decision{Verdict: Undetermined}
	}
	return decideRepeat(open.final, true)
}

// of returns the open attempt of a claim, or nil.
func (a *attempts) find(claim *messenger.Claim) *attempt {
	open := a.byKey[objectKey(claim.ClientAccount, claim.IdempotencyKey)]
	if open == nil || !sameAttempt(open.claim, claim) {
		return nil
	}
	return open
}

// abandoned reports whether a stored claim is of this incarnation and of an
// attempt that is no longer open: an attempt is closed only once its last
// state is durable, or once it is known that it was never dispatched.
func (a *attempts) abandoned(stored *messenger.Claim) bool {
	return stored.Incarnation == a.incarnation &&
		stored.State == messenger.ClaimState_CLAIMED && a.find(stored) == nil
}

// end sets the last state of an attempt; only the first call counts.
func (a *attempts) setFinal(at *attempt, state messenger.ClaimState, answer *messenger.StoredAnswer) bool {
	if at.final != nil {
		return false
	}
	at.final = &messenger.Claim{
		ClientAccount:  at.claim.ClientAccount,
		IdempotencyKey: at.claim.IdempotencyKey,
		Incarnation:    at.claim.Incarnation,
		Attempt:        at.claim.Attempt,
		State:          state,
		BodyHash:       at.claim.BodyHash,
		ClaimedAtMs:    at.claim.ClaimedAtMs,
		Answer:         answer,
	}
	return true
}

// close forgets an attempt whose last state is durable.
func (a *attempts) remove(at *attempt) {
	if a.byKey[at.key] == at {
		delete(a.byKey, at.key)
	}
}

// pending returns the attempts whose last state is still to be written and
// marks them as being written.
func (a *attempts) takePending() []*attempt {
	var pending []*attempt
	for _, at := range a.byKey {
		if at.final == nil || at.writing {
			continue
		}
		at.writing = true
		pending = append(pending, at)
	}
	slices.SortFunc(pending, func(x, y *attempt) int { return cmp.Compare(x.claim.Attempt, y.claim.Attempt) })
	return pending
}
