package relayer

import (
	"context"
	"fmt"
	"net/http"
	"strconv"

	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/admitter"
	"cowsliphinge/carrier"
	"cowsliphinge/chooser"
	"cowsliphinge/clocker"
	"cowsliphinge/concluder"
	"cowsliphinge/matcher"
	"cowsliphinge/quarantiner"
	"cowsliphinge/reserver"
)

const (
	// defaultTimeout applies to callers that send no timeout, in milliseconds.
	defaultTimeout = clocker.Minute
	// maxCallerTimeout limits the timeout that a caller sends, in milliseconds.
	maxCallerTimeout = clocker.Hour
	// defaultBodyBytes limits a request body if the configuration sets no limit.
	defaultBodyBytes = 1 << 20
	// lowestPriority is the least urgent priority that model engines accept.
	lowestPriority = 9
	// maxConnectFailures limits the failed connections of one request.
	maxConnectFailures = 4
	// minRemaining is the remaining time below which a request is not sent again,
	// in milliseconds.
	minRemaining = 10 * clocker.Millis(1)
	// headerTimeoutFactor times the target latency is the time limit for the
	// response header while a retry is possible, but at least minHeaderTimeout.
	headerTimeoutFactor = 3
	minHeaderTimeout    = 400 * clocker.Millis(1)
	// gapTimeoutFactor times the target gap is the time limit for the next event
	// while the stream can continue on another server, but at least minGapTimeout.
	gapTimeoutFactor = 4
	minGapTimeout    = clocker.Second
	// reachabilityTTL is how long a received byte shows that a server is reachable,
	// in milliseconds. After that, a request that can't be retried is sent only on
	// a new connection or on one used within this time, since servers may drop
	// connections that are idle for longer.
	reachabilityTTL = 300 * clocker.Millis(1)
)

// relayedRequest is the state of one request of a caller over all its attempts.
type relayedRequest struct {
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
	prompt   []chooser.PromptPart
	// suspect identifies the request for the quarantine.
	suspect quarantiner.Request
	// hasTokenCounts is true if the request states its prompt and output tokens.
	hasTokenCounts  bool
	promptTokens    int64
	maxOutputTokens int64
	reservation     reserver.Reservation
	// memory is what the connection of the caller holds; it may be nil.
	memory *admitter.Holding
	// body is nil before it was read, and once no attempt can need it. bodyRead is true once it was read.
	body     *admitter.Body
	bodyRead bool
	// responseCharge is what a buffered response is charged.
	responseCharge int64
	outbound       carrier.Request

	// triedServers are the IDs of the servers chosen so far; none is chosen again.
	triedServers []string
	// sentAttempts counts the servers that the request was sent to, without those that
	// were unreachable.
	sentAttempts    int
	connectFailures int
	// possibleRuns counts the servers that may have received the request and did not refuse it.
	possibleRuns int
	// next is an attempt that was begun while the server of the last one was silent, and takes over
	// from it.
	next *attempt
	// origin is the software version that began the stream.
	origin streamOrigin
	// position is the caller's position in its stream.
	position streamPosition
	// lastFailure is the last error response of a server to a retryable request.
	lastFailure *failedResponse

	log requestLog
}

// remaining returns the time until the deadline, in milliseconds.
func (x *relayedRequest) remaining() clocker.Millis {
	return x.deadline - x.cfg.Clock.Now()
}

// relay sends the request to backend servers until the caller has a response.
func (x *relayedRequest) relay() {
	for {
		f, retry := x.attempt()
		if !retry {
			return
		}
		if x.next != nil {
			continue
		}
		if f, ok := x.mayRetry(f); !ok {
			x.fail(f)
			return
		}
	}
}

// mayRetry reports whether the request may be sent to another server after the
// attempt failed with cause. If not, it returns the failure for the caller.
func (x *relayedRequest) mayRetry(cause failure) (failure, bool) {
	switch {
	case x.ctx.Err() != nil || x.remaining() < minRemaining:
		return x.timeoutFailure(), false
	case cause == serverUnreachable:
		x.connectFailures++
		return cause, x.connectFailures < maxConnectFailures
	case x.mayHaveRun() && !x.retryable():
		return outcomeUnknown, false
	case x.sentAttempts >= x.route.MaxAttempts:
		return cause, false
	case !x.cfg.Retries.Allow(x.service.Name, cause.reason):
		return cause, false
	}
	return cause, true
}

// retryable reports whether the request may run on another server after it may have
// run on one.
func (x *relayedRequest) retryable() bool {
	return x.route.Repeatable() && !x.position.unresumable
}

// resumable reports whether another server may continue the response, and callers may take it up again.
func (x *relayedRequest) resumable() bool {
	return x.route.Kind == matcher.Stream && x.route.Resumable
}

// timeoutFailure returns the failure of a request whose time is over.
func (x *relayedRequest) timeoutFailure() failure {
	if x.mayHaveRun() {
		return timedOut
	}
	return deadlineBeforeSending
}

// noServerFailure returns the failure if no server can be chosen. retryAt is when a
// server accepts requests again; 0 if unknown.
func (x *relayedRequest) noServerFailure(retryAt clocker.Millis) failure {
	switch {
	case x.mayHaveRun():
		return outcomeUnknown
	case x.sentAttempts > 0 && retryAt == 0:
		return serverShed
	case x.connectFailures > 0:
		return serverUnreachable
	case retryAt > 0:
		return serversPaused.withMinRetryAfter(retryAt - x.cfg.Clock.Now())
	}
	return noServer
}

// shedFailure returns the failure of a request that no server can start in time.
func (x *relayedRequest) shedFailure(chosen chooser.Choice) failure {
	x.log.shed = chosen.Shed
	metrics.GetOrCreateCounter(fmt.Sprintf("cowsliphinge_requests_shed_total{service=%q,reason=%q}", x.service.Name, chosen.Shed)).Inc()
	return serversFull.withMinRetryAfter(chosen.RetryAt - x.cfg.Clock.Now())
}

// requestFor returns the request with the headers and timeouts for one server. It may use
// a connection that was idle for up to defaultTimeout, but only for reachabilityTTL if it
// can't be retried and the server has not shown within this time that it is reachable.
func (x *relayedRequest) requestFor(server chooser.Server) carrier.Request {
	d := x.cfg.HeaderNames
	out := x.outbound
	out.Header = x.outbound.Header.Clone()
	out.Header.Set(d.Timeout, strconv.FormatInt(int64(max(1, x.remaining())), 10))
	out.Header.Set(d.ExpectedServerID, server.ID)
	if x.position.callerLast != unnumbered {
		out.Header.Del(d.LastEventID)
		if after, ok := concluder.ResumeAfter(x.position.callerLast); ok {
			out.Header.Set(d.LastEventID, strconv.FormatInt(after, 10))
		}
	}
	out.SameIncarnation = x.resumable()
	out.MaxIdleTime = defaultTimeout
	out.Deadline = x.deadline
	out.ResponseHeaderTimeout = max(1, x.remaining())
	canRetry := x.retryable() && x.sentAttempts+1 < x.route.MaxAttempts
	if !canRetry && x.cfg.Clock.Now()-x.cfg.Servers.LastActivity(server.ID) > reachabilityTTL {
		out.MaxIdleTime = reachabilityTTL
	}
	if canRetry {
		out.ResponseHeaderTimeout = min(out.ResponseHeaderTimeout, max(headerTimeoutFactor*x.route.TargetLatency, minHeaderTimeout))
	}
	return out
}

// settleAndLog settles the budget with the tokens used and logs the request. Output tokens
// are estimated from the events of a stream, so any other response counts as its prompt
// tokens only.
func (x *relayedRequest) settleAndLog() {
	used := int64(0)
	if x.mayHaveRun() {
		used = x.promptTokens + min(x.maxOutputTokens, x.forwardedTokens())
	}
	x.cfg.Budgets.Settle(x.reservation, used)
	x.writeLog(used)
}

// forwardedTokens returns how many tokens the events hold that were forwarded, at most.
func (x *relayedRequest) forwardedTokens() int64 {
	if x.service == nil {
		return x.position.forwarded
	}
	return x.position.forwarded * int64(max(1, x.service.TokensPerEvent))
}

// refuse responds with a failure that this host generates.
func (x *relayedRequest) refuse(f failure) {
	x.log.reason = f.reason
	x.log.refused = true
	x.log.setStatus(f.status)
	x.boundRest(f)
	x.reply.refuse(f, x.remaining())
	if !x.bodyRead {
		x.memory.Reset() // the connection may stay open for a while
	}
}

// fail ends a request to which no server sent a complete successful response. The
// caller gets the last error response of a server, else the failure. A response that
// has started is aborted.
func (x *relayedRequest) fail(f failure) {
	if x.mayHaveRun() && f.impliesNotRun() {
		f = outcomeUnknown // only the last server refused it
	}
	if x.req.Context().Err() != nil {
		f.reason = "caller_left"
	}
	x.log.reason = f.reason
	switch {
	case x.reply.started: // stays incomplete, so ServeHTTP aborts it
	case x.lastFailure != nil && f.reason != "caller_left":
		x.sendBuffered(x.lastFailure.response, x.lastFailure.body)
	default:
		x.refuse(f)
	}
}
