package carrier

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

// Guards against a failure in place of a whole answer, and a connection for each one: an answer to HEAD has no body,
// so that its header is all of it although nothing states a length.
func TestAnswerToHeadIsWholeWithItsHeader(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	var conns atomic.Int64
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_ = l.Close() // the server ends behind its answer
		conns.Add(1)
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n")
		}
	}()
	resp, err := newCarrier(clocker.NewManual(1000)).Send(context.Background(), Target{ID: "one", Address: l.Addr().String()},
		Request{ID: "1", Method: "HEAD", URI: "/", Host: "h", Header: http.Header{"X-Id": {"1"}}})
	assert.NilError(t, err)
	defer resp.Close()
	_, err = io.ReadAll(resp)
	assert.NilError(t, err)
	assert.Assert(t, resp.Complete())
	assert.Equal(t, conns.Load(), int64(1))
}
