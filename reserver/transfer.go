package reserver

import (
	"context"
	"math/rand/v2"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"

	"cowsliphinge/allotter"
	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// raiseLimitTimeout is how long a reply to a peer may wait for tokens from the platform or from other
// availability zones, in milliseconds: less than a request waits, and enough for the write that is under way
// and the next one. With 60 ms most replies were sent empty while a write that covered them was waiting
// for its turn.
const raiseLimitTimeout = 100 * clocker.Millis(1)

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
	if request.OpensGuardOf != "" {
		reply.GuardOpensAtMs = int64(r.agreeToSpending(request.From, request.OpensGuardOf, clocker.Millis(request.OpensGuardAtMs)))
	}
	for _, t := range request.Totals {
		received := r.mergeTotal(request.From, t)
		reply.Received = append(reply.Received, &messenger.TransferTotal{Budget: t.Budget, Given: received})
	}
	v := r.viewFleet()
	var granted, needed int64
	var lacking []*lackingAsk
	for _, ask := range request.Asks {
		if ask.PerSecond > 0 {
			r.answerBalance(request.From, ask, v, reply)
			continue
		}
		sent, lack := r.answerAsk(request.From, ask, v, reply)
		granted += sent
		needed += ask.Needed
		if lack != nil {
			lacking = append(lacking, lack)
		}
	}
	if !r.balances(v) { // else the reply would keep what was granted from its requests until the wait for the others ends
		granted += r.obtainForZone(ctx, request.From, lacking)
	}
	if needed > 0 && granted == 0 {
		reply.PauseMs = int64(r.pauseUntilOpening(request.Asks, r.emptyAnswers.record(v.now)))
		if reply.PauseMs > 0 && r.balances(v) {
			reply.Available = r.availableBudgets()
		}
	}
	return reply, nil
}

// availableBudgets returns the budgets of which this host can send tokens for at least one request.
func (r *Reserver) availableBudgets() []string {
	var available []string
	for _, s := range r.activeShards() {
		s.mu.Lock()
		available = append(available, s.allotter.AvailableBudgets()...)
		s.mu.Unlock()
	}
	return available
}

// pauseUntilOpening shortens a pause that would go on while guarded tokens of the asked budgets may be spent.
func (r *Reserver) pauseUntilOpening(asks []*messenger.TransferAsk, pause clocker.Millis) clocker.Millis {
	if pause == 0 || !r.platformUnreachable() {
		return pause
	}
	now := r.cfg.Clock.Now()
	for _, ask := range asks {
		if opensAt := r.shard(ask.Budget).guardOpensAt(ask.Budget); opensAt > now {
			pause = min(pause, opensAt-now+clocker.Millis(rand.Int64N(int64(openingSpread))))
		}
	}
	return pause
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

// answerAsk sends the requested tokens as far as this host has them. It returns the tokens sent, and what is
// lacking if this host obtains tokens for its zone.
func (r *Reserver) answerAsk(to string, ask *messenger.TransferAsk, v *fleetView, reply *messenger.TransferReply) (int64, *lackingAsk) {
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
	reply.Totals = append(reply.Totals, total)
	if shortfall := ask.Needed - sent; shortfall > 0 && r.obtainsForZone(s, v, ask) && !s.platformCannotCover(ask, shortfall, v) {
		w := &waiter{budget: ask.Budget, tokens: shortfall, rank: int(ask.Rank), result: make(chan waitResult, 1)}
		return sent, &lackingAsk{shard: s, waiter: w, total: total}
	}
	if due {
		r.queueRefill(s)
	}
	return sent, nil
}

// lackingAsk is an ask of a host of the zone that waits for tokens from the platform or from other zones.
type lackingAsk struct {
	shard  *shard
	waiter *waiter
	// total is the total in the reply, to be raised by the tokens obtained.
	total *messenger.TransferTotal
}

// obtainsForZone reports whether this host obtains tokens on behalf of a host of its zone, by a raise
// of its limit at the platform or as loans from holders of other zones. One write of a holder serves all
// hosts that send requests meanwhile, whereas writes of their own would conflict.
func (r *Reserver) obtainsForZone(s *shard, v *fleetView, ask *messenger.TransferAsk) bool {
	return r.cfg.HoldersFirst && !ask.Loan && r.isHolder(s, v) && !r.closing.Load()
}

// obtainForZone waits until refills have obtained the tokens that the asks of a peer lack, at most for
// raiseLimitTimeout, and adds them to the totals. It returns the tokens added.
func (r *Reserver) obtainForZone(ctx context.Context, to string, lacking []*lackingAsk) int64 {
	if len(lacking) == 0 {
		return 0
	}
	for _, lack := range lacking {
		lack.shard.addWaiter(lack.waiter)
	}
	for _, lack := range lacking {
		r.refillForAskers(lack.shard)
	}
	ctx, cancel := r.cfg.Clock.WithTimeout(ctx, raiseLimitTimeout)
	defer cancel()
	var added int64
	for _, lack := range lacking {
		added += r.awaitTokens(ctx, to, lack)
	}
	return added
}

// awaitTokens waits for the tokens of one ask and sends them to the peer.
func (r *Reserver) awaitTokens(ctx context.Context, to string, lack *lackingAsk) int64 {
	s, w := lack.shard, lack.waiter
	var result waitResult
	select {
	case result = <-w.result:
	case <-ctx.Done():
		var ended bool
		if result, ended = s.removeWaiter(w); !ended {
			return 0
		}
	}
	if result.err != nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allotter.Cancel(w.budget, result.reservationID)
	sentBefore := s.allotter.TransferTotalTo(to, w.budget).Given
	total := s.allotter.TransferTo(to, &messenger.TransferAsk{Budget: w.budget, Tokens: w.tokens, Needed: w.tokens, Rank: int32(w.rank)}, r.cfg.Clock.Now())
	tokensSent.Add(int(total.Given - sentBefore))
	lack.total.Given = max(lack.total.Given, total.Given)
	return total.Given - sentBefore
}

// refillForAskers refills a shard for the asks that wait. One such refill runs at a time: asks that arrive
// meanwhile are served by its write if it is not planned yet, else by the next refill together.
func (r *Reserver) refillForAskers(s *shard) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refillsForAskers {
		s.askersWait = true
		return
	}
	s.refillsForAskers = true
	r.tasks.Go(func() error {
		for {
			r.refill(r.ctx, s)
			if !s.nextRefillForAskers() {
				return nil
			}
		}
	})
}

// nextRefillForAskers reports whether further asks have arrived since the last call.
func (s *shard) nextRefillForAskers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refillsForAskers = s.askersWait && len(s.waiters) > 0
	s.askersWait = false
	return s.refillsForAskers
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

// isExhausted reports whether fresh content from the platform shows no unassigned tokens
// of the budget. The caller holds mu.
func (s *shard) isExhausted(budget string, v *fleetView) bool {
	fresh := s.allotter.Version() > 0 && v.now-s.allotter.ContentAt() < freshAge
	return fresh && allotter.Unassigned(s.allotter.KnownBudget(budget)) <= 0
}
