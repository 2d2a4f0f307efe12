// Package application stands in for an application server whose calls may not
// be repeated. It counts runs by idempotency key.
package application

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"net/http"
	"sync"

	"github.com/valyala/fasthttp"

	"cowsliphinge/clocker"
	"cowsliphinge/standin/faulter"
)

// Config configures a Server.
type Config struct {
	Name  string
	Clock *clocker.Clock
	// WorkMs is how long a call takes, in milliseconds.
	WorkMs clocker.Millis
	// Slots is how many calls run at once; 0 means 64. More are refused as not run.
	Slots int
}

// Answer is the body that a call gets.
type Answer struct {
	Server         string
	RequestID      string
	IdempotencyKey string
	Method         string
	Path           string
	// BodySha256 of the request, in hexadecimal.
	BodySha256 string
	// Run is 1 for the first run of a key.
	Run int
}

// Run is one call that ran.
type Run struct {
	RequestID      string
	IdempotencyKey string
	// StartedAt is when it began, in milliseconds.
	StartedAt clocker.Millis
}

// Load is the answer of GET /load.
type Load struct {
	Running, Queued, Slots, CachedBlocks int
	SampledAtMs                          clocker.Millis
}

// Server is one application server.
type Server struct {
	cfg    Config
	faults *faulter.Injector

	mu      sync.Mutex
	running int
	counts  map[string]int
	log     []Run
}

// New returns a server that has run nothing.
func New(cfg Config) *Server {
	if cfg.Slots == 0 {
		cfg.Slots = 64
	}
	return &Server{cfg: cfg, faults: faulter.New(cfg.Clock), counts: map[string]int{}}
}

// Close ends waits of silent connections.
func (s *Server) Close() {
	s.faults.Close()
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f faulter.Faults) {
	s.faults.Set(f)
}

// Runs returns how often each idempotency key ran. Calls without a key count
// under their request ID.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.counts)
}

// Log returns each run in the order of their starts.
func (s *Server) Log() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.log...)
}

// Handler serves calls at any path but /faults, /runs, /log and /load.
func (s *Server) Handler(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/faults":
		s.faults.Serve(ctx)
		return
	case "/runs":
		reply(ctx, s.Runs())
		return
	case "/log":
		reply(ctx, s.Log())
		return
	}
	if !s.faults.Enter(ctx) {
		return
	}
	if string(ctx.Path()) == "/load" {
		reply(ctx, s.load())
		return
	}
	s.serveCall(ctx)
}

func (s *Server) serveCall(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.Set("X-Request-Id", string(ctx.Request.Header.Peek("X-Request-Id")))
	if s.faults.Refuse(ctx) {
		return
	}
	answer, ok := s.start(ctx)
	if !ok {
		faulter.NotRun(ctx, http.StatusTooManyRequests, "all slots are taken")
		return
	}
	_ = s.cfg.Clock.Sleep(context.Background(), s.cfg.WorkMs+s.faults.Faults().SlowMs)
	s.finish()
	s.faults.Delay()
	s.deliver(ctx, answer)
}

func (s *Server) deliver(ctx *fasthttp.RequestCtx, answer Answer) {
	if !s.faults.Pass(ctx.Conn(), ctx.ConnID()) {
		return
	}
	if s.faults.Take(faulter.Lose) {
		_ = ctx.Conn().Close()
		return
	}
	if s.faults.Take(faulter.Cross) {
		answer.RequestID = "crossed-" + answer.RequestID
		answer.IdempotencyKey = "crossed-" + answer.IdempotencyKey
		ctx.Response.Header.Set("X-Request-Id", answer.RequestID)
	}
	reply(ctx, answer)
	if s.faults.Take(faulter.Truncate) {
		truncate(ctx)
	}
}

// truncate announces the whole body and sends half of it.
func truncate(ctx *fasthttp.RequestCtx) {
	body := ctx.Response.Body()
	half := append([]byte(nil), body[:len(body)/2]...)
	conn := ctx.Conn()
	ctx.Response.Header.SetContentLength(len(body))
	head := ctx.Response.Header.String()
	_, _ = conn.Write(append([]byte(head), half...))
	_ = conn.Close()
}

func (s *Server) start(ctx *fasthttp.RequestCtx) (Answer, bool) {
	sum := sha256.Sum256(ctx.PostBody())
	answer := Answer{
		Server:         s.cfg.Name,
		RequestID:      string(ctx.Request.Header.Peek("X-Request-Id")),
		IdempotencyKey: string(ctx.Request.Header.Peek("Idempotency-Key")),
		Method:         string(ctx.Method()),
		Path:           string(ctx.Path()),
		BodySha256:     hex.EncodeToString(sum[:]),
	}
	key := answer.IdempotencyKey
	if key == "" {
		key = answer.RequestID
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.cfg.Slots {
		return answer, false
	}
	s.running++
	s.counts[key]++
	answer.Run = s.counts[key]
	s.log = append(s.log, Run{RequestID: answer.RequestID, IdempotencyKey: key, StartedAt: s.cfg.Clock.Now()})
	return answer, true
}

func (s *Server) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Server) load() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Load{Running: s.running, Slots: s.cfg.Slots, SampledAtMs: s.cfg.Clock.Now()}
}

func reply(ctx *fasthttp.RequestCtx, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		faulter.Fail(ctx, http.StatusInternalServerError, err.Error())
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(encoded)
}
