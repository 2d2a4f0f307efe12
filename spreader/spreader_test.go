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

// mesh carries pulls between the spreaders of one test.
type mesh map[string]*spreader.Spreader

func (m mesh) PullConfiguration(ctx context.Context, address string, req *messenger.PullRequest) (*messenger.PullReply, error) {
	return m[address].PullConfiguration(ctx, req)
}

// settle is the real time for goroutines to work before the clock moves on.
const settle = 3 * time.Millisecond

// pump advances the clock until done returns true, at most limit.
func pump(t *testing.T, clock *clocker.Clock, limit clocker.Millis, done func() bool) {
	t.Helper()
	end := clock.Now() + limit
	for clock.Now() < end {
		for range 2000 {
			if done() {
				return
			}
			runtime.Gosched()
		}
		// On a busy machine the goroutines at work need real time too, or the
		// project's clock runs ahead of them.
		time.Sleep(settle)
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

func TestApplyRepeatAndConflict(t *testing.T) {
	ctx := context.Background()
	clock := clocker.NewManual(1000)
	s := spreader.New(ctx, spreader.Config{Host: "a", AvailabilityZone: "akl-a", Clock: clock, Store: platform.New(clock), Exchange: mesh{}})
	defer func() { assert.NilError(t, s.Close(ctx)) }()

	first := &messenger.ApplyRequest{OperationId: "op-1", Declarations: account("mason"), By: "ann"}
	reply, err := s.Apply(ctx, first)
	assert.NilError(t, err)
	assert.Equal(t, reply.Version, int64(1))
	assert.Assert(t, s.Index().ClientAccount("mason") != nil)
	pump(t, clock, clocker.Second, s.Ready)

	reply, err = s.Apply(ctx, first)
	assert.NilError(t, err)
	assert.Equal(t, reply.Version, int64(1))

	_, err = s.Apply(ctx, &messenger.ApplyRequest{OperationId: "op-2", Declarations: account("other"), By: "bob"})
	assert.Equal(t, err, spreader.ErrConflict{Expected: 0, Actual: 1, AppliedBy: "ann", AppliedAt: 1000})
}
