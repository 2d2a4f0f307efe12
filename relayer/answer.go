package relayer

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"cowsliphinge/carrier"
	"cowsliphinge/chooser"
	"cowsliphinge/clocker"
)

const (
	// maxWholeBytes bounds an answer that is kept whole before it goes on. The rest
	// of a longer one is passed on as it comes.
	maxBufferedBytes = 128 << 10
	// maxAnswerBytes bounds an answer.
	maxResponseBytes = 8 << 20
	// streamReadBytes is the most that one read of a stream takes.
	streamReadBytes = 4 << 10
	// unknownLength is that of a body without a declared length.
	unknownLength = -1
)

// whole reads an answer to its end and passes it on, or returns why it is not
// whole.
func (x *exchange) relayBuffered(server chooser.Server, response *carrier.Response) (refusal, bool) {
	outcome := chooser.Answered
	if response.StatusCode >= http.StatusInternalServerError {
		outcome = chooser.Failed
	}
	if x.reply.started { // events of an earlier server: only a stream can go on there
		return x.finishAttempt(server, outcome, streamNotContinued), true
	}
	if statusImpliesNotRun(response.StatusCode) && !x.route.Repeatable() {
		return x.finishAttempt(server, outcome, outcomeUnknown), true
	}
	response.SetReadTimeout(max(1, x.remaining()))
	body, err := io.ReadAll(io.LimitReader(response, maxBufferedBytes))
	if err == nil && len(body) == maxBufferedBytes {
		x.relayLong(server, response, body)
		return refusal{}, false
	}
	if err != nil {
		x.log.setCause(err)
		if x.req.Context().Err() != nil {
			return x.finishAttempt(server, chooser.Answered, outcomeUnknown), true
		}
		return x.finishAttempt(server, chooser.Broken, outcomeUnknown), true
	}
	if outcome == chooser.Answered {
		x.finishAttempt(server, outcome, refusal{})
		x.sendBuffered(response, body)
		return refusal{}, false
	}
	f := x.finishAttempt(server, outcome, serverFailed)
	if x.retryable() {
		x.lastFailure = &failedResponse{response: response, body: body}
		return f, true
	}
	x.sendBuffered(response, body)
	return refusal{}, false
}

// promisesNotRun reports whether callers take the status for a promise that the request
// has not run. A server that means that also says so in a header, see refused.
func statusImpliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// passLong passes on an answer that is too long to be kept. It breaks off visibly
// where the server does.
func (x *exchange) relayLong(server chooser.Server, response *carrier.Response, prefix []byte) {
	x.log.setStatus(response.StatusCode)
	x.reply.sendHeader(response, response.ContentLength)
	rest := io.LimitReader(response, maxResponseBytes-maxBufferedBytes)
	_, err := io.Copy(x.reply.w, io.MultiReader(bytes.NewReader(prefix), rest))
	if err == nil && response.Complete() {
		x.reply.complete = true
		x.finishAttempt(server, chooser.Answered, refusal{})
		return
	}
	x.log.setCause(err)
	x.finishAttempt(server, x.relayErrorOutcome(err), outcomeUnknown)
	x.fail(outcomeUnknown)
}

// failedAnswer is a server's own failure, passed on if no other server answers.
type failedResponse struct {
	response *carrier.Response
	body     []byte
}

// passWhole passes on an answer that was read to its end.
func (x *exchange) sendBuffered(response *carrier.Response, body []byte) {
	x.log.setStatus(response.StatusCode)
	x.reply.sendBuffered(response, body)
}

// stream passes events on as they come, or returns why the stream broke off.
func (x *exchange) relayStream(server chooser.Server, response *carrier.Response) (refusal, bool) {
	x.position.switchServer()
	var events eventBuffer
	buffer := make([]byte, streamReadBytes)
	response.SetReadTimeout(x.eventTimeout())
	for {
		n, err := response.Read(buffer)
		if n > 0 {
			x.cfg.Servers.Observe(server.ID, chooser.Word{})
		}
		if complete := events.add(buffer[:n]); len(complete) > 0 {
			if failure := x.relayEvents(response, complete); failure != nil {
				x.log.setCause(failure)
				return x.finishAttempt(server, x.relayErrorOutcome(failure), outcomeUnknown), true
			}
			response.SetReadTimeout(x.eventTimeout()) // bytes without a whole event do not extend it
		}
		switch {
		case errors.Is(err, io.EOF) && !events.hasPartial() && x.position.complete():
			x.startStream(response) // it may hold only events that the caller has
			x.reply.complete = true
			x.finishAttempt(server, chooser.Answered, refusal{})
			return refusal{}, false
		case err != nil || events.tooLong():
			x.log.setCause(err)
			return x.finishAttempt(server, x.relayErrorOutcome(err), outcomeUnknown), true
		}
	}
}

// streamOutcome does not blame the server for a caller that left.
func (x *exchange) relayErrorOutcome(err error) chooser.Outcome {
	if x.req.Context().Err() != nil || errors.Is(err, errCallerDisconnected) {
		return chooser.Answered
	}
	return chooser.Broken
}

// eventPatience is how long the next event may take, in milliseconds.
func (x *exchange) eventTimeout() clocker.Millis {
	remaining := max(1, x.remaining())
	if !x.retryable() || x.attempts >= x.route.MaxAttempts {
		return remaining
	}
	if x.position.forwarded == 0 {
		return min(remaining, max(headerTimeoutFactor*x.route.TargetLatency, minHeaderTimeout))
	}
	return min(remaining, max(gapTimeoutFactor*x.route.TargetGap, minGapTimeout))
}

var errCallerDisconnected = errors.New("the caller left")

// passEvents writes whole events to the caller, those left out that it has.
func (x *exchange) relayEvents(response *carrier.Response, complete []byte) error {
	before := x.position.forwarded
	out, failure := x.position.accept(splitEvents(complete))
	x.log.addEvents(x.position.forwarded - before)
	if len(out) == 0 {
		return failure
	}
	x.startStream(response)
	if err := x.reply.sendEvents(out); err != nil {
		return err
	}
	return failure
}

// beginStream sends the head of the answer once.
func (x *exchange) startStream(response *carrier.Response) {
	if x.reply.started {
		return
	}
	x.log.setStatus(response.StatusCode)
	x.log.firstEventAfter = x.cfg.Clock.Now() - x.started
	x.reply.sendHeader(response, unknownLength)
}
