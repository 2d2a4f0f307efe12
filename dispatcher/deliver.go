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
		event, refusal := s.nextEvent(ctx)
		if refusal != nil {
			s.abortDelivered(ctx)
			writeError(w, refusal)
			if err := w.Flush(); err != nil {
				return trace.Wrap(err)
			}
			return refusal
		}
		if event.Done() {
			s.finish(ctx)
			writeEvent(w, streamer.Event{Data: []byte(streamer.DoneData)})
			err := w.Flush()
			s.settle(s.usage.Total())
			return trace.Wrap(err)
		}
		writeEvent(w, event)
		s.deliveredEvents++
		s.deliveredBytes += int64(len(event.Data))
		if s.reader.Buffered() > 0 {
			continue
		}
		if err := w.Flush(); err != nil {
			s.abortDelivered(ctx)
			return trace.Wrap(err)
		}
	}
}

// Collect returns the stream as one whole answer.
func (s *Stream) Collect(ctx context.Context) (*Answer, *Refusal) {
	for {
		event, refusal := s.nextEvent(ctx)
		if refusal != nil {
			return nil, s.abortUndelivered(ctx, refusal)
		}
		if event.Done() {
			break
		}
		if err := s.appendChunk(event.Data); err != nil {
			refusal := NewRefusal(CodeAnswerBroken, s.call.RequestID, false, fmt.Sprintf("an event of the model engine cannot be read: %v", err))
			return nil, s.abortUndelivered(ctx, refusal)
		}
	}
	s.finish(ctx)
	defer s.settle(s.usage.Total())
	body, err := json.Marshal(s.completionResponse())
	if err != nil {
		return nil, NewRefusal(CodeAnswerBroken, s.call.RequestID, false, err.Error())
	}
	return &Answer{Status: 200, ContentType: "application/json", Body: body}, nil
}

func (s *Stream) nextEvent(ctx context.Context) (streamer.Event, *Refusal) {
	if s.hasPendingEvent {
		s.hasPendingEvent = false
		return s.pendingEvent, nil
	}
	return s.readEvent(ctx)
}

// complete gives the slot of a whole answer back and bills it before its last
// byte leaves.
func (s *Stream) finish(ctx context.Context) {
	s.state = Answered
	_, _ = s.reader.Next() // the end of the stream, so that its connection can be used again
	s.closeAnswer()
	s.releaseServer(picker.Succeeded)
	partial := !s.hasUsage
	if partial {
		s.usage = s.usageBound()
	}
	if s.usage.Total() > s.reservation.Tokens {
		engineOverruns.Inc()
	}
	s.recordBill(ctx, s.usage, partial)
	if s.claim != nil {
		s.d.cfg.Claimer.Finish(ctx, s.claim, &messenger.StoredAnswer{Truncated: true})
	}
}

// breakOff ends a stream of which the caller got a part: the engine's work is
// cancelled and what it generated is billed, rounded up if it does not say.
func (s *Stream) abortDelivered(ctx context.Context) {
	s.closeAnswer()
	usage, known := Usage{}, false
	if s.choice.Server != nil {
		usage, known = s.cancelAtEngine()
		s.releaseServer(picker.Left)
	}
	if !known {
		usage = s.usageBound()
	}
	s.recordBill(ctx, usage, !known)
	if s.claim != nil {
		s.d.cfg.Claimer.Finish(ctx, s.claim, nil)
	}
	s.settle(usage.Total())
}

// upperBound is the most that the delivered part can have cost: no token is
// shorter than a byte.
func (s *Stream) usageBound() Usage {
	return Usage{
		PromptTokens:     s.call.Completion.PromptTokenBound(),
		CompletionTokens: min(s.deliveredBytes, s.call.Completion.MaxTokens),
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

type chatCompletionChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

func (s *Stream) appendChunk(data []byte) error {
	if len(data) == 0 {
		return nil // a keep-alive event
	}
	var c chatCompletionChunk
	if err := json.Unmarshal(data, &c); err != nil {
		return trace.Wrap(err)
	}
	for _, choice := range c.Choices {
		s.collectedText.WriteString(choice.Delta.Content)
		if choice.FinishReason != "" {
			s.finishReason = choice.FinishReason
		}
	}
	return nil
}

type chatCompletion struct {
	ID      string                 `json:"id"`
	Object  string                 `json:"object"`
	Model   string                 `json:"model"`
	Choices []chatCompletionChoice `json:"choices"`
	Usage   Usage                  `json:"usage"`
}

type chatCompletionChoice struct {
	Index        int     `json:"index"`
	Message      Message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

func (s *Stream) completionResponse() chatCompletion {
	reason := s.finishReason
	if reason == "" {
		reason = "stop" // the engine named none
	}
	usage := s.usage
	usage.TotalTokens = usage.Total()
	return chatCompletion{
		ID:     s.call.RequestID,
		Object: "chat.completion",
		Model:  s.call.Completion.Model,
		Usage:  usage,
		Choices: []chatCompletionChoice{{
			Message:      Message{Role: "assistant", Content: s.collectedText.String()},
			FinishReason: reason,
		}},
	}
}
