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

// lacksNumber reports whether an event belongs to the answer but has no number, so
// that it cannot be distinguished from an earlier event.
func lacksNumber(event streamer.Event) bool {
	return event.Number == 0 && !event.Done() && len(event.Name) == 0 && len(event.Data) > 0
}

// cancelFinishReasons are the finish reasons of cancelled runs in the stream
// protocol and in vLLM.
var cancelFinishReasons = []string{"cancelled", "abort"}

// engineFailure returns errRunFailed if an event reports that the run failed or was
// cancelled. The answer is then incomplete, even if [DONE] follows.
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
		return nil // data in an unknown format, passed on to the caller
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

// mayReportFailure reports whether data could contain a failure. It is a cheap check
// that saves decoding most events.
func mayReportFailure(data []byte) bool {
	if bytes.Contains(data, []byte(`"error"`)) {
		return true
	}
	return slices.ContainsFunc(cancelFinishReasons, func(reason string) bool {
		return bytes.Contains(data, []byte(`"`+reason+`"`))
	})
}
