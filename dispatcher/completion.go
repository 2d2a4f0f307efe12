package dispatcher

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
)

const (
	// tokensPerMessage bounds what a chat template adds to one message, in tokens.
	maxTokensPerMessage = 16
	// templateTokens bounds what a chat template adds to a whole prompt, in tokens.
	maxTemplateTokens = 64
	// prefixBytes is how much of a prompt steers prefix affinity, in bytes.
	maxPrefixBytes = 512
)

// multipliers are fields that ask for several answers to one prompt, which the
// reservation does not cover.
var multiAnswerFields = []string{"n", "best_of"}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// CompletionRequest is the part of a chat completion request that decisions need.
type CompletionRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int64     `json:"max_tokens"`
	Stream    bool      `json:"stream"`

	bodyBytes int
	fields    map[string]json.RawMessage
}

// Usage is what a model engine reports, in tokens.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// Total returns prompt and completion tokens together.
func (u Usage) Total() int64 {
	return u.PromptTokens + u.CompletionTokens
}

// ParseCompletion reads a chat completion request. The error names the field
// that is wrong.
func ParseCompletion(body []byte) (*CompletionRequest, error) {
	// A decoder makes three bytes of each invalid one, which the bound on the
	// prompt would not cover.
	if !utf8.Valid(body) {
		return nil, errors.New("body: must be UTF-8")
	}
	q := &CompletionRequest{bodyBytes: len(body)}
	if err := json.Unmarshal(body, q); err != nil {
		return nil, describeJSON(err)
	}
	if err := json.Unmarshal(body, &q.fields); err != nil {
		return nil, describeJSON(err)
	}
	switch {
	case q.Model == "":
		return nil, errors.New("model: must be set")
	case len(q.Messages) == 0:
		return nil, errors.New("messages: must hold at least one message")
	case q.MaxTokens < 0:
		return nil, errors.New("max_tokens: must not be negative")
	}
	for _, name := range multiAnswerFields {
		if value, ok := q.fields[name]; ok && string(value) != "1" {
			return nil, fmt.Errorf("%s: must be 1", name)
		}
	}
	return q, nil
}

// BoundOutput limits the output to what the service allows, in tokens.
func (q *CompletionRequest) LimitMaxTokens(limit int64) {
	if q.MaxTokens == 0 || q.MaxTokens > limit {
		q.MaxTokens = limit
	}
}

func describeJSON(err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return fmt.Errorf("%s: must not be a %s", typeErr.Field, typeErr.Value)
	}
	return fmt.Errorf("body: %w", err)
}

// PromptBound returns the most tokens that the prompt can have: no byte-level
// tokenizer makes more than one token of a byte, and the body holds all that
// goes into the prompt, tools included.
func (q *CompletionRequest) PromptTokenBound() int64 {
	return int64(q.bodyBytes) + maxTemplateTokens + maxTokensPerMessage*int64(len(q.Messages))
}

// Bound returns the most tokens that the request can cost.
func (q *CompletionRequest) TokenBound() int64 {
	return q.PromptTokenBound() + q.MaxTokens
}

// PrefixHash returns the hash of the leading part of the prompt: of the first of
// several messages as cache events name it, else of the first bytes.
func (q *CompletionRequest) PrefixHash() uint64 {
	if len(q.Messages) > 1 {
		first := q.Messages[0]
		digest := fnv.New64a()
		_, _ = digest.Write([]byte(first.Role + "\x00" + first.Content + "\x00"))
		return digest.Sum64()
	}
	digest := xxhash.New()
	remaining := maxPrefixBytes
	for _, m := range q.Messages {
		content := m.Content[:min(remaining, len(m.Content))]
		_, _ = digest.WriteString(content)
		remaining -= len(content)
		if remaining == 0 {
			break
		}
	}
	return digest.Sum64()
}

// engineBody is the request as it goes to a model engine: always streamed,
// with the output bound that was reserved.
func (q *CompletionRequest) engineBody() ([]byte, error) {
	fields := make(map[string]json.RawMessage, len(q.fields)+3)
	for name, value := range q.fields {
		fields[name] = value
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	fields["max_tokens"] = json.RawMessage(fmt.Sprint(q.MaxTokens))
	return json.Marshal(fields)
}
