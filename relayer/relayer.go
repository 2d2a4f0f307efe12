// Package relayer is the reverse proxy between callers and backend servers. It finds
// the route and the client account of a request, reserves its budget, sends it to
// backend servers within the attempts that its route allows, and forwards the
// server's response. It chooses servers with package chooser, sends requests with package
// carrier and limits retries with retrier.RetryWindow; package runner assembles them.
// Package dispatcher is its counterpart for the declarations of package router.
package relayer

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"cowsliphinge/admitter"
	"cowsliphinge/carrier"
	"cowsliphinge/chooser"
	"cowsliphinge/clocker"
	"cowsliphinge/matcher"
	"cowsliphinge/quarantiner"
	"cowsliphinge/reserver"
)

// Servers selects backend servers and is updated with the outcome of each attempt.
type Servers interface {
	// Choose returns a server that accepts new requests, if there is one, and counts
	// the request as sent to it.
	Choose(r chooser.Request) chooser.Choice
	// Finish records the outcome of an attempt with a request.
	Finish(id string, r chooser.Request, o chooser.Outcome)
	// MarkDown records that nothing listens at the address of a server.
	MarkDown(id string)
	// RecordActivity records that bytes arrived from a server, and the status report in
	// its response.
	RecordActivity(id string, report chooser.StatusReport)
	// LastActivity returns when the last byte arrived from a server.
	LastActivity(id string) clocker.Millis
	// Leaving reports whether a server is about to stop, or is not known any more.
	Leaving(id string) bool
	// Replaced reports whether another incarnation runs in place of a server by now.
	Replaced(s chooser.Server) bool
	// LeftAsPlanned reports whether a server that was replaced had been leaving, or may have been.
	LeftAsPlanned(s chooser.Server) bool
}

// Budgets reserves and settles tokens of client accounts. Reservations of a lower rank take
// precedence when a budget is scarce.
type Budgets interface {
	Reserve(ctx context.Context, budget string, tokens int64, rank int, deadline clocker.Millis) (reserver.Reservation, error)
	Settle(r reserver.Reservation, used int64)
}

// Retries limits the retries of a service across all its requests.
type Retries interface {
	Attempted(service string)
	Allow(service, reason string) bool
}

// Quarantine tells which requests must not be sent because they crash servers.
type Quarantine interface {
	// Refused returns until when the request must not be sent, 0 if it may be.
	Refused(r quarantiner.Request) clocker.Millis
	// Answered records a complete answer. An answer that is not framed ended with its
	// connection.
	Answered(s quarantiner.Server, r quarantiner.Request, framed bool)
	// Crashed records that a server crashed before it had begun to answer the request.
	Crashed(s quarantiner.Server, r quarantiner.Request)
}

// Origins knows which software version began each stream: a stream may go on at that one only.
type Origins interface {
	// Began records that a server sends the first event of a stream.
	Began(id string, s chooser.Server)
	// Origin returns the version that began a stream, and false if that is not known. The ID is
	// "" if the caller names no stream.
	Origin(ctx context.Context, id, service string) (string, bool)
}

// ConfigurationNews tells how current the configuration in force is.
type ConfigurationNews struct {
	// InForceSince is when it came into force, in milliseconds.
	InForceSince clocker.Millis
	// NewestVersion is the highest version that other hosts have reported.
	NewestVersion int64
}

// Config configures a Relayer.
type Config struct {
	Clock       *clocker.Clock
	HeaderNames HeaderNames
	// Table returns the routing table in force, or nil before one is loaded.
	Table func() *matcher.Table
	// ConfigurationNews tells, for the log, how current that table is; it may be nil.
	ConfigurationNews func() ConfigurationNews

	Servers Servers
	Budgets Budgets
	Retries Retries
	// Origins may be nil if servers name no version of their software.
	Origins Origins
	// Quarantine may be nil.
	Quarantine Quarantine
	Carrier    *carrier.Carrier
	// MoveCallers reports whether callers should reconnect to another host.
	MoveCallers func() bool
	// StopDeadline returns when a planned stop aborts the requests in flight; 0 for
	// never.
	StopDeadline func() clocker.Millis
	Log          *slog.Logger
}

// Relayer is the http.Handler for requests of callers.
type Relayer struct {
	cfg      Config
	inFlight atomic.Int64
	// overlap is maxOverlap; tests set others.
	overlap clocker.Millis
	// ended is canceled by EndAll.
	ended  context.Context
	endAll context.CancelFunc
}

// New returns a Relayer with the given configuration.
func New(cfg Config) *Relayer {
	if cfg.Quarantine == nil {
		cfg.Quarantine = noQuarantine{}
	}
	if cfg.ConfigurationNews == nil {
		cfg.ConfigurationNews = func() ConfigurationNews { return ConfigurationNews{} }
	}
	if cfg.Origins == nil {
		cfg.Origins = sameOrigin{}
	}
	var logInvalidLoad sync.Once // servers repeat the same fault in each response
	cfg.HeaderNames.invalidLoad = func(value string) {
		logInvalidLoad.Do(func() {
			cfg.Log.Warn("load of a backend server is not valid, further ones are only counted", "value", value[:min(len(value), maxLoggedValue)])
		})
	}
	r := &Relayer{cfg: cfg, overlap: maxOverlap}
	r.ended, r.endAll = context.WithCancel(context.Background())
	return r
}

// EndAll ends the time of all requests in progress and of further ones: those whose response has not
// started are answered, the others are aborted.
func (r *Relayer) EndAll() {
	r.endAll()
}

// InFlight returns the number of requests in progress.
func (r *Relayer) InFlight() int64 {
	return r.inFlight.Load()
}

// ServeHTTP implements http.Handler.
func (r *Relayer) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	if r.cfg.MoveCallers() {
		w.Header().Set("Connection", "close")
	}
	x := r.newRelayedRequest(w, req)
	defer x.settleAndLog()
	defer x.releaseBody()
	x.serve()
	if x.reply.truncated() {
		x.reply.abort(req)
	}
}

// serve responds to the request, or leaves a response that has started incomplete.
func (x *relayedRequest) serve() {
	if f, ok := x.admit(); !ok {
		x.refuse(f)
		return
	}
	ctx, cancel := x.cfg.Clock.WithTimeout(x.req.Context(), x.remaining())
	defer cancel()
	defer context.AfterFunc(x.ended, cancel)()
	x.ctx = ctx
	if f, ok := x.findOrigin(); !ok {
		x.refuse(f)
		return
	}
	if f, ok := x.reserve(); !ok {
		x.refuse(f)
		return
	}
	x.cfg.Retries.Attempted(x.service.Name)
	x.relay()
}

// newRelayedRequest returns the state of a request whose header has just been read.
func (r *Relayer) newRelayedRequest(w http.ResponseWriter, req *http.Request) *relayedRequest {
	now := r.cfg.Clock.Now()
	return &relayedRequest{
		Relayer:  r,
		reply:    callerReply{w: w},
		req:      req,
		ctx:      req.Context(),
		id:       req.Header.Get(r.cfg.HeaderNames.RequestID),
		memory:   admitter.FromContext(req.Context()),
		started:  now,
		position: positionAfter(unnumbered),
	}
}

// admit resolves route, client account and service, reads the body and prepares the
// outbound request. It returns a failure and false if the request must not be sent.
func (x *relayedRequest) admit() (failure, bool) {
	x.deadline = x.started + x.callerTimeout()
	if x.memory.Charge(admitter.RequestBytes) != nil {
		return memoryFull, false
	}
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
	if x.resumable() {
		x.position = positionAfter(parseEventNumber([]byte(x.req.Header.Get(x.cfg.HeaderNames.LastEventID))))
	}
	if x.route.Kind == matcher.Stream && x.memory.Charge(streamBytes) != nil {
		return memoryFull, false
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
	x.prompt = parsePromptParts(x.req.Header.Get(x.cfg.HeaderNames.PromptParts))
	x.promptTokens, x.maxOutputTokens, x.hasTokenCounts = parseTokens(x.req.Header.Get(x.cfg.HeaderNames.Tokens))
	if f, ok := x.readBody(); !ok {
		return f, false
	}
	x.suspect = x.quarantineRequest()
	if f, refused := x.quarantined(); refused {
		return f, false
	}
	x.outbound = carrier.Request{
		ID:      x.id,
		Method:  x.req.Method,
		URI:     uri,
		Host:    x.req.Host,
		Header:  x.outboundHeader(),
		Payload: x.payload(),
	}
	return failure{}, true
}

// expectedDuration returns how long the request may take on this host, in
// milliseconds. A stream may take all its remaining time, since the number of its
// events is not known in advance, and so may a request that must not be repeated. A request
// that would outlast a planned stop is refused, so that the caller sends it to another host.
func (x *relayedRequest) expectedDuration() clocker.Millis {
	if x.route.Kind != matcher.Safe {
		return x.remaining()
	}
	return min(x.remaining(), max(headerTimeoutFactor*x.route.TargetLatency, minHeaderTimeout))
}

// callerTimeout returns how long the caller waits for the response, in milliseconds.
func (x *relayedRequest) callerTimeout() clocker.Millis {
	figure, _, _ := strings.Cut(x.req.Header.Get(x.cfg.HeaderNames.Timeout), ",") // others may follow
	ms, err := strconv.ParseInt(strings.TrimSpace(figure), 10, 64)
	if err != nil || ms <= 0 {
		return defaultTimeout
	}
	return min(clocker.Millis(ms), maxCallerTimeout)
}

// outboundHeader returns the headers sent to every backend server. requestFor adds
// those that differ between attempts.
func (x *relayedRequest) outboundHeader() http.Header {
	d := x.cfg.HeaderNames
	header := forwardableHeaders(x.req.Header)
	for _, name := range d.Stripped {
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

// priority returns the priority of the client account, or that of the route if the
// account has none.
func (x *relayedRequest) priority() int {
	if x.account != nil && x.account.HasPriority {
		return x.account.Priority
	}
	return x.route.Priority
}

// reserve reserves the maximum cost of the request in the budget of its account. The rank is
// the priority of the route, since that of the account would be the same for all requests
// that share the budget.
func (x *relayedRequest) reserve() (failure, bool) {
	if x.account == nil || !x.account.HasPrepaid || !x.hasTokenCounts {
		return failure{}, true
	}
	reservation, err := x.cfg.Budgets.Reserve(x.ctx, x.account.Name, x.promptTokens+x.maxOutputTokens, x.route.Priority, x.deadline)
	switch {
	case err == nil:
		x.reservation = reservation
		return failure{}, true
	case reserver.IsErrBudgetExhausted(err):
		return budgetExhausted, false
	default:
		var unreachable reserver.ErrBudgetUnreachable
		errors.As(err, &unreachable)
		return budgetUnreachable.withMinRetryAfter(unreachable.ExpectedIn), false
	}
}

// requestTarget returns path and query exactly as the caller sent them.
func requestTarget(req *http.Request) string {
	if strings.HasPrefix(req.RequestURI, "/") {
		return req.RequestURI
	}
	return req.URL.RequestURI() // the request target is in absolute form
}
