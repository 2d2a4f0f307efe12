package loader

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"strings"

	"cowsliphinge/checker"
	"cowsliphinge/standin/application"
	"cowsliphinge/standin/engine"
)

// Refusal is the body of a refusal, and of an error event in a stream.
type Refusal struct {
	Code         string
	Message      string
	RequestID    string `json:"RequestId"`
	NotRun       bool
	RetryAfterMs int64
}

// codeInProgress is the code of a repeat whose first attempt still runs.
const codeInProgress = "InProgress"

func (r Refusal) outcome() checker.Outcome {
	switch {
	case r.Code == codeInProgress:
		return checker.InProgress
	case r.NotRun:
		return checker.RefusedNotRun
	default:
		return checker.OutcomeUnknown
	}
}

// chat is an answer, or one event of its stream.
type chat struct {
	ID      string `json:"id"`
	Choices []struct {
		Delta        struct{ Content string }
		Message      struct{ Content string }
		FinishReason string `json:"finish_reason"`
	}
	Usage *engine.Usage
}

// received is a language answer as far as it came.
type received struct {
	id     string
	text   strings.Builder
	words  int64
	reason string
	usage  *engine.Usage
	done   bool
	// refusal is set if the stream ended with an error event.
	refusal *Refusal
}

var errEventTooLong = errors.New("an event is too long")

// maxEventBytes bounds one line of a stream.
const maxEventBytes = 1 << 20

// readStream reads events until the end mark, an error event or a break, and
// calls onWord for each event with text.
func (a *received) readStream(r io.Reader, onWord func()) error {
	lines := bufio.NewReaderSize(r, 4096)
	event := ""
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			return err
		}
		if len(line) > maxEventBytes {
			return errEventTooLong
		}
		line = strings.TrimRight(line, "\r\n")
		if name, ok := strings.CutPrefix(line, "event: "); ok {
			event = name
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if ended, err := a.take(event, data, onWord); ended || err != nil {
			return err
		}
		event = ""
	}
}

func (a *received) take(event, data string, onWord func()) (bool, error) {
	if event == "error" {
		a.refusal = &Refusal{}
		return true, json.Unmarshal([]byte(data), a.refusal)
	}
	if data == "[DONE]" {
		a.done = true
		return true, nil
	}
	var c chat
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return false, err
	}
	a.addChat(c)
	if len(c.Choices) > 0 && c.Choices[0].Delta.Content != "" {
		onWord()
	}
	return false, nil
}

func (a *received) readWhole(body []byte) error {
	var c chat
	if err := json.Unmarshal(body, &c); err != nil {
		return err
	}
	a.addChat(c)
	a.done = true
	return nil
}

func (a *received) addChat(c chat) {
	if a.id == "" {
		a.id = c.ID
	}
	if c.Usage != nil {
		a.usage = c.Usage
	}
	for _, choice := range c.Choices {
		text := choice.Delta.Content + choice.Message.Content
		a.text.WriteString(text)
		a.words += int64(len(strings.Fields(text)))
		if choice.FinishReason != "" {
			a.reason = choice.FinishReason
		}
	}
}

// fill notes in an attempt what came.
func (a *received) fill(r *checker.Request, arrival Arrival) {
	r.OutputTokens = a.words
	if a.words > 0 {
		r.PromptTokens = arrival.PromptTokens
	}
	r.Own = strings.HasPrefix(a.text.String(), engine.PromptWord(arrival.Prompt))
	r.AnswerID = a.id
	if !a.done || a.usage == nil {
		return
	}
	r.PromptTokens = a.usage.PromptTokens
	r.OutputTokens = a.usage.CompletionTokens
	r.Whole = a.reason != "" && a.words == a.usage.CompletionTokens &&
		a.text.String() == engine.Answer(a.id, arrival.Prompt, a.words)
}

// fillCall notes the answer to an application call in an attempt.
func fillCall(r *checker.Request, arrival Arrival, body []byte) {
	var answer application.Answer
	r.Whole = json.Unmarshal(body, &answer) == nil
	sum := sha256.Sum256(arrival.Body)
	r.Own = answer.BodySha256 == hex.EncodeToString(sum[:]) && answer.IdempotencyKey == arrival.Key
	whole := sha256.Sum256(body)
	r.AnswerID = hex.EncodeToString(whole[:8])
	r.CallTokens = arrival.Kind.CallTokens
}
