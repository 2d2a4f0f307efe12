package relayer

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/matcher"
)

// A late copy of the answer to the identity call promises nothing about an unsafe request that runs.
func TestExtraIdentityAnswerIsNoPromise(t *testing.T) {
	identified, ran := false, false
	b := newBackend(t, func(w io.Writer, req *http.Request) {
		if req.URL.Path == identityPath {
			identified = true
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1")
			return
		}
		ran = true
		_, _ = io.WriteString(w, "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n") // without an ID: an extra answer
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sign: s\r\nContent-Length: 2\r\n\r\nok", req.Header.Get("X-Id"))
	})
	f, _ := newEngineFixture(t, matcher.Route{Kind: matcher.Unsafe}, []string{"v1"}, b)
	got := f.call(t, "POST", "/r/x", "b")
	assert.Assert(t, identified && ran)
	assert.Assert(t, got.status != http.StatusServiceUnavailable, "the request ran and the caller got %d", got.status)
}
