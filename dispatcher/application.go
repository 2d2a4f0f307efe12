package dispatcher

import (
	"context"
	"crypto/sha256"

	"cowsliphinge/claimer"
	"cowsliphinge/connector"
	"cowsliphinge/messenger"
	"cowsliphinge/picker"
)

// RunApplication passes a call through to an application server.
func (d *Dispatcher) RunApplication(ctx context.Context, call Call) (*Answer, *Refusal) {
	d.cfg.Retrier.Attempted()
	r, stored, refusal := d.admit(ctx, call, call.Service.TokensPerCall)
	if stored != nil || refusal != nil {
		return stored, refusal
	}
	answer, refusal := r.application(ctx)
	if refusal != nil {
		r.giveUp(ctx, refusal)
		return nil, refusal
	}
	usage := Usage{PromptTokens: call.Service.TokensPerCall}
	r.bill(ctx, usage, false)
	r.finishClaim(ctx, answer)
	r.end(usage.Total())
	return &Answer{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body}, nil
}

// makeClaim claims a non-idempotent call with a key. It returns the answer of
// an earlier run, or a refusal, or neither if the call may be dispatched.
func (r *run) makeClaim(ctx context.Context) (*Answer, *Refusal) {
	if !r.call.NeedsClaim() {
		return nil, nil
	}
	decision := r.d.cfg.Claimer.Claim(ctx, claimer.Request{
		ClientAccount:  r.call.Account.Name,
		IdempotencyKey: r.call.IdempotencyKey,
		BodyHash:       sha256.Sum256([]byte(r.call.Method + " " + r.call.Path + "\n" + string(r.call.Body))),
		Deadline:       r.call.Deadline,
	})
	id := r.call.RequestID
	switch decision.Verdict {
	case claimer.Owned:
		r.claim = decision.Claim
		return nil, nil
	case claimer.Answered:
		return storedAnswer(id, decision.Answer)
	case claimer.InProgress:
		return nil, NewRefusal(CodeInProgress, id, false, "the request with this key is being run")
	case claimer.KeyReused:
		return nil, NewRefusal(CodeKeyReused, id, true, "the key was used with another request")
	case claimer.IssuedElsewhere:
		return r.forward(ctx, decision.Incarnation)
	case claimer.Unreachable:
		return nil, NewRefusal(CodeClaimUnreachable, id, true, "the key cannot be claimed at the moment")
	case claimer.Undetermined:
		return nil, NewRefusal(CodeClaimUnreachable, id, false, "whether an earlier request with this key ran cannot be told at the moment; repeat it with the same key")
	default:
		return nil, NewRefusal(CodeOutcomeUnknown, id, false, "the request with this key may have run and is not run again")
	}
}

// forward passes the call to the host that alone may run it.
func (r *run) forward(ctx context.Context, incarnation string) (*Answer, *Refusal) {
	answer, err := r.d.cfg.Forwarder.Forward(ctx, incarnation, r.call)
	if err == nil {
		return answer, nil
	}
	return nil, NewRefusal(CodeOutcomeUnknown, r.call.RequestID, false, "the host that issued the key does not answer; it alone may have run the request")
}

func storedAnswer(id string, stored *messenger.StoredAnswer) (*Answer, *Refusal) {
	if stored == nil || stored.Truncated {
		return nil, NewRefusal(CodeOutcomeUnknown, id, false, "the request with this key ran; its answer is no longer kept")
	}
	return &Answer{
		Status:      int(stored.Status),
		ContentType: stored.ContentType,
		Body:        stored.Body,
		Replayed:    true,
	}, nil
}

// application hands the call out until it is answered or must not be repeated.
func (r *run) application(ctx context.Context) (*connector.Answer, *Refusal) {
	for {
		if refusal := r.acquire(ctx, 0); refusal != nil {
			return nil, refusal
		}
		before := r.state
		if refusal := r.dispatch(); refusal != nil {
			return nil, refusal
		}
		answer, err := r.d.cfg.Connector.Call(r.choice.Server.Address, r.request(r.call.Method, r.call.Path, r.call.ContentType, r.call.Body))
		reason, refusal := r.judge(answer, err, before)
		if refusal == nil && reason == "" {
			r.state = Answered
			r.release(picker.Succeeded)
			return answer, nil
		}
		if refusal != nil || !r.again(ctx, reason) {
			return nil, r.failed(refusal)
		}
	}
}

// dispatch turns the state to Dispatched, unless the claim was lost since.
func (r *run) dispatch() *Refusal {
	if r.claim != nil && !r.d.cfg.Claimer.MarkDispatched(r.claim) {
		r.release(picker.CallerLeft)
		return NewRefusal(CodeDeadlineExceeded, r.call.RequestID, r.state == NotDispatched, "the claim lapsed before dispatch")
	}
	r.state = Dispatched
	return nil
}

// judge tells whether an attempt answered the call (no reason, no refusal),
// may be repeated for a reason, or ends the call.
func (r *run) judge(answer *connector.Answer, err error, before State) (string, *Refusal) {
	switch {
	case connector.IsErrNotSent(err):
		r.state = before
		r.release(picker.Failed)
		return "not_sent", nil
	case err == nil && answer.Refused():
		r.state = before
		r.release(picker.Refused)
		return "refused_by_server", nil
	case err == nil:
		return "", nil
	}
	r.release(picker.Failed)
	if r.call.Service.Idempotent {
		return reasonOf(err), nil
	}
	return "", NewRefusal(CodeOutcomeUnknown, r.call.RequestID, false, err.Error())
}

func reasonOf(err error) string {
	if connector.IsErrCrossed(err) {
		return "crossed_answer"
	}
	return "broken_answer"
}

// failed is the refusal of a call that is not repeated.
func (r *run) failed(refusal *Refusal) *Refusal {
	switch {
	case refusal != nil:
		return refusal
	case r.state == NotDispatched:
		return NewRefusal(CodeNoServer, r.call.RequestID, true, "no backend server took the request")
	default:
		return NewRefusal(CodeOutcomeUnknown, r.call.RequestID, false, "the request may have run without an answer")
	}
}

// giveUp settles a call that ends in a refusal. Tokens of an unknown outcome
// stay spent.
func (r *run) giveUp(ctx context.Context, refusal *Refusal) {
	if r.claim != nil {
		if refusal.NotRun {
			r.d.cfg.Claimer.Release(ctx, r.claim)
		} else {
			r.d.cfg.Claimer.Finish(ctx, r.claim, nil)
		}
	}
	if refusal.NotRun {
		r.end(0)
		return
	}
	r.end(r.reservation.Tokens)
}

func (r *run) finishClaim(ctx context.Context, answer *connector.Answer) {
	if r.claim == nil {
		return
	}
	r.d.cfg.Claimer.Finish(ctx, r.claim, &messenger.StoredAnswer{
		Status:      int32(answer.Status),
		ContentType: answer.ContentType,
		Body:        answer.Body,
		StoredAtMs:  int64(r.d.cfg.Clock.Now()),
	})
}
