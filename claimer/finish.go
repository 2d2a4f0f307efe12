package claimer

import (
	"context"

	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/storer"
)

// Dispatched notes that a claimed request is now sent to a backend server. It
// reports false if the claim is no longer this process's to run: it ended, or
// its deadline passed, as after a pause. It must then not be sent.
func (c *Claimer) MarkDispatched(claim *messenger.Claim) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, used := c.tickets.of(claim); used != nil {
		return c.tickets.dispatched(claim, c.cfg.Clock.Now())
	}
	at := c.attempts.of(claim)
	if at == nil || !at.owned || at.final != nil || c.cfg.Clock.Now() >= at.deadline {
		return false
	}
	at.dispatched = true
	return true
}

// Finish stores the answer of a claimed request for repeats. A nil answer says
// that the outcome is unknown for ever. The answer is remembered at once, and
// written now or, while the platform is away, later.
func (c *Claimer) Finish(ctx context.Context, claim *messenger.Claim, answer *messenger.StoredAnswer) {
	if answer == nil {
		c.end(ctx, claim, messenger.ClaimState_LOST, nil)
		return
	}
	if len(answer.Body) > MaxAnswerBytes {
		answer = truncated(answer)
	}
	c.end(ctx, claim, messenger.ClaimState_ANSWERED, answer)
}

// Release gives up a claim that surely did not run: it was never dispatched, or
// its backend server refused it with authority. The key may be claimed again.
func (c *Claimer) Release(ctx context.Context, claim *messenger.Claim) {
	c.end(ctx, claim, messenger.ClaimState_RELEASED, nil)
}

func (c *Claimer) end(ctx context.Context, claim *messenger.Claim, state messenger.ClaimState, answer *messenger.StoredAnswer) {
	c.mu.Lock()
	c.tickets.end(claim, state, answer)
	at := c.attempts.of(claim)
	first := at != nil && c.attempts.end(at, state, answer)
	if first {
		at.writing = true
	}
	c.mu.Unlock()
	if first {
		c.writeFinal(ctx, at)
	}
}

func (c *Claimer) writePending(ctx context.Context) {
	c.mu.Lock()
	pending := c.attempts.pending()
	c.mu.Unlock()
	reachable := true
	for _, at := range pending {
		if reachable && ctx.Err() == nil {
			reachable = c.writeFinal(ctx, at)
			continue
		}
		c.mu.Lock()
		at.writing = false
		c.mu.Unlock()
	}
}

// writeFinal tries once to make the last state of an attempt durable. It
// reports false if the platform did not answer.
func (c *Claimer) writeFinal(ctx context.Context, at *attempt) bool {
	done, err := c.replace(ctx, at)
	c.mu.Lock()
	defer c.mu.Unlock()
	at.writing = false
	if err == nil && done {
		c.attempts.close(at)
		return true
	}
	metrics.GetOrCreateCounter(`cowsliphinge_claim_writes_retried_total`).Inc()
	return storer.IsErrConflict(err)
}

// replace writes the last state over the claim. A claim whose own write may
// still be on its way is found absent: the last state is then created, so that
// the late write meets it and fails.
func (c *Claimer) replace(ctx context.Context, at *attempt) (bool, error) {
	if at.version != 0 {
		o, err := c.put(ctx, at.key, at.version, at.final)
		if err == nil {
			return o.Version != 0, nil
		}
	}
	o, found, err := c.get(ctx, at.key)
	switch {
	case storer.IsErrNotFound(err) && at.owned:
		return true, nil
	case storer.IsErrNotFound(err):
		o.Version = 0
	case err != nil:
		return false, err
	case !owns(found, at.claim) && at.owned:
		return true, nil
	case !owns(found, at.claim) && found.State != messenger.ClaimState_RELEASED:
		return true, nil
	case owns(found, at.claim) && found.State == at.final.State:
		return true, nil
	}
	_, err = c.put(ctx, at.key, o.Version, at.final)
	return err == nil, err
}

func (c *Claimer) forget() {
	retention := c.retention()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tickets.forget(c.cfg.Clock.Now(), retention)
}

func (c *Claimer) retention() clocker.Millis {
	if c.cfg.Retention == nil || c.cfg.Retention() <= 0 {
		return defaultRetention
	}
	return c.cfg.Retention()
}

func (c *Claimer) unwritten() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, at := range c.attempts.byKey {
		if at.final != nil {
			n++
		}
	}
	return n
}
