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
	"cowsliphinge/prober"
)

// newLateReader starts a server that reads the body of a request only after some time, with little room for it. If early
// is true, it sends the beginning of its answer before that.
func newLateReader(t *testing.T, early bool, readAfter clocker.Millis) Target {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_ = c.(*net.TCPConn).SetReadBuffer(16 << 10)
			go func() {
				defer func() { _ = c.Close() }()
				req, err := http.ReadRequest(bufio.NewReaderSize(c, 1<<10))
				if err != nil {
					return
				}
				head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 11\r\n\r\nfirst,", req.Header.Get("X-Id"))
				if early {
					_, _ = io.WriteString(c, head)
					head = ""
				}
				clocker.NewWall().SleepUncancellable(readAfter)
				if n, err := io.Copy(io.Discard, req.Body); err != nil || n != req.ContentLength {
					return
				}
				_, _ = io.WriteString(c, head+"whole")
			}()
		}
	}()
	return Target{ID: "late", Address: l.Addr().String()}
}

// Guards against requests that are cut because their sound server reads the body later than sent bytes may wait for
// acknowledgements.
func TestRequestOfAServerThatReadsLateIsNotCut(t *testing.T) {
	for _, early := range []bool{true, false} {
		t.Run(fmt.Sprint(early), func(t *testing.T) {
			t.Parallel()
			target := newLateReader(t, early, 2*prober.Timeout)
			resp, err := newCarrier(clocker.NewWall()).Send(context.Background(), target, Request{
				ID: "1", Method: "POST", URI: "/", Host: "h", Header: http.Header{"X-Id": {"1"}}, Body: bytes.Repeat([]byte("p"), 200<<10), MaxIdleTime: clocker.Minute,
			})
			assert.NilError(t, err)
			defer resp.Close()
			body, err := io.ReadAll(resp)
			assert.NilError(t, err)
			assert.Equal(t, string(body), "first,whole")
		})
	}
}
