package reserver

import (
	"context"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"

	"cowsliphinge/allotter"
	"cowsliphinge/messenger"
)

var (
	tokensReceived = metrics.NewCounter("cowsliphinge_budget_transferred_tokens_total{direction=\"received\"}")
	tokensGiven    = metrics.NewCounter("cowsliphinge_budget_transferred_tokens_total{direction=\"given\"}")
	tokensLate     = metrics.NewCounter("cowsliphinge_budget_late_tokens_total")
	transferErrors = metrics.NewCounter("cowsliphinge_budget_transfer_errors_total")
)

// Transfer merges the totals that a peer gave and answers what it asks for. A
// repeated or late request is harmless.
func (r *Reserver) Transfer(_ context.Context, request *messenger.TransferRequest) (*messenger.TransferReply, error) {
	if request.To != r.cfg.Incarnation {
		return nil, trace.NotFound("incarnation %s is not here", request.To)
	}
	reply := &messenger.TransferReply{From: r.cfg.Incarnation}
	for _, t := range request.Totals {
		received := r.receive(request.From, t)
		reply.Received = append(reply.Received, &messenger.TransferTotal{Budget: t.Budget, Given: received})
	}
	v := r.look()
	for _, ask := range request.Asks {
		r.answer(request.From, ask, v, reply)
	}
	return reply, nil
}

// receive merges one total and returns the total as merged.
func (r *Reserver) receive(from string, t *messenger.TransferTotal) int64 {
	s := r.shard(t.Budget)
	s.mu.Lock()
	defer s.mu.Unlock()
	late := s.allotter.Strand()
	grown := s.allotter.Receive(from, t)
	tokensLate.Add(int(s.allotter.Strand() - late))
	if grown > 0 {
		tokensReceived.Add(int(grown))
		delete(s.verdicts, t.Budget)
		s.wake(r.cfg.Clock.Now())
	}
	return s.allotter.Received(from, t.Budget)
}

// answer gives what is asked for, as far as it is here.
func (r *Reserver) answer(to string, ask *messenger.TransferAsk, v *view, reply *messenger.TransferReply) {
	s := r.shard(ask.Budget)
	c := r.circumstances(s, v)
	s.mu.Lock()
	before := s.allotter.TotalTo(to, ask.Budget).Given
	total := s.allotter.Give(to, ask, v.now)
	given := total.Given - before
	if free := s.allotter.MayFree(ask.Budget); given < ask.Needed && free > 0 && given+free >= ask.Needed {
		reply.Busy = append(reply.Busy, ask.Budget)
	}
	if s.exhausted(ask.Budget, v) {
		reply.Exhausted = append(reply.Exhausted, ask.Budget)
	}
	due := (given > 0 || ask.Needed > 0) && s.allotter.Due(c)
	s.mu.Unlock()
	tokensGiven.Add(int(given))
	reply.Totals = append(reply.Totals, total)
	if due {
		r.wantRefill(s)
	}
}

// exhausted reports whether the platform said just now that nothing of the
// budget is unassigned. The caller holds mu.
func (s *shard) exhausted(budget string, v *view) bool {
	fresh := s.allotter.Version() > 0 && v.now-s.allotter.ReadAt() < verdictAge
	return fresh && allotter.Rest(s.allotter.Object(budget)) <= 0
}
