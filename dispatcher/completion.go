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
	// maxTokensPerMessage bounds what a chat template adds to each message, in tokens.
	maxTokensPerMessage = 16
	// maxTemplateTokens bounds what a chat template adds once per prompt, in tokens.
	maxTemplateTokens = 64
	// maxPrefixBytes is the length of the part of a prompt that is hashed for prefix
	// affinity, in bytes.
	maxPrefixBytes = 512
)

// multiAnswerFields are the request fields that set the number of answers. The
// reservation covers only one answer.
var multiAnswerFields = []string{"n", "best_of"}

// Message is a chat message.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// CompletionRequest is a chat completion request with the fields that the router
// uses.
type CompletionRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int64     `json:"max_tokens"`
	Stream    bool      `json:"stream"`

	bodyBytes int
	// fields are all fields of the request.
	fields map[string]json.RawMessage
}

// Usage is the token usage that a model engine reports.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// Total returns the sum of prompt and completion tokens.
func (u Usage) Total() int64 {
	return u.PromptTokens + u.CompletionTokens
}

// ParseCompletion parses a chat completion request. The error names the invalid
// field.
func ParseCompletion(body []byte) (*CompletionRequest, error) {
	// A JSON decoder replaces each invalid byte by three bytes, which the bound on
	// the prompt tokens would not cover.
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

// LimitMaxTokens sets MaxTokens to limit, in tokens, if it is unset or higher.
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

// PromptTokenBound returns an upper bound of the prompt tokens. A byte-level
// tokenizer produces at most one token per byte, and the body contains everything
// that goes into the prompt, including tools.
func (q *CompletionRequest) PromptTokenBound() int64 {
	return int64(q.bodyBytes) + maxTemplateTokens + maxTokensPerMessage*int64(len(q.Messages))
}

// TokenBound returns an upper bound of the tokens that the request can cost.
func (q *CompletionRequest) TokenBound() int64 {
	return q.PromptTokenBound() + q.MaxTokens
}

// PrefixHash returns the hash of the leading part of the prompt. If there are
// several messages, it is the hash that cache events use for the first one;
// otherwise it covers the first maxPrefixBytes of the content.
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

// engineBody returns the request body for the model engine: always streamed, with
// usage, and with max_tokens set to the limit that the reservation covers.
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
