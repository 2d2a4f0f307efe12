package engine

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"

	"github.com/valyala/fasthttp"

	"cowsliphinge/standin/faulter"
)

// defaultMaxTokens bounds an answer whose request names no bound.
const defaultMaxTokens = 256

// start queues a request and returns the HTTP status: 200, 409 for a known
// request ID, 429 for a full queue, 503 for a model that is not loaded.
func (e *Engine) start(id string, request ChatRequest) (*stream, int) {
	if request.MaxTokens <= 0 {
		request.MaxTokens = defaultMaxTokens
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.forget()
	switch {
	case e.streams[id] != nil:
		return nil, http.StatusConflict
	case !e.serves(request.Model):
		return nil, http.StatusServiceUnavailable
	case len(e.queue) >= e.cfg.QueueLimit:
		return nil, http.StatusTooManyRequests
	}
	s := &stream{
		id:       id,
		prompt:   request.Messages[len(request.Messages)-1].Text(),
		request:  request,
		started:  e.cfg.Clock.Now(),
		usage:    Usage{PromptTokens: PromptTokens(request.Messages)},
		length:   OutputTokens(id, request.MaxTokens),
		changed:  make(chan struct{}),
		prefixes: Prefixes(request.Messages),
	}
	e.runs[id]++
	e.records = append(e.records, s)
	e.streams[id] = s
	e.queue = append(e.queue, s)
	e.sample()
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return s, http.StatusOK
}

// forget drops streams that ended long ago. The caller holds mu.
func (e *Engine) forget() {
	oldest := e.cfg.Clock.Now() - e.cfg.RetainMs
	for id, s := range e.streams {
		if s.reason != "" && s.ended < oldest {
			delete(e.streams, id)
		}
	}
}

func (e *Engine) find(id string) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.forget()
	return e.streams[id]
}

// Cancel ends a stream and returns what it used. It returns false if the
// stream is not known.
func (e *Engine) Cancel(id string) (Usage, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[id]
	if s == nil {
		return Usage{}, false
	}
	if s.reason == "" {
		s.ended = e.cfg.Clock.Now()
		s.end(reasonCancelled)
	}
	return s.usage, true
}

// progress is a stream as it is now.
type progress struct {
	usage   Usage
	reason  string
	changed <-chan struct{}
}

func (e *Engine) look(s *stream) progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	return progress{usage: s.usage, reason: s.reason, changed: s.changed}
}

// await waits until a stream has more than n output tokens or ended.
func (e *Engine) await(s *stream, n int64) progress {
	for {
		p := e.look(s)
		if p.reason != "" || p.usage.CompletionTokens > n {
			return p
		}
		select {
		case <-p.changed:
		case <-e.ctx.Done():
			p.reason = reasonCrashed
			return p
		}
	}
}

func (e *Engine) delivered(s *stream, n int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.sent = max(s.sent, n)
}

// identity is what an answer says of itself: the stream's own, or another's
// when answers are crossed.
type identity struct {
	id     string
	prompt string
}

func (e *Engine) identify(ctx *fasthttp.RequestCtx, s *stream) identity {
	if !e.faults.Take(faulter.Cross) {
		return identity{id: s.id, prompt: s.prompt}
	}
	other := "crossed-" + s.id
	ctx.Response.Header.Set(requestIDHeader, other)
	return identity{id: other, prompt: other}
}

func (e *Engine) sendWhole(ctx *fasthttp.RequestCtx, s *stream) {
	p := e.look(s)
	for p.reason == "" {
		p = e.await(s, p.usage.CompletionTokens)
	}
	e.faults.Delay()
	if p.reason == reasonCrashed || !e.faults.Pass(ctx.Conn(), ctx.ConnID()) {
		_ = ctx.Conn().Close()
		return
	}
	if e.faults.Take(faulter.Lose) {
		_ = ctx.Conn().Close()
		return
	}
	who := e.identify(ctx, s)
	reply(ctx, whole(who, s, p))
	if e.faults.Take(faulter.Truncate) {
		sendHalf(ctx)
		return
	}
	e.delivered(s, p.usage.CompletionTokens)
}

// sendHalf announces the whole body, sends half of it and closes.
func sendHalf(ctx *fasthttp.RequestCtx) {
	body := ctx.Response.Body()
	ctx.Response.Header.SetContentLength(len(body))
	head := ctx.Response.Header.Header()
	conn := ctx.Conn()
	_, _ = conn.Write(append(append([]byte(nil), head...), body[:len(body)/2]...))
	_ = conn.Close()
}

// sender writes the events of one stream to one connection.
type sender struct {
	engine   *Engine
	stream   *stream
	who      identity
	conn     net.Conn
	connID   uint64
	truncate bool
}

func (e *Engine) sendStream(ctx *fasthttp.RequestCtx, s *stream, after int64) {
	if e.faults.Take(faulter.Lose) {
		_ = ctx.Conn().Close()
		return
	}
	e.faults.Delay()
	out := sender{
		engine:   e,
		stream:   s,
		who:      e.identify(ctx, s),
		conn:     ctx.Conn(),
		connID:   ctx.ConnID(),
		truncate: e.faults.Take(faulter.Truncate),
	}
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) { out.run(w, after) })
}

// run sends events behind after until the stream ends or the connection breaks.
func (o sender) run(w *bufio.Writer, after int64) {
	for n := after; ; {
		p := o.engine.await(o.stream, n)
		if !o.engine.faults.Pass(o.conn, o.connID) || p.reason == reasonCrashed {
			_ = o.conn.Close()
			return
		}
		for ; n < p.usage.CompletionTokens; n++ {
			o.word(w, n)
		}
		if p.reason != "" && !o.truncate {
			o.last(w, p)
		}
		if w.Flush() != nil {
			return
		}
		o.engine.delivered(o.stream, n)
		if o.truncate && 2*n >= o.stream.length {
			_ = o.conn.Close()
			return
		}
		if p.reason != "" {
			return
		}
	}
}

// word writes event n+1, which carries token n.
func (o sender) word(w *bufio.Writer, n int64) {
	text := Word(o.who.id, o.who.prompt, n)
	if n > 0 {
		text = " " + text
	}
	writeEvent(w, n+1, chunk{
		ID:      o.who.id,
		Object:  "chat.completion.chunk",
		Model:   o.stream.request.Model,
		Choices: []choice{{Delta: &content{Content: text}}},
	})
}

// last writes the event with the usage and the end mark.
func (o sender) last(w *bufio.Writer, p progress) {
	writeEvent(w, p.usage.CompletionTokens+1, chunk{
		ID:      o.who.id,
		Object:  "chat.completion.chunk",
		Model:   o.stream.request.Model,
		Choices: []choice{{Delta: &content{}, FinishReason: &p.reason}},
		Usage:   &p.usage,
	})
	_, _ = w.WriteString("data: [DONE]\n\n")
}

func writeEvent(w *bufio.Writer, id int64, body chunk) {
	encoded, _ := json.Marshal(body)
	_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, encoded)
}

type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *content `json:"delta,omitempty"`
	Message      *content `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type content struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

func whole(who identity, s *stream, p progress) chunk {
	text := Answer(who.id, who.prompt, p.usage.CompletionTokens)
	return chunk{
		ID:      who.id,
		Object:  "chat.completion",
		Model:   s.request.Model,
		Choices: []choice{{Message: &content{Role: "assistant", Content: text}, FinishReason: &p.reason}},
		Usage:   &p.usage,
	}
}

func (e *Engine) exportBlocks(asked Blocks) Blocks {
	e.mu.Lock()
	defer e.mu.Unlock()
	var found Blocks
	for _, b := range asked.Blocks {
		place, ok := e.cache.places[b.Prefix]
		if ok {
			found.Blocks = append(found.Blocks, Block{Prefix: b.Prefix, Tokens: place.Value.(cached).tokens})
		}
	}
	return found
}

func (e *Engine) importBlocks(given Blocks) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, b := range given.Blocks {
		e.store(b.Prefix, b.Tokens)
	}
}
