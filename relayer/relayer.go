// Package relayer passes callers' requests to backend servers: it finds the route
// and the client account, reserves the budget, sends the request within the
// attempts that its route allows, and returns the server's own answer.
package relayer

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"cowsliphinge/carrier"
	"cowsliphinge/chooser"
	"cowsliphinge/clocker"
	"cowsliphinge/matcher"
	"cowsliphinge/reserver"
)

// Servers chooses backend servers and learns from what requests show.
type Servers interface {
	// Choose returns a server for the request and notes that it is sent there, if one
	// takes new work.
	Choose(r chooser.Request) chooser.Choice
	// Finish notes how an exchange ended.
	Finish(id string, o chooser.Outcome)
	// Heard notes that bytes came from a server, and what it told of itself.
	Observe(id string, hints chooser.Word)
	// HeardAt returns when a byte last came from a server.
	LastReceivedAt(id string) clocker.Millis
}

// Budgets reserves tokens of client accounts.
type Budgets interface {
	Reserve(ctx context.Context, budget string, tokens int64, rank int, deadline clocker.Millis) (reserver.Reservation, error)
	Settle(r reserver.Reservation, used int64)
}

// Retries bounds repeats of all requests of a service together.
type Retries interface {
	Attempted(service string)
	Allow(service, reason string) bool
}

// Config configures a Relayer.
type Config struct {
	Clock   *clocker.Clock
	Dialect Dialect
	// Table returns the routes in force, or nil while none are known.
	Table   func() *matcher.Table
	Servers Servers
	Budgets Budgets
	Retries Retries
	Carrier *carrier.Carrier
	// Draining reports whether callers are to open new connections elsewhere.
	Draining func() bool
	// CutAt returns when a planned stop cuts the requests in flight; 0 for never.
	StopDeadline func() clocker.Millis
	Log          *slog.Logger
}

// Relayer is an http.Handler for callers.
type Relayer struct {
	cfg      Config
	inFlight atomic.Int64
}

// New returns a Relayer.
func New(cfg Config) *Relayer {
	return &Relayer{cfg: cfg}
}

// InFlight returns how many requests have no final answer yet.
func (r *Relayer) InFlight() int64 {
	return r.inFlight.Load()
}

// ServeHTTP answers one request of a caller.
func (r *Relayer) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	if r.cfg.Draining() {
		w.Header().Set("Connection", "close")
	}
	x := r.newExchange(w, req)
	defer x.settleAndLog()
	x.serve()
	if x.reply.truncated() {
		x.reply.abort(req)
	}
}

// serve answers the request, or leaves an answer that has begun incomplete.
func (x *exchange) serve() {
	if f, ok := x.admit(); !ok {
		x.refuse(f)
		return
	}
	ctx, cancel := x.cfg.Clock.WithTimeout(x.req.Context(), x.remaining())
	defer cancel()
	x.ctx = ctx
	if f, ok := x.reserve(); !ok {
		x.refuse(f)
		return
	}
	x.cfg.Retries.Attempted(x.service.Name)
	x.relay()
}

// newExchange returns the state of a request that has just been read.
func (r *Relayer) newExchange(w http.ResponseWriter, req *http.Request) *exchange {
	now := r.cfg.Clock.Now()
	return &exchange{
		Relayer:  r,
		reply:    callerReply{w: w},
		req:      req,
		ctx:      req.Context(),
		id:       req.Header.Get(r.cfg.Dialect.RequestID),
		started:  now,
		position: positionAfter(unnumbered),
	}
}

// admit finds out what the request is and whether it may be sent at all.
func (x *exchange) admit() (refusal, bool) {
	x.deadline = x.started + x.callerTimeout()
	x.table = x.cfg.Table()
	if x.table == nil {
		return noConfiguration, false
	}
	uri := requestTarget(x.req)
	path, _, _ := strings.Cut(uri, "?")
	x.route = x.table.Route(x.req.Host, path)
	if x.route == nil {
		return noRoute, false
	}
	if x.route.Timeout > 0 {
		x.deadline = min(x.deadline, x.started+x.route.Timeout)
	}
	if x.route.Kind == matcher.Stream && x.route.Resumable {
		x.position = positionAfter(parseEventNumber([]byte(x.req.Header.Get(x.cfg.Dialect.LastEventID))))
	}
	if stopAt := x.cfg.StopDeadline(); stopAt > 0 && x.started+x.expectedDuration() > stopAt {
		return stopping, false
	}
	if x.table.NeedsKeys() {
		x.account = x.table.Account(bearerKey(x.req.Header))
		if x.account == nil && !x.route.Public {
			return unknownKey, false
		}
	}
	x.service = x.table.Service(x.route.Service(rand.Uint64()))
	x.prompt = parsePromptParts(x.req.Header.Get(x.cfg.Dialect.Prefix))
	x.promptTokens, x.maxOutputTokens, x.hasTokenCounts = parseTokens(x.req.Header.Get(x.cfg.Dialect.Tokens))
	if f, ok := x.readBody(); !ok {
		return f, false
	}
	x.outbound = carrier.Request{
		ID:     x.id,
		Method: x.req.Method,
		URI:    uri,
		Host:   x.req.Host,
		Header: x.outboundHeader(),
		Body:   x.body,
	}
	return refusal{}, true
}

// need returns how long the request may take here before it is better off at another
// host, in milliseconds. How many events a stream has is not known beforehand.
func (x *exchange) expectedDuration() clocker.Millis {
	if x.route.Kind == matcher.Stream {
		return x.remaining()
	}
	return min(x.remaining(), max(headerTimeoutFactor*x.route.TargetLatency, minHeaderTimeout))
}

// callersTime returns how long the caller waits, in milliseconds.
func (x *exchange) callerTimeout() clocker.Millis {
	ms, err := strconv.ParseInt(strings.TrimSpace(x.req.Header.Get(x.cfg.Dialect.Deadline)), 10, 64)
	if err != nil || ms <= 0 {
		return defaultTimeout
	}
	return min(clocker.Millis(ms), maxCallerTimeout)
}

// readBody reads the whole body, so that it can be sent again.
func (x *exchange) readBody() (refusal, bool) {
	limit := x.table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if x.req.ContentLength > limit {
		x.reply.w.Header().Set("Connection", "close")
		return bodyTooLarge, false
	}
	control := http.NewResponseController(x.reply.w)
	_ = control.SetReadDeadline(clocker.FromNow(x.remaining())) // a test's writer has no deadline
	body, err := io.ReadAll(http.MaxBytesReader(x.reply.w, x.req.Body, limit))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return bodyTooLarge, false
	case err != nil:
		x.reply.w.Header().Set("Connection", "close")
		return bodyReadFailed, false
	}
	x.body = body
	return refusal{}, true
}

// header returns the headers for backend servers, but for those of one attempt.
func (x *exchange) outboundHeader() http.Header {
	d := x.cfg.Dialect
	header := forwardableHeaders(x.req.Header)
	for _, name := range d.Reserved {
		header.Del(name)
	}
	header.Del(d.ExpectedServerID)
	header.Del(d.Account)
	header.Del(d.Priority)
	if x.table.NeedsKeys() {
		header.Del("Authorization")
	}
	if x.account != nil {
		header.Set(d.Account, x.account.Name)
	}
	if x.service.Engine {
		header.Set(d.Priority, strconv.Itoa(min(max(x.priority(), 0), lowestPriority)))
	}
	return header
}

// priority is that of the client account, else that of the route.
func (x *exchange) priority() int {
	if x.account != nil && x.account.HasPriority {
		return x.account.Priority
	}
	return x.route.Priority
}

// reserve takes the most that the request can cost from its budget.
func (x *exchange) reserve() (refusal, bool) {
	if x.account == nil || !x.account.HasPrepaid || !x.hasTokenCounts {
		return refusal{}, true
	}
	reservation, err := x.cfg.Budgets.Reserve(x.ctx, x.account.Name, x.promptTokens+x.maxOutputTokens, x.route.Priority, x.deadline)
	switch {
	case err == nil:
		x.reservation = reservation
		return refusal{}, true
	case reserver.IsErrBudgetExhausted(err):
		return budgetExhausted, false
	default:
		return budgetUnreachable, false
	}
}

// requestTarget returns path and query as the caller sent them.
func requestTarget(req *http.Request) string {
	if strings.HasPrefix(req.RequestURI, "/") {
		return req.RequestURI
	}
	return req.URL.RequestURI() // absolute form
}
