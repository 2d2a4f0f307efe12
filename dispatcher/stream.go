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

// Stream is the streamed answer of a model engine. Either Copy or Collect must be
// called, exactly once.
type Stream struct {
	*activeRequest
	answer      *connector.Answer
	reader      *streamer.Reader
	requestBody []byte

	// pendingEvent is the event that was read but not yet delivered.
	pendingEvent    streamer.Event
	hasPendingEvent bool
	// lastEventID is the number of the last event read.
	lastEventID int64
	// notResumable is true if the event numbers do not identify the events.
	notResumable bool
	// deliveredEvents is the number of events written to the caller, deliveredBytes
	// the size of their data.
	deliveredEvents int64
	deliveredBytes  int64
	// collectedText and finishReason are what Collect has read of the current run.
	collectedText strings.Builder
	finishReason  string
	// collectedCharge is what the text is charged.
	collectedCharge int64
	usage           Usage
	hasUsage        bool
	resumeCount     int
}

// StartCompletion sends a chat completion to a model engine and returns when its
// first event was read, so that a refusal can still be reported by the HTTP status.
func (d *Dispatcher) StartCompletion(ctx context.Context, call Call) (*Stream, *Refusal) {
	d.cfg.Retrier.CountFirstAttempt()
	requestBody, err := call.Completion.engineBody()
	if err != nil {
		return nil, NewRefusal(CodeBadRequest, call.RequestID, !call.NeedsClaim(), err.Error())
	}
	r, existing, refusal := d.admit(ctx, call, call.Completion.TokenBound())
	if existing != nil {
		return nil, NewRefusal(CodeOutcomeUnknown, call.RequestID, false, "the request with this key ran; streams are not kept")
	}
	if refusal != nil {
		return nil, refusal
	}
	s := &Stream{activeRequest: r, requestBody: requestBody, lastEventID: call.LastEventID}
	if !s.resumeTracked() {
		if refusal := s.startRun(ctx); refusal != nil {
			return nil, s.abortBeforeDelivery(ctx, refusal)
		}
	}
	event, refusal := s.readEvent(ctx)
	if refusal != nil {
		return nil, s.abortBeforeDelivery(ctx, refusal)
	}
	s.choice.FirstByteAt = s.d.cfg.Clock.Now()
	s.pendingEvent = event
	s.hasPendingEvent = true
	s.track()
	return s, nil
}

// resumeTracked resumes a stream that another host, which has probably failed, opened
// for the same request. It
// reports whether there is one and it was resumed.
func (s *Stream) resumeTracked() bool {
	if s.call.IdempotencyKey == "" {
		return false
	}
	tracked := s.d.cfg.Tracker.Locate(s.call.RequestID)
	if tracked == nil {
		return false
	}
	server := s.d.cfg.Index().BackendServer(tracked.BackendServer)
	if server == nil {
		return false
	}
	// The engine already runs the stream, so no slot is taken.
	s.choice = picker.Choice{Server: server}
	s.withoutSlot = true
	s.progress = Dispatched
	if s.resume() {
		return true
	}
	s.releaseSlot(picker.Abandoned)
	s.progress = NotDispatched
	return false
}

// track reports the open stream to the Tracker, which copies it to a second host.
func (s *Stream) track() {
	s.tracked = true
	s.d.cfg.Tracker.ReportOpened(&messenger.OpenStream{
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

// startRun opens the stream of a new run. It refuses a call with a LastEventID,
// because the caller has a part of another run.
func (s *Stream) startRun(ctx context.Context) *Refusal {
	if s.call.LastEventID > 0 {
		return NewRefusal(CodeAnswerBroken, s.call.RequestID, false, "the run of which the caller has a part is not found; repeat without Last-Event-ID for another run")
	}
	return s.open(ctx)
}

// open sends the request to model engines until one answers with a stream or no
// further attempt is allowed.
func (s *Stream) open(ctx context.Context) *Refusal {
	for {
		if refusal := s.acquireSlot(ctx, s.call.Completion.PrefixHash()); refusal != nil {
			return refusal
		}
		previousProgress := s.progress
		if refusal := s.markDispatched(); refusal != nil {
			return refusal
		}
		request := s.backendRequest(http.MethodPost, "/v1/chat/completions", "application/json", s.requestBody)
		answer, err := s.d.cfg.Connector.Stream(s.choice.Server.Address, request)
		reason, refusal := s.classifyStream(answer, err, previousProgress)
		if reason == "" && refusal == nil {
			return nil
		}
		if refusal != nil || !s.allowRetry(ctx, reason) {
			return s.finalRefusal(refusal)
		}
	}
}

// classifyStream takes over the stream of an attempt, or returns a retry reason or a
// refusal as classifyAttempt does.
func (s *Stream) classifyStream(answer *connector.Answer, err error, previousProgress Progress) (string, *Refusal) {
	if connector.IsErrAborted(err) && s.resume() {
		return "", nil
	}
	if err != nil || answer.Refused() {
		if answer != nil {
			answer.Close()
		}
		return s.classifyAttempt(answer, err, previousProgress)
	}
	switch {
	case answer.Status == http.StatusOK:
		s.setAnswer(answer)
		return "", nil
	case answer.Status == http.StatusConflict:
		answer.Close()
		if s.resume() {
			return "", nil
		}
	case answer.Status >= 400 && answer.Status < 500:
		return "", s.engineRefusal(answer, previousProgress)
	default:
		answer.Close()
	}
	s.releaseSlot(picker.Failed)
	if !s.call.Service.Idempotent {
		return "", NewRefusal(CodeOutcomeUnknown, s.call.RequestID, false, "the model engine failed")
	}
	return "server_error", nil
}

// engineRefusal returns the refusal for an engine's answer with a status from 400 to
// 499. The progress is restored only if the engine reports that it did not run.
func (s *Stream) engineRefusal(answer *connector.Answer, previousProgress Progress) *Refusal {
	text, _ := io.ReadAll(io.LimitReader(answer, 1024))
	answer.Close()
	if answer.NotRun {
		s.progress = previousProgress
	}
	s.releaseSlot(picker.Abandoned)
	return NewRefusal(CodeBadRequest, s.call.RequestID, s.progress == NotDispatched, "the model engine refused the request: "+string(text))
}

func (s *Stream) setAnswer(answer *connector.Answer) {
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

// resume requests the events after lastEventID on a new connection. It reports
// whether the stream was resumed.
func (s *Stream) resume() bool {
	if s.notResumable || s.resumeCount >= maxAttempts || s.choice.Server == nil {
		return false
	}
	s.resumeCount++
	request := s.backendRequest(http.MethodGet, fmt.Sprintf("/v1/streams/%s?after=%d", s.call.RequestID, s.lastEventID), "", nil)
	request.OwnConnection = true
	answer, err := s.d.cfg.Connector.Stream(s.choice.Server.Address, request)
	if err != nil {
		return false
	}
	if answer.Status != http.StatusOK {
		answer.Close()
		return false
	}
	resumedStreams.Inc()
	s.setAnswer(answer)
	return true
}

// readEvent reads the next event. Events are returned in order and without
// duplicates; a broken connection is recovered if possible.
func (s *Stream) readEvent(ctx context.Context) (streamer.Event, *Refusal) {
	for {
		event, err := s.reader.Next()
		if err == nil && s.resumeCount > 0 && s.alreadyRead(event) {
			continue
		}
		if err == nil {
			err = s.checkEvent(event)
		}
		if err == nil {
			return s.accept(event)
		}
		s.closeAnswer()
		if refusal := s.recoverStream(ctx, err); refusal != nil {
			return streamer.Event{}, refusal
		}
	}
}

// alreadyRead reports whether an event with this number was read before. Only a
// resumed stream may repeat events.
func (s *Stream) alreadyRead(event streamer.Event) bool {
	return event.Number != 0 && event.Number <= s.lastEventID && !event.Done()
}

// checkEvent returns an error if an event does not continue the answer.
func (s *Stream) checkEvent(event streamer.Event) error {
	switch {
	case event.Number > s.lastEventID+1:
		return errEventMissing
	case s.alreadyRead(event):
		s.notResumable = true
		return errEventRepeated
	case lacksNumber(event) && s.resumeCount > 0 && s.lastEventID > 0:
		return errEventUnnumbered
	}
	return engineFailure(event)
}

// accept records the number and the usage of an event. Until the usage is reported, it
// refuses a stream whose event numbers exceed max_tokens + 2: an event holds at least
// one token, except for a few such as the one with the finish reason.
func (s *Stream) accept(event streamer.Event) (streamer.Event, *Refusal) {
	if event.Number != 0 {
		s.lastEventID = event.Number
	}
	if lacksNumber(event) {
		s.notResumable = true
	}
	if bytes.Contains(event.Data, []byte(`"usage"`)) {
		s.readUsage(event.Data)
	}
	if !s.hasUsage && s.lastEventID > s.call.Completion.MaxTokens+2 {
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

// recoverStream resumes the stream after a broken connection or an invalid event. If
// that fails, it starts another run, provided that the service is idempotent and the
// caller has received no event.
func (s *Stream) recoverStream(ctx context.Context, cause error) *Refusal {
	if s.d.cfg.Clock.Now() >= s.call.Deadline {
		return NewRefusal(CodeDeadlineExceeded, s.call.RequestID, false, "deadline passed before the answer was whole")
	}
	if !errors.Is(cause, errRunFailed) && s.resume() {
		return nil
	}
	if s.lastEventID == 0 {
		s.reportCrash(cause)
	}
	if s.deliveredEvents > 0 || s.call.LastEventID > 0 || !s.call.Service.Idempotent {
		s.releaseSlot(picker.Failed)
		return NewRefusal(CodeAnswerBroken, s.call.RequestID, false, fmt.Sprintf("the answer broke off: %v", cause))
	}
	s.releaseSlot(picker.Failed)
	if !s.allowRetry(ctx, "broken_stream") {
		return NewRefusal(CodeOutcomeUnknown, s.call.RequestID, false, fmt.Sprintf("the answer broke off: %v", cause))
	}
	s.resetRun()
	return s.open(ctx)
}

// resetRun discards what was read of a run, before another run of the request.
func (s *Stream) resetRun() {
	s.lastEventID = 0
	s.notResumable = false
	s.resumeCount = 0
	s.collectedText.Reset()
	s.finishReason = ""
	s.usage = Usage{}
	s.hasUsage = false
}

// abortBeforeDelivery ends a stream of which this host delivered nothing, and cancels
// the run at the engine. With a claim, the whole reservation is charged if the call may
// have run, as for any refused call. Without one, nothing is charged.
func (s *Stream) abortBeforeDelivery(ctx context.Context, refusal *Refusal) *Refusal {
	s.closeAnswer()
	if s.choice.Server != nil {
		s.cancelAtEngine()
		s.releaseSlot(picker.Abandoned)
	}
	if s.claim != nil {
		s.settleRefused(ctx, refusal)
		return refusal
	}
	s.settle(0)
	return refusal
}

// cancelAtEngine cancels the run at the engine and returns its usage so far, or false
// if the engine does not report it.
func (s *Stream) cancelAtEngine() (Usage, bool) {
	timeout := clocker.Millis(s.call.Service.ProgressTimeoutMs)
	prompt, output, ok := s.d.canceller.cancel(s.choice.Server.Address, s.call.RequestID, timeout)
	return Usage{PromptTokens: prompt, CompletionTokens: output}, ok
}
