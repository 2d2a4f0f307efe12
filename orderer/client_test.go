package orderer_test

import (
	"context"
	"net"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/orderer"
	"cowsliphinge/standin/engine"
)

// listen serves an engine on loopback and returns its address.
func listen(t *testing.T, cfg engine.Config) string {
	e := engine.New(cfg)
	t.Cleanup(e.Close)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &fasthttp.Server{Handler: e.Handler, CloseOnShutdown: true}
	go func() { _ = server.Serve(l) }() // ends with Shutdown
	t.Cleanup(func() { _ = server.Shutdown() })
	return l.Addr().String()
}

func TestClientCallsEngines(t *testing.T) {
	ctx := context.Background()
	clock := clocker.NewWall()
	leaving := listen(t, engine.Config{Clock: clock, Models: []string{"draft"}, ChecksFencing: true})
	arriving := listen(t, engine.Config{Clock: clock, Models: []string{"none"}, ChecksFencing: true})
	client := orderer.NewClient(orderer.ClientConfig{})

	body := `{"model":"draft","max_tokens":2,"messages":[{"role":"user","content":"a proof of an inscription"}]}`
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI("http://" + leaving + "/v1/chat/completions")
	req.Header.SetMethod("POST")
	req.Header.Set("X-Request-Id", "r")
	req.SetBodyString(body)
	assert.NilError(t, fasthttp.Do(req, resp))
	assert.Equal(t, resp.StatusCode(), 200)

	order := orderer.Order{Fencing: 2, Models: []orderer.Model{{Name: "draft", Version: "1"}}}
	assert.NilError(t, client.Order(ctx, arriving, order))
	state, err := client.State(ctx, arriving)
	assert.NilError(t, err)
	assert.Equal(t, state.Fencing, int64(2))
	assert.Assert(t, orderer.Fulfilled(order, state))
	order.Fencing = 1
	assert.Assert(t, orderer.IsErrStaleFencing(client.Order(ctx, arriving, order)))

	n, err := client.Warm(ctx, leaving, arriving)
	assert.NilError(t, err)
	assert.Equal(t, n, 1)
	inFlight, err := client.InFlight(ctx, leaving)
	assert.NilError(t, err)
	assert.Equal(t, inFlight, int64(0))
	_, err = client.State(ctx, "127.0.0.1:1")
	assert.Assert(t, err != nil)
}
