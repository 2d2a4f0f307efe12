package connector_test

import (
	"net"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"cowsliphinge/admitter"
	"cowsliphinge/clocker"
	"cowsliphinge/connector"
)

// noEvictor belongs to requests that are never evicted.
type noEvictor struct{}

// Evict implements admitter.Evictor.
func (noEvictor) Evict() {}

// Guards against answers of servers that are read without a charge, or whose charge is lost.
func TestAnswerIsCharged(t *testing.T) {
	const length = 3 << 20
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.SetBytesV(connector.RequestIDHeader, ctx.Request.Header.Peek(connector.RequestIDHeader))
		body := strings.NewReader(strings.Repeat("b", length))
		if string(ctx.Path()) == "/chunked" {
			ctx.SetBodyStream(body, -1)
			return
		}
		ctx.SetBodyStream(body, length)
	}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = l.Close() })
	clock := clocker.NewWall()
	c := connector.New(connector.Config{Clock: clock})
	t.Cleanup(c.CloseIdle)
	for _, path := range []string{"/length", "/chunked"} {
		budget := admitter.New(admitter.Config{Bytes: 16 << 20, AloneBytes: 16 << 20})
		holding := budget.Open(noEvictor{})
		call := func() (*connector.Answer, error) {
			return c.Call(l.Addr().String(), connector.Request{
				Method: "GET", Path: path, RequestID: "r", Deadline: clock.Now() + clocker.Minute, ProgressTimeout: clocker.Minute, Memory: holding,
			})
		}
		answer, err := call()
		assert.NilError(t, err)
		assert.Equal(t, len(answer.Body), length)
		assert.Equal(t, budget.Held(), int64(length), path)
		other := budget.Open(noEvictor{})
		assert.NilError(t, other.Charge(12<<20))
		assert.NilError(t, other.Finish())
		_, err = call()
		assert.Assert(t, connector.IsErrAborted(err) && admitter.IsErrMemoryFull(err), "%s: %v", path, err)
		holding.Reset()
		other.Reset()
		assert.Equal(t, budget.Held(), int64(0), path)
	}
}
