package runner

import (
	"context"
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
