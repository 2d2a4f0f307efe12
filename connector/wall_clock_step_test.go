package connector_test

import (
	"context"
	"net"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/connector"
	"cowsliphinge/dispatcher"
	"cowsliphinge/forwarder"
	"cowsliphinge/heartbeater"
	"cowsliphinge/orderer"
	"cowsliphinge/storer"
)

// Guards against: after a step of the wall clock, which clocker.Clock does not follow,
// calls to backend servers, engines, routers and the platform time out at once.
func TestCallsSurviveAWallClockStep(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.Set(connector.RequestIDHeader, string(ctx.Request.Header.Peek(connector.RequestIDHeader)))
		ctx.SetBodyString("{}")
	}}
	go func() { _ = server.Serve(l) }() // ends with Shutdown
	t.Cleanup(func() { _ = server.Shutdown() })
	address := l.Addr().String()
	now := clocker.NewWall().Now()
	for name, clock := range map[string]*clocker.Clock{
		"stepped forward": clocker.NewManual(now - clocker.Hour),
		"stepped back":    clocker.NewManual(now + clocker.Hour),
	} {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			_, err := connector.New(connector.Config{Clock: clock}).Call(address, connector.Request{
				Method: "GET", Path: "/", RequestID: "r", Deadline: clock.Now() + clocker.Minute, ProgressTimeout: clocker.Minute,
			})
			assert.NilError(t, err)
			_, err = orderer.NewClient(orderer.ClientConfig{}).State(ctx, address)
			assert.NilError(t, err)
			_, err = storer.NewClient(storer.ClientConfig{URL: "http://" + address, Clock: clock, Timeout: clocker.Minute}).Get(ctx, "a/b")
			assert.NilError(t, err)
			f := forwarder.New(forwarder.Config{Clock: clock, Peers: func() []heartbeater.Peer {
				return []heartbeater.Peer{{Incarnation: "h", CallerAddress: address}}
			}})
			answer, err := f.Forward(ctx, "h", dispatcher.Call{
				Method: "GET", Path: "/x", Completion: &dispatcher.CompletionRequest{}, Deadline: clock.Now() + clocker.Minute,
			})
			assert.NilError(t, err)
			assert.Assert(t, strings.Contains(string(answer.Body), "{}"))
		})
	}
}
