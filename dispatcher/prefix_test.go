package dispatcher_test

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/dispatcher"
	"cowsliphinge/standin/engine"
)

// TestPrefixHashMatchesCacheEvents compares the hash of a prompt with the name
// that an engine's cache events use for its first message.
func TestPrefixHashMatchesCacheEvents(t *testing.T) {
	q := &dispatcher.CompletionRequest{Messages: []dispatcher.Message{
		{Role: "system", Content: "be brief"}, {Role: "user", Content: "hello"},
	}}
	cached := engine.Prefixes([]engine.Message{{Role: "system", Content: json.RawMessage(`"be brief"`)}})
	assert.Equal(t, q.PrefixHash(), cached[0])
	q.Messages[1].Content = "another question"
	assert.Equal(t, q.PrefixHash(), cached[0])
	q.Messages[0].Content = "be verbose"
	assert.Assert(t, q.PrefixHash() != cached[0])
}
