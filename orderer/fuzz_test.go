package orderer

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
	"gotest.tools/v3/assert"
)

// response is an HTTP response of an engine.
type response struct {
	status int
	body   []byte
}

// FuzzAnswers passes arbitrary answers of an engine to each method of the client, which
// must not panic, and succeed only with status 200.
func FuzzAnswers(f *testing.F) {
	for _, body := range []string{
		`{"Fencing":-1,"Models":[null,{"Name":"m"}]}`, `{"Running":9223372036854775807,"Queued":1}`,
		`[{"Kind":"Stored","Prefix":18446744073709551615},null]`, `{"Blocks":[null]}`, `null`, ``, `[`,
	} {
		f.Add(200, []byte(body))
		f.Add(409, []byte(body))
	}
	var answer atomic.Pointer[response]
	l := fasthttputil.NewInmemoryListener()
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		a := answer.Load()
		ctx.SetStatusCode(a.status)
		ctx.SetBody(a.body)
	}}
	go func() { _ = server.Serve(l) }() // ends with the listener
	f.Cleanup(func() { _ = l.Close() })
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		if status < 200 || status > 599 {
			status = 200 // fasthttp handles interim (1xx) responses itself
		}
		answer.Store(&response{status, body})
		c := NewClient(ClientConfig{})
		c.http.Dial = func(string) (net.Conn, error) { return l.Dial() }
		defer c.http.CloseIdleConnections()
		ctx := context.Background()
		order := Order{Fencing: 2, Models: []Model{{Name: "m", Version: "1"}}}
		err := c.Order(ctx, "a:1", order)
		assert.Assert(t, (err == nil) == (status == 200) && IsErrStaleFencing(err) == (status == 409))
		if state, err := c.State(ctx, "a:1"); err == nil {
			Fulfilled(order, state)
		}
		_, err = c.InFlight(ctx, "a:1")
		assert.Assert(t, err != nil || status == 200)
		_, err = c.Warm(ctx, "a:1", "b:1")
		assert.Assert(t, err != nil || status == 200)
	})
}
