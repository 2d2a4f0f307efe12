package tunneler

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/standin/responder"
)

// openThrough opens a tunnel through a host that responds with text.
func openThrough(t *testing.T, text string) error {
	s, err := responder.Start(responder.Config{Respond: func(*http.Request) string { return text }})
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	c, err := Dialer{RouterKey: "k", Dial: dialTCP}.DialServer(context.Background(), s.Address(), "127.0.0.1:1", testTimeout)
	if err == nil {
		_ = c.Close()
	}
	return err
}

// tunnelReplies returns the shapes without the body behind a final status 200: the reply of a host that has opened a
// tunnel has none.
func tunnelReplies(shapes []responder.Shape) map[string]string {
	replies := map[string]string{}
	for _, shape := range shapes {
		text := strings.TrimSuffix(shape.Text, responder.Body)
		if i := strings.Index(text, "HTTP/1.1 200 OK\r\n"); i >= 0 {
			end := strings.Index(text[i:], "\r\n\r\n")
			text = text[:i+end+len("\r\n\r\n")]
		}
		replies[shape.Name] = text
	}
	return replies
}

// Guards against a tunnel through a host whose reply is broken. Nothing was sent to the server then.
func TestTunnelIsNotOpenAfterABrokenReply(t *testing.T) {
	shapes := append(responder.BrokenStatuses(""), responder.BrokenFields("")...)
	for name, text := range tunnelReplies(shapes) {
		if strings.Contains(name, "trailer") { // such a reply has none
			continue
		}
		err := openThrough(t, text)
		assert.Assert(t, IsErrHostUnavailable(err), "%s: %v", name, err)
	}
}

func TestTunnelIsOpenAfterUnusualReplies(t *testing.T) {
	for name, text := range tunnelReplies(responder.Sound("")) {
		if name == "status 299" || strings.HasPrefix(name, "interim") { // hosts open a tunnel with status 200 alone
			continue
		}
		assert.NilError(t, openThrough(t, text), name)
	}
}
