package relayer

import (
	"errors"
	"io"
	"net/http"

	"cowsliphinge/carrier"
	"cowsliphinge/chooser"
	"cowsliphinge/clocker"
	"cowsliphinge/concluder"
)

const (
	// maxBufferedBytes limits a response that is buffered completely before it is
	// forwarded. The remainder of a longer one is forwarded as it arrives.
	maxBufferedBytes = 128 << 10
	// maxResponseBytes limits the body of a response that is not an event stream.
	maxResponseBytes = 8 << 20
	// streamReadBytes is the buffer size for reads of a stream.
	streamReadBytes = 4 << 10
	// unknownLength is the length of a body without a Content-Length.
	unknownLength = -1
)

// relayBuffered reads a response to its end and forwards it. It returns the cause and
// true if the response is incomplete or if another server may be tried.
func (x *relayedRequest) relayBuffered(a *attempt, response *carrier.Response) (failure, bool) {
	outcome := chooser.NoFailure
	if response.StatusCode >= http.StatusInternalServerError {
		outcome = chooser.ServerError
	}
	if x.reply.started { // the caller has events of an earlier server; only a stream can continue them
		return x.finishAttempt(a, outcome, streamNotContinued), true
	}
	if statusImpliesNotRun(response.StatusCode) && !x.route.Repeatable() {
		return x.finishAttempt(a, outcome, outcomeUnknown), true
	}
	response.SetReadTimeout(max(1, x.remaining()))
	x.releaseBodyAfterLastAttempt()
	body, long, err := x.readResponse(response)
	if long {
		x.relayLong(a, response, body)
		return failure{}, false
	}
	if err != nil {
		a.log.setCause(err)
		if x.req.Context().Err() != nil {
			return x.finishAttempt(a, chooser.NoFailure, outcomeUnknown), true
		}
		x.reportCrash(a, err)
		return x.finishAttempt(a, chooser.Aborted, outcomeUnknown), true
	}
	if outcome == chooser.NoFailure {
		x.reportAnswer(a, response, len(body) > 0)
		x.finishAttempt(a, outcome, failure{})
		x.releaseBody()
		x.sendBuffered(response, body)
		return failure{}, false
	}
	f := x.finishAttempt(a, outcome, serverFailed)
	if x.retryable() {
		x.lastFailure = &failedResponse{response: response, body: body}
		return f, true
	}
	x.sendBuffered(response, body)
	return failure{}, false
}

// statusImpliesNotRun reports whether callers conclude from the status that the request
// did not run. Servers that mean this also send the NotRun header; checkServerRefusal
// handles those responses.
func statusImpliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// relayLong forwards a response that is too long to be buffered. prefix is the part
// read so far. If the server's response is truncated, the caller's is aborted at the
// same point.
func (x *relayedRequest) relayLong(a *attempt, response *carrier.Response, prefix []byte) {
	x.log.setStatus(response.StatusCode)
	x.releaseBody()
	x.reply.sendHeader(response, response.ContentLength)
	err := x.passOn(prefix, io.LimitReader(response, int64(maxResponseBytes-len(prefix))))
	if err == nil && response.Complete() {
		x.reply.complete = true
		x.reportAnswer(a, response, true)
		x.finishAttempt(a, chooser.NoFailure, failure{})
		return
	}
	a.log.setCause(err)
	x.finishAttempt(a, x.relayErrorOutcome(err), outcomeUnknown)
	x.fail(outcomeUnknown)
}

// failedResponse is an error response of a server. It is forwarded if no other server
// sends a better one.
type failedResponse struct {
	response *carrier.Response
	body     []byte
}

// sendBuffered forwards a response that was read to its end.
func (x *relayedRequest) sendBuffered(response *carrier.Response, body []byte) {
	x.log.setStatus(response.StatusCode)
	x.reply.sendBuffered(response, body)
}

// relayStream forwards events as they arrive. It returns the cause and true if the
// stream ended early.
func (x *relayedRequest) relayStream(a *attempt, response *carrier.Response) (failure, bool) {
	x.position.switchServer()
	x.releaseBodyAfterLastAttempt()
	events := eventBuffer{memory: x.memory}
	defer events.release()
	buffer := make([]byte, streamReadBytes)
	response.SetReadTimeout(x.eventTimeout())
	for {
		n, err := a.early.read(buffer, response)
		if n > 0 {
			a.lastByte = x.cfg.Clock.Now()
			x.recordActivity(a, chooser.StatusReport{})
		}
		a.log.EndedWhole = errors.Is(err, io.EOF)
		if full := events.reserve(n); full != nil {
			a.log.setCause(full)
			x.finishAttempt(a, chooser.NoFailure, outcomeUnknown)
			x.fail(outcomeUnknown) // another attempt would find as little memory
			return failure{}, false
		}
		if complete := events.add(buffer[:n]); len(complete) > 0 {
			if a.answerBegan == 0 {
				a.answerBegan = x.cfg.Clock.Now()
				x.recordActivity(a, chooser.StatusReport{FirstEvent: &chooser.FirstEvent{Dispatch: a.dispatch, After: a.answerBegan - a.sentAt}})
			}
			if relayErr := x.relayEvents(a, response, complete); relayErr != nil {
				a.log.setCause(relayErr)
				return x.finishAttempt(a, x.relayErrorOutcome(relayErr), outcomeUnknown), true
			}
			events.shrink()
			response.SetReadTimeout(x.eventTimeout()) // bytes of an incomplete event do not extend the timeout
		}
		a.inEvent = events.hasPartial()
		switch {
		case err != nil && x.streamEnded(a, err):
			x.startStream(response) // not started yet if the caller already had all events
			x.reply.complete = true
			x.reportAnswer(a, response, true)
			x.finishAttempt(a, chooser.NoFailure, failure{})
			return failure{}, false
		case err != nil || events.tooLong():
			a.log.setCause(err)
			x.reportCrash(a, err)
			return x.finishAttempt(a, x.relayErrorOutcome(err), outcomeUnknown), true
		}
	}
}

// streamEnded reports whether the end of a response, with err, is the end of the stream.
func (x *relayedRequest) streamEnded(a *attempt, err error) bool {
	unproven := carrier.IsErrServerGone(err)
	return concluder.StreamEnd{
		Complete:            errors.Is(err, io.EOF),
		Unproven:            unproven,
		Partial:             a.inEvent,
		CaughtUp:            x.position.complete(),
		LeavesWithAllTokens: unproven && x.hasAllTokens() && x.leavesAsPlanned(a),
	}.Whole()
}

// hasAllTokens reports whether the events that were forwarded hold as many tokens as the caller asked for at most.
func (x *relayedRequest) hasAllTokens() bool {
	return x.hasTokenCounts && x.maxOutputTokens > 0 && x.forwardedTokens() >= x.maxOutputTokens && x.service.TokensPerEvent > 0
}

// leavesAsPlanned reports whether the server of an attempt was known to stop as planned.
func (x *relayedRequest) leavesAsPlanned(a *attempt) bool {
	s := a.incarnation()
	if x.cfg.Servers.Replaced(s) {
		return x.cfg.Servers.LeftAsPlanned(s)
	}
	return x.cfg.Servers.Leaving(s.ID)
}

// relayErrorOutcome returns the outcome of a failed relay. A caller's disconnect does
// not count as a failure of the server.
func (x *relayedRequest) relayErrorOutcome(err error) chooser.Outcome {
	if x.req.Context().Err() != nil || errors.Is(err, errCallerDisconnected) {
		return chooser.NoFailure
	}
	return chooser.Aborted
}

// eventTimeout returns the time limit for the next event, in milliseconds.
func (x *relayedRequest) eventTimeout() clocker.Millis {
	remaining := max(1, x.remaining())
	if !x.retryable() || x.sentAttempts >= x.route.MaxAttempts {
		return remaining
	}
	if x.position.forwarded == 0 {
		return min(remaining, max(headerTimeoutFactor*x.route.TargetLatency, minHeaderTimeout))
	}
	return min(remaining, max(gapTimeoutFactor*x.route.TargetGap, minGapTimeout))
}

var errCallerDisconnected = errors.New("the caller left")

// relayEvents writes complete events to the caller, without those that it already has.
func (x *relayedRequest) relayEvents(a *attempt, response *carrier.Response, complete []byte) error {
	before := x.position.forwarded
	out, orderErr := x.position.accept(splitEvents(complete))
	a.log.Events += x.position.forwarded - before
	a.log.Received = x.position.serverEvents
	if len(out) == 0 {
		return orderErr
	}
	x.setOrigin(a)
	x.startStream(response)
	if err := x.reply.sendEvents(out); err != nil {
		return err
	}
	return orderErr
}

// startStream sends the response header unless it was sent before.
func (x *relayedRequest) startStream(response *carrier.Response) {
	if x.reply.started {
		return
	}
	x.log.setStatus(response.StatusCode)
	x.log.firstEventAfter = x.cfg.Clock.Now() - x.started
	x.reply.sendHeader(response, unknownLength)
}
