package listener_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/admitter"
)

// Guards against completions and streams of HTTP/1.0 callers that are gathered without a charge. Without room the
// caller learns that the request may have run; a short answer is delivered.
func TestGatheredAnswersAreCharged(t *testing.T) {
	old := strings.Replace(requestWithClose("/v1/chat/completions", "", streamingRequest), "HTTP/1.1", "HTTP/1.0", 1)
	for name, raw := range map[string]string{"collected": requestWithClose("/v1/chat/completions", "", nonStreamingRequest), "HTTP/1.0": old} {
		for textBytes, status := range map[int]int{1000: 200, 200_000: 502} {
			t.Run(fmt.Sprintf("%s, %d bytes", name, textBytes), func(t *testing.T) {
				var events strings.Builder
				text := strings.Repeat("t", textBytes)
				for n := 1; n <= 10; n++ {
					fmt.Fprintf(&events, "id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", n, text)
				}
				b := &backend{name: "e1", call: streamReply(events.String() + finalEvent(11, "stop") + doneEvent)}
				const memoryMb = 8 // a single request may hold a third of it
				resp := newHarnessWithMemory(t, true, admitter.New(admitter.ForMemory(memoryMb)), b).send(t, raw)
				assert.Equal(t, resp.status, status, "%.200s", resp.body)
				if status == 200 {
					assert.Equal(t, strings.Count(resp.body, text), 10)
					return
				}
				assert.Assert(t, strings.Contains(resp.body, `"Code":"AnswerBroken"`) && strings.Contains(resp.body, `"NotRun":false`), "%.200s", resp.body)
				assert.Equal(t, b.calls, 1, "it is not tried again")
			})
		}
	}
}
