package commander_test

import (
	"context"
	"errors"
	"log/slog"
	"testing"

	"github.com/twitchtv/twirp"
	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/commander"
	"cowsliphinge/examples"
	"cowsliphinge/indexer"
	"cowsliphinge/messenger"
	"cowsliphinge/spreader"
	"cowsliphinge/standin/platform"
	"cowsliphinge/storer"
)

// planner tells fixed findings.
type planner struct {
	findings []*messenger.Finding
}

func (p *planner) PlanMove(context.Context, *messenger.Declarations, *messenger.Move) (*messenger.MoveReport, error) {
	return &messenger.MoveReport{Findings: p.findings}, nil
}

type topUpper struct {
	err error
}

func (u topUpper) TopUp(context.Context, *messenger.TopUpRequest) (*messenger.TopUpReply, error) {
	return &messenger.TopUpReply{Granted: 5}, u.err
}

type bench struct {
	*commander.Commander
	spread  *spreader.Spreader
	planner *planner
}

func newBench(t *testing.T) *bench {
	ctx := context.Background()
	clock := clocker.NewWall()
	s := spreader.New(ctx, spreader.Config{
		Host: "h", Clock: clock, Store: platform.New(clock), Log: slog.New(slog.DiscardHandler),
	})
	t.Cleanup(func() { assert.NilError(t, s.Close(ctx)) })
	b := &bench{spread: s, planner: &planner{}}
	b.Commander = commander.New(commander.Config{Spreader: s, TopUpper: topUpper{}, Planner: b.planner})
	d, err := examples.Declarations("kauri-lane")
	assert.NilError(t, err)
	d.Moves = nil
	reply, err := b.Apply(ctx, &messenger.ApplyRequest{OperationId: "first", Declarations: d, By: "ann"})
	assert.NilError(t, err)
	assert.Equal(t, reply.Version, int64(1))
	return b
}

func TestPutCommands(t *testing.T) {
	ctx := context.Background()
	b := newBench(t)
	account := &messenger.ClientAccount{Name: "new", Budget: "new", KeySha256: indexer.HashKey("new")}
	reply, err := b.PutClientAccount(ctx, &messenger.PutClientAccountRequest{OperationId: "a", ExpectedVersion: 1, ClientAccount: account})
	assert.NilError(t, err)
	assert.Equal(t, reply.Version, int64(2))
	assert.Equal(t, b.spread.Index().Authenticate("new").GetName(), "new")

	service := &messenger.Service{Name: b.spread.Index().Configuration.Declarations.Services[0].Name, Kind: 99}
	service.Kind = messenger.ServiceKind_SERVICE_KIND_UNSPECIFIED
	reply, err = b.PutService(ctx, &messenger.PutServiceRequest{OperationId: "b", ExpectedVersion: 2, Service: service})
	assert.NilError(t, err)
	assert.Assert(t, len(reply.Findings) > 0)
	assert.Equal(t, reply.Version, int64(2), "a change with findings made a version")

	_, err = b.PutService(ctx, &messenger.PutServiceRequest{OperationId: "c", ExpectedVersion: 1, Service: service})
	var conflict twirp.Error
	assert.Assert(t, errors.As(err, &conflict))
	assert.Equal(t, conflict.Code(), twirp.Aborted)
	assert.Equal(t, conflict.Meta(commander.MetaExpected), "1")
	assert.Equal(t, conflict.Meta(commander.MetaActual), "2")
}

func TestStatesOfAMove(t *testing.T) {
	ctx := context.Background()
	b := newBench(t)
	move := &messenger.Move{Name: "weekend", State: messenger.MoveState_FINISHED, StartAtMs: 1, DrainAtMs: 2, DueAtMs: 3}
	put := func(state messenger.MoveState, findings int) {
		t.Helper()
		version := b.spread.Index().Version()
		move.State = state
		reply, err := b.PutMove(ctx, &messenger.PutMoveRequest{
			OperationId: state.String() + string(rune('a'+version)), ExpectedVersion: version, Move: move,
		})
		assert.NilError(t, err)
		assert.Equal(t, len(reply.Findings), findings, "%v", reply.Findings)
	}
	put(messenger.MoveState_FINISHED, 1)
	put(messenger.MoveState_STARTED, 1)
	put(messenger.MoveState_PLANNED, 0)
	b.planner.findings = []*messenger.Finding{{Path: "$.DueAtMs", Message: "too early"}, {Path: "$", Message: "take care", Warning: true}}
	put(messenger.MoveState_STARTED, 1)
	b.planner.findings = b.planner.findings[1:]
	put(messenger.MoveState_STARTED, 0)
	put(messenger.MoveState_PLANNED, 1)
	put(messenger.MoveState_CANCELLED, 0)
	put(messenger.MoveState_STARTED, 0)
	put(messenger.MoveState_FINISHED, 0)
	put(messenger.MoveState_CANCELLED, 1)
}

func TestTopUpCodes(t *testing.T) {
	ctx := context.Background()
	request := &messenger.TopUpRequest{OperationId: "op", Budget: "b", Tokens: 5}
	for _, c := range []struct {
		err  error
		code twirp.ErrorCode
	}{
		{nil, twirp.NoError},
		{storer.ErrOutcomeUnknown{Key: "k"}, twirp.Unavailable},
		{errors.New("odd"), twirp.Internal},
	} {
		_, err := commander.New(commander.Config{TopUpper: topUpper{c.err}}).TopUp(ctx, request)
		var told twirp.Error
		if c.err == nil {
			assert.NilError(t, err)
			continue
		}
		assert.Assert(t, errors.As(err, &told))
		assert.Equal(t, told.Code(), c.code)
	}
	request.Tokens = -5
	_, err := commander.New(commander.Config{TopUpper: topUpper{}}).TopUp(ctx, request)
	assert.Assert(t, err != nil)
	var told twirp.Error
	assert.Assert(t, errors.As(err, &told))
	assert.Equal(t, told.Code(), twirp.InvalidArgument)
}
