package exchanger_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/exchanger"
	"cowsliphinge/messenger"
	"cowsliphinge/standin/responder"
)

// message is a message of the length of responder.Body with an unknown field.
const message = "\xa0\x06\x81\x01"

// sendBeat sends a heartbeat to a router that responds with text, with a message in place of the body.
func sendBeat(t *testing.T, text string) error {
	text = strings.ReplaceAll(text, responder.Body, message)
	return sendBeatTo(t, responder.Config{Respond: func(*http.Request) string { return text }})
}

// sendBeatTo sends a heartbeat to a router.
func sendBeatTo(t *testing.T, cfg responder.Config) error {
	s, err := responder.Start(cfg)
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	client := exchanger.NewClient(exchanger.ClientConfig{RouterKey: routerKey})
	_, err = client.SendBeat(context.Background(), s.Address(), &messenger.Beat{})
	return err
}

const fields = "Content-Type: application/protobuf\r\n"

// Guards against a broken reply of another router that is taken for a reply.
func TestBrokenRepliesFail(t *testing.T) {
	for _, shape := range append(responder.BrokenStatuses(fields), responder.BrokenFields(fields)...) {
		assert.Assert(t, sendBeat(t, shape.Text) != nil, shape.Name)
	}
}

func TestUnusualRepliesPass(t *testing.T) {
	for _, shape := range responder.Sound(fields) {
		if shape.Name == "status 299" || shape.Name == "chunks" { // not a status of a reply; chunks within the message
			continue
		}
		assert.NilError(t, sendBeat(t, shape.Text), shape.Name)
	}
}

// Guards against a part of a reply that is taken for the whole: without a length or chunks the reply ends like a connection
// whose router has died, and the beginning of a message is a message.
func TestReplyWithoutALengthFails(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){
		"closed": func(c *net.TCPConn) { _ = c.Close() }, "reset": responder.ResetAfter(50 * clocker.Millis(1)), "half closed": responder.CloseWrite,
	} {
		for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
			text := version + " 200 OK\r\n" + fields + "\r\n" + message
			err := sendBeatTo(t, responder.Config{Respond: func(*http.Request) string { return text }, End: end})
			assert.Assert(t, err != nil, "%s, %s", name, version)
		}
	}
}
