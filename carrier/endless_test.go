package carrier

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/connector"
)

// maxReadOfTrouble is the most that one exchange with a server in trouble may read,
// in bytes, beside what the connection's buffer holds.
const maxReadOfTrouble = 256 << 10

// endless are servers that begin an answer with Start and then send Rest again and
// again until the connection is closed.
var endless = map[string]struct{ Start, Rest string }{
	"status line":     {"HTTP/1.1 200 ", "O"},
	"no protocol":     {"", "\x00\xff"},
	"header line":     {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Long: ", "a"},
	"header lines":    {"HTTP/1.1 200 OK\r\nX-Id: 1\r\n", "X-Many: a\r\n"},
	"interim answers": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	"interim heads":   {"", "HTTP/1.1 103 Early Hints\r\nX-Id: 1\r\n\r\n"},
	"late answer":     {"HTTP/1.1 200 OK\r\nX-Id: 0\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nlate\r\n"},
	"late head":       {"HTTP/1.1 200 OK\r\nX-Id: 0\r\n", "X-Many: a\r\n"},
	"late answers":    {"", "HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 0\r\n\r\n"},
	"chunk header":    {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
	"chunk extension": {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n1;", "a"},
	"tiny chunks":     {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "1;aaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\na\r\n"},
	"trailer":         {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Trailer: a\r\n"},
	"behind the body": {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 1\r\n\r\na", "b"},
}

// trouble accepts connections and answers each with start and rest without end.
// The channel gets a value for each connection that the router closed.
func trouble(t *testing.T, start, rest string) (Target, chan struct{}) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	closed := make(chan struct{}, 100)
	block := []byte(strings.Repeat(rest, 4096/len(rest)+1))
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

// received counts the bytes that came.
type received struct {
	atomic.Int64
}

func (*received) Sent(int)         {}
func (r *received) Received(n int) { r.Add(int64(n)) }

func TestBytesWithoutEndAreBounded(t *testing.T) {
	for name, bytes := range endless {
		t.Run(name, func(t *testing.T) {
			target, closed := trouble(t, bytes.Start, bytes.Rest)
			var n received
			c := New(Config{Clock: clocker.NewWall(), RequestIDHeader: "X-Id", DialTimeout: clocker.Second, IdleTimeout: clocker.Minute, Traffic: &n})
			body, err := sendAs(t, c, target, clocker.Minute, "1")
			if name == "behind the body" {
				assert.NilError(t, err)
				assert.Equal(t, body, "a")
				_, err = sendAs(t, c, target, clocker.Minute, "2") // finds bytes that no request asked for
			}
			assert.Assert(t, err != nil)
			assert.Assert(t, !connector.IsErrNotSent(err), "the server got the request")
			<-closed
			assert.Assert(t, n.Load() < maxReadOfTrouble, "%d bytes", n.Load())
		})
	}
}

// Pattern: all servers of a service send without end at once.
func TestManyServersWithoutEndAreBoundedTogether(t *testing.T) {
	const exchanges = 64
	target, closed := trouble(t, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Long: ", "a")
	var n received
	c := New(Config{Clock: clocker.NewWall(), RequestIDHeader: "X-Id", DialTimeout: clocker.Second, IdleTimeout: clocker.Minute, Traffic: &n})
	var wait sync.WaitGroup
	for range exchanges {
		wait.Go(func() {
			_, err := sendAs(t, c, target, clocker.Minute, "1")
			assert.Check(t, err != nil)
		})
	}
	wait.Wait()
	for range exchanges {
		<-closed
	}
	assert.Assert(t, n.Load() < exchanges*maxReadOfTrouble, "%d bytes", n.Load())
}

// A second answer that bears the ID of the first request comes in place of that to
// the second one; both requests have the same ID.
func TestRequestsOfTheSameIDShareNoConnection(t *testing.T) {
	target, accepted := scripted(t, func(n int, id string) string {
		if n == 0 {
			return answered(id, "first")
		}
		return answered(id, "copy of the first")
	})
	c := newCarrier(clocker.NewWall())
	for range 3 {
		body, err := sendAs(t, c, target, clocker.Minute, "1")
		assert.NilError(t, err)
		assert.Equal(t, body, "first")
	}
	assert.Equal(t, accepted.Load(), int64(3))
}

// An answer without an ID on a connection that was used before may belong to any
// request of it, so that it proves nothing of the last one.
func TestAnswerWithoutIDProvesNothingOnAUsedConnection(t *testing.T) {
	const refused = "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	target, _ := scripted(t, func(n int, id string) string {
		if n == 0 {
			return answered(id, "first")
		}
		return refused
	})
	c := newCarrier(clocker.NewWall())
	_, err := exchange(c, target, "1")
	assert.NilError(t, err)
	_, err = exchange(c, target, "2")
	assert.Assert(t, err != nil)
	assert.Assert(t, !connector.IsErrNotSent(err))

	fresh, _ := scripted(t, func(int, string) string { return refused })
	status, err := exchange(newCarrier(clocker.NewWall()), fresh, "1")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
}

func exchange(c *Carrier, target Target, id string) (int, error) {
	a, err := c.Send(context.Background(), target, Request{
		ID: id, Method: "POST", URI: "/", Host: "h", Header: http.Header{"X-Id": {id}}, MaxIdleTime: clocker.Minute, ResponseHeaderTimeout: 10 * clocker.Second,
	})
	if err != nil {
		return 0, err
	}
	defer a.Close()
	_, err = io.Copy(io.Discard, a)
	return a.StatusCode, err
}

func answered(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// scripted answers request n of each connection by what answer returns, and counts
// connections.
func scripted(t *testing.T, answer func(n int, id string) string) (Target, *atomic.Int64) {
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
					if _, err := io.WriteString(c, answer(n, req.Header.Get("X-Id"))); err != nil {
						return
					}
				}
			}()
		}
	}()
	return Target{ID: "one", Address: l.Addr().String()}, accepted
}

// FuzzAnswer reads what a server sent: within the bounds, without a panic, and never
// as the answer to another request.
func FuzzAnswer(f *testing.F) {
	for _, bytes := range endless {
		f.Add([]byte(bytes.Start+strings.Repeat(bytes.Rest, 3)), true)
	}
	f.Add([]byte(answered("1", "whole")), false)
	f.Fuzz(func(t *testing.T, sent []byte, used bool) {
		ours, theirs := net.Pipe()
		go func() {
			_, _ = theirs.Write(sent) // ends when ours is closed at the latest
			_ = theirs.Close()
		}()
		defer func() { _ = ours.Close() }()
		var n received
		cn := newConn(ours, &n)
		if used {
			cn.begin("0")
		}
		cn.begin("1")
		c := newCarrier(clocker.NewManual(0))
		resp, err := c.readAnswer(cn, Request{ID: "1", Method: "POST"})
		assert.Assert(t, n.Load() <= maxPreludeBytes+readBufferBytes)
		if err != nil {
			return
		}
		got := resp.Header.Get("X-Id")
		assert.Assert(t, got == "1" || got == "" && !used && resp.StatusCode >= 300)
		var body bytes.Buffer
		_, _ = io.Copy(&body, resp.Body) // any end is allowed
		assert.Assert(t, body.Len() <= len(sent))
	})
}
