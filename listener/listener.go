// Package listener serves the HTTP API for callers: chat completions, calls to
// application services, tickets, and the usage of the caller's client account.
package listener

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"cowsliphinge/admitter"
	"cowsliphinge/clocker"
	"cowsliphinge/connector"
	"cowsliphinge/dispatcher"
	"cowsliphinge/indexer"
	"cowsliphinge/messenger"
	"cowsliphinge/picker"
)

const (
	// callerProgressTimeout closes connections of callers that neither read nor send,
	// in milliseconds.
	callerProgressTimeout = 30 * clocker.Second
	// maxHeaderBytes bounds the size of a request's header.
	maxHeaderBytes = 16 << 10
	// maxIdempotencyKeyBytes bounds the length of an idempotency key.
	maxIdempotencyKeyBytes = 255
	// maxDeadline bounds the deadline that a caller may request, in milliseconds.
	maxDeadline = clocker.Hour
)

// Dispatcher runs requests.
type Dispatcher interface {
	StartCompletion(ctx context.Context, call dispatcher.Call) (*dispatcher.Stream, *dispatcher.Refusal)
	RunApplication(ctx context.Context, call dispatcher.Call) (*dispatcher.Answer, *dispatcher.Refusal)
}

// TicketIssuer issues idempotency keys whose requests only this host runs.
type TicketIssuer interface {
	IssueTicket(clientAccount string) string
}

// BillSummer returns the billed tokens of client accounts.
type BillSummer interface {
	SumBills(ctx context.Context, q *messenger.SumBillsRequest) (*messenger.SumBillsReply, error)
}

// Config configures a Listener.
type Config struct {
	Clock      *clocker.Clock
	Index      func() *indexer.Index
	Dispatcher Dispatcher
	Tickets    TicketIssuer
	Bills      BillSummer
	Ready      func() bool
	// TLS is nil for plain TCP.
	TLS *tls.Config
	// MaxBodyBytes bounds the size of a request's body; 0 means 1 MiB.
	MaxBodyBytes int64
	// MaxConnections bounds the number of open connections; 0 means 20000.
	MaxConnections int64
	// Memory is the budget that requests are charged to; nil means that they are not bounded.
	Memory *admitter.Budget
	// BoundsBuffers bounds the kernel buffers of connections.
	BoundsBuffers bool
}

// Listener serves the HTTP API for callers.
type Listener struct {
	cfg    Config
	server *fasthttp.Server
	ctx    context.Context
	cancel context.CancelFunc

	conns *connections
}

// New returns a Listener. Call Serve to accept connections.
func New(cfg Config) *Listener {
	if cfg.MaxBodyBytes == 0 {
		cfg.MaxBodyBytes = 1 << 20
	}
	if cfg.MaxConnections == 0 {
		cfg.MaxConnections = 20000
	}
	l := &Listener{cfg: cfg, conns: newConnections(cfg.Clock, cfg.MaxConnections, cfg.Memory, cfg.BoundsBuffers)}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.server = &fasthttp.Server{
		Handler:            l.handle,
		ErrorHandler:       handleBadRequest,
		MaxRequestBodySize: int(cfg.MaxBodyBytes),
		StreamRequestBody:  true,
		// Forms are passed on as they came, and charged like other bodies.
		DisablePreParseMultipartForm: true,
		ReduceMemoryUsage:            true,
		ReadBufferSize:               maxHeaderBytes,
		// connections bounds their number. Those that it closes take a moment to end.
		Concurrency:           2 * int(cfg.MaxConnections),
		HeaderReceived:        l.headReceived,
		ConnState:             l.conns.stateChanged,
		ReadTimeout:           callerProgressTimeout.Duration(),
		IdleTimeout:           callerProgressTimeout.Duration(),
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
		Logger:                discardLogger{},
	}
	return l
}

// Serve accepts connections on ln until Shutdown or Abort is called.
func (l *Listener) Serve(ln net.Listener) error {
	wrapped := l.conns.wrap(ln)
	if l.cfg.TLS != nil {
		wrapped = tls.NewListener(wrapped, l.cfg.TLS)
	}
	return trace.Wrap(l.server.Serve(wrapped))
}

// Shutdown stops the Listener after its open requests are answered.
func (l *Listener) Shutdown(ctx context.Context) error {
	return trace.Wrap(l.server.ShutdownWithContext(ctx))
}

// Abort stops the Listener immediately and closes all open connections, as a crash
// would.
func (l *Listener) Abort() error {
	err := l.conns.close()
	l.cancel()
	return trace.Wrap(err)
}

func (l *Listener) handle(ctx *fasthttp.RequestCtx) {
	l.serve(ctx)
	closeUnread(ctx)
}

func (l *Listener) serve(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch path {
	case "/healthz":
		return
	case "/readyz":
		if !l.cfg.Ready() {
			ctx.SetStatusCode(http.StatusServiceUnavailable)
		}
		return
	}
	if !l.cfg.Ready() {
		// The client in front, usually a load balancer, then sends no further
		// request on this connection, and none is lost when the listener closes.
		ctx.SetConnectionClose()
	}
	call, refusal := l.authenticate(ctx)
	if refusal != nil {
		writeRefusal(ctx, refusal)
		return
	}
	if conn := callerConnOf(ctx.Conn()); conn != nil && !ctx.Request.IsBodyStream() {
		l.conns.markBusy(conn) // there is no body to wait for
	}
	switch path {
	case "/v1/chat/completions":
		l.serveCompletion(ctx, call)
	case "/v1/tickets":
		l.serveTicket(ctx, call)
	case "/v1/usage":
		l.serveUsage(ctx, call)
	default:
		l.serveApplication(ctx, call, path)
	}
}

// authenticate looks up the client account of the bearer token and returns a call with
// the fields that are common to all services.
func (l *Listener) authenticate(ctx *fasthttp.RequestCtx) (dispatcher.Call, *dispatcher.Refusal) {
	call := dispatcher.Call{Method: string(ctx.Method())}
	call.IdempotencyKey = string(ctx.Request.Header.Peek("Idempotency-Key"))
	header := string(ctx.Request.Header.Peek("Authorization"))
	token, ok := strings.CutPrefix(header, "Bearer ")
	if ok {
		call.Account = l.cfg.Index().Authenticate(token)
	}
	if call.Account == nil {
		return call, dispatcher.NewRefusal(dispatcher.CodeUnauthenticated, newRequestID(), !call.NeedsClaim(), "Authorization: the bearer key is missing or unknown")
	}
	call.Authorization = header
	call.RequestID = requestID(call.Account.Name, call.IdempotencyKey)
	if len(call.IdempotencyKey) > maxIdempotencyKeyBytes {
		return call, dispatcher.NewRefusal(dispatcher.CodeBadRequest, call.RequestID, true, "Idempotency-Key: must not be longer than 255 bytes")
	}
	return call, nil
}

// setService sets the service, the deadline and the priority of the call.
func (l *Listener) setService(ctx *fasthttp.RequestCtx, call *dispatcher.Call, service *messenger.Service, name string) *dispatcher.Refusal {
	if service == nil {
		return dispatcher.NewRefusal(dispatcher.CodeUnknownService, call.RequestID, !call.NeedsClaim(), "no service serves "+name)
	}
	call.Service = service
	timeout := clocker.Millis(service.DefaultDeadlineMs)
	if header := string(ctx.Request.Header.Peek("X-Request-Deadline-Ms")); header != "" {
		requested, err := strconv.ParseInt(header, 10, 64)
		if err != nil || requested <= 0 || clocker.Millis(requested) > maxDeadline {
			return dispatcher.NewRefusal(dispatcher.CodeBadRequest, call.RequestID, !call.NeedsClaim(), "X-Request-Deadline-Ms: must be between 1 and 3600000")
		}
		timeout = clocker.Millis(requested)
	}
	call.Deadline = l.cfg.Clock.Now() + timeout
	switch string(ctx.Request.Header.Peek("X-Priority")) {
	case "", "interactive":
	case "batch":
		call.Priority = picker.Batch
	default:
		return dispatcher.NewRefusal(dispatcher.CodeBadRequest, call.RequestID, !call.NeedsClaim(), "X-Priority: must be interactive or batch")
	}
	return nil
}

func (l *Listener) serveTicket(ctx *fasthttp.RequestCtx, call dispatcher.Call) {
	if !ctx.IsPost() {
		writeRefusal(ctx, dispatcher.NewRefusal(dispatcher.CodeBadRequest, call.RequestID, true, "method: must be POST"))
		return
	}
	writeJSON(ctx, call.RequestID, struct{ IdempotencyKey string }{l.cfg.Tickets.IssueTicket(call.Account.Name)})
}

func (l *Listener) serveUsage(ctx *fasthttp.RequestCtx, call dispatcher.Call) {
	sums, err := l.cfg.Bills.SumBills(l.ctx, &messenger.SumBillsRequest{ClientAccount: call.Account.Name})
	if err != nil {
		writeRefusal(ctx, dispatcher.NewRefusal(dispatcher.CodeNoServer, call.RequestID, true, "bills cannot be read at the moment"))
		return
	}
	writeJSON(ctx, call.RequestID, sums.Sums)
}

// requestID derives the ID of a request with an idempotency key from its account and
// key, so that a retry by the caller has the same ID on every host. Other requests get
// a random ID.
func requestID(account, key string) string {
	if key == "" {
		return newRequestID()
	}
	sum := sha256.Sum256([]byte(account + "\x00" + key))
	return "k-" + hex.EncodeToString(sum[:16])
}

func newRequestID() string {
	var random [16]byte
	_, _ = rand.Read(random[:])
	return "r-" + hex.EncodeToString(random[:])
}

func writeJSON(ctx *fasthttp.RequestCtx, requestID string, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		ctx.SetStatusCode(http.StatusInternalServerError)
		return
	}
	ctx.Response.Header.Set(connector.RequestIDHeader, requestID)
	ctx.SetContentType("application/json")
	ctx.SetBody(encoded)
}

func writeRefusal(ctx *fasthttp.RequestCtx, refusal *dispatcher.Refusal) {
	writeJSON(ctx, refusal.RequestID, refusal)
	ctx.SetStatusCode(refusal.Status())
	if refusal.RetryAfterMs > 0 {
		seconds := (refusal.RetryAfterMs + clocker.Second - 1) / clocker.Second
		ctx.Response.Header.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
}

// handleBadRequest refuses requests that are not well-formed HTTP or too large.
func handleBadRequest(ctx *fasthttp.RequestCtx, err error) {
	code := dispatcher.CodeBadRequest
	message := "the request is not well-formed HTTP"
	var tooSmall *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		code = dispatcher.CodeTooLarge
		message = "the body is too large"
	case errors.As(err, &tooSmall):
		code = dispatcher.CodeTooLarge
		message = "the header is too large"
	}
	writeRefusal(ctx, dispatcher.NewRefusal(code, newRequestID(), true, message))
}

// discardLogger discards the log messages of the HTTP library.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}
