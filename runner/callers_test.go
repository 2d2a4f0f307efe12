package runner

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// A request that was read just as its idle connection is closed is not passed on;
// one that was passed on keeps its connection.
func TestClosingMeetsARequest(t *testing.T) {
	c := newCallers()
	passed := 0
	handler := c.guard(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		passed++
		assert.Equal(t, c.closeIdle(false), 1)
	}))
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	request := httptest.NewRequest("POST", "/", nil).WithContext(c.attach(context.Background(), near))
	handler.ServeHTTP(httptest.NewRecorder(), request)
	assert.Equal(t, passed, 1)
	assert.Equal(t, c.closeIdle(false), 0)
	func() {
		defer func() { assert.Equal(t, recover(), http.ErrAbortHandler) }()
		handler.ServeHTTP(httptest.NewRecorder(), request)
	}()
	assert.Equal(t, passed, 1)
	late := httptest.NewRequest("POST", "/", nil).WithContext(c.attach(context.Background(), far))
	func() { // a connection that comes behind the last request
		defer func() { assert.Equal(t, recover(), http.ErrAbortHandler) }()
		handler.ServeHTTP(httptest.NewRecorder(), late)
	}()
	assert.Equal(t, passed, 1)
	c.follow(far, http.StateClosed)
	c.follow(near, http.StateClosed)
	assert.Equal(t, len(c.conns), 0)
}
