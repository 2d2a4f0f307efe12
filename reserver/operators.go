package reserver

import (
	"context"
	"math"

	"github.com/gravitational/trace"

	"cowsliphinge/allotter"
	"cowsliphinge/messenger"
	"cowsliphinge/storer"
)

// topUpAttempts bounds the tries of one top-up.
const topUpAttempts = 32

// TopUp adds tokens to a budget, once per operation ID however often it is
// called and wherever. An error means that the outcome is unknown or that
// nothing was added; repeating is safe.
func (r *Reserver) TopUp(ctx context.Context, request *messenger.TopUpRequest) (*messenger.TopUpReply, error) {
	if request.OperationId == "" || request.Budget == "" {
		return nil, trace.BadParameter("OperationId and Budget are required")
	}
	if request.Tokens <= 0 || request.Tokens > math.MaxInt64/4 {
		return nil, trace.BadParameter("Tokens is out of range")
	}
	s := r.shard(request.Budget)
	if !s.take(ctx) {
		return nil, trace.Wrap(ctx.Err())
	}
	defer s.release()
	err := trace.Errorf("not tried")
	for range topUpAttempts {
		var reply *messenger.TopUpReply
		reply, err = r.tryTopUp(ctx, s, request)
		if err == nil {
			return reply, nil
		}
		if storer.IsErrRateLimited(err) {
			err = r.cfg.Clock.Sleep(ctx, ratePause)
		}
		if ctx.Err() != nil || !storer.IsErrConflict(err) && !storer.IsErrOutcomeUnknown(err) {
			break
		}
	}
	return nil, trace.Wrap(err)
}

func (r *Reserver) tryTopUp(ctx context.Context, s *shard, request *messenger.TopUpRequest) (*messenger.TopUpReply, error) {
	if err := r.read(ctx, s); err != nil {
		return nil, err
	}
	s.mu.Lock()
	w, reply := s.allotter.PlanTopUp(request, r.cfg.Clock.Now())
	s.mu.Unlock()
	if reply.Repeated {
		return reply, nil
	}
	return reply, r.write(ctx, s, w)
}

// Report returns a budget as the platform holds it.
func (r *Reserver) Report(ctx context.Context, budget string) (*messenger.BudgetReport, error) {
	s := r.shard(budget)
	if err := r.read(ctx, s); err != nil {
		return nil, trace.Wrap(err)
	}
	s.mu.Lock()
	object := s.allotter.Object(budget)
	s.mu.Unlock()
	if object == nil {
		return nil, trace.NotFound("budget %s does not exist", budget)
	}
	return allotter.Report(object, r.live()), nil
}

// live returns the incarnations that were heard of lately, this one included.
func (r *Reserver) live() map[string]bool {
	live := map[string]bool{r.cfg.Incarnation: true}
	if r.cfg.Peers == nil {
		return live
	}
	for _, p := range r.cfg.Peers() {
		if !p.Suspect {
			live[p.Incarnation] = true
		}
	}
	return live
}
