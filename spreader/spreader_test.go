package spreader_test

import (
	"context"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/indexer"
	"cowsliphinge/messenger"
	"cowsliphinge/spreader"
	"cowsliphinge/standin/platform"
)

// peerNetwork forwards pulls between the spreaders of one test.
type peerNetwork map[string]*spreader.Spreader

func (m peerNetwork) PullConfiguration(ctx context.Context, address string, req *messenger.PullRequest) (*messenger.PullReply, error) {
	return m[address].PullConfiguration(ctx, req)
}

// settleTime is the real time that goroutines get before each advance of the clock.
const settleTime = 3 * time.Millisecond

// advanceUntil advances the clock until done returns true, by at most limit.
func advanceUntil(t *testing.T, clock *clocker.Clock, limit clocker.Millis, done func() bool) {
	t.Helper()
	end := clock.Now() + limit
	for clock.Now() < end {
		for range 2000 {
			if done() {
				return
			}
			runtime.Gosched()
		}
		// On a busy machine running goroutines need real time, or the simulated
		// clock advances before they finish.
		time.Sleep(settleTime)
		clock.Advance(50)
	}
	t.Fatalf("not done after %d ms", limit)
}

func account(name string) *messenger.Declarations {
	return &messenger.Declarations{
		Deployment:     "test",
		ClientAccounts: []*messenger.ClientAccount{{Name: name, Budget: name, KeySha256: indexer.HashKey(name)}},
	}
}

func TestApplyIsIdempotentAndDetectsConflicts(t *testing.T) {
	ctx := context.Background()
	clock := clocker.NewManual(1000)
	s := spreader.New(ctx, spreader.Config{Host: "a", AvailabilityZone: "akl-a", Clock: clock, Store: platform.New(clock), Exchange: peerNetwork{}})
	defer func() { assert.NilError(t, s.Close(ctx)) }()

	first := &messenger.ApplyRequest{OperationId: "op-1", Declarations: account("mason"), By: "ann"}
	reply, err := s.Apply(ctx, first)
	assert.NilError(t, err)
	assert.Equal(t, reply.Version, int64(1))
	assert.Assert(t, s.Index().ClientAccount("mason") != nil)
	advanceUntil(t, clock, clocker.Second, s.Ready)

	reply, err = s.Apply(ctx, first)
	assert.NilError(t, err)
	assert.Equal(t, reply.Version, int64(1))

	_, err = s.Apply(ctx, &messenger.ApplyRequest{OperationId: "op-2", Declarations: account("other"), By: "bob"})
	assert.Equal(t, err, spreader.ErrVersionConflict{Expected: 0, Actual: 1, AppliedBy: "ann", AppliedAt: 1000})
}
