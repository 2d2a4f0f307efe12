package reserver

import (
	"context"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"

	"cowsliphinge/allotter"
	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// raiseLimitTimeout is how long a reply to a peer may wait for tokens from the platform, in
// milliseconds: several response times of the platform, and less than a request waits.
const raiseLimitTimeout = 60 * clocker.Millis(1)

var (
	tokensReceived = metrics.NewCounter("cowsliphinge_budget_transferred_tokens_total{direction=\"received\"}")
	tokensSent     = metrics.NewCounter("cowsliphinge_budget_transferred_tokens_total{direction=\"given\"}")
	tokensLate     = metrics.NewCounter("cowsliphinge_budget_late_tokens_total")
	transferErrors = metrics.NewCounter("cowsliphinge_budget_transfer_errors_total")
)

// Transfer merges the totals that a peer sent and grants the tokens that it requests.
// Requests may be repeated or arrive late.
func (r *Reserver) Transfer(ctx context.Context, request *messenger.TransferRequest) (*messenger.TransferReply, error) {
	if request.To != r.cfg.Incarnation {
		return nil, trace.NotFound("%s is not the incarnation of this host", request.To)
	}
	reply := &messenger.TransferReply{From: r.cfg.Incarnation}
	if request.RenewsGuardOf != "" {
		reply.GuardPromisedAtMs = int64(r.promiseGuard(request.RenewsGuardOf))
	}
	for _, t := range request.Totals {
		received := r.mergeTotal(request.From, t)
		reply.Received = append(reply.Received, &messenger.TransferTotal{Budget: t.Budget, Given: received})
	}
	v := r.viewFleet()
	ctx, cancel := r.cfg.Clock.WithTimeout(ctx, raiseLimitTimeout)
	defer cancel()
	var granted, needed int64
	for _, ask := range request.Asks {
		granted += r.answerAsk(ctx, request.From, ask, v, reply)
		needed += ask.Needed
	}
	if needed > 0 && granted == 0 {
		reply.PauseMs = int64(r.emptyAnswers.record(v.now))
	}
	return reply, nil
}

// mergeTotal merges one total from a peer and returns the total after the merge.
func (r *Reserver) mergeTotal(from string, t *messenger.TransferTotal) int64 {
	s := r.shard(t.Budget)
	s.mu.Lock()
	defer s.mu.Unlock()
	lateBefore := s.allotter.LateTokens()
	increase := s.allotter.Receive(from, t)
	tokensLate.Add(int(s.allotter.LateTokens() - lateBefore))
	if increase > 0 {
		tokensReceived.Add(int(increase))
		delete(s.refusals, t.Budget)
		s.reserveForWaiters(r.cfg.Clock.Now())
	}
	return s.allotter.ReceivedFrom(from, t.Budget)
}

// answerAsk sends the requested tokens as far as this host has them, and raises
// its limit at the platform if it does so for its zone. It returns the tokens sent.
func (r *Reserver) answerAsk(ctx context.Context, to string, ask *messenger.TransferAsk, v *fleetView, reply *messenger.TransferReply) int64 {
	s := r.shard(ask.Budget)
	c := r.conditions(s, v)
	s.mu.Lock()
	sentBefore := s.allotter.TransferTotalTo(to, ask.Budget).Given
	total := s.allotter.TransferTo(to, s.allotter.CapAsk(ask, c), v.now)
	sent := total.Given - sentBefore
	if expectedFree := s.allotter.ExpectedUnused(ask.Budget); sent < ask.Needed && expectedFree > 0 && sent+expectedFree >= ask.Needed {
		reply.Busy = append(reply.Busy, ask.Budget)
	}
	if s.isExhausted(ask.Budget, v) {
		reply.Exhausted = append(reply.Exhausted, ask.Budget)
	}
	due := (sent > 0 || ask.Needed > 0) && s.allotter.CallDue(c)
	s.mu.Unlock()
	tokensSent.Add(int(sent))
	if shortfall := ask.Needed - sent; shortfall > 0 && r.raisesLimitForZone(s, v, ask) && !s.platformCannotCover(ask, shortfall, v) {
		if raised := r.raiseLimitFor(ctx, s, v, to, ask, shortfall); raised != nil {
			total = raised
		}
	} else if due {
		r.queueRefill(s)
	}
	reply.Totals = append(reply.Totals, total)
	return total.Given - sentBefore
}

// raisesLimitForZone reports whether this host raises its limit at the platform on behalf
// of a host of its zone. One write of a holder serves all hosts that send requests
// meanwhile, whereas writes of their own would conflict.
func (r *Reserver) raisesLimitForZone(s *shard, v *fleetView, ask *messenger.TransferAsk) bool {
	return r.cfg.HoldersFirst && !ask.Loan && r.isHolder(s, v) && !r.platformUnreachable() && !r.closing.Load()
}

// platformCannotCover reports whether fresh content from the platform shows that it
// cannot provide the missing tokens. Such requests must not occupy the shard's
// platformSlot, because requests that can be served wait for that slot.
func (s *shard) platformCannotCover(ask *messenger.TransferAsk, shortfall int64, v *fleetView) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	fresh := s.contentKnown && v.now-s.allotter.ContentAt() < freshAge
	return fresh && !s.allotter.UnassignedCovers(ask.Budget, shortfall, int(ask.Rank))
}

// raiseLimitFor obtains the missing tokens from the platform and sends them to the peer.
// It returns nil if they are not available in time.
func (r *Reserver) raiseLimitFor(ctx context.Context, s *shard, v *fleetView, to string, ask *messenger.TransferAsk, shortfall int64) *messenger.TransferTotal {
	w := &waiter{budget: ask.Budget, tokens: shortfall, rank: int(ask.Rank), result: make(chan waitResult, 1)}
	s.addWaiter(w)
	r.updateEntries(ctx, s, v)
	result, ended := s.removeWaiter(w)
	if !ended || result.err != nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allotter.Cancel(ask.Budget, result.reservationID)
	sentBefore := s.allotter.TransferTotalTo(to, ask.Budget).Given
	total := s.allotter.TransferTo(to, &messenger.TransferAsk{Budget: ask.Budget, Tokens: shortfall, Needed: shortfall, Rank: ask.Rank}, r.cfg.Clock.Now())
	tokensSent.Add(int(total.Given - sentBefore))
	return total
}

// isExhausted reports whether fresh content from the platform shows no unassigned tokens
// of the budget. The caller holds mu.
func (s *shard) isExhausted(budget string, v *fleetView) bool {
	fresh := s.allotter.Version() > 0 && v.now-s.allotter.ContentAt() < freshAge
	return fresh && allotter.Unassigned(s.allotter.KnownBudget(budget)) <= 0
}
