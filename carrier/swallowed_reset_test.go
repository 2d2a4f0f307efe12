package carrier

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/standin/responder"
)

// Guards against a part of a response that counts as complete: the look whether bytes have arrived gets the error of a
// reset from the kernel, and the read behind it ends like that of a whole response.
func TestResetThatIsSeenInASilenceIsNoEnd(t *testing.T) {
	silent, reset := make(chan struct{}), make(chan struct{})
	s, err := responder.Start(responder.Config{
		Respond: func(*http.Request) string { return "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart" },
		End: func(c *net.TCPConn) {
			<-silent
			responder.Reset(c)
			close(reset)
		},
	})
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	clock := clocker.NewWall()
	resp, err := newCarrier(clock).Send(context.Background(), Target{ID: "s", Address: s.Address()}, Request{
		ID: "1", Method: "POST", URI: "/", Host: "h", Header: http.Header{"X-Id": {"1"}}, ResponseHeaderTimeout: 5 * clocker.Second,
		OnSilence: func(hasBytes func() bool) clocker.Millis {
			close(silent)
			<-reset
			assert.Check(t, !hasBytes())
			return clocker.Second
		},
	})
	assert.NilError(t, err)
	defer resp.Close()
	resp.SetReadTimeout(100)
	_, err = io.ReadAll(resp)
	assert.Assert(t, err != nil && !resp.Complete(), "%v", err)
}
