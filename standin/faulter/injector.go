package faulter

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"

	"github.com/valyala/fasthttp"

	"cowsliphinge/clocker"
)

const (
	// NotRunHeader marks a refusal of a request that surely did not run.
	NotRunHeader = "X-Not-Run"
	// RequestIDHeader names a request and its answer.
	RequestIDHeader = "X-Request-Id"
	// silenceBound is how long a silent connection is kept, in milliseconds.
	silenceBound = 10 * clocker.Minute
)

// Kind is a fault that is counted down.
type Kind int

// Kinds of counted faults.
const (
	Late Kind = iota + 1
	Cross
	Truncate
	Lose
)

// Injector holds the faults in force. All methods may be called from many
// goroutines.
type Injector struct {
	clock *clocker.Clock
	ctx   context.Context
	stop  context.CancelFunc

	mu       sync.Mutex
	faults   Faults
	lastConn uint64
	silenced uint64 // connections up to this number are silent
	changed  chan struct{}
}

// New returns an injector without faults.
func New(clock *clocker.Clock) *Injector {
	ctx, stop := context.WithCancel(context.Background())
	return &Injector{clock: clock, ctx: ctx, stop: stop, changed: make(chan struct{})}
}

// Close ends each wait of a silent connection.
func (i *Injector) Close() {
	i.stop()
}

// Set replaces the faults in force.
func (i *Injector) Set(f Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if f.SilenceOpen {
		i.silenced = i.lastConn
		f.SilenceOpen = false
	}
	i.faults = f
	close(i.changed)
	i.changed = make(chan struct{})
}

// Faults returns what is in force, counts as they are left.
func (i *Injector) Faults() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

// Serve replaces the faults by the JSON body of a request to /faults, or
// answers those in force to a GET.
func (i *Injector) Serve(ctx *fasthttp.RequestCtx) {
	if ctx.IsGet() {
		encoded, _ := json.Marshal(i.Faults())
		ctx.SetContentType("application/json")
		ctx.SetBody(encoded)
		return
	}
	var f Faults
	if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
		ctx.Error(err.Error(), http.StatusBadRequest)
		return
	}
	i.Set(f)
}

// Enter applies crash and silence to a request that arrived. It returns false
// if the request must not be handled.
func (i *Injector) Enter(ctx *fasthttp.RequestCtx) bool {
	i.mu.Lock()
	i.lastConn = max(i.lastConn, ctx.ConnID())
	i.mu.Unlock()
	return i.Pass(ctx.Conn(), ctx.ConnID())
}

// Pass waits while the connection is silent. It returns false if the
// connection was closed and nothing may be sent.
func (i *Injector) Pass(conn net.Conn, connID uint64) bool {
	for {
		i.mu.Lock()
		crashed := i.faults.Crashed
		forGood := connID <= i.silenced
		silent := i.faults.Silent
		changed := i.changed
		i.mu.Unlock()
		switch {
		case crashed:
			_ = conn.Close()
			return false
		case forGood:
			_ = i.clock.Sleep(i.ctx, silenceBound)
			_ = conn.Close()
			return false
		case !silent:
			return true
		}
		select {
		case <-changed:
		case <-i.ctx.Done():
			_ = conn.Close()
			return false
		}
	}
}

// Refuse answers a refusal and returns true if the request is to be refused.
func (i *Injector) Refuse(ctx *fasthttp.RequestCtx) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.faults.RefuseAll && i.faults.Refusals == 0 {
		return false
	}
	if !i.faults.RefuseAll {
		i.faults.Refusals--
	}
	NotRun(ctx, http.StatusServiceUnavailable, "refused on demand")
	return true
}

// Take counts a fault of the kind down and returns whether it hits.
func (i *Injector) Take(kind Kind) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	left := i.counter(kind)
	if *left == 0 {
		return false
	}
	*left--
	return true
}

func (i *Injector) counter(kind Kind) *int {
	switch kind {
	case Late:
		return &i.faults.LateAnswers
	case Cross:
		return &i.faults.CrossAnswers
	case Truncate:
		return &i.faults.TruncateAnswers
	default:
		return &i.faults.LoseAnswers
	}
}

// Delay waits for the lateness in force if a late answer is due.
func (i *Injector) Delay() {
	late := i.Faults().LateMs
	if i.Take(Late) {
		_ = i.clock.Sleep(i.ctx, late)
	}
}

// NotRun answers that a request surely did not run.
func NotRun(ctx *fasthttp.RequestCtx, status int, message string) {
	Fail(ctx, status, message)
	ctx.Response.Header.Set(NotRunHeader, "true")
}

// Fail answers with an error status, and the request ID as in each answer.
func Fail(ctx *fasthttp.RequestCtx, status int, message string) {
	ctx.Error(message, status)
	ctx.Response.Header.SetBytesV(RequestIDHeader, ctx.Request.Header.Peek(RequestIDHeader))
}
