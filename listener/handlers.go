package listener

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"cowsliphinge/admitter"
	"cowsliphinge/connector"
	"cowsliphinge/dispatcher"
	"cowsliphinge/messenger"
)

func (l *Listener) serveCompletion(ctx *fasthttp.RequestCtx, call dispatcher.Call) {
	if !ctx.IsPost() {
		writeRefusal(ctx, dispatcher.NewRefusal(dispatcher.CodeBadRequest, call.RequestID, !call.NeedsClaim(), "method: must be POST"))
		return
	}
	if refusal := l.readCompletion(ctx, &call); refusal != nil {
		writeRefusal(ctx, refusal)
		return
	}
	if conn := callerConnOf(ctx.Conn()); conn != nil {
		call.Memory = conn.holding
	}
	stream, refusal := l.cfg.Dispatcher.StartCompletion(l.ctx, call)
	if refusal != nil {
		l.refuseCompletion(ctx, refusal)
		return
	}
	if call.Completion.Stream {
		l.writeStream(ctx, call, stream)
		return
	}
	answer, refusal := stream.Collect(l.ctx)
	if refusal != nil {
		l.refuseCompletion(ctx, refusal)
		return
	}
	writeAnswer(ctx, call, answer)
}

func (l *Listener) readCompletion(ctx *fasthttp.RequestCtx, call *dispatcher.Call) *dispatcher.Refusal {
	body, refusal := l.readBody(ctx, *call, completionCopies)
	if refusal != nil {
		return refusal
	}
	completion, err := dispatcher.ParseCompletion(body)
	if err != nil {
		return dispatcher.NewRefusal(dispatcher.CodeBadRequest, call.RequestID, !call.NeedsClaim(), err.Error())
	}
	service := l.cfg.Index().LanguageService(completion.Model)
	if refusal := l.setService(ctx, call, service, "model "+completion.Model); refusal != nil {
		return refusal
	}
	completion.LimitMaxTokens(service.MaxOutputTokens)
	call.Completion = completion
	call.Path = "/v1/chat/completions"
	call.Body = body
	lastEventID := string(ctx.Request.Header.Peek("Last-Event-ID"))
	if lastEventID == "" {
		return nil
	}
	call.LastEventID, err = strconv.ParseInt(lastEventID, 10, 64)
	if err != nil || call.LastEventID < 0 || call.IdempotencyKey == "" {
		return dispatcher.NewRefusal(dispatcher.CodeBadRequest, call.RequestID, !call.NeedsClaim(), "Last-Event-ID: must be an event number of a request with an Idempotency-Key")
	}
	if call.LastEventID > 0 && !completion.Stream {
		return dispatcher.NewRefusal(dispatcher.CodeBadRequest, call.RequestID, !call.NeedsClaim(), "Last-Event-ID: needs stream to be true")
	}
	return nil
}

func (l *Listener) writeStream(ctx *fasthttp.RequestCtx, call dispatcher.Call, stream *dispatcher.Stream) {
	ctx.Response.Header.Set(connector.RequestIDHeader, call.RequestID)
	ctx.Response.Header.Set("Cache-Control", "no-store")
	ctx.SetContentType("text/event-stream")
	if !ctx.Request.Header.IsHTTP11() {
		l.writeBufferedStream(ctx, call, stream)
		return
	}
	ctx.Response.SetBodyStream(newStreamBody(func(w *bufio.Writer) error {
		return stream.Copy(l.ctx, w)
	}), -1)
}

// writeBufferedStream reads the whole stream before it answers. It serves HTTP/1.0
// callers, which do not support chunked encoding and could not distinguish the end of
// a stream from a truncation.
func (l *Listener) writeBufferedStream(ctx *fasthttp.RequestCtx, call dispatcher.Call, stream *dispatcher.Stream) {
	body := chargedBuffer{holding: call.Memory}
	err := stream.Copy(l.ctx, bufio.NewWriter(&body))
	var refusal *dispatcher.Refusal
	if err != nil && !errors.As(err, &refusal) {
		refusal = dispatcher.NewRefusal(dispatcher.CodeAnswerBroken, call.RequestID, false, err.Error())
	}
	if refusal != nil {
		l.refuseCompletion(ctx, refusal)
		return
	}
	ctx.Response.SetBodyRaw(body.Bytes()) // a copy would double what a slow reader holds
}

// refuseCompletion writes the refusal of a completion. While memory is short, it may have lacked what callers hold
// who read nothing.
func (l *Listener) refuseCompletion(ctx *fasthttp.RequestCtx, refusal *dispatcher.Refusal) {
	if conn := callerConnOf(ctx.Conn()); conn != nil && conn.holding.Short() {
		l.conns.closeStalled()
	}
	writeRefusal(ctx, refusal)
}

// bufferCopies is the charge for a byte in a chargedBuffer: while the buffer grows, it is held in the old one and
// in one of twice the size.
const bufferCopies = 3

// chargedBuffer is a buffer that is charged before it grows.
type chargedBuffer struct {
	bytes.Buffer
	holding *admitter.Holding
}

// Write implements io.Writer.
func (c *chargedBuffer) Write(p []byte) (int, error) {
	if err := c.holding.Charge(bufferCopies * int64(len(p))); err != nil {
		return 0, err
	}
	return c.Buffer.Write(p)
}

func (l *Listener) serveApplication(ctx *fasthttp.RequestCtx, call dispatcher.Call, path string) {
	name, servicePath, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	service := l.cfg.Index().Service(name)
	if service != nil && service.Kind != messenger.ServiceKind_APPLICATION {
		service = nil
	}
	if refusal := l.setService(ctx, &call, service, "path /"+name); refusal != nil {
		writeRefusal(ctx, refusal)
		return
	}
	call.Path = "/" + servicePath
	if query := string(ctx.QueryArgs().QueryString()); query != "" {
		call.Path += "?" + query
	}
	call.ContentType = string(ctx.Request.Header.ContentType())
	body, refusal := l.readBody(ctx, call, callCopies)
	if refusal != nil {
		writeRefusal(ctx, refusal)
		return
	}
	call.Body = body
	if conn := callerConnOf(ctx.Conn()); conn != nil {
		call.Memory = conn.holding
	}
	answer, refusal := l.cfg.Dispatcher.RunApplication(l.ctx, call)
	if refusal != nil {
		if refusal.Code == dispatcher.CodeAnswerBroken || refusal.Code == dispatcher.CodeOutcomeUnknown {
			l.conns.closeStalled() // it may have lacked memory that they hold
		}
		writeRefusal(ctx, refusal)
		return
	}
	writeAnswer(ctx, call, answer)
}

func writeAnswer(ctx *fasthttp.RequestCtx, call dispatcher.Call, answer *dispatcher.Answer) {
	ctx.Response.Header.Set(connector.RequestIDHeader, call.RequestID)
	if answer.Replayed {
		ctx.Response.Header.Set("Idempotent-Replayed", "true")
	}
	ctx.SetStatusCode(answer.Status)
	ctx.SetContentType(answer.ContentType)
	if answer.Status != http.StatusNoContent {
		ctx.Response.SetBodyRaw(answer.Body) // a copy would double what a slow reader holds
	}
}
