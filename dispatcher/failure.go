package dispatcher

import (
	"bytes"
	"encoding/json"
	"errors"

	"cowsliphinge/streamer"
)

var (
	errEventMissing = errors.New("the model engine left out an event")
	errRunFailed    = errors.New("the model engine says that its run failed")
)

// failureIn returns errRunFailed if an event says that the run failed: an event
// of type error, or an object with an error. What follows it, [DONE] included,
// does not make the answer whole.
func failureIn(event streamer.Event) error {
	if string(event.Name) == "error" {
		return errRunFailed
	}
	if !bytes.Contains(event.Data, []byte(`"error"`)) {
		return nil
	}
	var told struct {
		Error json.RawMessage `json:"error"`
	}
	if err := json.Unmarshal(event.Data, &told); err != nil {
		return nil // text for the caller to read, in a form that is not known here
	}
	if len(told.Error) == 0 || string(told.Error) == "null" {
		return nil
	}
	return errRunFailed
}
