package exchanger_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/exchanger"
	"cowsliphinge/messenger"
	"cowsliphinge/standin/responder"
)

// message is a message of the length of responder.Body with an unknown field.
const message = "\xa0\x06\x81\x01"

// sendBeat sends a heartbeat to a router that responds with text, with a message in place of the body.
func sendBeat(t *testing.T, text string) error {
	text = strings.ReplaceAll(text, responder.Body, message)
	s, err := responder.Start(responder.Config{Respond: func(*http.Request) string { return text }})
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
