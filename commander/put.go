package commander

import (
	"context"
	"errors"
	"slices"

	"google.golang.org/protobuf/proto"

	"cowsliphinge/messenger"
	"cowsliphinge/spreader"
)

// PutClientAccount creates or replaces one client account.
func (c *Commander) PutClientAccount(ctx context.Context, req *messenger.PutClientAccountRequest) (*messenger.ApplyReply, error) {
	if req.ClientAccount.GetName() == "" {
		return nil, failure(spreader.ErrBadRequest{Field: "ClientAccount.Name", Reason: "must be set"})
	}
	return c.publish(ctx, "PutClientAccount", spreader.Change{
		OperationID: req.OperationId, ExpectedVersion: req.ExpectedVersion, By: req.By,
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
	return c.publish(ctx, "PutService", spreader.Change{
		OperationID: req.OperationId, ExpectedVersion: req.ExpectedVersion, By: req.By,
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
	return c.publish(ctx, "PutMove", spreader.Change{
		OperationID: req.OperationId, ExpectedVersion: req.ExpectedVersion, By: req.By,
		Edit: func(before *messenger.Declarations) (*messenger.Declarations, []*messenger.Finding) {
			after := proto.CloneOf(before)
			after.Moves = put(after.Moves, req.Move, (*messenger.Move).GetName)
			return after, c.againstStart(ctx, before, after, req.Move)
		},
	})
}

// againstStart returns what stands against putting a move into the started state.
func (c *Commander) againstStart(ctx context.Context, before, after *messenger.Declarations, move *messenger.Move) []*messenger.Finding {
	if move.State != messenger.MoveState_STARTED || c.cfg.Planner == nil {
		return nil
	}
	i := slices.IndexFunc(before.Moves, func(m *messenger.Move) bool { return m.Name == move.Name })
	if i >= 0 && before.Moves[i].State == messenger.MoveState_STARTED {
		return nil
	}
	report, err := c.cfg.Planner.PlanMove(ctx, after, move)
	if err != nil {
		return []*messenger.Finding{{Path: "$.Moves", Message: err.Error()}}
	}
	return slices.DeleteFunc(report.Findings, (*messenger.Finding).GetWarning)
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

func asConflict(err error, target *spreader.ErrConflict) bool {
	return errors.As(err, target)
}
