package storer

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

// sent is an answer of the platform.
type sent struct {
	status  int
	version string
	body    []byte
}

// FuzzAnswers reads what the platform answered to each kind of call: a value or an error,
// and a write is never taken for done without a good answer.
func FuzzAnswers(f *testing.F) {
	for _, body := range []string{`[{"Key":"a","Version":1,"Value":"AAAA"},null]`, `[{"Name":"h","Leaving":1}]`, `{}`, `null`, ``, `[`} {
		f.Add(200, "7", []byte(body))
		f.Add(409, "-9223372036854775809", []byte(body))
	}
	f.Add(100, "x", []byte("x"))
	var answer atomic.Pointer[sent]
	l := fasthttputil.NewInmemoryListener()
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		a := answer.Load()
		ctx.SetStatusCode(a.status)
		ctx.Response.Header.Set(VersionHeader, a.version)
		ctx.SetBody(a.body)
	}}
	go func() { _ = server.Serve(l) }() // ends with the listener
	f.Cleanup(func() { _ = l.Close() })
	f.Fuzz(func(t *testing.T, status int, version string, body []byte) {
		if status < 200 || status > 599 {
			status = 200 // interim answers are the library's to read
		}
		answer.Store(&sent{status, version, body})
		c := NewClient(ClientConfig{URL: "http://store", Clock: clocker.NewManual(0), Timeout: clocker.Minute})
		c.http.Dial = func(string) (net.Conn, error) { return l.Dial() }
		defer c.http.CloseIdleConnections()
		ctx := context.Background()
		_, _ = c.List(ctx, "a", "", 5) // any outcome is allowed where nothing is written
		_, _ = c.Watch(ctx, "a", 5)
		_, _ = c.Hosts(ctx)
		_, _ = c.Get(ctx, "a/b")
		_, err := c.Update(ctx, "a/b", 3, []byte("v"))
		assert.Assert(t, err != nil || status == 200)
		assert.Assert(t, !IsErrConflict(err) || status == 409)
	})
}
