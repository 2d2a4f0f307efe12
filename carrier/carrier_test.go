package carrier

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/connector"
	"cowsliphinge/standin/refuser"
)

// newServer starts a server that counts its connections and returns the request ID in
// the response.
func newServer(t *testing.T, handle http.HandlerFunc) (string, *atomic.Int64) {
	var conns atomic.Int64
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		handle(w, r)
	}))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			conns.Add(1)
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://"), &conns
}

var lastID atomic.Int64

// send sends a request with a unique ID.
func send(t *testing.T, c *Carrier, target Target, maxIdle clocker.Millis) (string, error) {
	t.Helper()
	return sendAs(t, c, target, maxIdle, fmt.Sprint("id-", lastID.Add(1)))
}

func sendAs(t *testing.T, c *Carrier, target Target, maxIdle clocker.Millis, id string) (string, error) {
	t.Helper()
	resp, err := c.Send(context.Background(), target, Request{
		ID: id, Method: "POST", URI: "/", Host: "h", Header: http.Header{"X-Id": {id}}, Body: []byte("b"), MaxIdleTime: maxIdle,
	})
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	return string(body), err
}

func newCarrier(clock *clocker.Clock) *Carrier {
	return New(Config{Clock: clock, RequestIDHeader: "X-Id", DialTimeout: clocker.Second, IdleTimeout: 10 * clocker.Second})
}

func TestConnectionsAreReusedWhileFresh(t *testing.T) {
	address, conns := newServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) })
	clock := clocker.NewManual(1000)
	c := newCarrier(clock)
	one := Target{ID: "one", Address: address}
	for range 3 {
		body, err := send(t, c, one, clocker.Minute)
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
	}
	assert.Equal(t, conns.Load(), int64(1))
	clock.Advance(500) // idle for longer than the next request allows
	_, err := send(t, c, one, 300)
	assert.NilError(t, err)
	assert.Equal(t, conns.Load(), int64(2))
	_, err = send(t, c, Target{ID: "two", Address: address}, clocker.Minute) // another incarnation at the same address
	assert.NilError(t, err)
	assert.Equal(t, conns.Load(), int64(3))
	c.PruneIdle(func(id string) bool { return id != "one" })
	_, err = send(t, c, one, clocker.Minute)
	assert.NilError(t, err)
	assert.Equal(t, conns.Load(), int64(4))
}

// The server sends its idle timeout; a connection is not reused in the last second
// before it.
func TestServersIdleTimeoutIsRespected(t *testing.T) {
	address, conns := newServer(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Keep-Alive", "timeout=3, max=9") })
	clock := clocker.NewManual(1000)
	c := newCarrier(clock)
	for range 2 {
		_, err := send(t, c, Target{ID: "one", Address: address}, clocker.Minute)
		assert.NilError(t, err)
		clock.Advance(2001)
	}
	assert.Equal(t, conns.Load(), int64(2))
}

func TestRefusedConnectionIsReportedAsNotSent(t *testing.T) {
	l, err := refuser.Listen()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Release() })
	assert.NilError(t, l.Close())
	_, err = send(t, newCarrier(clocker.NewWall()), Target{ID: "one", Address: l.Addr().String()}, 0)
	assert.Assert(t, connector.IsErrNotSent(err))
}

// Covers a network device that drops the state of all idle connections. One request
// fails on such a connection; the next ones get new connections.
func TestBrokenIdleConnectionClosesTheOthers(t *testing.T) {
	var dropped atomic.Bool
	address, conns := newServer(t, func(http.ResponseWriter, *http.Request) {
		if dropped.Load() {
			panic(http.ErrAbortHandler)
		}
	})
	c := newCarrier(clocker.NewWall())
	one := Target{ID: "one", Address: address}
	var responses []*Response
	for i := range 3 {
		id := fmt.Sprint("open-", i)
		resp, err := c.Send(context.Background(), one, Request{ID: id, Method: "GET", URI: "/", Host: "h", Header: http.Header{"X-Id": {id}}, MaxIdleTime: clocker.Minute})
		assert.NilError(t, err)
		responses = append(responses, resp)
	}
	for _, resp := range responses {
		_, err := io.ReadAll(resp)
		assert.NilError(t, err)
		resp.Close()
	}
	assert.Equal(t, conns.Load(), int64(3))
	dropped.Store(true)
	_, err := send(t, c, one, clocker.Minute)
	assert.Assert(t, connector.IsErrAborted(err))
	dropped.Store(false)
	_, err = send(t, c, one, clocker.Minute)
	assert.NilError(t, err)
	assert.Equal(t, conns.Load(), int64(4))
}
