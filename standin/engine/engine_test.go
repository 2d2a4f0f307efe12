package engine_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"runtime"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/standin/engine"
	"cowsliphinge/standin/faulter"
)

// serve runs an engine behind an in-memory listener and returns its client.
func serve(t *testing.T, cfg engine.Config) (*engine.Engine, *fasthttp.Client) {
	t.Helper()
	e := engine.New(cfg)
	listener := fasthttputil.NewInmemoryListener()
	go func() { _ = fasthttp.Serve(listener, e.Handler) }()
	t.Cleanup(func() {
		_ = listener.Close()
		e.Close()
	})
	return e, &fasthttp.Client{
		Dial:                      func(string) (net.Conn, error) { return listener.Dial() },
		MaxIdemponentCallAttempts: 1,
	}
}

type answer struct {
	status int
	header string
	notRun bool
	body   string
	err    error
}

func send(c *fasthttp.Client, method, path, id, body string) answer {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://engine" + path)
	req.Header.SetMethod(method)
	req.Header.Set("X-Request-Id", id)
	req.SetBodyString(body)
	err := c.Do(req, resp)
	return answer{
		status: resp.StatusCode(),
		header: string(resp.Header.Peek("X-Request-Id")),
		notRun: len(resp.Header.Peek("X-Not-Run")) > 0,
		body:   string(resp.Body()),
		err:    err,
	}
}

func chat(stream bool, maxTokens int, text string) string {
	return fmt.Sprintf(`{"model":"m","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, stream, maxTokens, text)
}

func words(t *testing.T, sse string) string {
	t.Helper()
	var text strings.Builder
	for line := range strings.Lines(sse) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: {")
		if !ok {
			continue
		}
		var event struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		assert.NilError(t, json.Unmarshal([]byte("{"+data), &event))
		text.WriteString(event.Choices[0].Delta.Content)
	}
	return text.String()
}

func TestAnswerIsWholeInBothForms(t *testing.T) {
	e, c := serve(t, engine.Config{Clock: clocker.NewManual(0)})
	whole := send(c, "POST", "/v1/chat/completions", "r1", chat(false, 20, "hello"))
	assert.NilError(t, whole.err)
	assert.Equal(t, whole.header, "r1")
	n := engine.OutputTokens("r1", 20)
	assert.Assert(t, strings.Contains(whole.body, engine.Answer("r1", "hello", n)))
	streamed := send(c, "POST", "/v1/chat/completions", "r2", chat(true, 20, "hello"))
	n2 := engine.OutputTokens("r2", 20)
	assert.Equal(t, words(t, streamed.body), engine.Answer("r2", "hello", n2))
	assert.Assert(t, strings.HasSuffix(streamed.body, "data: [DONE]\n\n"))
	prompt := engine.PromptTokens([]engine.Message{{Content: json.RawMessage(`"hello"`)}})
	assert.DeepEqual(t, e.Served(), map[string]int64{"r1": prompt + n, "r2": prompt + n2})
}

func TestKnownRequestDoesNotRunAgainAndResumes(t *testing.T) {
	e, c := serve(t, engine.Config{Clock: clocker.NewManual(0)})
	first := send(c, "POST", "/v1/chat/completions", "r1", chat(true, 50, "hello"))
	again := send(c, "POST", "/v1/chat/completions", "r1", chat(true, 50, "hello"))
	assert.Equal(t, again.status, 409)
	assert.Equal(t, e.Runs()["r1"], 1)
	rest := send(c, "GET", "/v1/streams/r1?after=2", "", "")
	assert.Assert(t, strings.HasPrefix(rest.body, "id: 3\n"), rest.body)
	assert.Assert(t, strings.HasSuffix(first.body, rest.body))
}

func TestCancelTellsUsage(t *testing.T) {
	clock := clocker.NewManual(0)
	e, c := serve(t, engine.Config{Clock: clock, DecodeMsPerToken: 1000})
	done := make(chan answer, 1)
	go func() { done <- send(c, "POST", "/v1/chat/completions", "r1", chat(false, 1000, "hello")) }()
	for clock.WaiterCount() == 0 {
		runtime.Gosched()
	}
	cancelled := send(c, "DELETE", "/v1/streams/r1", "", "")
	assert.Equal(t, cancelled.body, `{"PromptTokens":6,"OutputTokens":1}`)
	assert.Assert(t, bytes.Contains([]byte((<-done).body), []byte("cancelled")))
	assert.Equal(t, e.Log()[0].Reason, "cancelled")
}

func TestRefusalSaysNotRun(t *testing.T) {
	e, c := serve(t, engine.Config{Clock: clocker.NewManual(0), Models: []string{"other"}})
	refused := send(c, "POST", "/v1/chat/completions", "r1", chat(false, 5, "hello"))
	assert.Assert(t, refused.notRun)
	assert.Equal(t, len(e.Runs()), 0)
}

func TestFaultsOfAnswers(t *testing.T) {
	e, c := serve(t, engine.Config{Clock: clocker.NewManual(0)})
	for _, stream := range []bool{false, true} {
		id := fmt.Sprintf("%t", stream)
		e.SetFaults(faulter.Faults{CrossAnswers: 1})
		crossed := send(c, "POST", "/v1/chat/completions", "c"+id, chat(stream, 9, "hello"))
		assert.Equal(t, crossed.header, "crossed-c"+id)
		e.SetFaults(faulter.Faults{TruncateAnswers: 1})
		truncated := send(c, "POST", "/v1/chat/completions", "t"+id, chat(stream, 900, "hello"))
		assert.Assert(t, truncated.err != nil)
		e.SetFaults(faulter.Faults{LoseAnswers: 1})
		lost := send(c, "POST", "/v1/chat/completions", "l"+id, chat(stream, 9, "hello"))
		assert.Assert(t, lost.err != nil)
		assert.Equal(t, e.Runs()["l"+id], 1)
		e.SetFaults(faulter.Faults{Refusals: 1})
		refused := send(c, "POST", "/v1/chat/completions", "r"+id, chat(stream, 9, "hello"))
		assert.Assert(t, refused.notRun)
		assert.Equal(t, e.Runs()["r"+id], 0)
		e.SetFaults(faulter.Faults{Crashed: true})
		assert.Assert(t, send(c, "GET", "/load", "", "").err != nil)
		e.SetFaults(faulter.Faults{})
	}
}
