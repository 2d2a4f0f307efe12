package reserver

import (
	"context"

	"github.com/gravitational/trace"

	"cowsliphinge/messenger"
)

// Transfer merges the totals that a peer gave and answers what it asks for.
func (r *Reserver) Transfer(_ context.Context, request *messenger.TransferRequest) (*messenger.TransferReply, error) {
	if request.To != r.cfg.Incarnation {
		return nil, trace.NotFound("incarnation %s is not here", request.To)
	}
	reply := &messenger.TransferReply{From: r.cfg.Incarnation}
	now := r.cfg.Clock.Now()
	for _, t := range request.Totals {
		s := r.shard(t.Budget)
		s.mu.Lock()
		s.allotter.Receive(request.From, t)
		received := s.allotter.Received(request.From, t.Budget)
		s.wake(now)
		s.mu.Unlock()
		reply.Received = append(reply.Received, &messenger.TransferTotal{Budget: t.Budget, Given: received})
	}
	for _, ask := range request.Asks {
		s := r.shard(ask.Budget)
		s.mu.Lock()
		reply.Totals = append(reply.Totals, s.allotter.Give(request.From, ask, now))
		s.mu.Unlock()
	}
	return reply, nil
}
