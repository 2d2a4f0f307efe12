// Package commander serves the operators' commands. Each command is one change
// under an operation ID; a repeat returns the first outcome.
package commander

import (
	"context"
	"strconv"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"github.com/twitchtv/twirp"

	"cowsliphinge/indexer"
	"cowsliphinge/messenger"
	"cowsliphinge/reserver"
	"cowsliphinge/spreader"
	"cowsliphinge/storer"
)

// Spreader publishes versions of the configuration.
type Spreader interface {
	Index() *indexer.Index
	Publish(ctx context.Context, c spreader.PublishRequest) (*messenger.ApplyReply, error)
}

// TopUpper adds tokens to budgets.
type TopUpper interface {
	TopUp(ctx context.Context, req *messenger.TopUpRequest) (*messenger.TopUpReply, error)
}

// Planner tells what stands against the start of a move.
type Planner interface {
	// PlanMove returns the steps and findings of a move under the given declarations.
	PlanMove(ctx context.Context, d *messenger.Declarations, move *messenger.Move) (*messenger.MoveReport, error)
}

// Config configures a Commander.
type Config struct {
	Spreader Spreader
	TopUpper TopUpper
	// Planner is asked before a move is started; nil starts without asking.
	Planner Planner
}

// Commander implements messenger.Commander.
type Commander struct {
	cfg Config
}

var _ messenger.Commander = (*Commander)(nil)

// New returns a commander.
func New(cfg Config) *Commander {
	return &Commander{cfg: cfg}
}

// Apply replaces the declarations as one version.
func (c *Commander) Apply(ctx context.Context, req *messenger.ApplyRequest) (*messenger.ApplyReply, error) {
	if req.Declarations == nil {
		return nil, failure(spreader.ErrBadRequest{Field: "Declarations", Reason: "must be set"})
	}
	return c.publish(ctx, "Apply", spreader.PublishRequest{
		OperationID:     req.OperationId,
		ExpectedVersion: req.ExpectedVersion,
		AppliedBy:       req.By,
		DryRun:          req.DryRun,
		Edit: func(before *messenger.Declarations) (*messenger.Declarations, []*messenger.Finding) {
			return req.Declarations, c.againstStarts(ctx, before, req.Declarations)
		},
	})
}

// TopUp adds tokens to a budget.
func (c *Commander) TopUp(ctx context.Context, req *messenger.TopUpRequest) (*messenger.TopUpReply, error) {
	if err := checkTopUp(req); err != nil {
		return nil, failure(err)
	}
	reply, err := c.cfg.TopUpper.TopUp(ctx, req)
	if err != nil {
		return nil, failure(err)
	}
	count("TopUp", "ok")
	return reply, nil
}

func checkTopUp(req *messenger.TopUpRequest) error {
	switch {
	case req.OperationId == "":
		return spreader.ErrBadRequest{Field: "OperationId", Reason: "must be set"}
	case req.Budget == "":
		return spreader.ErrBadRequest{Field: "Budget", Reason: "must be set"}
	case req.Tokens <= 0:
		return spreader.ErrBadRequest{Field: "Tokens", Reason: "must be above 0"}
	}
	return nil
}

func (c *Commander) publish(ctx context.Context, command string, change spreader.PublishRequest) (*messenger.ApplyReply, error) {
	reply, err := c.cfg.Spreader.Publish(ctx, change)
	if err != nil {
		err = failure(err)
		count(command, codeOf(err))
		return nil, err
	}
	switch {
	case len(reply.Findings) > 0:
		count(command, "findings")
	case change.DryRun:
		count(command, "dry_run")
	default:
		count(command, "ok")
	}
	return reply, nil
}

// Keys of the metadata that a conflict carries.
const (
	MetaExpected = "ExpectedVersion"
	MetaActual   = "ActualVersion"
	MetaBy       = "AppliedBy"
	MetaAt       = "AppliedAtMs"
)

// failure gives an error the code that operators see.
func failure(err error) error {
	var conflict spreader.ErrVersionConflict
	switch {
	case asConflict(err, &conflict):
		return twirp.NewError(twirp.Aborted, conflict.Error()).
			WithMeta(MetaExpected, strconv.FormatInt(conflict.Expected, 10)).
			WithMeta(MetaActual, strconv.FormatInt(conflict.Actual, 10)).
			WithMeta(MetaBy, conflict.AppliedBy).
			WithMeta(MetaAt, strconv.FormatInt(int64(conflict.AppliedAt), 10))
	case spreader.IsErrBadRequest(err):
		return twirp.NewError(twirp.InvalidArgument, err.Error())
	case storer.IsErrTooLarge(err), trace.IsBadParameter(err):
		return twirp.NewError(twirp.InvalidArgument, err.Error())
	case spreader.IsErrOutcomeUnknown(err), storer.IsErrOutcomeUnknown(err),
		storer.IsErrRateLimited(err), reserver.IsErrBudgetUnreachable(err):
		return twirp.NewError(twirp.Unavailable, err.Error())
	}
	if _, ok := err.(twirp.Error); ok {
		return err
	}
	return twirp.InternalErrorWith(err)
}

func codeOf(err error) string {
	if t, ok := err.(twirp.Error); ok {
		return string(t.Code())
	}
	return "internal"
}

func count(command, outcome string) {
	metrics.GetOrCreateCounter(`cowsliphinge_commands_total{command="` + command + `",outcome="` + outcome + `"}`).Inc()
}
