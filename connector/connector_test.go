package connector_test

import (
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/connector"
)

// Guards against: a connection is closed after each answer, because the body was not
// read to its end.
func TestCallReusesItsConnection(t *testing.T) {
	var calls atomic.Int64
	connIDs := make(chan uint64, 6)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		connIDs <- ctx.ConnID()
		ctx.Response.Header.SetBytesV(connector.RequestIDHeader, ctx.Request.Header.Peek(connector.RequestIDHeader))
		switch calls.Add(1) % 3 {
		case 0:
			ctx.SetStatusCode(fasthttp.StatusNoContent)
		case 1:
			ctx.SetBodyString("body")
		default:
			ctx.SetBodyStream(strings.NewReader("body"), -1)
		}
	}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = l.Close() })
	clock := clocker.NewWall()
	c := connector.New(connector.Config{Clock: clock})
	t.Cleanup(c.CloseIdle)
	var first uint64
	for n := range cap(connIDs) {
		answer, err := c.Call(l.Addr().String(), connector.Request{
			Method: "GET", Path: "/", RequestID: "r", Deadline: clock.Now() + clocker.Minute, ProgressTimeout: clocker.Minute,
		})
		assert.NilError(t, err)
		assert.Equal(t, string(answer.Body) == "body", answer.Status == 200)
		id := <-connIDs
		if n == 0 {
			first = id
		}
		assert.Equal(t, id, first, "call %d", n)
	}
}
