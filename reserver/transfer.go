package reserver

import (
	"context"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"

	"cowsliphinge/allotter"
	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// extendPatience is how long an answer to a peer may wait for tokens from the platform,
// in milliseconds: several of its answers, within the patience of a request.
const extendPatience = 60 * clocker.Millis(1)

var (
	tokensReceived = metrics.NewCounter("cowsliphinge_budget_transferred_tokens_total{direction=\"received\"}")
	tokensGiven    = metrics.NewCounter("cowsliphinge_budget_transferred_tokens_total{direction=\"given\"}")
	tokensLate     = metrics.NewCounter("cowsliphinge_budget_late_tokens_total")
	transferErrors = metrics.NewCounter("cowsliphinge_budget_transfer_errors_total")
)

// Transfer merges the totals that a peer gave and answers what it asks for. A
// repeated or late request is harmless.
func (r *Reserver) Transfer(ctx context.Context, request *messenger.TransferRequest) (*messenger.TransferReply, error) {
	if request.To != r.cfg.Incarnation {
		return nil, trace.NotFound("incarnation %s is not here", request.To)
	}
	reply := &messenger.TransferReply{From: r.cfg.Incarnation}
	for _, t := range request.Totals {
		received := r.receive(request.From, t)
		reply.Received = append(reply.Received, &messenger.TransferTotal{Budget: t.Budget, Given: received})
	}
	v := r.look()
	ctx, cancel := r.cfg.Clock.WithTimeout(ctx, extendPatience)
	defer cancel()
	for _, ask := range request.Asks {
		r.answer(ctx, request.From, ask, v, reply)
	}
	return reply, nil
}

// receive merges one total and returns the total as merged.
func (r *Reserver) receive(from string, t *messenger.TransferTotal) int64 {
	s := r.shard(t.Budget)
	s.mu.Lock()
	defer s.mu.Unlock()
	late := s.allotter.LateTokens()
	grown := s.allotter.Receive(from, t)
	tokensLate.Add(int(s.allotter.LateTokens() - late))
	if grown > 0 {
		tokensReceived.Add(int(grown))
		delete(s.verdicts, t.Budget)
		s.wake(r.cfg.Clock.Now())
	}
	return s.allotter.ReceivedFrom(from, t.Budget)
}

// answer gives what is asked for, as far as it is here.
func (r *Reserver) answer(ctx context.Context, to string, ask *messenger.TransferAsk, v *view, reply *messenger.TransferReply) {
	s := r.shard(ask.Budget)
	c := r.circumstances(s, v)
	s.mu.Lock()
	before := s.allotter.TransferTotalTo(to, ask.Budget).Given
	total := s.allotter.TransferTo(to, s.allotter.CapAsk(ask, c), v.now)
	given := total.Given - before
	if free := s.allotter.ExpectedUnused(ask.Budget); given < ask.Needed && free > 0 && given+free >= ask.Needed {
		reply.Busy = append(reply.Busy, ask.Budget)
	}
	if s.exhausted(ask.Budget, v) {
		reply.Exhausted = append(reply.Exhausted, ask.Budget)
	}
	due := (given > 0 || ask.Needed > 0) && s.allotter.CallDue(c)
	s.mu.Unlock()
	tokensGiven.Add(int(given))
	if missing := ask.Needed - given; missing > 0 && r.extendsForOthers(s, v, ask) && !s.isHopeless(ask, missing, v) {
		if more := r.extendFor(ctx, s, v, to, ask, missing); more != nil {
			total = more
		}
	} else if due {
		r.wantRefill(s)
	}
	reply.Totals = append(reply.Totals, total)
}

// extendsForOthers reports whether this host gets from the platform what a host of its
// zone lacks: one write of a holder serves all hosts that ask it meanwhile, while their
// own ones would meet.
func (r *Reserver) extendsForOthers(s *shard, v *view, ask *messenger.TransferAsk) bool {
	return r.cfg.HoldersFirst && !ask.Loan && r.isHolder(s, v) && !r.isAway() && !r.closing.Load()
}

// isHopeless reports whether the platform said a moment ago that it leaves nothing of
// what is missing: the turn at the platform is for those that it can help.
func (s *shard) isHopeless(ask *messenger.TransferAsk, missing int64, v *view) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	fresh := s.known && v.now-s.allotter.ReadAt() < verdictAge
	return fresh && !s.allotter.MayExtend(ask.Budget, missing, int(ask.Rank))
}

// extendFor gets the missing tokens from the platform and gives them, or returns nil if
// they do not come in time.
func (r *Reserver) extendFor(ctx context.Context, s *shard, v *view, to string, ask *messenger.TransferAsk, missing int64) *messenger.TransferTotal {
	w := &waiter{budget: ask.Budget, tokens: missing, rank: int(ask.Rank), done: make(chan grant, 1)}
	s.join(w)
	r.balance(ctx, s, v)
	g, ended := s.leave(w)
	if !ended || g.err != nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allotter.Cancel(ask.Budget, g.id)
	before := s.allotter.TransferTotalTo(to, ask.Budget).Given
	total := s.allotter.TransferTo(to, &messenger.TransferAsk{Budget: ask.Budget, Tokens: missing, Needed: missing, Rank: ask.Rank}, r.cfg.Clock.Now())
	tokensGiven.Add(int(total.Given - before))
	return total
}

// exhausted reports whether the platform said just now that nothing of the
// budget is unassigned. The caller holds mu.
func (s *shard) exhausted(budget string, v *view) bool {
	fresh := s.allotter.Version() > 0 && v.now-s.allotter.ReadAt() < verdictAge
	return fresh && allotter.Unassigned(s.allotter.KnownBudget(budget)) <= 0
}
