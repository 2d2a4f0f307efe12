package carrier

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/connector"
	"cowsliphinge/standin/responder"
	"cowsliphinge/verifier"
)

const usualResponse = "HTTP/1.1 200 OK\r\nX-Id: first\r\nContent-Length: 4\r\n\r\nbody"

// newShapeServer starts a server that responds with text, and with a usual response to requests with the ID "first".
func newShapeServer(t *testing.T, text string, end func(*net.TCPConn)) (*responder.Server, Target) {
	s, err := responder.Start(responder.Config{Respond: func(r *http.Request) string {
		if r.Header.Get("X-Id") == "first" {
			return usualResponse
		}
		return text
	}, End: end})
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	return s, Target{ID: "one", Address: s.Address()}
}

// exchange sends a request and returns the body of its response.
func exchange(c *Carrier, target Target, id string) (string, error) {
	resp, err := c.Send(context.Background(), target, Request{
		ID: id, Method: "POST", URI: "/", Host: "h", Header: http.Header{"X-Id": {id}}, Body: []byte("b"), MaxIdleTime: clocker.Minute, ResponseHeaderTimeout: 5 * clocker.Second,
	})
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	if err == nil && !resp.Complete() {
		err = errors.New("the response is not complete")
	}
	return string(body), err
}

// closeConn ends a connection by a FIN.
func closeConn(c *net.TCPConn) {
	_ = c.Close()
}

// checkBroken sends requests on new connections, which the server keeps open or closes, and on one that was used before.
// The response to each has to fail without a statement about whether the request ran, and to end its connection.
func checkBroken(t *testing.T, shapes []responder.Shape) {
	for _, shape := range shapes {
		t.Run(shape.Name, func(t *testing.T) {
			for name, end := range map[string]func(*net.TCPConn){"closed": closeConn, "kept open": nil} {
				_, target := newShapeServer(t, shape.Text, end)
				checkFails(t, newCarrier(clocker.NewWall()), target, name)
			}
			s, target := newShapeServer(t, shape.Text, nil)
			c := newCarrier(clocker.NewWall())
			for n := range int64(2) {
				body, err := exchange(c, target, "first")
				assert.NilError(t, err)
				assert.Equal(t, body, responder.Body)
				assert.Equal(t, s.Conns(), n+1, "the connection of the broken response was used again")
				if n == 0 {
					checkFails(t, c, target, "used before")
				}
			}
		})
	}
}

func checkFails(t *testing.T, c *Carrier, target Target, conn string) {
	t.Helper()
	body, err := exchange(c, target, "1")
	assert.Assert(t, err != nil, "body %q on a connection %s", body, conn)
	assert.Assert(t, verifier.IsErrBrokenResponse(err), "%v on a connection %s", err, conn)
	assert.Assert(t, !connector.IsErrNotSent(err), "%v", err)
	assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "the server was silent on a connection %s", conn)
}

// Guards against broken responses that callers get: net/http takes statuses below 100 for interim responses and reads on.
func TestResponsesWithBrokenStatusFail(t *testing.T) {
	checkBroken(t, responder.BrokenStatuses("X-Id: 1\r\n"))
}

func TestUnusualResponsesPass(t *testing.T) {
	lineFeeds := responder.Shape{Name: "line ends without CR", Text: "HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 4\n\nbody"}
	for _, shape := range append(responder.Sound("X-Id: 1\r\n"), lineFeeds) {
		t.Run(shape.Name, func(t *testing.T) {
			_, target := newShapeServer(t, shape.Text, nil)
			c := newCarrier(clocker.NewWall())
			for _, id := range []string{"1", "first"} {
				body, err := exchange(c, target, id)
				assert.NilError(t, err)
				assert.Equal(t, body, responder.Body)
			}
		})
	}
}
