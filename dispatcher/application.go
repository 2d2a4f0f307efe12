package dispatcher

import (
	"context"
	"crypto/sha256"

	"cowsliphinge/admitter"
	"cowsliphinge/claimer"
	"cowsliphinge/connector"
	"cowsliphinge/messenger"
	"cowsliphinge/picker"
)

// RunApplication sends a call to an application server and returns its answer, or the
// existing answer of an earlier request with the same idempotency key.
func (d *Dispatcher) RunApplication(ctx context.Context, call Call) (*Answer, *Refusal) {
	d.cfg.Retrier.CountFirstAttempt()
	r, existing, refusal := d.admit(ctx, call, call.Service.TokensPerCall)
	if existing != nil || refusal != nil {
		return existing, refusal
	}
	answer, refusal := r.callWithRetries(ctx)
	if refusal != nil {
		r.settleRefused(ctx, refusal)
		return nil, refusal
	}
	usage := Usage{PromptTokens: call.Service.TokensPerCall}
	r.recordBill(ctx, usage, false)
	r.finishClaim(ctx, answer)
	r.settle(usage.Total())
	return &Answer{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body}, nil
}

// acquireClaim claims the idempotency key of a call that needs a claim. It returns
// an existing answer, a refusal, or neither if the call may be dispatched. An existing
// answer is the stored answer of an earlier run, or the answer, possibly a refusal, of
// the host that the call was forwarded to.
func (r *activeRequest) acquireClaim(ctx context.Context) (*Answer, *Refusal) {
	if !r.call.NeedsClaim() {
		return nil, nil
	}
	decision := r.d.cfg.Claimer.Claim(ctx, claimer.Request{
		ClientAccount:  r.call.Account.Name,
		IdempotencyKey: r.call.IdempotencyKey,
		RequestHash:    sha256.Sum256([]byte(r.call.Method + " " + r.call.Path + "\n" + string(r.call.Body))),
		Deadline:       r.call.Deadline,
	})
	id := r.call.RequestID
	switch decision.Verdict {
	case claimer.Owned:
		r.claim = decision.Claim
		return nil, nil
	case claimer.Answered:
		return r.replayedAnswer(decision.Answer)
	case claimer.InProgress:
		return nil, NewRefusal(CodeInProgress, id, false, "the request with this key is being run")
	case claimer.KeyReused:
		return nil, NewRefusal(CodeKeyReused, id, true, "the key was used with another request")
	case claimer.IssuedElsewhere:
		return r.forward(ctx, decision.Incarnation)
	case claimer.NotClaimed:
		return nil, NewRefusal(CodeClaimUnreachable, id, true, "the key cannot be claimed at the moment")
	case claimer.UnknownForNow:
		return nil, NewRefusal(CodeClaimUnreachable, id, false, "whether an earlier request with this key ran cannot be told at the moment; repeat it with the same key")
	default:
		return nil, NewRefusal(CodeOutcomeUnknown, id, false, "the request with this key may have run and is not run again")
	}
}

// forward passes the call to the host that issued the key, the only one that may
// run it.
func (r *activeRequest) forward(ctx context.Context, incarnation string) (*Answer, *Refusal) {
	answer, err := r.d.cfg.Forwarder.Forward(ctx, incarnation, r.call)
	switch {
	case err == nil:
		return answer, nil
	case admitter.IsErrMemoryFull(err):
		return nil, r.refuseAnswer()
	}
	return nil, NewRefusal(CodeOutcomeUnknown, r.call.RequestID, false, "the host that issued the key does not answer; it alone may have run the request")
}

// replayedAnswer returns the stored answer of an earlier run. It is charged once it was read; a claim stores
// claimer.MaxAnswerBytes of an answer at most.
func (r *activeRequest) replayedAnswer(stored *messenger.StoredAnswer) (*Answer, *Refusal) {
	if stored == nil || stored.Truncated {
		return nil, NewRefusal(CodeOutcomeUnknown, r.call.RequestID, false, "the request with this key ran; its answer is no longer kept")
	}
	if r.call.Memory.Charge(int64(len(stored.Body))) != nil {
		return nil, r.refuseAnswer()
	}
	return &Answer{
		Status:      int(stored.Status),
		ContentType: stored.ContentType,
		Body:        stored.Body,
		Replayed:    true,
	}, nil
}

// callWithRetries sends the call to backend servers until one answers or no
// further attempt is allowed.
func (r *activeRequest) callWithRetries(ctx context.Context) (*connector.Answer, *Refusal) {
	for {
		if refusal := r.acquireSlot(ctx, 0); refusal != nil {
			return nil, refusal
		}
		previousProgress := r.progress
		if refusal := r.markDispatched(); refusal != nil {
			return nil, refusal
		}
		answer, err := r.d.cfg.Connector.Call(r.choice.Server.Address, r.backendRequest(r.call.Method, r.call.Path, r.call.ContentType, r.call.Body))
		reason, refusal := r.classifyAttempt(answer, err, previousProgress)
		if refusal == nil && reason == "" {
			r.progress = Answered
			if answer.Status < 500 {
				r.reportAnswer()
			}
			r.releaseSlot(picker.Succeeded)
			return answer, nil
		}
		if refusal != nil || !r.allowRetry(ctx, reason) {
			return nil, r.finalRefusal(refusal)
		}
	}
}

// markDispatched sets the progress to Dispatched. It refuses the call if the claim has
// ended or its deadline has passed.
func (r *activeRequest) markDispatched() *Refusal {
	if r.claim != nil && !r.d.cfg.Claimer.MarkDispatched(r.claim) {
		r.releaseSlot(picker.Abandoned)
		return NewRefusal(CodeDeadlineExceeded, r.call.RequestID, r.progress == NotDispatched, "the claim lapsed before dispatch")
	}
	r.progress = Dispatched
	return nil
}

// classifyAttempt evaluates the result of an attempt. It returns a retry reason if
// the call may be retried, a refusal if the call ends, and neither if the call was
// answered. An attempt that did not run restores previousProgress.
func (r *activeRequest) classifyAttempt(answer *connector.Answer, err error, previousProgress Progress) (string, *Refusal) {
	switch {
	case connector.IsErrNotSent(err):
		r.progress = previousProgress
		r.releaseSlot(picker.Failed)
		return "not_sent", nil
	case err == nil && answer.Refused():
		r.progress = previousProgress
		r.releaseSlot(picker.Refused)
		return "refused_by_server", nil
	case err == nil:
		return "", nil
	case admitter.IsErrMemoryFull(err):
		// The server has answered. Another attempt would find as little memory.
		r.releaseSlot(picker.Succeeded)
		return "", r.refuseAnswer()
	}
	r.reportCrash(err)
	r.releaseSlot(picker.Failed)
	if r.call.Service.Idempotent {
		return retryReason(err), nil
	}
	return "", NewRefusal(CodeOutcomeUnknown, r.call.RequestID, false, err.Error())
}

// refuseAnswer returns the refusal of a call whose answer could not be held.
func (r *activeRequest) refuseAnswer() *Refusal {
	code := CodeOutcomeUnknown
	if r.call.Service.Idempotent {
		code = CodeAnswerBroken
	}
	return NewRefusal(code, r.call.RequestID, false, "the memory for answers is taken")
}

func retryReason(err error) string {
	if connector.IsErrRequestIDMismatch(err) {
		return "crossed_answer"
	}
	return "broken_answer"
}

// finalRefusal returns the refusal of a call that is not retried.
func (r *activeRequest) finalRefusal(refusal *Refusal) *Refusal {
	switch {
	case refusal != nil:
		return refusal
	case r.progress == NotDispatched:
		return NewRefusal(CodeNoServer, r.call.RequestID, true, "no backend server took the request")
	default:
		return NewRefusal(CodeOutcomeUnknown, r.call.RequestID, false, "the request may have run without an answer")
	}
}

// settleRefused settles the claim and the reservation of a refused call. If the
// call may have run, its whole reservation is charged.
func (r *activeRequest) settleRefused(ctx context.Context, refusal *Refusal) {
	if r.claim != nil {
		if refusal.NotRun {
			r.d.cfg.Claimer.Release(ctx, r.claim)
		} else {
			r.d.cfg.Claimer.Finish(ctx, r.claim, nil)
		}
	}
	if refusal.NotRun {
		r.settle(0)
		return
	}
	r.settle(r.reservation.Tokens)
}

func (r *activeRequest) finishClaim(ctx context.Context, answer *connector.Answer) {
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
