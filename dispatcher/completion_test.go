package dispatcher_test

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/dispatcher"
	"cowsliphinge/standin/engine"
)

func TestParseCompletionRejectsInvalidFields(t *testing.T) {
	for _, body := range []string{
		`{"model":"m","messages":[{"role":"user","content":"x"}],"n":2}`,
		`{"model":"m","messages":[{"role":"user","content":"x"}],"best_of":3}`,
		`{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":-1}`,
	} {
		_, err := dispatcher.ParseCompletion([]byte(body))
		assert.Assert(t, err != nil, body)
	}
}

func TestMaxTokensAreLimitedByTheService(t *testing.T) {
	for _, c := range []struct{ requested, limit, want int64 }{{0, 100, 100}, {500, 100, 100}, {50, 100, 50}} {
		q := dispatcher.CompletionRequest{MaxTokens: c.requested}
		q.LimitMaxTokens(c.limit)
		assert.Equal(t, q.MaxTokens, c.want)
	}
}

// FuzzParseCompletion checks that no prompt has more tokens than PromptTokenBound:
// neither at one token per byte, the maximum of a byte-level tokenizer, nor as the
// stand-in engine counts it with its template.
func FuzzParseCompletion(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"\u00e6\n\ud83d\ude00"}]}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"tools":[{"name":"t"}]}`))
	f.Add([]byte(`{"model":"m","messages":[{}],"messages":[{"content":"later key wins"}]}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"` + strings.Repeat("\xff", 300) + `"}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		q, err := dispatcher.ParseCompletion(body)
		if err != nil {
			return
		}
		var maxTokens int64
		for _, m := range q.Messages {
			maxTokens += 8 + int64(len(m.Role)) + int64(len(m.Content))
		}
		assert.Assert(t, q.PromptTokenBound() >= maxTokens, "bound %d, tokens %d", q.PromptTokenBound(), maxTokens)
		var request engine.ChatRequest
		if json.Unmarshal(body, &request) == nil {
			assert.Assert(t, q.PromptTokenBound() >= engine.PromptTokens(request.Messages))
		}
	})
}
