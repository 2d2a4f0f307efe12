package listener_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cowsliphinge/admitter"
	"cowsliphinge/clocker"
	"cowsliphinge/dispatcher"
	"cowsliphinge/indexer"
	"cowsliphinge/listener"
	"cowsliphinge/messenger"
)

// startBounded starts a listener on loopback with bodies of up to 1 MiB.
func startBounded(t *testing.T, budget *admitter.Budget, maxConnections int64) (*echoDispatcher, string) {
	t.Helper()
	index := indexer.New(&messenger.Configuration{Declarations: &messenger.Declarations{
		ClientAccounts: []*messenger.ClientAccount{{Name: "mason", KeySha256: indexer.HashKey("secret")}},
		Services:       []*messenger.Service{{Name: "orders", Kind: messenger.ServiceKind_APPLICATION, Idempotent: true}},
	}})
	e := &echoDispatcher{}
	l := listener.New(listener.Config{
		Clock: clocker.NewWall(), Index: func() *indexer.Index { return index }, Dispatcher: e, Tickets: e,
		Ready: func() bool { return true }, MaxConnections: maxConnections, Memory: budget, BoundsBuffers: true,
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = l.Serve(ln) }()
	t.Cleanup(func() { _ = l.Abort() })
	return e, ln.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(connectionTimeout)))
	return conn
}

// exchange sends a complete request on conn and returns the status and the body of the answer.
func exchange(t *testing.T, conn net.Conn, raw string) (int, string) {
	t.Helper()
	_, err := io.WriteString(conn, raw)
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(body)
}

// Guards against unfinished bodies that take the memory of other requests: they are evicted, told that they did not
// run, and what they held is released, also where the connection is used for several requests.
func TestUnfinishedBodiesAreEvicted(t *testing.T) {
	budget := admitter.New(admitter.ForMemory(64))
	e, address := startBounded(t, budget, 0)
	const length = 1 << 20
	answers := make(chan *http.Response, 16)
	for range cap(answers) {
		conn := dial(t, address)
		_, err := fmt.Fprintf(conn, "POST /orders/stalled HTTP/1.1\r\nHost: h\r\n%sContent-Length: %d\r\n\r\n%s", authHeader, length, make([]byte, length-1))
		assert.NilError(t, err)
		go func() {
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err == nil {
				answers <- resp
			}
		}()
	}
	resp := <-answers
	var refusal dispatcher.Refusal
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&refusal))
	assert.Equal(t, resp.StatusCode, 503)
	assert.Equal(t, refusal.Code, dispatcher.CodeMemoryFull)
	assert.Assert(t, refusal.NotRun)
	assert.Assert(t, resp.Close, "the connection stays open")
	assert.Equal(t, resp.Header.Get("Retry-After"), "1")
	assert.Assert(t, budget.Held() <= 16<<20, "%d bytes held", budget.Held())

	conn := dial(t, address)
	for range 3 {
		status, body := exchange(t, conn, request("/orders/a", authHeader, strings.Repeat("b", 100)))
		assert.Equal(t, status, 200, body)
		assert.Equal(t, body, "POST /a")
	}
	assert.Equal(t, len(e.lastCall.Body), 100)
}

// Guards against a budget that requests, refused ones and lost connections do not return.
func TestMemoryIsReturned(t *testing.T) {
	budget := admitter.New(admitter.ForMemory(64))
	e, address := startBounded(t, budget, 0)
	conn := dial(t, address)
	status, body := exchange(t, conn, request("/orders/a", authHeader, strings.Repeat("b", 1<<20)))
	assert.Equal(t, status, 200, body)
	assert.Equal(t, string(e.lastCall.Body), strings.Repeat("b", 1<<20))
	status, _ = exchange(t, conn, request("/none/a", authHeader, ""))
	assert.Equal(t, status, 404)
	cut := dial(t, address)
	_, err := fmt.Fprintf(cut, "POST /orders/a HTTP/1.1\r\nHost: h\r\n%sContent-Length: 1000\r\n\r\nhalf", authHeader)
	assert.NilError(t, err)
	assert.NilError(t, cut.Close())
	assert.NilError(t, conn.Close())
	for range 1000 {
		if budget.Held() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%d bytes are still held", budget.Held())
}

// Guards against bodies over the limit that are read on, and against a connection that is used again after a body
// that was not read.
func TestRefusedBodyIsNotRead(t *testing.T) {
	_, address := startBounded(t, nil, 0)
	for name, raw := range map[string]string{
		"announced":       "POST /orders/x HTTP/1.1\r\nHost: h\r\n" + authHeader + "Content-Length: 70000000\r\n\r\n",
		"chunked":         "POST /orders/x HTTP/1.1\r\nHost: h\r\n" + authHeader + "Transfer-Encoding: chunked\r\n\r\n" + encodeChunk(strings.Repeat("b", 1<<20+1)),
		"without a key":   "POST /orders/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
		"unknown service": "POST /none/x HTTP/1.1\r\nHost: h\r\n" + authHeader + "Content-Length: 100000\r\n\r\n" + strings.Repeat("b", 10_000),
	} {
		t.Run(name, func(t *testing.T) {
			conn := dial(t, address)
			_, err := io.WriteString(conn, raw)
			assert.NilError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			want := map[string]int{"announced": 413, "chunked": 413, "without a key": 401, "unknown service": 404}[name]
			assert.Equal(t, resp.StatusCode, want)
			assert.Assert(t, resp.Close, "the connection stays open")
		})
	}
}

// Guards against connections without a request that keep others out.
func TestLongestIdleConnectionLeaves(t *testing.T) {
	_, address := startBounded(t, nil, 3)
	used := dial(t, address)
	status, _ := exchange(t, used, request("/orders/a", authHeader, ""))
	assert.Equal(t, status, 200)
	idle := dial(t, address)
	_, err := io.WriteString(idle, "POST /orders/a HTTP/1.1\r\nX-Never")
	assert.NilError(t, err)
	// Connections are accepted in the order in which they were opened: the answer shows that the idle one was
	// accepted before the requests that follow.
	status, _ = exchange(t, dial(t, address), request("/orders/a", authHeader, ""))
	assert.Equal(t, status, 200)
	status, _ = exchange(t, used, request("/orders/a", authHeader, ""))
	assert.Equal(t, status, 200)
	status, _ = exchange(t, dial(t, address), request("/orders/a", authHeader, ""))
	assert.Equal(t, status, 200)
	_, err = idle.Read(make([]byte, 1))
	assert.Assert(t, err != nil, "the idle connection is open")
	var timeout net.Error
	assert.Assert(t, !errors.As(err, &timeout) || !timeout.Timeout(), "the idle connection is open: %v", err)
	status, _ = exchange(t, used, request("/orders/a", authHeader, ""))
	assert.Equal(t, status, 200)
}

// Guards against a form that is passed on in other bytes than it came in.
func TestFormIsPassedOnUnchanged(t *testing.T) {
	e, address := startBounded(t, nil, 0)
	form := "--x\r\nContent-Disposition: form-data; name=\"a\"\r\nX-Own: 1\r\n\r\nb\r\n--x--\r\n"
	status, _ := exchange(t, dial(t, address), request("/orders/a", authHeader+"Content-Type: multipart/form-data; boundary=x\r\n", form))
	assert.Equal(t, status, 200)
	assert.Equal(t, string(e.lastCall.Body), form)
}

// noEvictor belongs to requests that are never evicted.
type noEvictor struct{}

// Evict implements admitter.Evictor.
func (noEvictor) Evict() {}

// Guards against an answer that finds no room and is called "not run", or is fetched again from another server.
func TestAnswerWithoutRoomMayHaveRun(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		budget := admitter.New(admitter.ForMemory(64))
		others := budget.Open(noEvictor{})
		assert.NilError(t, others.Charge(12<<20))
		assert.NilError(t, others.Finish())
		first := &backend{name: "a1", call: plainReply("200 OK", "", strings.Repeat("b", 1<<20))}
		second := &backend{name: "a2", call: plainReply("200 OK", "", "small")}
		h := newHarnessWithMemory(t, idempotent, budget, first, second)
		resp := h.send(t, requestWithClose("/orders/x", "", "order"))
		assert.Equal(t, resp.status, 502, resp.body)
		assert.Assert(t, strings.Contains(resp.body, `"NotRun":false`), resp.body)
		assert.Assert(t, !second.mayHaveRun())
		others.Reset()
		resp = h.send(t, requestWithClose("/orders/x", "", "order"))
		assert.Equal(t, resp.status, 200)
		assert.Equal(t, len(resp.body), 1<<20)
	}
}

// largeDispatcher answers calls of /large with a body that no kernel buffer takes, and others as if their answer
// had found no room.
type largeDispatcher struct{ echoDispatcher }

// RunApplication implements listener.Dispatcher.
func (*largeDispatcher) RunApplication(_ context.Context, call dispatcher.Call) (*dispatcher.Answer, *dispatcher.Refusal) {
	if call.Path == "/large" {
		return &dispatcher.Answer{Status: 200, Body: make([]byte, 32<<20)}, nil
	}
	return nil, dispatcher.NewRefusal(dispatcher.CodeAnswerBroken, call.RequestID, false, "no room")
}

// Guards against callers that do not read an answer and hold memory that others need.
func TestStalledAnswerIsBrokenOffWhereMemoryLacks(t *testing.T) {
	index := indexer.New(&messenger.Configuration{Declarations: &messenger.Declarations{
		ClientAccounts: []*messenger.ClientAccount{{Name: "mason", KeySha256: indexer.HashKey("secret")}},
		Services:       []*messenger.Service{{Name: "orders", Kind: messenger.ServiceKind_APPLICATION, Idempotent: true}},
	}})
	clock := clocker.NewManual(1_000_000)
	d := &largeDispatcher{}
	l := listener.New(listener.Config{
		Clock: clock, Index: func() *indexer.Index { return index }, Dispatcher: d, Tickets: d,
		Ready: func() bool { return true }, BoundsBuffers: true,
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = l.Serve(ln) }()
	t.Cleanup(func() { _ = l.Abort() })
	slow := dial(t, ln.Addr().String())
	_, err = io.WriteString(slow, request("/orders/large", authHeader, ""))
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(slow), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.ContentLength, int64(32<<20))
	broken := make(chan error, 1)
	for range 100 {
		clock.Advance(6 * clocker.Second)
		status, body := exchange(t, dial(t, ln.Addr().String()), request("/orders/x", authHeader, ""))
		assert.Equal(t, status, 502, body)
	}
	go func() {
		_, err := io.Copy(io.Discard, resp.Body)
		broken <- err
	}()
	assert.Assert(t, <-broken != nil, "the answer is whole")
}
