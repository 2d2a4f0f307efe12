package dispatcher

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/clocker"
	"cowsliphinge/connector"
	"cowsliphinge/messenger"
	"cowsliphinge/picker"
	"cowsliphinge/streamer"
)

var (
	resumedStreams = metrics.NewCounter("cowsliphinge_streams_resumed_total")
	engineOverruns = metrics.NewCounter("cowsliphinge_engine_overruns_total")
)

// Stream is the answer of a model engine on its way to the caller. Exactly one
// of Copy and Collect is called, once.
type Stream struct {
	*run
	answer *connector.Answer
	reader *streamer.Reader
	body   []byte

	// pending is an event that was read but not yet delivered.
	pending    streamer.Event
	hasPending bool
	// last is the number of the last event that was read.
	last int64
	// unnumbered is true if the events cannot be told apart by their numbers.
	unnumbered bool
	// delivered counts events, and contentBytes their size, that went to the caller.
	delivered    int64
	contentBytes int64
	// text and finishReason are what Collect has of the present run.
	text         strings.Builder
	finishReason string
	usage        Usage
	hasUsage     bool
	resumes      int
}

// StartCompletion hands a chat completion to a model engine and returns once
// its first event is there, so that a refusal can still be told as a status.
func (d *Dispatcher) StartCompletion(ctx context.Context, call Call) (*Stream, *Refusal) {
	d.cfg.Retrier.Attempted()
	body, err := call.Completion.engineBody()
	if err != nil {
		return nil, NewRefusal(CodeBadRequest, call.RequestID, !call.NeedsClaim(), err.Error())
	}
	r, stored, refusal := d.admit(ctx, call, call.Completion.Bound())
	if stored != nil {
		return nil, NewRefusal(CodeOutcomeUnknown, call.RequestID, false, "the request with this key ran; streams are not kept")
	}
	if refusal != nil {
		return nil, refusal
	}
	s := &Stream{run: r, body: body, last: call.After}
	if !s.adopt() {
		if refusal := s.begin(ctx); refusal != nil {
			return nil, s.abort(ctx, refusal)
		}
	}
	event, refusal := s.next(ctx)
	if refusal != nil {
		return nil, s.abort(ctx, refusal)
	}
	s.choice.FirstByteAt = s.d.cfg.Clock.Now()
	s.pending = event
	s.hasPending = true
	s.track()
	return s, nil
}

// adopt goes on with the stream of an earlier attempt whose host is gone.
func (s *Stream) adopt() bool {
	if s.call.IdempotencyKey == "" {
		return false
	}
	earlier := s.d.cfg.Tracker.Locate(s.call.RequestID)
	if earlier == nil {
		return false
	}
	server := s.d.cfg.Index().BackendServer(earlier.BackendServer)
	if server == nil {
		return false
	}
	// The engine runs the stream already: it takes no slot.
	s.choice = picker.Choice{Server: server}
	s.borrowed = true
	s.state = Dispatched
	if s.resume() {
		return true
	}
	s.release(picker.CallerLeft)
	s.state = NotDispatched
	return false
}

// track tells a second host that the stream is open.
func (s *Stream) track() {
	s.tracked = true
	s.d.cfg.Tracker.Opened(&messenger.OpenStream{
		ClientAccount: s.call.Account.Name,
		RequestId:     s.call.RequestID,
		Budget:        s.call.Account.Budget,
		Service:       s.call.Service.Name,
		BackendServer: s.choice.Server.Name,
		Address:       s.choice.Server.Address,
		Bound:         s.reservation.Tokens,
		DeadlineMs:    int64(s.call.Deadline),
	})
}

// begin opens the stream of a new run, of which the caller can have no part.
func (s *Stream) begin(ctx context.Context) *Refusal {
	if s.call.After > 0 {
		return NewRefusal(CodeAnswerBroken, s.call.RequestID, false, "the run of which the caller has a part is not found; repeat without Last-Event-ID for another run")
	}
	return s.open(ctx)
}

// open hands the request to a model engine until one answers with a stream.
func (s *Stream) open(ctx context.Context) *Refusal {
	for {
		if refusal := s.acquire(ctx, s.call.Completion.PrefixHash()); refusal != nil {
			return refusal
		}
		before := s.state
		if refusal := s.dispatch(); refusal != nil {
			return refusal
		}
		request := s.request(http.MethodPost, "/v1/chat/completions", "application/json", s.body)
		answer, err := s.d.cfg.Connector.Stream(s.choice.Server.Address, request)
		reason, refusal := s.judgeStream(answer, err, before)
		if reason == "" && refusal == nil {
			return nil
		}
		if refusal != nil || !s.again(ctx, reason) {
			return s.failed(refusal)
		}
	}
}

// judgeStream takes the stream over, or tells as judge does why not.
func (s *Stream) judgeStream(answer *connector.Answer, err error, before State) (string, *Refusal) {
	if connector.IsErrBroken(err) && s.resume() {
		return "", nil
	}
	if err != nil || answer.Refused() {
		if answer != nil {
			answer.Close()
		}
		return s.judge(answer, err, before)
	}
	switch {
	case answer.Status == http.StatusOK:
		s.take(answer)
		return "", nil
	case answer.Status == http.StatusConflict:
		answer.Close()
		if s.resume() {
			return "", nil
		}
	case answer.Status >= 400 && answer.Status < 500:
		return "", s.badRequest(answer, before)
	default:
		answer.Close()
	}
	s.release(picker.Failed)
	if !s.call.Service.Idempotent {
		return "", NewRefusal(CodeOutcomeUnknown, s.call.RequestID, false, "the model engine failed")
	}
	return "server_error", nil
}

func (s *Stream) badRequest(answer *connector.Answer, before State) *Refusal {
	text, _ := io.ReadAll(io.LimitReader(answer, 1024))
	answer.Close()
	if answer.NotRun {
		s.state = before
	}
	s.release(picker.CallerLeft)
	return NewRefusal(CodeBadRequest, s.call.RequestID, s.state == NotDispatched, "the model engine refused the request: "+string(text))
}

func (s *Stream) take(answer *connector.Answer) {
	s.answer = answer
	s.reader = streamer.NewReader(answer)
}

func (s *Stream) closeAnswer() {
	if s.answer == nil {
		return
	}
	s.answer.Close()
	s.reader.Close()
	s.answer = nil
}

// resume goes on with the stream on a new connection behind the last event.
func (s *Stream) resume() bool {
	if s.unnumbered || s.resumes >= maxAttempts || s.choice.Server == nil {
		return false
	}
	s.resumes++
	request := s.request(http.MethodGet, fmt.Sprintf("/v1/streams/%s?after=%d", s.call.RequestID, s.last), "", nil)
	request.Fresh = true
	answer, err := s.d.cfg.Connector.Stream(s.choice.Server.Address, request)
	if err != nil {
		return false
	}
	if answer.Status != http.StatusOK {
		answer.Close()
		return false
	}
	resumedStreams.Inc()
	s.take(answer)
	return true
}

// next returns the next event in order, each once.
func (s *Stream) next(ctx context.Context) (streamer.Event, *Refusal) {
	for {
		event, err := s.reader.Next()
		if err == nil && s.resumes > 0 && s.came(event) {
			continue
		}
		if err == nil {
			err = s.check(event)
		}
		if err == nil {
			return s.accept(event)
		}
		s.closeAnswer()
		if refusal := s.recover(ctx, err); refusal != nil {
			return streamer.Event{}, refusal
		}
	}
}

// came reports whether an event with this number was read before. Only a
// resumed stream may repeat some.
func (s *Stream) came(event streamer.Event) bool {
	return event.ID != 0 && event.ID <= s.last && !event.Done()
}

// check tells why an event does not go on with the answer.
func (s *Stream) check(event streamer.Event) error {
	switch {
	case event.ID > s.last+1:
		return errEventMissing
	case s.came(event):
		s.unnumbered = true
		return errEventRepeated
	case unnumbered(event) && s.resumes > 0 && s.last > 0:
		return errEventUnnumbered
	}
	return failureIn(event)
}

func (s *Stream) accept(event streamer.Event) (streamer.Event, *Refusal) {
	if event.ID != 0 {
		s.last = event.ID
	}
	if unnumbered(event) {
		s.unnumbered = true
	}
	if bytes.Contains(event.Data, []byte(`"usage"`)) {
		s.readUsage(event.Data)
	}
	if !s.hasUsage && s.last > s.call.Completion.MaxTokens+2 {
		engineOverruns.Inc()
		return event, NewRefusal(CodeAnswerBroken, s.call.RequestID, false, "the model engine went on past max_tokens")
	}
	return event, nil
}

func (s *Stream) readUsage(data []byte) {
	var chunk struct {
		Usage *Usage `json:"usage"`
	}
	if err := json.Unmarshal(data, &chunk); err == nil && chunk.Usage != nil {
		s.usage = *chunk.Usage
		s.hasUsage = true
	}
}

// recover finds the stream again after its connection broke or skipped events.
func (s *Stream) recover(ctx context.Context, cause error) *Refusal {
	if s.d.cfg.Clock.Now() >= s.call.Deadline {
		return NewRefusal(CodeDeadlineExceeded, s.call.RequestID, false, "deadline passed before the answer was whole")
	}
	if !errors.Is(cause, errRunFailed) && s.resume() {
		return nil
	}
	if s.delivered > 0 || s.call.After > 0 || !s.call.Service.Idempotent {
		s.release(picker.Failed)
		return NewRefusal(CodeAnswerBroken, s.call.RequestID, false, fmt.Sprintf("the answer broke off: %v", cause))
	}
	s.release(picker.Failed)
	if !s.again(ctx, "broken_stream") {
		return NewRefusal(CodeOutcomeUnknown, s.call.RequestID, false, fmt.Sprintf("the answer broke off: %v", cause))
	}
	s.forget()
	return s.open(ctx)
}

// forget drops what came of a run, before another run of the same request.
func (s *Stream) forget() {
	s.last = 0
	s.unnumbered = false
	s.resumes = 0
	s.text.Reset()
	s.finishReason = ""
	s.usage = Usage{}
	s.hasUsage = false
}

// abort ends a stream of which the caller got nothing.
func (s *Stream) abort(ctx context.Context, refusal *Refusal) *Refusal {
	s.closeAnswer()
	if s.choice.Server != nil {
		s.cancel()
		s.release(picker.CallerLeft)
	}
	if s.claim != nil {
		s.giveUp(ctx, refusal)
		return refusal
	}
	s.end(0)
	return refusal
}

// cancel stops the engine's work and returns what it had generated.
func (s *Stream) cancel() (Usage, bool) {
	timeout := clocker.Millis(s.call.Service.ProgressTimeoutMs)
	prompt, output, ok := s.d.canceller.cancel(s.choice.Server.Address, s.call.RequestID, timeout)
	return Usage{PromptTokens: prompt, CompletionTokens: output}, ok
}
