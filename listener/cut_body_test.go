package listener_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a request that runs with a part of its body: its caller ends the connection before the announced length.
func TestRequestWithACutBodyDoesNotRun(t *testing.T) {
	for name, body := range map[string]string{
		"length":        "Content-Length: 1000\r\n\r\nhalf",
		"last byte":     "Content-Length: 100000\r\n\r\n" + strings.Repeat("b", 99_999),
		"no byte":       "Content-Length: 5\r\n\r\n",
		"chunks":        "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"part of chunk": "Transfer-Encoding: chunked\r\n\r\n40\r\nhalf",
	} {
		e, address := startBounded(t, nil, 0)
		conn := dial(t, address)
		_, err := io.WriteString(conn, "POST /orders/a HTTP/1.1\r\nHost: h\r\n"+authHeader+body)
		assert.NilError(t, err)
		assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			assert.Equal(t, resp.StatusCode, http.StatusBadRequest, name)
		}
		assert.Equal(t, e.calls.Load(), int64(0), name)
	}
}
