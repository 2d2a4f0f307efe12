package carrier

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/connector"
	"cowsliphinge/standin/responder"
)

// maxEndlessRead limits the bytes that one exchange with an endless response may read,
// besides the connection's buffer.
const maxEndlessRead = 256 << 10

// endlessResponses are responses that begin with Start and repeat Repeated until the
// connection is closed.
var endlessResponses = map[string]struct{ Start, Repeated string }{
	"status line":       {"HTTP/1.1 200 ", "O"},
	"not HTTP":          {"", "\x00\xff"},
	"header line":       {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Long: ", "a"},
	"header lines":      {"HTTP/1.1 200 OK\r\nX-Id: 1\r\n", "X-Many: a\r\n"},
	"interim responses": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	"interim headers":   {"", "HTTP/1.1 103 Early Hints\r\nX-Id: 1\r\n\r\n"},
	"late response":     {"HTTP/1.1 200 OK\r\nX-Id: 0\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nlate\r\n"},
	"late header":       {"HTTP/1.1 200 OK\r\nX-Id: 0\r\n", "X-Many: a\r\n"},
	"late responses":    {"", "HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 0\r\n\r\n"},
	"chunk header":      {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
	"chunk extension":   {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n1;", "a"},
	"tiny chunks":       {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "1;aaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\na\r\n"},
	"trailer":           {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Trailer: a\r\n"},
	"after the body":    {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 1\r\n\r\na", "b"},
}

// newEndlessServer starts a server that responds to each connection with start and then
// sends repeated without end. The channel receives a value for each connection that the
// Carrier closed.
func newEndlessServer(t *testing.T, start, repeated string) (Target, chan struct{}) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	closed := make(chan struct{}, 100)
	block := []byte(strings.Repeat(repeated, 4096/len(repeated)+1))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { closed <- struct{}{} }()
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, err := io.WriteString(c, start)
				for err == nil {
					_, err = c.Write(block)
				}
			}()
		}
	}()
	return Target{ID: "one", Address: l.Addr().String()}, closed
}

// receivedBytes counts the bytes received.
type receivedBytes struct {
	atomic.Int64
}

func (*receivedBytes) Sent(int)         {}
func (r *receivedBytes) Received(n int) { r.Add(int64(n)) }

func TestEndlessResponsesAreBounded(t *testing.T) {
	for name, response := range endlessResponses {
		t.Run(name, func(t *testing.T) {
			target, closed := newEndlessServer(t, response.Start, response.Repeated)
			var n receivedBytes
			c := New(Config{Clock: clocker.NewWall(), RequestIDHeader: "X-Id", DialTimeout: clocker.Second, IdleTimeout: clocker.Minute, Traffic: &n})
			body, err := sendAs(t, c, target, clocker.Minute, "1")
			if name == "after the body" {
				assert.NilError(t, err)
				assert.Equal(t, body, "a")
				_, err = sendAs(t, c, target, clocker.Minute, "2") // the connection holds bytes without a request
			}
			assert.Assert(t, err != nil)
			assert.Assert(t, !connector.IsErrNotSent(err), "the server received the request")
			<-closed
			assert.Assert(t, n.Load() < maxEndlessRead, "%d bytes", n.Load())
		})
	}
}

// Covers servers of a service that all send endless responses at the same time.
func TestConcurrentEndlessResponsesAreBounded(t *testing.T) {
	const exchanges = 64
	target, closed := newEndlessServer(t, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Long: ", "a")
	var n receivedBytes
	c := New(Config{Clock: clocker.NewWall(), RequestIDHeader: "X-Id", DialTimeout: clocker.Minute, IdleTimeout: clocker.Minute, Traffic: &n})
	var wait sync.WaitGroup
	for range exchanges {
		wait.Go(func() {
			_, err := sendAs(t, c, target, clocker.Minute, "1")
			assert.Check(t, err != nil)
			assert.Check(t, !connector.IsErrNotSent(err), "the server received the request")
		})
	}
	wait.Wait()
	for range exchanges {
		<-closed
	}
	assert.Assert(t, n.Load() < exchanges*maxEndlessRead, "%d bytes", n.Load())
}

// Two requests have the same ID, and the server sends a second response to the first
// request instead of the response to the second one.
func TestRequestsWithTheSameIDShareNoConnection(t *testing.T) {
	target, accepted := newScriptedServer(t, func(n int, id string) string {
		if n == 0 {
			return responseText(id, "first")
		}
		return responseText(id, "duplicate of the first")
	})
	c := newCarrier(clocker.NewWall())
	for range 3 {
		body, err := sendAs(t, c, target, clocker.Minute, "1")
		assert.NilError(t, err)
		assert.Equal(t, body, "first")
	}
	assert.Equal(t, accepted.Load(), int64(3))
}

// A response without an ID on a reused connection may belong to any request sent on it,
// so it does not show that the last request was refused.
func TestResponseWithoutIDIsRejectedOnAReusedConnection(t *testing.T) {
	const refused = "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	target, _ := newScriptedServer(t, func(n int, id string) string {
		if n == 0 {
			return responseText(id, "first")
		}
		return refused
	})
	c := newCarrier(clocker.NewWall())
	_, err := responseStatus(c, target, "1")
	assert.NilError(t, err)
	_, err = responseStatus(c, target, "2")
	assert.Assert(t, err != nil)
	assert.Assert(t, !connector.IsErrNotSent(err))

	fresh, _ := newScriptedServer(t, func(int, string) string { return refused })
	status, err := responseStatus(newCarrier(clocker.NewWall()), fresh, "1")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
}

func responseStatus(c *Carrier, target Target, id string) (int, error) {
	resp, err := c.Send(context.Background(), target, Request{
		ID: id, Method: "POST", URI: "/", Host: "h", Header: http.Header{"X-Id": {id}}, MaxIdleTime: clocker.Minute, ResponseHeaderTimeout: 10 * clocker.Second,
	})
	if err != nil {
		return 0, err
	}
	defer resp.Close()
	_, err = io.Copy(io.Discard, resp)
	return resp.StatusCode, err
}

func responseText(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// newScriptedServer starts a server that responds to request n of each connection with
// the result of respond, and counts its connections.
func newScriptedServer(t *testing.T, respond func(n int, id string) string) (Target, *atomic.Int64) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	accepted := &atomic.Int64{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for n := 0; ; n++ {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, req.Body); err != nil {
						return
					}
					if _, err := io.WriteString(c, respond(n, req.Header.Get("X-Id"))); err != nil {
						return
					}
				}
			}()
		}
	}()
	return Target{ID: "one", Address: l.Addr().String()}, accepted
}

// FuzzAnswer reads arbitrary bytes of a server. Reading stays within the limits, does not
// panic, and never returns the response to another request or one with a status that no response has.
func FuzzAnswer(f *testing.F) {
	for _, response := range endlessResponses {
		f.Add([]byte(response.Start+strings.Repeat(response.Repeated, 3)), true)
	}
	f.Add([]byte(responseText("1", "whole")), false)
	for _, shape := range slices.Concat(responder.BrokenStatuses("X-Id: 1\r\n"), responder.BrokenFields("X-Id: 1\r\n"), responder.Sound("X-Id: 1\r\n")) {
		f.Add([]byte(shape.Text), false)
	}
	f.Fuzz(func(t *testing.T, sent []byte, reused bool) {
		client, server := net.Pipe()
		go func() {
			_, _ = server.Write(sent) // ends at the latest when client is closed
			_ = server.Close()
		}()
		defer func() { _ = client.Close() }()
		var n receivedBytes
		cn := newConn(client, &n)
		if reused {
			cn.addRequestID("0")
		}
		cn.addRequestID("1")
		c := newCarrier(clocker.NewManual(0))
		resp, err := c.readResponse(cn, Request{ID: "1", Method: "POST"})
		assert.Assert(t, n.Load() <= maxPreBodyBytes+readBufferBytes)
		if err != nil {
			return
		}
		got := resp.Header.Get("X-Id")
		assert.Assert(t, got == "1" || got == "" && !reused && resp.StatusCode >= 300)
		assert.Assert(t, resp.StatusCode >= 200 && resp.StatusCode <= 599, "status %d", resp.StatusCode)
		var body bytes.Buffer
		_, _ = io.Copy(&body, resp.Body) // any error is allowed
		assert.Assert(t, body.Len() <= len(sent))
	})
}

// Guards against a host that runs out of memory for headers without end: one of tiny different fields stays
// within the bytes that may be read, and takes fifteen times as much memory while the caller waits for
// its next byte.
func TestHeaderOfTinyFieldsIsGivenUpEarly(t *testing.T) {
	var fields strings.Builder
	for i := range 30_000 {
		fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	const callers = 64
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	ended := make(chan struct{}, callers)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"+fields.String()[:maxPreBodyBytes-1000])
				_, _ = io.Copy(io.Discard, c) // until the router closes the connection
				_ = c.Close()
				ended <- struct{}{}
			}()
		}
	}()
	var n receivedBytes
	c := New(Config{Clock: clocker.NewWall(), RequestIDHeader: "X-Id", DialTimeout: clocker.Minute, IdleTimeout: clocker.Minute, Traffic: &n})
	var wait sync.WaitGroup
	for range callers {
		wait.Go(func() {
			_, err := sendAs(t, c, Target{ID: "one", Address: l.Addr().String()}, clocker.Minute, "1")
			assert.Check(t, !connector.IsErrNotSent(err), "the server received the request")
			assert.Check(t, errors.Is(err, errHeaderTooLong), "%v", err)
		})
	}
	wait.Wait()
	for range callers {
		<-ended
	}
	assert.Assert(t, n.Load() < callers*2*readBufferBytes, "%d bytes", n.Load())
}

// A header of usual length, also behind an interim one, is read whole, in parts of any size, and lines of the
// body are not counted.
func TestHeaderLinesAreCountedUpToTheBlankLine(t *testing.T) {
	header := "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", 100) + "\r\n"
	for _, part := range []int{1, 7, 4096} {
		var h headerLines
		h.begin(101)
		text := header + strings.Repeat("\n", 1000)
		for len(text) > 0 {
			n := min(part, len(text))
			assert.Assert(t, h.add([]byte(text[:n])))
			text = text[n:]
		}
		h.begin(100)
		assert.Assert(t, !h.add([]byte(header)))
	}
}
