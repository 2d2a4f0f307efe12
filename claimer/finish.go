package claimer

import (
	"context"

	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/storer"
)

// MarkDispatched records that a claimed request is about to be sent to a backend
// server. It reports false if the request must not be sent, because the claim has
// a final state or its deadline has passed, for example while the process was
// paused.
func (c *Claimer) MarkDispatched(claim *messenger.Claim) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, used := c.tickets.find(claim); used != nil {
		return c.tickets.markDispatched(claim, c.cfg.Clock.Now())
	}
	oc := c.openClaims.find(claim)
	if oc == nil || !oc.owned || oc.final != nil || c.cfg.Clock.Now() >= oc.deadline {
		return false
	}
	oc.dispatched = true
	return true
}

// Finish stores the answer of a claimed request for retries by the caller. A nil
// answer means that the outcome is permanently unknown. The answer is kept in
// memory immediately. It is written to the platform now or, while the platform is
// unreachable, later. The answer to a ticket is kept in memory, where its body may be
// dropped, and written with the ticket record by Close.
func (c *Claimer) Finish(ctx context.Context, claim *messenger.Claim, answer *messenger.StoredAnswer) {
	if answer == nil {
		c.setFinal(ctx, claim, messenger.ClaimState_LOST, nil)
		return
	}
	if len(answer.Body) > MaxAnswerBytes {
		answer = withoutBody(answer)
	}
	c.setFinal(ctx, claim, messenger.ClaimState_ANSWERED, answer)
}

// Release gives up a claim whose request certainly did not run: it was never
// dispatched, or its backend server refused it authoritatively. The key may be
// claimed again.
func (c *Claimer) Release(ctx context.Context, claim *messenger.Claim) {
	c.setFinal(ctx, claim, messenger.ClaimState_RELEASED, nil)
}

func (c *Claimer) setFinal(ctx context.Context, claim *messenger.Claim, state messenger.ClaimState, answer *messenger.StoredAnswer) {
	c.mu.Lock()
	c.tickets.setFinal(claim, state, answer)
	oc := c.openClaims.find(claim)
	isFirst := oc != nil && c.openClaims.setFinal(oc, state, answer)
	if isFirst {
		oc.writing = true
	}
	c.mu.Unlock()
	if isFirst {
		c.writeFinal(ctx, oc)
	}
}

func (c *Claimer) writePending(ctx context.Context) {
	c.mu.Lock()
	pending := c.openClaims.takePending()
	c.mu.Unlock()
	reachable := true
	for _, oc := range pending {
		if reachable && ctx.Err() == nil {
			reachable = c.writeFinal(ctx, oc)
			continue
		}
		c.mu.Lock()
		oc.writing = false
		c.mu.Unlock()
	}
}

// writeFinal tries once to write the final state of an open claim. It reports whether
// the next claim is worth a call to the platform: true after success or a conflict,
// false after any other error.
func (c *Claimer) writeFinal(ctx context.Context, oc *openClaim) bool {
	durable, err := c.putFinal(ctx, oc)
	c.mu.Lock()
	defer c.mu.Unlock()
	oc.writing = false
	if err == nil && durable {
		c.openClaims.remove(oc)
		return true
	}
	metrics.GetOrCreateCounter(`cowsliphinge_claim_writes_retried_total`).Inc()
	return storer.IsErrConflict(err)
}

// putFinal overwrites the claim with its final state and reports whether no further
// write is needed. If an unconfirmed claim is not stored, its write may still be
// under way; the final state is then created, so that the delayed write conflicts
// with it and fails.
//
// No write is needed if the object of an owned claim no longer exists, if the key went
// to another claim, or if the final state is already stored. While a claim is not
// owned, another claim's released state is overwritten for the same reason as above.
func (c *Claimer) putFinal(ctx context.Context, oc *openClaim) (bool, error) {
	if oc.version != 0 {
		o, err := c.putClaim(ctx, oc.key, oc.version, oc.final)
		if err == nil {
			return o.Version != 0, nil
		}
	}
	o, stored, err := c.getClaim(ctx, oc.key)
	switch {
	case storer.IsErrNotFound(err) && oc.owned:
		return true, nil
	case storer.IsErrNotFound(err):
		o.Version = 0
	case err != nil:
		return false, err
	case !sameAttempt(stored, oc.claim) && oc.owned:
		return true, nil
	case !sameAttempt(stored, oc.claim) && stored.State != messenger.ClaimState_RELEASED:
		return true, nil
	case sameAttempt(stored, oc.claim) && stored.State == oc.final.State:
		return true, nil
	}
	_, err = c.putClaim(ctx, oc.key, o.Version, oc.final)
	return err == nil, err
}

func (c *Claimer) forgetExpired() {
	retention := c.retention()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tickets.forgetExpired(c.cfg.Clock.Now(), retention)
}

func (c *Claimer) retention() clocker.Millis {
	if c.cfg.Retention == nil || c.cfg.Retention() <= 0 {
		return defaultRetention
	}
	return c.cfg.Retention()
}

func (c *Claimer) countUnwritten() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, oc := range c.openClaims.byKey {
		if oc.final != nil {
			n++
		}
	}
	return n
}
