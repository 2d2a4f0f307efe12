package carrier

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/standin/responder"
	"cowsliphinge/tunneler"
)

// tunnelDialer connects through another host.
type tunnelDialer struct {
	host string
}

func (d tunnelDialer) Dial(ctx context.Context, address string, timeout clocker.Millis) (net.Conn, string, error) {
	c, err := tunneler.Dialer{RouterKey: "k", Dial: DialDirect}.DialServer(ctx, d.host, address, timeout)
	return c, "far", err
}

func (tunnelDialer) Usable(string) bool { return true }
func (tunnelDialer) Lost(string)        {}

// startEarlyServer starts a server that responds without a length before it has read the body of a request, and returns a
// Carrier for each way to it.
func startEarlyServer(t *testing.T, end func(*net.TCPConn)) (Target, map[string]*Carrier) {
	s, err := responder.Start(responder.Config{
		Respond: func(r *http.Request) string {
			return "HTTP/1.1 200 OK\r\nX-Id: " + r.Header.Get("X-Id") + "\r\n\r\nbody"
		},
		Early: true,
		End:   end,
	})
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	far := httptest.NewServer(tunneler.NewServer(tunneler.ServerConfig{
		Dial: DialDirect, IsServer: func(string) bool { return true }, Accepts: func() bool { return true },
	}))
	t.Cleanup(far.Close)
	cfg := Config{Clock: clocker.NewWall(), RequestIDHeader: "X-Id", DialTimeout: clocker.Second, IdleTimeout: 10 * clocker.Second}
	direct := New(cfg)
	cfg.Dialer = tunnelDialer{host: far.Listener.Addr().String()}
	return Target{ID: "s", Address: s.Address()}, map[string]*Carrier{"direct": direct, "through another host": New(cfg)}
}

// uploadTo sends a request with a body and reads its response.
func uploadTo(c *Carrier, target Target, id string, size int) (body string, complete bool) {
	resp, err := c.Send(context.Background(), target, Request{
		ID: id, Method: "POST", URI: "/", Host: "h", Header: http.Header{"X-Id": {id}}, Body: bytes.Repeat([]byte("b"), size), ResponseHeaderTimeout: 5 * clocker.Second,
	})
	if err != nil {
		return "", false
	}
	defer resp.Close()
	got, err := io.ReadAll(resp)
	return string(got), err == nil && resp.Complete()
}

// Guards against a part of a response that counts as complete: the connection is reset while the request is being written,
// or once all of it is in the buffers of this host.
func TestResponseThatIsResetDuringAnUploadIsNotComplete(t *testing.T) {
	const rounds = 20
	for _, size := range []int{1 << 10, 300 << 10, 5 << 20, 8 << 20} {
		for name, end := range map[string]func(*net.TCPConn){"at once": responder.Reset, "400 ms later": responder.ResetAfter(400 * clocker.Millis(1))} {
			target, carriers := startEarlyServer(t, end)
			for path, c := range carriers {
				t.Run(fmt.Sprintf("%s, %d bytes, %s", path, size, name), func(t *testing.T) {
					t.Parallel()
					falselyComplete := 0
					for i := range rounds {
						if _, complete := uploadTo(c, target, fmt.Sprint("r", i), size); complete {
							falselyComplete++
						}
					}
					assert.Equal(t, falselyComplete, 0, "of %d", rounds)
				})
			}
		}
	}
}

// A response is complete if its server ends its side of the connection and reads the rest of the request.
func TestResponseThatEndsDuringAnUploadIsComplete(t *testing.T) {
	for _, size := range []int{1 << 10, 300 << 10, 5 << 20, 8 << 20} {
		target, carriers := startEarlyServer(t, responder.CloseWrite)
		for path, c := range carriers {
			t.Run(fmt.Sprintf("%s, %d bytes", path, size), func(t *testing.T) {
				t.Parallel()
				for i := range 10 {
					body, complete := uploadTo(c, target, fmt.Sprint("r", i), size)
					assert.Assert(t, complete, "round %d", i)
					assert.Equal(t, body, "body")
				}
			})
		}
	}
}
