package dispatcher

import (
	"bytes"
	"encoding/json"
	"errors"
	"slices"

	"cowsliphinge/streamer"
)

var (
	errEventMissing    = errors.New("the model engine left out an event")
	errEventRepeated   = errors.New("the model engine gave two events the same number")
	errEventUnnumbered = errors.New("the model engine resumed the stream without event numbers")
	errRunFailed       = errors.New("the model engine says that its run failed or was cancelled")
)

// unnumbered reports whether an event is a part of the answer without a number,
// so that it cannot be told from one that came before.
func lacksNumber(event streamer.Event) bool {
	return event.ID == 0 && !event.Done() && len(event.Name) == 0 && len(event.Data) > 0
}

// cancelReasons are the finish reasons of a run that was cancelled, as the
// stream protocol and vLLM name them.
var cancelFinishReasons = []string{"cancelled", "abort"}

// failureIn returns errRunFailed if an event says that the run failed or was
// cancelled. What follows it, [DONE] included, does not make the answer whole.
func engineFailure(event streamer.Event) error {
	if string(event.Name) == "error" {
		return errRunFailed
	}
	if !mayReportFailure(event.Data) {
		return nil
	}
	var reported struct {
		Error   json.RawMessage `json:"error"`
		Choices []struct {
			FinishReason string `json:"finish_reason"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(event.Data, &reported); err != nil {
		return nil // text for the caller to read, in a form that is not known here
	}
	if len(reported.Error) > 0 && string(reported.Error) != "null" {
		return errRunFailed
	}
	for _, c := range reported.Choices {
		if slices.Contains(cancelFinishReasons, c.FinishReason) {
			return errRunFailed
		}
	}
	return nil
}

// mayTellFailure spares most events from being decoded.
func mayReportFailure(data []byte) bool {
	if bytes.Contains(data, []byte(`"error"`)) {
		return true
	}
	return slices.ContainsFunc(cancelFinishReasons, func(reason string) bool {
		return bytes.Contains(data, []byte(`"`+reason+`"`))
	})
}
