package reserver

import (
	"context"
	"crypto/sha256"
	"encoding/hex"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"cowsliphinge/allotter"
	"cowsliphinge/messenger"
	"cowsliphinge/storer"
)

// maxTopUpRetries bounds the retries of one top-up after writes of unknown outcome.
const maxTopUpRetries = 3

var topUpConflicts = metrics.NewCounter("cowsliphinge_budget_topup_conflicts_total")

// TopUp adds tokens to a budget. It is idempotent per operation ID, on any host. An
// error means that nothing was added or that the outcome is unknown; the call can
// safely be retried.
func (r *Reserver) TopUp(ctx context.Context, request *messenger.TopUpRequest) (*messenger.TopUpReply, error) {
	if request.OperationId == "" || request.Budget == "" {
		return nil, trace.BadParameter("OperationId and Budget are required")
	}
	if request.Tokens <= 0 || request.Tokens > allotter.MaxGranted {
		return nil, trace.BadParameter("Tokens is out of range")
	}
	s := r.shard(request.Budget)
	if !s.acquirePlatformSlot(ctx) {
		return nil, trace.Wrap(ctx.Err())
	}
	defer s.releasePlatformSlot()
	unanswered := 0
	for {
		reply, err := r.attemptTopUp(ctx, s, request)
		switch {
		case err == nil:
			return reply, nil
		case storer.IsErrConflict(err):
			topUpConflicts.Inc()
		case storer.IsErrRateLimited(err):
			_ = r.cfg.Clock.Sleep(ctx, rateLimitDelay)
		case storer.IsErrOutcomeUnknown(err) && unanswered < maxTopUpRetries:
			unanswered++
		default:
			return nil, trace.Wrap(err)
		}
		if ctx.Err() != nil {
			return nil, trace.Wrap(err)
		}
	}
}

func (r *Reserver) attemptTopUp(ctx context.Context, s *shard, request *messenger.TopUpRequest) (*messenger.TopUpReply, error) {
	if err := r.read(ctx, s); err != nil {
		return nil, err
	}
	s.mu.Lock()
	plan := s.allotter.PlanTopUp(request, r.cfg.Clock.Now())
	s.mu.Unlock()
	if plan.Reply.Repeated {
		return plan.Reply, nil
	}
	if plan.Reply.Granted > allotter.MaxGranted {
		return nil, trace.LimitExceeded("budget %s would be granted too much", request.Budget)
	}
	if plan.MayBeEvicted {
		reply, err := r.findTopUpRecord(ctx, s, request)
		if err != nil || reply != nil {
			return reply, err
		}
	}
	for _, record := range plan.Evicted {
		if err := r.createTopUpRecord(ctx, request.Budget, record); err != nil {
			return nil, err
		}
	}
	return plan.Reply, r.write(ctx, s, plan.Write)
}

// findTopUpRecord returns the reply to a repeated operation that the budget's object
// no longer lists, or nil if the operation is new.
func (r *Reserver) findTopUpRecord(ctx context.Context, s *shard, request *messenger.TopUpRequest) (*messenger.TopUpReply, error) {
	_, err := r.cfg.Store.Get(ctx, topUpKey(request.Budget, request.OperationId))
	if storer.IsErrNotFound(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return &messenger.TopUpReply{Granted: s.allotter.KnownBudget(request.Budget).GetGranted(), Repeated: true}, nil
}

// createTopUpRecord stores an applied operation in an object of its own.
func (r *Reserver) createTopUpRecord(ctx context.Context, budget string, record *messenger.TopUpRecord) error {
	value, err := proto.Marshal(record)
	if err != nil {
		return err
	}
	_, err = r.cfg.Store.Create(ctx, topUpKey(budget, record.OperationId), value)
	if storer.IsErrConflict(err) {
		return nil
	}
	return err
}

func topUpKey(budget, operation string) string {
	sum := sha256.Sum256([]byte(budget + "\x00" + operation))
	return "topup/" + hex.EncodeToString(sum[:])
}

// Report reads a budget from the platform.
func (r *Reserver) Report(ctx context.Context, budget string) (*messenger.BudgetReport, error) {
	s := r.shard(budget)
	if err := r.read(ctx, s); err != nil {
		return nil, trace.Wrap(err)
	}
	v := r.viewFleet()
	s.mu.Lock()
	defer s.mu.Unlock()
	stored := s.allotter.KnownBudget(budget)
	if stored == nil {
		return nil, trace.NotFound("budget %s does not exist", budget)
	}
	return allotter.Report(stored, v.isLive), nil
}
