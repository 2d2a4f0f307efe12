package runner

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// A request read while its idle connection is being closed is aborted; a connection with
// a request in progress stays open.
func TestRequestOnClosingConnectionIsAborted(t *testing.T) {
	c := newConnTracker()
	served := 0
	handler := c.wrap(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		served++
		assert.Equal(t, c.closeIdle(false), 1)
	}))
	server, client := net.Pipe()
	defer func() { _ = client.Close() }()
	request := httptest.NewRequest("POST", "/", nil).WithContext(c.connContext(context.Background(), server))
	handler.ServeHTTP(httptest.NewRecorder(), request)
	assert.Equal(t, served, 1)
	assert.Equal(t, c.closeIdle(false), 1, "the server has not sent the answer yet")
	c.connState(server, http.StateIdle)
	assert.Equal(t, c.closeIdle(false), 0)
	func() {
		defer func() { assert.Equal(t, recover(), http.ErrAbortHandler) }()
		handler.ServeHTTP(httptest.NewRecorder(), request)
	}()
	assert.Equal(t, served, 1)
	late := httptest.NewRequest("POST", "/", nil).WithContext(c.connContext(context.Background(), client))
	func() { // a connection opened after the last request
		defer func() { assert.Equal(t, recover(), http.ErrAbortHandler) }()
		handler.ServeHTTP(httptest.NewRecorder(), late)
	}()
	assert.Equal(t, served, 1)
	c.connState(client, http.StateClosed)
	c.connState(server, http.StateClosed)
	assert.Equal(t, len(c.conns), 0)
}

// heldListener accepts connections whose writes wait for release.
type heldListener struct {
	net.Listener
	writing, release chan struct{}
}

type heldConn struct {
	net.Conn
	listener *heldListener
}

func (l *heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &heldConn{Conn: c, listener: l}, err
}

func (c *heldConn) Write(b []byte) (int, error) {
	close(c.listener.writing)
	<-c.listener.release
	return c.Conn.Write(b)
}

// Guards against a planned stop that cuts an answer: the handler has returned, and the server has not sent what it
// wrote.
func TestConnectionIsBusyUntilItsAnswerIsSent(t *testing.T) {
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	l := &heldListener{Listener: inner, writing: make(chan struct{}), release: make(chan struct{})}
	c := newConnTracker()
	server := &http.Server{
		Handler:     c.wrap(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("answer")) })),
		ConnContext: c.connContext,
		ConnState:   c.connState,
	}
	go func() { _ = server.Serve(l) }() // ends by Close
	defer func() { _ = server.Close() }()
	body := make(chan string, 1)
	go func() {
		defer close(body)
		resp, err := http.Get("http://" + inner.Addr().String())
		if err != nil {
			return
		}
		defer func() { _ = resp.Body.Close() }()
		b, err := io.ReadAll(resp.Body)
		if err == nil {
			body <- string(b)
		}
	}()
	<-l.writing
	busy := c.closeIdle(false)
	close(l.release)
	assert.Equal(t, <-body, "answer")
	assert.Equal(t, busy, 1)
}
