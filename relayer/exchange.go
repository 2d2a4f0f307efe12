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
	defaultTime = clocker.Minute
	// maxCallersTime bounds the time that a caller names, in milliseconds.
	maxCallersTime = clocker.Hour
	// defaultBodyBytes bounds a body where no limit is declared.
	defaultBodyBytes = 1 << 20
	// lowestPriority is the least urgent one that model engines know.
	lowestPriority = 9
	// maxUnreached bounds the servers to which no connection came about.
	maxUnreached = 4
	// minTime is the least time for which a request is worth sending, in
	// milliseconds.
	minTime = 10 * clocker.Millis(1)
	// headPatience times the target latency is how long a server may take to begin
	// an answer while another one may be tried, at least minPatience.
	headPatience = 3
	minPatience  = 400 * clocker.Millis(1)
	// gapPatience times the target gap is how long a stream may pause while it can
	// go on elsewhere, at least minGap.
	gapPatience = 4
	minGap      = clocker.Second
	// provenFor is how long a byte from a server proves that it can be reached, in
	// milliseconds; after that a new connection has to prove it before a request
	// is sent that can't be repeated. Servers may drop connections after that rest.
	provenFor = 300 * clocker.Millis(1)
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
	measured     bool
	promptTokens int64
	maxOutput    int64
	reservation  reserver.Reservation
	body         []byte
	out          carrier.Request

	// avoid are the servers that are not tried again.
	avoid []string
	// sends counts servers that the request was sent to.
	sends     int
	unreached int
	// mayHaveRun is true once a server got the request and did not refuse it.
	mayHaveRun bool
	// position is how far the caller has got in its stream.
	position position
	// failure is the last server's own failure of a request that may be repeated.
	failure *failedAnswer

	log record
}

// left returns the time until the final answer is due, in milliseconds.
func (x *exchange) left() clocker.Millis {
	return x.deadline - x.cfg.Clock.Now()
}

// relay sends the request to servers until one answers.
func (x *exchange) relay() {
	for {
		f, again := x.attempt()
		if !again {
			return
		}
		if f, ok := x.mayRepeat(f); !ok {
			x.giveUp(f)
			return
		}
	}
}

// mayRepeat reports whether the request may be sent to another server after a
// failure, and returns the final answer if not.
func (x *exchange) mayRepeat(failure refusal) (refusal, bool) {
	switch {
	case x.ctx.Err() != nil || x.left() < minTime:
		return x.late(), false
	case failure == notReached:
		x.unreached++
		return failure, x.unreached < maxUnreached
	case x.mayHaveRun && !x.repeatable():
		return outcomeUnknown, false
	case x.sends >= x.route.MaxAttempts:
		return failure, false
	case !x.cfg.Retries.Allow(x.service.Name, failure.reason):
		return failure, false
	}
	return failure, true
}

// repeatable reports whether the request may run at another server after it may have
// run at one.
func (x *exchange) repeatable() bool {
	return x.route.Repeatable() && !x.position.fixed
}

// late is the final answer of a request whose time is over.
func (x *exchange) late() refusal {
	if x.mayHaveRun {
		return timedOut
	}
	return tooLate
}

// attempt sends the request to one server. It returns why that failed and true,
// or false once the caller has its final answer.
func (x *exchange) attempt() (refusal, bool) {
	choice := chooser.Request{Service: x.service.Name, Prompt: x.prompt, Avoid: x.avoid}
	chosen := x.cfg.Servers.Choose(choice)
	if !chosen.Found {
		x.giveUp(x.unserved(chosen.BackAt))
		return refusal{}, false
	}
	server := chosen.Server
	x.avoid = append(x.avoid, server.ID)
	x.log.try(server, x.cfg.Clock.Now()-x.started)
	answer, err := x.cfg.Carrier.Send(x.ctx, carrier.Target{ID: server.ID, Address: server.Address}, x.request(server))
	if err != nil {
		return x.unanswered(server, err), true
	}
	defer answer.Close()
	x.log.answered(answer.StatusCode)
	if answer.StatusCode != http.StatusMisdirectedRequest { // that is another server
		x.cfg.Servers.Observe(server.ID, x.cfg.Dialect.word(answer.StatusCode, answer.Header))
	}
	if f, refused := x.refused(server, answer); refused {
		return f, true
	}
	x.sends++
	x.mayHaveRun = true
	if answer.StatusCode/100 == 2 && (answer.Header.Get(x.cfg.Dialect.Signature) == "" || answer.Header.Get("Content-Encoding") != "") {
		return x.finish(server, chooser.Broken, outcomeUnknown), true
	}
	if x.route.Kind == matcher.Stream && answer.StatusCode == http.StatusOK {
		return x.stream(server, answer)
	}
	return x.whole(server, answer)
}

// unserved is the answer where no server is left to try. backAt is when one takes
// requests again; 0 if that is not known.
func (x *exchange) unserved(backAt clocker.Millis) refusal {
	switch {
	case x.mayHaveRun:
		return outcomeUnknown
	case x.sends > 0 && backAt == 0:
		return shed
	case x.unreached > 0:
		return notReached
	case backAt > 0:
		return serversPaused.after(backAt - x.cfg.Clock.Now())
	}
	return noServer
}

// request returns the request as this server gets it.
func (x *exchange) request(server chooser.Server) carrier.Request {
	d := x.cfg.Dialect
	out := x.out
	out.Header = x.out.Header.Clone()
	out.Header.Set(d.Deadline, strconv.FormatInt(int64(max(1, x.left())), 10))
	out.Header.Set(d.ExpectedServerID, server.ID)
	if x.position.last != unnumbered {
		out.Header.Set(d.LastEventID, strconv.FormatInt(x.position.last, 10))
	}
	out.MaxIdleTime = defaultTime
	out.ResponseHeaderTimeout = max(1, x.left())
	mayMiss := x.repeatable() && x.sends+1 < x.route.MaxAttempts
	if !mayMiss && x.cfg.Clock.Now()-x.cfg.Servers.LastReceivedAt(server.ID) > provenFor {
		out.MaxIdleTime = provenFor
	}
	if mayMiss {
		out.ResponseHeaderTimeout = min(out.ResponseHeaderTimeout, max(headPatience*x.route.TargetLatency, minPatience))
	}
	return out
}

// unanswered says what it means that no answer came.
func (x *exchange) unanswered(server chooser.Server, err error) refusal {
	x.log.failed(err)
	if connector.IsErrNotSent(err) {
		if x.ctx.Err() != nil {
			x.cfg.Servers.Finish(server.ID, chooser.Answered)
			return notReached
		}
		return x.finish(server, chooser.Unreachable, notReached)
	}
	x.sends++
	x.mayHaveRun = true
	if x.ctx.Err() != nil && x.req.Context().Err() != nil {
		return x.finish(server, chooser.Answered, outcomeUnknown) // the caller left
	}
	return x.finish(server, chooser.Broken, outcomeUnknown)
}

// refused reports whether the server says that it did not run the request.
func (x *exchange) refused(server chooser.Server, answer *carrier.Response) (refusal, bool) {
	switch {
	case answer.StatusCode == http.StatusMisdirectedRequest:
		x.sends++
		return x.finish(server, chooser.Gone, shed), true
	case answer.Header.Get(x.cfg.Dialect.NotRun) != "" && answer.StatusCode/100 != 2:
		x.sends++
		return x.finish(server, chooser.Shed, shed), true
	}
	return refusal{}, false
}

// finish notes the outcome of an exchange with a server.
func (x *exchange) finish(server chooser.Server, o chooser.Outcome, f refusal) refusal {
	x.cfg.Servers.Finish(server.ID, o)
	x.log.outcome(f.reason)
	return f
}

// end settles the budget and logs the request.
func (x *exchange) end() {
	used := int64(0)
	if x.mayHaveRun {
		perEvent := int64(1)
		if x.service != nil {
			perEvent = int64(max(1, x.service.TokensPerEvent))
		}
		used = x.promptTokens + min(x.maxOutput, x.position.events*perEvent)
	}
	x.cfg.Budgets.Settle(x.reservation, used)
	x.writeLog(used)
}

// refuse answers a request that got no answer from a server.
func (x *exchange) refuse(f refusal) {
	x.log.reason = f.reason
	x.log.refused = true
	x.log.begun(f.status)
	x.reply.refuse(f, x.left())
}

// giveUp ends a request that no server answered whole: by a refusal, or by an
// answer that visibly breaks off.
func (x *exchange) giveUp(f refusal) {
	if x.mayHaveRun && f.saysNotRun() {
		f = outcomeUnknown // only the last server refused it
	}
	if x.req.Context().Err() != nil {
		f.reason = "caller_left"
	}
	x.log.reason = f.reason
	switch {
	case x.reply.begun: // it stays incomplete
	case x.failure != nil && f.reason != "caller_left":
		x.passWhole(x.failure.head, x.failure.body)
	default:
		x.refuse(f)
	}
}
