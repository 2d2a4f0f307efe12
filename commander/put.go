package commander

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"cowsliphinge/messenger"
	"cowsliphinge/spreader"
)

// PutClientAccount creates or replaces one client account.
func (c *Commander) PutClientAccount(ctx context.Context, req *messenger.PutClientAccountRequest) (*messenger.ApplyReply, error) {
	if req.ClientAccount.GetName() == "" {
		return nil, failure(spreader.ErrBadRequest{Field: "ClientAccount.Name", Reason: "must be set"})
	}
	return c.publish(ctx, "PutClientAccount", spreader.PublishRequest{
		OperationID: req.OperationId, ExpectedVersion: req.ExpectedVersion, AppliedBy: req.By,
		Edit: func(before *messenger.Declarations) (*messenger.Declarations, []*messenger.Finding) {
			after := proto.CloneOf(before)
			after.ClientAccounts = put(after.ClientAccounts, req.ClientAccount, (*messenger.ClientAccount).GetName)
			return after, nil
		},
	})
}

// PutService creates or replaces one service.
func (c *Commander) PutService(ctx context.Context, req *messenger.PutServiceRequest) (*messenger.ApplyReply, error) {
	if req.Service.GetName() == "" {
		return nil, failure(spreader.ErrBadRequest{Field: "Service.Name", Reason: "must be set"})
	}
	return c.publish(ctx, "PutService", spreader.PublishRequest{
		OperationID: req.OperationId, ExpectedVersion: req.ExpectedVersion, AppliedBy: req.By,
		Edit: func(before *messenger.Declarations) (*messenger.Declarations, []*messenger.Finding) {
			after := proto.CloneOf(before)
			after.Services = put(after.Services, req.Service, (*messenger.Service).GetName)
			return after, nil
		},
	})
}

// PutMove creates or replaces one move, its state included. A move is started
// only if nothing stands against it.
func (c *Commander) PutMove(ctx context.Context, req *messenger.PutMoveRequest) (*messenger.ApplyReply, error) {
	if req.Move.GetName() == "" {
		return nil, failure(spreader.ErrBadRequest{Field: "Move.Name", Reason: "must be set"})
	}
	return c.publish(ctx, "PutMove", spreader.PublishRequest{
		OperationID: req.OperationId, ExpectedVersion: req.ExpectedVersion, AppliedBy: req.By,
		Edit: func(before *messenger.Declarations) (*messenger.Declarations, []*messenger.Finding) {
			after := proto.CloneOf(before)
			after.Moves = put(after.Moves, req.Move, (*messenger.Move).GetName)
			return after, c.againstStarts(ctx, before, after)
		},
	})
}

// againstStarts returns what stands against the moves that a change starts.
func (c *Commander) againstStarts(ctx context.Context, before, after *messenger.Declarations) []*messenger.Finding {
	var findings []*messenger.Finding
	if c.cfg.Planner == nil {
		return nil
	}
	for i, move := range after.Moves {
		if move.State != messenger.MoveState_STARTED || started(before, move.Name) {
			continue
		}
		report, err := c.cfg.Planner.PlanMove(ctx, after, move)
		if err != nil {
			findings = append(findings, &messenger.Finding{Path: fmt.Sprintf("$.Moves[%d]", i), Message: err.Error()})
			continue
		}
		for _, f := range report.Findings {
			if !f.Warning {
				f.Path = fmt.Sprintf("$.Moves[%d]%s", i, strings.TrimPrefix(f.Path, "$"))
				findings = append(findings, f)
			}
		}
	}
	return findings
}

func started(d *messenger.Declarations, name string) bool {
	return slices.ContainsFunc(d.Moves, func(m *messenger.Move) bool {
		return m.Name == name && m.State == messenger.MoveState_STARTED
	})
}

// put replaces the item of the same name, or appends it.
func put[T any](list []T, item T, name func(T) string) []T {
	i := slices.IndexFunc(list, func(other T) bool { return name(other) == name(item) })
	if i < 0 {
		return append(list, item)
	}
	list[i] = item
	return list
}

func asConflict(err error, target *spreader.ErrVersionConflict) bool {
	return errors.As(err, target)
}
