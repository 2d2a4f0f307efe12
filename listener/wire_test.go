package listener_test

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
)

// eventsReply is a streamed answer with the given events and proper framing.
func eventsReply(events string) reply {
	return reply{head: eventsHead, body: chunk(events) + lastChunk}
}

// collected returns the text and finish reason of a collected completion.
func collected(t *testing.T, s seen) (string, string) {
	t.Helper()
	var body struct {
		Choices []struct {
			Message      struct{ Content string }
			FinishReason string `json:"finish_reason"`
		}
	}
	assert.NilError(t, json.Unmarshal([]byte(s.body), &body), s.body)
	return body.Choices[0].Message.Content, body.Choices[0].FinishReason
}

// Guards against pieces of two runs in one collected completion: the text of a
// run that broke off stood before the text of the run that followed it.
func TestCollectedCompletionIsOfOneRun(t *testing.T) {
	first := &backend{name: "e1", call: reply{head: eventsHead, body: chunk(words("e1", 1, 2))}}
	second := &backend{name: "e2", call: eventsReply(words("e2", 1, 3) + ending(4, "stop") + doneEvent)}
	w := newWorld(t, true, first, second)
	s := w.call(t, closing("/v1/chat/completions", "", collectedDraft))
	assert.Equal(t, s.status, 200, s.body)
	got, _ := collected(t, s)
	assert.Equal(t, got, text("e2"))
}
