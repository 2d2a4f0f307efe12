package engine

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"strings"
)

// messageTokens is what a message costs besides its content.
const messageTokens = 4

// bytesPerToken of prompt content.
const bytesPerToken = 4

// Message is one message of a chat.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// Text returns the content: the string itself, or the raw JSON of parts.
func (m Message) Text() string {
	var text string
	if json.Unmarshal(m.Content, &text) == nil {
		return text
	}
	return string(m.Content)
}

// ChatRequest is the body of POST /v1/chat/completions.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int64     `json:"max_tokens"`
	Stream    bool      `json:"stream"`
	// Priority orders the queue; a lower number goes first.
	Priority int `json:"priority"`
}

// Usage counts the tokens of one answer.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// PromptTokens counts a prompt: never more than its bytes and 8 per message.
func PromptTokens(messages []Message) int64 {
	var n int64
	for _, m := range messages {
		n += messageTokens + (int64(len(m.Text()))+bytesPerToken-1)/bytesPerToken
	}
	return n
}

// OutputTokens is how long the answer to a request is: 1 to most tokens.
func OutputTokens(requestID string, most int64) int64 {
	if most <= 1 {
		return most
	}
	return 1 + int64(hash(requestID, "length")%uint64(most))
}

// Word is the token at index, counted from 0, of the answer to a request. The
// first one depends on the prompt, so that a caller can tell its own answer.
func Word(requestID, prompt string, index int64) string {
	if index == 0 {
		return PromptWord(prompt)
	}
	return fmt.Sprintf("%04x", hash(requestID, fmt.Sprint(index))&0xffff)
}

// PromptWord is the first token of the answer to a prompt, which is the text
// of the last message.
func PromptWord(prompt string) string {
	return fmt.Sprintf("%08x", hash(prompt, "prompt")&0xffffffff)
}

// Answer is the whole text of an answer of n tokens.
func Answer(requestID, prompt string, n int64) string {
	words := make([]string, 0, n)
	for i := range n {
		words = append(words, Word(requestID, prompt, i))
	}
	return strings.Join(words, " ")
}

// Prefixes are the hashes of the leading messages: the first, the first two,
// and so on. Each is FNV-1a of role, a zero byte, content and a zero byte of
// all messages up to there.
func Prefixes(messages []Message) []uint64 {
	h := fnv.New64a()
	prefixes := make([]uint64, 0, len(messages))
	for _, m := range messages {
		_, _ = h.Write([]byte(m.Role + "\x00" + m.Text() + "\x00"))
		prefixes = append(prefixes, h.Sum64())
	}
	return prefixes
}

func hash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, part := range parts {
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	sum := h.Sum64()
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	return sum ^ sum>>33
}
