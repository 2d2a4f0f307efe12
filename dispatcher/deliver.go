package dispatcher

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/gravitational/trace"

	"cowsliphinge/messenger"
	"cowsliphinge/picker"
	"cowsliphinge/streamer"
)

// Copy delivers the stream as server-sent events. It returns nil only once the
// whole answer is written. An answer that breaks off ends with an event of type
// error that holds the Refusal, which is returned too; another error tells that
// the caller left.
func (s *Stream) Copy(ctx context.Context, w *bufio.Writer) error {
	for {
		event, refusal := s.following(ctx)
		if refusal != nil {
			s.breakOff(ctx)
			writeError(w, refusal)
			if err := w.Flush(); err != nil {
				return trace.Wrap(err)
			}
			return refusal
		}
		if event.Done() {
			s.complete(ctx)
			writeEvent(w, streamer.Event{Data: []byte(streamer.DoneData)})
			err := w.Flush()
			s.end(s.usage.Total())
			return trace.Wrap(err)
		}
		writeEvent(w, event)
		s.delivered++
		s.contentBytes += int64(len(event.Data))
		if s.reader.Buffered() > 0 {
			continue
		}
		if err := w.Flush(); err != nil {
			s.breakOff(ctx)
			return trace.Wrap(err)
		}
	}
}

// Collect returns the stream as one whole answer.
func (s *Stream) Collect(ctx context.Context) (*Answer, *Refusal) {
	for {
		event, refusal := s.following(ctx)
		if refusal != nil {
			return nil, s.abort(ctx, refusal)
		}
		if event.Done() {
			break
		}
		if err := s.collect(event.Data); err != nil {
			refusal := NewRefusal(CodeAnswerBroken, s.call.RequestID, false, fmt.Sprintf("an event of the model engine cannot be read: %v", err))
			return nil, s.abort(ctx, refusal)
		}
	}
	s.complete(ctx)
	defer s.end(s.usage.Total())
	body, err := json.Marshal(s.completion())
	if err != nil {
		return nil, NewRefusal(CodeAnswerBroken, s.call.RequestID, false, err.Error())
	}
	return &Answer{Status: 200, ContentType: "application/json", Body: body}, nil
}

func (s *Stream) following(ctx context.Context) (streamer.Event, *Refusal) {
	if s.hasPending {
		s.hasPending = false
		return s.pending, nil
	}
	return s.next(ctx)
}

// complete gives the slot of a whole answer back and bills it before its last
// byte leaves.
func (s *Stream) complete(ctx context.Context) {
	s.state = Answered
	_, _ = s.reader.Next() // the end of the stream, so that its connection can be used again
	s.closeAnswer()
	s.release(picker.Succeeded)
	partial := !s.hasUsage
	if partial {
		s.usage = s.upperBound()
	}
	if s.usage.Total() > s.reservation.Tokens {
		engineOverruns.Inc()
	}
	s.bill(ctx, s.usage, partial)
	if s.claim != nil {
		s.d.cfg.Claimer.Finish(ctx, s.claim, &messenger.StoredAnswer{Truncated: true})
	}
}

// breakOff ends a stream of which the caller got a part: the engine's work is
// cancelled and what it generated is billed, rounded up if it does not say.
func (s *Stream) breakOff(ctx context.Context) {
	s.closeAnswer()
	usage, known := Usage{}, false
	if s.choice.Server != nil {
		usage, known = s.cancel()
		s.release(picker.CallerLeft)
	}
	if !known {
		usage = s.upperBound()
	}
	s.bill(ctx, usage, !known)
	if s.claim != nil {
		s.d.cfg.Claimer.Finish(ctx, s.claim, nil)
	}
	s.end(usage.Total())
}

// upperBound is the most that the delivered part can have cost: no token is
// shorter than a byte.
func (s *Stream) upperBound() Usage {
	return Usage{
		PromptTokens:     s.call.Completion.PromptBound(),
		CompletionTokens: min(s.contentBytes, s.call.Completion.MaxTokens),
	}
}

func writeEvent(w *bufio.Writer, event streamer.Event) {
	if event.ID != 0 {
		_, _ = w.WriteString("id: ")
		_, _ = w.Write(strconv.AppendInt(w.AvailableBuffer(), event.ID, 10))
		_ = w.WriteByte('\n')
	}
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(event.Data)
	_, _ = w.WriteString("\n\n")
}

func writeError(w *bufio.Writer, refusal *Refusal) {
	body, err := json.Marshal(refusal)
	if err != nil {
		return
	}
	_, _ = w.WriteString("event: error\ndata: ")
	_, _ = w.Write(body)
	_, _ = w.WriteString("\n\n")
}

type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

func (s *Stream) collect(data []byte) error {
	if len(data) == 0 {
		return nil // a keep-alive event
	}
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return trace.Wrap(err)
	}
	for _, choice := range c.Choices {
		s.text.WriteString(choice.Delta.Content)
		if choice.FinishReason != "" {
			s.finishReason = choice.FinishReason
		}
	}
	return nil
}

type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   Usage              `json:"usage"`
}

type completionChoice struct {
	Index        int     `json:"index"`
	Message      Message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

func (s *Stream) completion() completion {
	reason := s.finishReason
	if reason == "" {
		reason = "stop" // the engine named none
	}
	usage := s.usage
	usage.TotalTokens = usage.Total()
	return completion{
		ID:     s.call.RequestID,
		Object: "chat.completion",
		Model:  s.call.Completion.Model,
		Usage:  usage,
		Choices: []completionChoice{{
			Message:      Message{Role: "assistant", Content: s.text.String()},
			FinishReason: reason,
		}},
	}
}
