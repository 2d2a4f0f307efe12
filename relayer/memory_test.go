package relayer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cowsliphinge/admitter"
	"cowsliphinge/clocker"
	"cowsliphinge/matcher"
)

type noEvictor struct{}

func (noEvictor) Evict() {}

// useBudget gives each request of the fixture a holding in a budget, as its connection has.
func (f *fixture) useBudget(t *testing.T, budget *admitter.Budget) {
	f.frontend.Close()
	f.frontend = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := budget.Open(noEvictor{})
		defer h.Reset()
		f.relayer.ServeHTTP(w, r.WithContext(admitter.NewContext(r.Context(), h)))
	}))
	t.Cleanup(f.frontend.Close)
}

// fill holds all but left bytes of a budget for a request that can't be evicted.
func fill(t *testing.T, cfg admitter.Config, left int64) *admitter.Budget {
	cfg.AloneBytes, cfg.LeavingBytes, cfg.ReservedBytes = 0, 0, 0
	budget := admitter.New(cfg)
	other := budget.Open(noEvictor{})
	assert.NilError(t, other.Charge(cfg.Bytes-left))
	assert.NilError(t, other.Finish())
	return budget
}

// Guards against a process that takes more than its memory: a request without room is refused with a status
// that promises that it did not run, before any server gets it.
func TestRequestWithoutRoomIsRefusedBeforeItIsSent(t *testing.T) {
	for _, c := range []struct {
		kind matcher.Kind
		left int64
	}{
		{matcher.Safe, 1000},                                    // lacks room for the request
		{matcher.Safe, admitter.RequestBytes + 1000},            // for its body
		{matcher.Stream, admitter.RequestBytes + streamBytes/2}, // for its stream
	} {
		b := newBackend(t, respond(200, "x"))
		f := newFixture(t, matcher.Route{Kind: c.kind}, b)
		f.useBudget(t, fill(t, admitter.ForMemory(64), c.left))
		got := f.call(t, "POST", "/r/", strings.Repeat("b", 9000))
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Assert(t, strings.Contains(got.body, "memory_full"), got.body)
		assert.Assert(t, got.header.Get("Retry-After") != "")
		assert.Equal(t, b.requestCount(), 0)
		assert.Assert(t, strings.Contains(<-f.logLines, `"reason":"memory_full"`))
	}
}

// Guards against attempts that send a body that was released or overwritten: each gets all of it.
func TestEachAttemptGetsTheWholeBody(t *testing.T) {
	body := strings.Repeat("0123456789abcde", 4000)
	refuse := respond(503, "", "X-Not-Run: 1")
	b, c := newBackend(t, refuse), newBackend(t, thenClose(nil), respond(200, "x"))
	f := newFixture(t, matcher.Route{Kind: matcher.Safe, MaxAttempts: 3}, b, c)
	budget := admitter.New(admitter.ForMemory(64))
	f.useBudget(t, budget)
	for range 4 {
		f.call(t, "POST", "/r/", body) // the outcome depends on the order of the servers
	}
	assert.Assert(t, b.requestCount()+c.requestCount() >= 4)
	for _, got := range append(b.bodies, c.bodies...) {
		assert.Assert(t, got == body, "%d bytes", len(got))
	}
	f.frontend.Close() // waits for the handlers
	assert.Equal(t, budget.Held(), int64(0))
}

// Guards against a response that is cut because the budget is full: its request has run. It is passed on as it
// arrives.
func TestLongResponseIsPassedOnWithoutRoom(t *testing.T) {
	content := strings.Repeat("0123456789abcde", 20_000)
	f := newFixture(t, matcher.Route{Kind: matcher.Safe}, newBackend(t, respond(200, content)))
	f.useBudget(t, fill(t, admitter.ForMemory(64), admitter.RequestBytes+1000))
	got := f.call(t, "GET", "/r/", "")
	assert.Equal(t, got.status, 200)
	assert.Assert(t, got.body == content && !got.truncated)
}

// Guards against connections that stay open for as long as their callers like: what is left of the body of a
// refused request is read for a bounded time only.
func TestRestOfARefusedBodyIsReadForABoundedTime(t *testing.T) {
	f := newFixture(t, matcher.Route{Kind: matcher.Safe}, newBackend(t, respond(200, "x")))
	for name, head := range map[string]string{
		"unknown key":  "Authorization: Bearer other\r\nContent-Length: 1000\r\n",
		"no key":       "Content-Length: 1000\r\n",
		"announced":    "Authorization: Bearer key\r\nContent-Length: 100000\r\n",
		"chunked":      "Authorization: Bearer key\r\nTransfer-Encoding: chunked\r\n",
		"broken chunk": "Authorization: Bearer other\r\nTransfer-Encoding: chunked\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp4", f.frontend.Listener.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = c.Close() }()
			body := "part"
			if strings.Contains(head, "chunked") {
				body = fmt.Sprintf("%x\r\n%s", 1<<20, strings.Repeat("a", 70_000))
			}
			_, err = fmt.Fprintf(c, "POST /r/ HTTP/1.1\r\nHost: shop.example\r\nX-Id: id\r\n%s\r\n%s", head, body)
			assert.NilError(t, err)
			assert.NilError(t, c.SetReadDeadline(clocker.FromNow(clocker.Minute)))
			r := bufio.NewReader(c)
			resp, err := http.ReadResponse(r, nil)
			assert.NilError(t, err)
			assert.Assert(t, resp.StatusCode == http.StatusUnauthorized || resp.StatusCode == http.StatusRequestEntityTooLarge, "%d", resp.StatusCode)
			_, err = io.Copy(io.Discard, r)
			assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "the connection stays open")
		})
	}
}

// Guards against a body that stays in memory for as long as a stream lasts that no other server can continue.
func TestBodyIsReleasedOnceNoAttemptCanNeedIt(t *testing.T) {
	held := make(chan int64, 1)
	budget := admitter.New(admitter.ForMemory(64))
	goOn := make(chan struct{})
	b := newBackend(t, func(w io.Writer, req *http.Request) {
		streamEvents(1, 1, false)(w, req)
		<-goOn
		_, _ = io.WriteString(w, "0\r\n\r\n")
	})
	f := newFixture(t, matcher.Route{Kind: matcher.Stream}, b)
	f.useBudget(t, budget)
	req, err := http.NewRequestWithContext(context.Background(), "POST", f.frontend.URL+"/r/", strings.NewReader(strings.Repeat("b", 60_000)))
	assert.NilError(t, err)
	req.Host = "shop.example"
	req.Header.Set("Authorization", "Bearer key")
	req.Header.Set("X-Id", "id-1")
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	// The header is sent after the first event. The write of the body to the server may end a little later.
	last := budget.Held()
	for range 1000 {
		if last = budget.Held(); last == admitter.RequestBytes+streamBytes {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	held <- last
	close(goOn)
	_, err = io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, <-held, int64(admitter.RequestBytes+streamBytes))
}

// Guards against events that servers send without an end and that are held without a charge, and against a response
// without room that looks complete or promises that the request did not run.
func TestEventWithoutRoomEndsItsStream(t *testing.T) {
	large := "id: 2\ndata: " + strings.Repeat("d", 100_000) + "\n\n"
	for _, first := range []string{"", "id: 1\ndata: first\n\n"} {
		for _, left := range []int64{admitter.RequestBytes + streamBytes + 50_000, admitter.RequestBytes + streamBytes + 400_000} {
			events := first + large
			b := newBackend(t, respond(200, events, "Content-Type: text/event-stream"))
			f := newFixture(t, matcher.Route{Kind: matcher.Stream}, b)
			budget := fill(t, admitter.ForMemory(64), left)
			before := budget.Held()
			f.useBudget(t, budget)
			got := f.call(t, "POST", "/r/", "")
			switch {
			case left > 400_000:
				assert.Assert(t, got.status == 200 && !got.truncated && got.body == events, "%d, %d bytes", got.status, len(got.body))
			case first == "":
				assert.Equal(t, got.status, http.StatusBadGateway)
			default:
				assert.Assert(t, got.status == 200 && got.truncated && got.body == first, "%d, %d bytes", got.status, len(got.body))
			}
			f.frontend.Close() // waits for the handlers
			assert.Equal(t, budget.Held(), before)
		}
	}
}
