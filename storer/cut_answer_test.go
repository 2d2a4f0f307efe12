package storer

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

// newClosingStore returns the URL of a store that sends the answer to each call and closes the connection by a
// FIN, as the kernel does if its process dies.
func newClosingStore(t *testing.T, answer string) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = io.WriteString(c, answer)
			}
			_ = c.Close()
		}
	}()
	return "http://" + l.Addr().String()
}

// Guards against the beginning of a value that is taken for the value: an answer without a length looks whole
// where the death of the store has cut it, and the beginning of an encoded message can be decoded as well.
func TestAnswerWithoutALengthIsNoValue(t *testing.T) {
	for name, answer := range map[string]string{
		"no length":       "HTTP/1.1 200 OK\r\nObject-Version: 3\r\n\r\nval",
		"shorter than it": "HTTP/1.1 200 OK\r\nObject-Version: 3\r\nContent-Length: 5\r\n\r\nval",
		"open chunks":     "HTTP/1.1 200 OK\r\nObject-Version: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nval\r\n",
	} {
		c := NewClient(ClientConfig{URL: newClosingStore(t, answer), Clock: clocker.NewWall()})
		_, err := c.Get(context.Background(), "budgets/one")
		assert.Assert(t, IsErrOutcomeUnknown(err), "%s: %v", name, err)
	}
	for name, answer := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nObject-Version: 3\r\nContent-Length: 5\r\n\r\nvalue",
		"chunks": "HTTP/1.1 200 OK\r\nObject-Version: 3\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nvalue\r\n0\r\n\r\n",
	} {
		c := NewClient(ClientConfig{URL: newClosingStore(t, answer), Clock: clocker.NewWall()})
		o, err := c.Get(context.Background(), "budgets/one")
		assert.NilError(t, err, name)
		assert.Equal(t, string(o.Value), "value", name)
		assert.Equal(t, o.Version, int64(3), name)
	}
}

// Guards against a call without end: the store falls silent in the middle of its answer.
func TestCallEndsWhereAnAnswerStalls(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nval")
		_, _ = io.Copy(io.Discard, c) // until the client gives up
	}()
	c := NewClient(ClientConfig{URL: "http://" + l.Addr().String(), Clock: clocker.NewWall(), Timeout: 50})
	_, err = c.Get(context.Background(), "budgets/one")
	assert.Assert(t, IsErrOutcomeUnknown(err), "%v", err)
}
