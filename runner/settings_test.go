package runner

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against bounds below zero, which would refuse all callers, and against optional settings that existing
// files would have to name.
func TestBoundsOfCallersAreOptionalAndNotNegative(t *testing.T) {
	s := Settings{
		Host: "h", AvailabilityZone: "a", CallerAddress: "127.0.0.1:1", ReadyAddress: "127.0.0.1:2", ExchangeAddress: "127.0.0.1:3", StoreAddress: "127.0.0.1:4",
		RouterKey: "k", MemoryMb: 144, LinkMbps: 10, StopBoundMs: 1, ConfigurationMs: 1, LeaveMs: 1, SteadyMs: 1, RetryWindowMs: 1,
	}
	assert.DeepEqual(t, s.validate(), []string(nil))
	assert.Equal(t, callerStall(s), defaultCallerStall)
	s.MemoryMb, s.MaxDescriptors, s.CallerStallMs = -1, -1, -1
	assert.DeepEqual(t, s.validate(), []string{"CallerStallMs is -1, less than 0", "MaxDescriptors is -1, less than 0", "MemoryMb is -1, less than 0"})
}
