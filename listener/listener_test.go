package listener_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/valyala/fasthttp/fasthttputil"
	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/dispatcher"
	"cowsliphinge/indexer"
	"cowsliphinge/listener"
	"cowsliphinge/messenger"
)

// echoDispatcher answers application calls with their method and path, and refuses
// completions.
type echoDispatcher struct {
	lastCall dispatcher.Call
	// calls counts application calls.
	calls atomic.Int64
}

// StartCompletion implements listener.Dispatcher.
func (e *echoDispatcher) StartCompletion(_ context.Context, call dispatcher.Call) (*dispatcher.Stream, *dispatcher.Refusal) {
	e.lastCall = call
	return nil, dispatcher.NewRefusal(dispatcher.CodeOverloaded, call.RequestID, true, "refused")
}

// RunApplication implements listener.Dispatcher.
func (e *echoDispatcher) RunApplication(_ context.Context, call dispatcher.Call) (*dispatcher.Answer, *dispatcher.Refusal) {
	e.lastCall = call
	e.calls.Add(1)
	return &dispatcher.Answer{Status: 200, ContentType: "text/plain", Body: []byte(call.Method + " " + call.Path)}, nil
}

// IssueTicket implements listener.TicketIssuer.
func (*echoDispatcher) IssueTicket(clientAccount string) string { return "ticket-of-" + clientAccount }

func startListener(t testing.TB) (*echoDispatcher, *fasthttputil.InmemoryListener) {
	t.Helper()
	index := indexer.New(&messenger.Configuration{Declarations: &messenger.Declarations{
		ClientAccounts: []*messenger.ClientAccount{{Name: "mason", KeySha256: indexer.HashKey("secret")}},
		Services: []*messenger.Service{
			{Name: "drafts", Kind: messenger.ServiceKind_LANGUAGE},
			{Name: "orders", Kind: messenger.ServiceKind_APPLICATION},
		},
		BackendServers: []*messenger.BackendServer{{Name: "e", Service: "drafts", Models: []string{"draft-1"}}},
	}})
	e := &echoDispatcher{}
	l := listener.New(listener.Config{
		Clock: clocker.NewWall(), Index: func() *indexer.Index { return index }, Dispatcher: e, Tickets: e,
		Ready: func() bool { return true }, MaxBodyBytes: 1024,
	})
	ln := fasthttputil.NewInmemoryListener()
	go func() { _ = l.Serve(ln) }()
	t.Cleanup(func() { _ = l.Abort() })
	return e, ln
}

// roundTrip sends raw bytes and returns the response.
func roundTrip(t testing.TB, ln *fasthttputil.InmemoryListener, raw string) *http.Response {
	t.Helper()
	conn, err := ln.Dial()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	go func() { _, _ = conn.Write([]byte(raw)) }()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	return resp
}

func request(path, headers, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n%s\r\n%s", path, len(body), headers, body)
}

const authHeader = "Authorization: Bearer secret\r\n"

func TestInvalidRequestIsRefused(t *testing.T) {
	_, ln := startListener(t)
	for _, c := range []struct {
		name, raw string
		status    int
		message   string
	}{
		{"no key", request("/orders/x", "", ""), 401, "Authorization"},
		{"wrong key", request("/orders/x", "Authorization: Bearer guess\r\n", ""), 401, "Authorization"},
		{"unknown service", request("/none/x", authHeader, ""), 404, "/none"},
		{"language service by path", request("/drafts/x", authHeader, ""), 404, "/drafts"},
		{"bad deadline", request("/orders/x", authHeader+"X-Request-Deadline-Ms: soon\r\n", ""), 400, "X-Request-Deadline-Ms"},
		{"negative deadline", request("/orders/x", authHeader+"X-Request-Deadline-Ms: -1\r\n", ""), 400, "X-Request-Deadline-Ms"},
		{"bad priority", request("/orders/x", authHeader+"X-Priority: first\r\n", ""), 400, "X-Priority"},
		{"long key", request("/orders/x", authHeader+"Idempotency-Key: "+strings.Repeat("k", 300)+"\r\n", ""), 400, "Idempotency-Key"},
		{"large body", request("/orders/x", authHeader, strings.Repeat("b", 2000)), 413, "body"},
		{"large header", request("/orders/x", authHeader+"X-Filler: "+strings.Repeat("f", 20000)+"\r\n", ""), 413, "header"},
		{"not HTTP", "hello\r\n\r\n", 400, "HTTP"},
		{"resume without key", request("/v1/chat/completions", authHeader+"Last-Event-ID: 3\r\n", `{"model":"draft-1","messages":[{}]}`), 400, "Last-Event-ID"},
	} {
		t.Run(c.name, func(t *testing.T) {
			resp := roundTrip(t, ln, c.raw)
			assert.Equal(t, resp.StatusCode, c.status)
			var refusal dispatcher.Refusal
			assert.NilError(t, json.NewDecoder(resp.Body).Decode(&refusal))
			assert.Assert(t, strings.Contains(refusal.Message, c.message), refusal.Message)
			assert.Assert(t, refusal.NotRun)
			assert.Equal(t, resp.Header.Get("X-Request-Id"), refusal.RequestID)
		})
	}
}

func TestCallHoldsRequestFields(t *testing.T) {
	e, ln := startListener(t)
	resp := roundTrip(t, ln, request("/orders/a/b?c=d", authHeader+"Idempotency-Key: k\r\nX-Priority: batch\r\n", "body"))
	assert.Equal(t, resp.StatusCode, 200)
	assert.Equal(t, e.lastCall.Path, "/a/b?c=d")
	assert.Equal(t, e.lastCall.IdempotencyKey, "k")
	assert.Equal(t, string(e.lastCall.Body), "body")
	repeated := roundTrip(t, ln, request("/orders/a/b", authHeader+"Idempotency-Key: k\r\n", ""))
	assert.Equal(t, repeated.Header.Get("X-Request-Id"), resp.Header.Get("X-Request-Id"))
}

func TestRefusalSetsRetryAfter(t *testing.T) {
	_, ln := startListener(t)
	resp := roundTrip(t, ln, request("/v1/chat/completions", authHeader, `{"model":"draft-1","messages":[{"role":"user","content":"x"}]}`))
	assert.Equal(t, resp.StatusCode, 429)
	assert.Equal(t, resp.Header.Get("Retry-After"), "1")
}

// FuzzCaller sends arbitrary bytes and checks that the listener still serves other
// connections.
func FuzzCaller(f *testing.F) {
	f.Add([]byte(request("/v1/chat/completions", authHeader, `{"model":"draft-1","messages":[{"role":"user","content":"x"}],"n":2}`)))
	f.Add([]byte(request("/orders/x", authHeader+"X-Request-Deadline-Ms: 99999999999999999999\r\n", "{")))
	f.Add([]byte("GET /\x00 HTTP/1.1\r\n\r\n"))
	f.Add([]byte("POST /orders/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n"))
	_, ln := startListener(f)
	f.Fuzz(func(t *testing.T, raw []byte) {
		conn, err := ln.Dial()
		assert.NilError(t, err)
		_, _ = conn.Write(raw)
		assert.NilError(t, conn.Close())
		assert.Equal(t, roundTrip(t, ln, request("/orders/x", authHeader, "")).StatusCode, 200)
	})
}
