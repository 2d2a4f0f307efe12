package relayer

import (
	"context"
	"net/http"
	"strconv"

	"cowsliphinge/carrier"
	"cowsliphinge/chooser"
	"cowsliphinge/clocker"
	"cowsliphinge/connector"
	"cowsliphinge/matcher"
	"cowsliphinge/reserver"
)

const (
	// defaultTime is how long a caller waits that names no time, in milliseconds.
	defaultTimeout = clocker.Minute
	// maxCallersTime bounds the time that a caller names, in milliseconds.
	maxCallerTimeout = clocker.Hour
	// defaultBodyBytes bounds a body where no limit is declared.
	defaultBodyBytes = 1 << 20
	// lowestPriority is the least urgent one that model engines know.
	lowestPriority = 9
	// maxUnreached bounds the servers to which no connection came about.
	maxConnectFailures = 4
	// minTime is the least time for which a request is worth sending, in
	// milliseconds.
	minRemaining = 10 * clocker.Millis(1)
	// headPatience times the target latency is how long a server may take to begin
	// an answer while another one may be tried, at least minPatience.
	headerTimeoutFactor = 3
	minHeaderTimeout    = 400 * clocker.Millis(1)
	// gapPatience times the target gap is how long a stream may pause while it can
	// go on elsewhere, at least minGap.
	gapTimeoutFactor = 4
	minGapTimeout    = clocker.Second
	// provenFor is how long a byte from a server proves that it can be reached, in
	// milliseconds; after that a new connection has to prove it before a request
	// is sent that can't be repeated. Servers may drop connections after that rest.
	reachabilityTTL = 300 * clocker.Millis(1)
)

// exchange is one request of a caller on its way.
type exchange struct {
	*Relayer
	reply callerReply
	req   *http.Request
	ctx   context.Context

	id       string
	started  clocker.Millis
	deadline clocker.Millis
	table    *matcher.Table
	route    *matcher.Route
	account  *matcher.Account
	service  *matcher.Service
	prompt   []chooser.Part
	// measured is true if the request names its tokens.
	hasTokenCounts  bool
	promptTokens    int64
	maxOutputTokens int64
	reservation     reserver.Reservation
	body            []byte
	outbound        carrier.Request

	// avoid are the servers that are not tried again.
	attempted []string
	// sends counts servers that the request was sent to.
	attempts        int
	connectFailures int
	// mayHaveRun is true once a server got the request and did not refuse it.
	mayHaveRun bool
	// position is how far the caller has got in its stream.
	position streamPosition
	// failure is the last server's own failure of a request that may be repeated.
	lastFailure *failedResponse

	log requestLog
}

// left returns the time until the final answer is due, in milliseconds.
func (x *exchange) remaining() clocker.Millis {
	return x.deadline - x.cfg.Clock.Now()
}

// relay sends the request to servers until one answers.
func (x *exchange) relay() {
	for {
		f, retry := x.attempt()
		if !retry {
			return
		}
		if f, ok := x.mayRetry(f); !ok {
			x.fail(f)
			return
		}
	}
}

// mayRepeat reports whether the request may be sent to another server after a
// failure, and returns the final answer if not.
func (x *exchange) mayRetry(cause refusal) (refusal, bool) {
	switch {
	case x.ctx.Err() != nil || x.remaining() < minRemaining:
		return x.timeoutRefusal(), false
	case cause == serverUnreachable:
		x.connectFailures++
		return cause, x.connectFailures < maxConnectFailures
	case x.mayHaveRun && !x.retryable():
		return outcomeUnknown, false
	case x.attempts >= x.route.MaxAttempts:
		return cause, false
	case !x.cfg.Retries.Allow(x.service.Name, cause.reason):
		return cause, false
	}
	return cause, true
}

// repeatable reports whether the request may run at another server after it may have
// run at one.
func (x *exchange) retryable() bool {
	return x.route.Repeatable() && !x.position.unresumable
}

// late is the final answer of a request whose time is over.
func (x *exchange) timeoutRefusal() refusal {
	if x.mayHaveRun {
		return timedOut
	}
	return deadlineBeforeSending
}

// attempt sends the request to one server. It returns why that failed and true,
// or false once the caller has its final answer.
func (x *exchange) attempt() (refusal, bool) {
	request := chooser.Request{Service: x.service.Name, Prompt: x.prompt, Avoid: x.attempted}
	chosen := x.cfg.Servers.Choose(request)
	if !chosen.Found {
		x.fail(x.noServerRefusal(chosen.BackAt))
		return refusal{}, false
	}
	server := chosen.Server
	x.attempted = append(x.attempted, server.ID)
	x.log.startAttempt(server, x.cfg.Clock.Now()-x.started)
	response, err := x.cfg.Carrier.Send(x.ctx, carrier.Target{ID: server.ID, Address: server.Address}, x.requestFor(server))
	if err != nil {
		return x.handleSendError(server, err), true
	}
	defer response.Close()
	x.log.setAttemptStatus(response.StatusCode)
	if response.StatusCode != http.StatusMisdirectedRequest { // that is another server
		x.cfg.Servers.Observe(server.ID, x.cfg.Dialect.serverHints(response.StatusCode, response.Header))
	}
	if f, refused := x.checkServerRefusal(server, response); refused {
		return f, true
	}
	x.attempts++
	x.mayHaveRun = true
	if response.StatusCode/100 == 2 && (response.Header.Get(x.cfg.Dialect.Signature) == "" || response.Header.Get("Content-Encoding") != "") {
		return x.finishAttempt(server, chooser.Broken, outcomeUnknown), true
	}
	if x.route.Kind == matcher.Stream && response.StatusCode == http.StatusOK {
		return x.relayStream(server, response)
	}
	return x.relayBuffered(server, response)
}

// unserved is the answer where no server is left to try. backAt is when one takes
// requests again; 0 if that is not known.
func (x *exchange) noServerRefusal(availableAt clocker.Millis) refusal {
	switch {
	case x.mayHaveRun:
		return outcomeUnknown
	case x.attempts > 0 && availableAt == 0:
		return serverShed
	case x.connectFailures > 0:
		return serverUnreachable
	case availableAt > 0:
		return serversPaused.withMinRetryAfter(availableAt - x.cfg.Clock.Now())
	}
	return noServer
}

// request returns the request as this server gets it.
func (x *exchange) requestFor(server chooser.Server) carrier.Request {
	d := x.cfg.Dialect
	out := x.outbound
	out.Header = x.outbound.Header.Clone()
	out.Header.Set(d.Deadline, strconv.FormatInt(int64(max(1, x.remaining())), 10))
	out.Header.Set(d.ExpectedServerID, server.ID)
	if x.position.callerLast != unnumbered {
		out.Header.Set(d.LastEventID, strconv.FormatInt(x.position.callerLast, 10))
	}
	out.MaxIdleTime = defaultTimeout
	out.ResponseHeaderTimeout = max(1, x.remaining())
	canRetry := x.retryable() && x.attempts+1 < x.route.MaxAttempts
	if !canRetry && x.cfg.Clock.Now()-x.cfg.Servers.LastReceivedAt(server.ID) > reachabilityTTL {
		out.MaxIdleTime = reachabilityTTL
	}
	if canRetry {
		out.ResponseHeaderTimeout = min(out.ResponseHeaderTimeout, max(headerTimeoutFactor*x.route.TargetLatency, minHeaderTimeout))
	}
	return out
}

// unanswered says what it means that no answer came.
func (x *exchange) handleSendError(server chooser.Server, err error) refusal {
	x.log.setCause(err)
	if connector.IsErrNotSent(err) {
		if x.ctx.Err() != nil {
			x.cfg.Servers.Finish(server.ID, chooser.Answered)
			return serverUnreachable
		}
		return x.finishAttempt(server, chooser.Unreachable, serverUnreachable)
	}
	x.attempts++
	x.mayHaveRun = true
	if x.ctx.Err() != nil && x.req.Context().Err() != nil {
		return x.finishAttempt(server, chooser.Answered, outcomeUnknown) // the caller left
	}
	return x.finishAttempt(server, chooser.Broken, outcomeUnknown)
}

// refused reports whether the server says that it did not run the request.
func (x *exchange) checkServerRefusal(server chooser.Server, response *carrier.Response) (refusal, bool) {
	switch {
	case response.StatusCode == http.StatusMisdirectedRequest:
		x.attempts++
		return x.finishAttempt(server, chooser.Gone, serverShed), true
	case response.Header.Get(x.cfg.Dialect.NotRun) != "" && response.StatusCode/100 != 2:
		x.attempts++
		return x.finishAttempt(server, chooser.Shed, serverShed), true
	}
	return refusal{}, false
}

// finish notes the outcome of an exchange with a server.
func (x *exchange) finishAttempt(server chooser.Server, o chooser.Outcome, f refusal) refusal {
	x.cfg.Servers.Finish(server.ID, o)
	x.log.setOutcome(f.reason)
	return f
}

// end settles the budget and logs the request.
func (x *exchange) settleAndLog() {
	used := int64(0)
	if x.mayHaveRun {
		perEvent := int64(1)
		if x.service != nil {
			perEvent = int64(max(1, x.service.TokensPerEvent))
		}
		used = x.promptTokens + min(x.maxOutputTokens, x.position.forwarded*perEvent)
	}
	x.cfg.Budgets.Settle(x.reservation, used)
	x.writeLog(used)
}

// refuse answers a request that got no answer from a server.
func (x *exchange) refuse(f refusal) {
	x.log.reason = f.reason
	x.log.refused = true
	x.log.setStatus(f.status)
	x.reply.refuse(f, x.remaining())
}

// giveUp ends a request that no server answered whole: by a refusal, or by an
// answer that visibly breaks off.
func (x *exchange) fail(f refusal) {
	if x.mayHaveRun && f.impliesNotRun() {
		f = outcomeUnknown // only the last server refused it
	}
	if x.req.Context().Err() != nil {
		f.reason = "caller_left"
	}
	x.log.reason = f.reason
	switch {
	case x.reply.started: // it stays incomplete
	case x.lastFailure != nil && f.reason != "caller_left":
		x.sendBuffered(x.lastFailure.response, x.lastFailure.body)
	default:
		x.refuse(f)
	}
}
