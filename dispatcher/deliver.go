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

// Copy writes the stream to the caller as server-sent events. It returns nil only
// after the complete answer is written. A truncated answer ends with an event of
// type error that contains the Refusal, and Copy returns that Refusal. Any other
// error means that the caller disconnected.
func (s *Stream) Copy(ctx context.Context, w *bufio.Writer) error {
	for {
		event, refusal := s.nextEvent(ctx)
		if refusal != nil {
			s.abortAfterDelivery(ctx)
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
			s.abortAfterDelivery(ctx)
			return trace.Wrap(err)
		}
	}
}

// collectedCopies is the charge for a byte of text that Collect gathers: it is held in a buffer that grows, and
// copied while the answer is encoded.
const collectedCopies = 4

// Collect reads the whole stream and returns it as one answer, which is charged to the memory of the call.
func (s *Stream) Collect(ctx context.Context) (*Answer, *Refusal) {
	for {
		event, refusal := s.nextEvent(ctx)
		if refusal != nil {
			return nil, s.abortBeforeDelivery(ctx, refusal)
		}
		if event.Done() {
			break
		}
		if err := s.appendChunk(event.Data); err != nil {
			refusal := NewRefusal(CodeAnswerBroken, s.call.RequestID, false, fmt.Sprintf("an event of the model engine cannot be read: %v", err))
			return nil, s.abortBeforeDelivery(ctx, refusal)
		}
		if s.chargeCollected() != nil {
			return nil, s.abortBeforeDelivery(ctx, s.refuseAnswer())
		}
	}
	s.finish(ctx)
	defer s.settle(s.usage.Total())
	body, err := json.Marshal(s.completionResponse())
	if err != nil {
		return nil, NewRefusal(CodeAnswerBroken, s.call.RequestID, false, err.Error())
	}
	if s.call.Memory.Charge(int64(len(body))) != nil {
		return nil, s.refuseAnswer()
	}
	s.call.Memory.Release(s.collectedCharge) // the text is not used any more
	return &Answer{Status: 200, ContentType: "application/json", Body: body}, nil
}

// chargeCollected charges what was gathered since the last charge.
func (s *Stream) chargeCollected() error {
	charge := collectedCopies*int64(s.collectedText.Len()) - s.collectedCharge
	if err := s.call.Memory.Charge(charge); err != nil {
		return err
	}
	s.collectedCharge = max(s.collectedCharge, s.collectedCharge+charge)
	return nil
}

// nextEvent returns the event that StartCompletion read ahead, then reads on.
func (s *Stream) nextEvent(ctx context.Context) (streamer.Event, *Refusal) {
	if s.hasPendingEvent {
		s.hasPendingEvent = false
		return s.pendingEvent, nil
	}
	return s.readEvent(ctx)
}

// finish releases the slot of a complete answer and records its bill before the
// last byte is sent.
func (s *Stream) finish(ctx context.Context) {
	s.progress = Answered
	_, _ = s.reader.Next() // reads the end of the stream, so that the connection can be reused
	s.closeAnswer()
	s.reportAnswer()
	s.releaseSlot(picker.Succeeded)
	partial := !s.hasUsage
	if partial {
		s.usage = s.usageBound()
	}
	if s.usage.Total() > s.reservation.Tokens {
		engineOverruns.Inc()
	}
	s.recordBill(ctx, s.usage, partial)
	if s.claim != nil {
		// Truncated marks that the request ran but that its answer is not stored.
		s.d.cfg.Claimer.Finish(ctx, s.claim, &messenger.StoredAnswer{Truncated: true})
	}
}

// abortAfterDelivery ends a stream that Copy has begun to write to the caller. It cancels the
// run at the engine and bills what was generated, or the upper bound if the engine
// does not report it.
func (s *Stream) abortAfterDelivery(ctx context.Context) {
	s.closeAnswer()
	usage, known := Usage{}, false
	if s.choice.Server != nil {
		usage, known = s.cancelAtEngine()
		s.releaseSlot(picker.Abandoned)
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

// usageBound returns the usage that is billed if the engine did not report it: a bound
// of the prompt tokens, and one completion token per byte of event data that Copy has
// delivered, since a token is at least one byte long. Collect delivers no events, so its
// answers count 0 completion tokens; events that another host delivered before
// LastEventID are not counted either.
func (s *Stream) usageBound() Usage {
	return Usage{
		PromptTokens:     s.call.Completion.PromptTokenBound(),
		CompletionTokens: min(s.deliveredBytes, s.call.Completion.MaxTokens),
	}
}

func writeEvent(w *bufio.Writer, event streamer.Event) {
	if event.Number != 0 {
		_, _ = w.WriteString("id: ")
		_, _ = w.Write(strconv.AppendInt(w.AvailableBuffer(), event.Number, 10))
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
