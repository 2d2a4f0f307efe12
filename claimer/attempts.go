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
	limit       int
	next        int64
	byKey       map[string]*attempt
}

func newAttempts(incarnation string, limit int) *attempts {
	return &attempts{incarnation: incarnation, limit: limit, byKey: map[string]*attempt{}}
}

// begin opens an attempt, or decides from an open one of the same key.
func (a *attempts) begin(req Request, now clocker.Millis) (*attempt, Decision) {
	key := objectKey(req.ClientAccount, req.IdempotencyKey)
	if open, ok := a.byKey[key]; ok {
		return nil, a.local(open, req)
	}
	if len(a.byKey) >= a.limit {
		return nil, Decision{Verdict: Undetermined}
	}
	a.next++
	at := &attempt{key: key, deadline: req.Deadline, claim: &messenger.Claim{
		ClientAccount:  req.ClientAccount,
		IdempotencyKey: req.IdempotencyKey,
		Incarnation:    a.incarnation,
		Attempt:        a.next,
		State:          messenger.ClaimState_CLAIMED,
		BodyHash:       bytes.Clone(req.BodyHash[:]),
		ClaimedAtMs:    int64(now),
	}}
	a.byKey[key] = at
	return at, Decision{}
}

// local decides on a repeat while this incarnation has the key open. It cannot
// tell what other incarnations did unless it owns the claim.
func (a *attempts) local(open *attempt, req Request) Decision {
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
	return repeat(open.final, true)
}

// of returns the open attempt of a claim, or nil.
func (a *attempts) of(claim *messenger.Claim) *attempt {
	open := a.byKey[objectKey(claim.ClientAccount, claim.IdempotencyKey)]
	if open == nil || !owns(open.claim, claim) {
		return nil
	}
	return open
}

// abandoned reports whether a stored claim is of this incarnation and of an
// attempt that is no longer open: an attempt is closed only once its last
// state is durable, or once it is known that it was never dispatched.
func (a *attempts) abandoned(found *messenger.Claim) bool {
	return found.Incarnation == a.incarnation &&
		found.State == messenger.ClaimState_CLAIMED && a.of(found) == nil
}

// end sets the last state of an attempt; only the first call counts.
func (a *attempts) end(at *attempt, state messenger.ClaimState, answer *messenger.StoredAnswer) bool {
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
func (a *attempts) close(at *attempt) {
	if a.byKey[at.key] == at {
		delete(a.byKey, at.key)
	}
}

// pending returns the attempts whose last state is still to be written and
// marks them as being written.
func (a *attempts) pending() []*attempt {
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
