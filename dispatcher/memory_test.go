package dispatcher

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/admitter"
	"cowsliphinge/messenger"
)

type noEvictor struct{}

func (noEvictor) Evict() {}

// Guards against stored answers that are held without a charge, and against a refusal of one that promises that the
// request did not run.
func TestReplayedAnswerIsCharged(t *testing.T) {
	stored := &messenger.StoredAnswer{Status: 200, Body: make([]byte, 1000)}
	for room, fits := range map[int64]bool{1000: true, 999: false} {
		budget := admitter.New(admitter.Config{Bytes: room, SmallBytes: room})
		r := &activeRequest{call: Call{Service: &messenger.Service{}, Memory: budget.Open(noEvictor{})}}
		answer, refusal := r.replayedAnswer(stored)
		if fits {
			assert.Assert(t, refusal == nil && answer.Replayed)
			assert.Equal(t, budget.Held(), int64(1000))
			continue
		}
		assert.Assert(t, answer == nil && !refusal.NotRun)
		assert.Equal(t, refusal.Code, CodeOutcomeUnknown)
	}
}
