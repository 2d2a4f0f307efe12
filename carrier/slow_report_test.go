package carrier

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

// Guards against a whole answer without a length that becomes a failure: its server, which goes on, takes longer than a
// dial to tell so.
func TestWholeAnswerOfAServerWithASlowReportIsWhole(t *testing.T) {
	const dialTimeout = clocker.Second
	for name, told := range map[string]string{"engine": "7", "plain service": ""} {
		address := rawServer(t, func(n int, c net.Conn, r *bufio.Reader) {
			for {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				if req.URL.Path == identityPath {
					if n > 1 {
						clocker.NewWall().SleepUncancellable(dialTimeout + dialTimeout/5)
					}
					tell(c, told, "")
					continue
				}
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n\r\nwhole", req.Header.Get("X-Id"))
				return
			}
		})
		c := newIdentityCarrier(nil)
		c.cfg.DialTimeout = dialTimeout
		body, err := send(t, c, Target{ID: "one", Address: address, StartedAt: 7, Identifies: told != ""}, clocker.Minute)
		assert.NilError(t, err, name)
		assert.Equal(t, body, "whole", name)
	}
}
