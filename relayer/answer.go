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
	maxWholeBytes = 128 << 10
	// maxAnswerBytes bounds an answer.
	maxAnswerBytes = 8 << 20
	// streamReadBytes is the most that one read of a stream takes.
	streamReadBytes = 4 << 10
	// unknownLength is that of a body without a declared length.
	unknownLength = -1
)

// whole reads an answer to its end and passes it on, or returns why it is not
// whole.
func (x *exchange) whole(server chooser.Server, answer *carrier.Response) (refusal, bool) {
	outcome := chooser.Answered
	if answer.StatusCode >= http.StatusInternalServerError {
		outcome = chooser.Failed
	}
	if x.reply.begun { // events of an earlier server: only a stream can go on there
		return x.finish(server, outcome, notContinued), true
	}
	if promisesNotRun(answer.StatusCode) && !x.route.Repeatable() {
		return x.finish(server, outcome, outcomeUnknown), true
	}
	answer.SetReadTimeout(max(1, x.left()))
	body, err := io.ReadAll(io.LimitReader(answer, maxWholeBytes))
	if err == nil && len(body) == maxWholeBytes {
		x.passLong(server, answer, body)
		return refusal{}, false
	}
	if err != nil {
		x.log.failed(err)
		if x.req.Context().Err() != nil {
			return x.finish(server, chooser.Answered, outcomeUnknown), true
		}
		return x.finish(server, chooser.Broken, outcomeUnknown), true
	}
	if outcome == chooser.Answered {
		x.finish(server, outcome, refusal{})
		x.passWhole(answer, body)
		return refusal{}, false
	}
	f := x.finish(server, outcome, serverFailed)
	if x.repeatable() {
		x.failure = &failedAnswer{head: answer, body: body}
		return f, true
	}
	x.passWhole(answer, body)
	return refusal{}, false
}

// promisesNotRun reports whether callers take the status for a promise that the request
// has not run. A server that means that also says so in a header, see refused.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// passLong passes on an answer that is too long to be kept. It breaks off visibly
// where the server does.
func (x *exchange) passLong(server chooser.Server, answer *carrier.Response, start []byte) {
	x.log.begun(answer.StatusCode)
	x.reply.begin(answer, answer.ContentLength)
	rest := io.LimitReader(answer, maxAnswerBytes-maxWholeBytes)
	_, err := io.Copy(x.reply.w, io.MultiReader(bytes.NewReader(start), rest))
	if err == nil && answer.Complete() {
		x.reply.complete = true
		x.finish(server, chooser.Answered, refusal{})
		return
	}
	x.log.failed(err)
	x.finish(server, x.streamOutcome(err), outcomeUnknown)
	x.giveUp(outcomeUnknown)
}

// failedAnswer is a server's own failure, passed on if no other server answers.
type failedAnswer struct {
	head *carrier.Response
	body []byte
}

// passWhole passes on an answer that was read to its end.
func (x *exchange) passWhole(answer *carrier.Response, body []byte) {
	x.log.begun(answer.StatusCode)
	x.reply.whole(answer, body)
}

// stream passes events on as they come, or returns why the stream broke off.
func (x *exchange) stream(server chooser.Server, answer *carrier.Response) (refusal, bool) {
	x.position.restart()
	var cutter eventCutter
	buffer := make([]byte, streamReadBytes)
	answer.SetReadTimeout(x.eventPatience())
	for {
		n, err := answer.Read(buffer)
		if n > 0 {
			x.cfg.Servers.Observe(server.ID, chooser.Word{})
		}
		if whole := cutter.add(buffer[:n]); len(whole) > 0 {
			if failed := x.passEvents(answer, whole); failed != nil {
				x.log.failed(failed)
				return x.finish(server, x.streamOutcome(failed), outcomeUnknown), true
			}
			answer.SetReadTimeout(x.eventPatience()) // bytes without a whole event do not extend it
		}
		switch {
		case errors.Is(err, io.EOF) && !cutter.open() && x.position.ended():
			x.beginStream(answer) // it may hold only events that the caller has
			x.reply.complete = true
			x.finish(server, chooser.Answered, refusal{})
			return refusal{}, false
		case err != nil || cutter.tooLong():
			x.log.failed(err)
			return x.finish(server, x.streamOutcome(err), outcomeUnknown), true
		}
	}
}

// streamOutcome does not blame the server for a caller that left.
func (x *exchange) streamOutcome(err error) chooser.Outcome {
	if x.req.Context().Err() != nil || errors.Is(err, errCallerLeft) {
		return chooser.Answered
	}
	return chooser.Broken
}

// eventPatience is how long the next event may take, in milliseconds.
func (x *exchange) eventPatience() clocker.Millis {
	left := max(1, x.left())
	if !x.repeatable() || x.sends >= x.route.MaxAttempts {
		return left
	}
	if x.position.events == 0 {
		return min(left, max(headPatience*x.route.TargetLatency, minPatience))
	}
	return min(left, max(gapPatience*x.route.TargetGap, minGap))
}

var errCallerLeft = errors.New("the caller left")

// passEvents writes whole events to the caller, those left out that it has.
func (x *exchange) passEvents(answer *carrier.Response, whole []byte) error {
	before := x.position.events
	out, failed := x.position.take(split(whole))
	x.log.passed(x.position.events - before)
	if len(out) == 0 {
		return failed
	}
	x.beginStream(answer)
	if err := x.reply.events(out); err != nil {
		return err
	}
	return failed
}

// beginStream sends the head of the answer once.
func (x *exchange) beginStream(answer *carrier.Response) {
	if x.reply.begun {
		return
	}
	x.log.begun(answer.StatusCode)
	x.log.firstEvent = x.cfg.Clock.Now() - x.started
	x.reply.begin(answer, unknownLength)
}
