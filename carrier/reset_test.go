package carrier

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

// newResettingServer starts a server that reads the header of a request, sends the start
// of a response without a length, and resets the connection once the caller has read it.
func newResettingServer(t *testing.T, read chan struct{}) Target {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n\r\nstart", readRequestID(c))
				<-read
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}()
		}
	}()
	return Target{ID: "s", Address: l.Addr().String()}
}

// readRequestID reads the header of a request and returns its ID. It leaves most of a
// long body unread.
func readRequestID(c net.Conn) string {
	r := bufio.NewReaderSize(c, 512)
	id := ""
	for {
		line, err := r.ReadString('\n')
		if err != nil || line == "\r\n" {
			return id
		}
		_, _ = fmt.Sscanf(line, "X-Id: %s", &id)
	}
}

// Guards against a reset response without a length that looks complete: the error of the
// reset may go to a pending write of the request's body, while the read returns io.EOF.
func TestResetResponseWithoutLengthIsNotComplete(t *testing.T) {
	const rounds = 100
	for _, size := range []int{1 << 10, 4 << 20} {
		read := make(chan struct{})
		target := newResettingServer(t, read)
		c := newCarrier(clocker.NewWall())
		body := bytes.Repeat([]byte("b"), size)
		falselyComplete := 0
		for i := range rounds {
			id := fmt.Sprint("reset-", i)
			resp, err := c.Send(context.Background(), target, Request{
				ID: id, Method: "POST", URI: "/", Host: "h", Header: http.Header{"X-Id": {id}}, Body: body, MaxIdleTime: clocker.Minute, ResponseHeaderTimeout: 5 * clocker.Second,
			})
			assert.NilError(t, err)
			_, err = io.ReadFull(resp, make([]byte, len("start")))
			assert.NilError(t, err)
			read <- struct{}{}
			_, err = io.ReadAll(resp)
			if err == nil && resp.Complete() {
				falselyComplete++
			}
			resp.Close()
		}
		assert.Equal(t, falselyComplete, 0, "reset responses that count as complete, of %d, after a body of %d bytes", rounds, size)
	}
}

// A server may respond before it has read a long body, close its side of the connection
// normally and continue reading. That response is complete.
func TestEarlyResponseWithoutLengthIsComplete(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n\r\nearly", readRequestID(c))
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
	}()
	resp, err := newCarrier(clocker.NewWall()).Send(context.Background(), Target{ID: "s", Address: l.Addr().String()}, Request{
		ID: "1", Method: "POST", URI: "/", Host: "h", Header: http.Header{"X-Id": {"1"}}, Body: bytes.Repeat([]byte("b"), 4<<20), ResponseHeaderTimeout: 5 * clocker.Second,
	})
	assert.NilError(t, err)
	defer resp.Close()
	got, err := io.ReadAll(resp)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "early")
}
