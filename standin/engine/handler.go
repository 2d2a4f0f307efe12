package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"cowsliphinge/standin/faulter"
)

// requestIDHeader carries the request ID, which is the stream ID too.
const requestIDHeader = "X-Request-Id"

const streamsPath = "/v1/streams/"

// Handler serves /v1/chat/completions, /v1/streams/{id}, /load, /cache-events,
// /orders, /state, /kv/export, /kv/import, and for tests /faults, /runs and /log.
func (e *Engine) Handler(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch path {
	case "/faults":
		e.serveFaults(ctx)
		return
	case "/runs":
		reply(ctx, e.Runs())
		return
	case "/log":
		reply(ctx, e.Log())
		return
	}
	if !e.faults.Enter(ctx) {
		return
	}
	switch {
	case path == "/v1/chat/completions" && ctx.IsPost():
		e.serveChat(ctx)
	case strings.HasPrefix(path, streamsPath) && ctx.IsGet():
		e.serveResume(ctx, strings.TrimPrefix(path, streamsPath))
	case strings.HasPrefix(path, streamsPath) && ctx.IsDelete():
		e.serveCancel(ctx, strings.TrimPrefix(path, streamsPath))
	case path == "/load":
		reply(ctx, e.Load())
	case path == "/cache-events":
		after, _ := strconv.ParseInt(string(ctx.QueryArgs().Peek("after")), 10, 64)
		reply(ctx, e.CacheEvents(after))
	case path == "/orders" && ctx.IsPut():
		e.serveOrder(ctx)
	case path == "/state":
		reply(ctx, e.State())
	case path == "/kv/export" && ctx.IsPost():
		e.serveExport(ctx)
	case path == "/kv/import" && ctx.IsPost():
		e.serveImport(ctx)
	default:
		faulter.Fail(ctx, http.StatusNotFound, "no such path")
	}
}

func (e *Engine) serveFaults(ctx *fasthttp.RequestCtx) {
	e.faults.Serve(ctx)
	if e.faults.Faults().Crashed {
		e.crash()
	}
}

func (e *Engine) serveChat(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek(requestIDHeader))
	ctx.Response.Header.Set(requestIDHeader, id)
	if e.faults.Refuse(ctx) {
		return
	}
	var request ChatRequest
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		faulter.NotRun(ctx, http.StatusBadRequest, err.Error())
		return
	}
	if id == "" || len(request.Messages) == 0 {
		faulter.NotRun(ctx, http.StatusBadRequest, "a request ID and messages are needed")
		return
	}
	s, status := e.start(id, request)
	switch status {
	case http.StatusOK:
	case http.StatusConflict:
		faulter.Fail(ctx, status, "the request ID is known")
		return
	default:
		faulter.NotRun(ctx, status, "not run: "+http.StatusText(status))
		return
	}
	if request.Stream {
		e.sendStream(ctx, s, 0)
		return
	}
	e.sendWhole(ctx, s)
}

func (e *Engine) serveResume(ctx *fasthttp.RequestCtx, id string) {
	after, _ := strconv.ParseInt(string(ctx.QueryArgs().Peek("after")), 10, 64)
	s := e.find(id)
	if s == nil {
		faulter.Fail(ctx, http.StatusNotFound, "no such stream")
		return
	}
	ctx.Response.Header.Set(requestIDHeader, id)
	e.sendStream(ctx, s, after)
}

// Cancelled is the answer of DELETE /v1/streams/{id}.
type Cancelled struct {
	PromptTokens int64
	OutputTokens int64
}

func (e *Engine) serveCancel(ctx *fasthttp.RequestCtx, id string) {
	usage, ok := e.Cancel(id)
	if !ok {
		faulter.Fail(ctx, http.StatusNotFound, "no such stream")
		return
	}
	ctx.Response.Header.Set(requestIDHeader, id)
	reply(ctx, Cancelled{PromptTokens: usage.PromptTokens, OutputTokens: usage.CompletionTokens})
}

func (e *Engine) serveOrder(ctx *fasthttp.RequestCtx) {
	var order Order
	if err := json.Unmarshal(ctx.PostBody(), &order); err != nil {
		faulter.Fail(ctx, http.StatusBadRequest, err.Error())
		return
	}
	if !e.Order(order) {
		faulter.Fail(ctx, http.StatusConflict, "the fencing number is old")
		return
	}
	reply(ctx, e.State())
}

// Blocks are cached prefixes that one engine hands to another.
type Blocks struct {
	Blocks []Block
}

// Block is one cached prefix; an export asks for it by Prefix alone.
type Block struct {
	Prefix uint64
	Tokens int64
}

func (e *Engine) serveExport(ctx *fasthttp.RequestCtx) {
	var asked Blocks
	if err := json.Unmarshal(ctx.PostBody(), &asked); err != nil {
		faulter.Fail(ctx, http.StatusBadRequest, err.Error())
		return
	}
	reply(ctx, e.exportBlocks(asked))
}

func (e *Engine) serveImport(ctx *fasthttp.RequestCtx) {
	var given Blocks
	if err := json.Unmarshal(ctx.PostBody(), &given); err != nil {
		faulter.Fail(ctx, http.StatusBadRequest, err.Error())
		return
	}
	e.importBlocks(given)
	reply(ctx, e.Load())
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
