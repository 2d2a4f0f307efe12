package reserver

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"cowsliphinge/allotter"
	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
	"cowsliphinge/messenger"
)

const (
	// transferTimeout bounds one transfer request to a peer.
	transferTimeout = 500 * clocker.Millis(1)
	// maxLenders is how many peers one refill requests a loan from.
	maxLenders = 12
	// transferRetryInterval is the time between two retries of transfers of unknown
	// outcome.
	transferRetryInterval = 5 * clocker.Second
	// maxUnknownTransfers bounds the transfers of unknown outcome that are retried.
	maxUnknownTransfers = 4096
)

// requestFromHolders requests tokens from the holders of the own availability zone,
// unless this host is one of them.
func (r *Reserver) requestFromHolders(ctx context.Context, s *shard, v *fleetView, progress *refillProgress) {
	if r.isHolder(s, v) {
		return
	}
	holders := v.zoneHolders(s)
	for _, p := range v.peers {
		if slices.Contains(holders, p.Host) && p.AvailabilityZone == r.cfg.AvailabilityZone {
			if r.pauses.requested(p.Incarnation, v.now) {
				progress.holderAnswered = true // it lacks tokens, and calls the platform for the zone
				continue
			}
			progress.holderAnswered = r.requestTransfer(ctx, s, p, s.asks(r.conditions(s, v), false), progress) || progress.holderAnswered
		}
	}
}

// requestLoans requests the tokens that waiting requests lack from peers, the most
// promising first.
func (r *Reserver) requestLoans(ctx context.Context, s *shard, v *fleetView, progress *refillProgress) {
	c := r.conditions(s, v)
	if len(s.asks(c, true)) == 0 {
		return
	}
	lenders := r.lenders(s, v)
	for _, p := range lenders[:min(maxLenders, len(lenders))] {
		asks := s.asks(c, true)
		if len(asks) == 0 {
			return
		}
		r.requestTransfer(ctx, s, p, asks, progress)
	}
}

// lenders returns the live peers. Peers with an open entry for a budget that is waited
// for come first, then those of the own availability zone, then those that hold the
// most tokens.
func (r *Reserver) lenders(s *shard, v *fleetView) []heartbeater.Peer {
	open := s.openEntries()
	lenders := slices.Clone(v.peers)
	slices.SortStableFunc(lenders, func(x, y heartbeater.Peer) int {
		return cmp.Or(
			-compareBool(open[x.Incarnation], open[y.Incarnation]),
			-compareBool(x.AvailabilityZone == r.cfg.AvailabilityZone, y.AvailabilityZone == r.cfg.AvailabilityZone),
			-cmp.Compare(x.HeldTokens, y.HeldTokens),
		)
	})
	return lenders
}

func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return 1
	default:
		return -1
	}
}

// openEntries returns the incarnations with an open entry in a budget that requests
// wait for.
func (s *shard) openEntries() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := map[string]bool{}
	for _, w := range s.waiters {
		for _, h := range s.allotter.KnownBudget(w.budget).GetHolders() {
			open[h.Incarnation] = !h.Closed
		}
	}
	return open
}

func (s *shard) asks(c allotter.Conditions, loan bool) []*messenger.TransferAsk {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allotter.TransferAsks(c, loan)
}

// requestTransfer requests tokens from a peer and merges its reply. A request without
// a reply may have moved tokens, so exchangeTotals records it to be repeated later. It
// reports whether the peer answered.
func (r *Reserver) requestTransfer(ctx context.Context, s *shard, p heartbeater.Peer, asks []*messenger.TransferAsk, progress *refillProgress) bool {
	if len(asks) == 0 || r.pauses.active(p.Incarnation, r.cfg.Clock.Now()) {
		return false
	}
	request := &messenger.TransferRequest{From: r.cfg.Incarnation, To: p.Incarnation, Asks: asks}
	s.mu.Lock()
	for _, ask := range asks {
		request.Totals = append(request.Totals, s.allotter.TransferTotalTo(p.Incarnation, ask.Budget))
	}
	s.mu.Unlock()
	reply := r.exchangeTotals(ctx, p, request)
	switch now := r.cfg.Clock.Now(); {
	case reply == nil:
		r.pauses.set(p.Incarnation, silentPeerPause, false, now)
	case reply.PauseMs > 0:
		r.pauses.set(p.Incarnation, min(clocker.Millis(reply.PauseMs), maxAskPause), true, now)
	}
	for _, budget := range reply.GetExhausted() {
		progress.exhausted[budget] = true
	}
	for _, budget := range reply.GetBusy() {
		progress.busy[budget] = true
	}
	return reply != nil
}

// exchangeTotals sends totals to a peer and merges the totals of its reply. It returns
// nil if the peer did not answer.
func (r *Reserver) exchangeTotals(ctx context.Context, p heartbeater.Peer, request *messenger.TransferRequest) *messenger.TransferReply {
	if r.cfg.Exchange == nil {
		return nil
	}
	ctx, cancel := r.cfg.Clock.WithTimeout(ctx, transferTimeout)
	defer cancel()
	reply, err := r.cfg.Exchange.Transfer(ctx, p.ExchangeAddress, request)
	if err != nil {
		transferErrors.Inc()
		r.unknownTransfers.add(request)
		return nil
	}
	for _, t := range reply.Totals {
		r.mergeTotal(p.Incarnation, t)
	}
	return reply
}

// returnToPeers returns tokens that came from peers and are not needed here.
func (r *Reserver) returnToPeers(ctx context.Context, s *shard, v *fleetView) {
	c := r.conditions(s, v)
	s.mu.Lock()
	returns := s.allotter.ReturnSurplus(c)
	s.mu.Unlock()
	for _, ret := range returns {
		for _, p := range v.peers {
			if p.Incarnation != ret.To {
				continue
			}
			r.exchangeTotals(ctx, p, &messenger.TransferRequest{From: r.cfg.Incarnation, To: ret.To, Totals: []*messenger.TransferTotal{ret.Total}})
		}
	}
}

// unknownTransfers are the transfers of unknown outcome: the budgets, by incarnation of
// the peer, whose totals the peer may not have received, or may have raised without
// this host's knowledge.
type unknownTransfers struct {
	mu            sync.Mutex
	count         int
	budgetsByPeer map[string]map[string]bool
}

func (u *unknownTransfers) add(request *messenger.TransferRequest) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.budgetsByPeer == nil {
		u.budgetsByPeer = map[string]map[string]bool{}
	}
	for _, t := range request.Totals {
		if u.count == maxUnknownTransfers {
			return
		}
		if u.budgetsByPeer[request.To] == nil {
			u.budgetsByPeer[request.To] = map[string]bool{}
		}
		if !u.budgetsByPeer[request.To][t.Budget] {
			u.budgetsByPeer[request.To][t.Budget] = true
			u.count++
		}
	}
}

// take removes and returns the budgets with transfers of unknown outcome to a peer.
func (u *unknownTransfers) take(incarnation string) []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	var budgets []string
	for budget := range u.budgetsByPeer[incarnation] {
		budgets = append(budgets, budget)
	}
	u.count -= len(budgets)
	delete(u.budgetsByPeer, incarnation)
	slices.Sort(budgets)
	return budgets
}

// retryUnknownTransfers repeats the exchanges of totals with live peers that failed.
func (r *Reserver) retryUnknownTransfers(ctx context.Context) {
	for _, p := range r.viewFleet().peers {
		budgets := r.unknownTransfers.take(p.Incarnation)
		if len(budgets) == 0 {
			continue
		}
		request := &messenger.TransferRequest{From: r.cfg.Incarnation, To: p.Incarnation}
		for _, budget := range budgets {
			s := r.shard(budget)
			s.mu.Lock()
			request.Totals = append(request.Totals, s.allotter.TransferTotalTo(p.Incarnation, budget))
			s.mu.Unlock()
			request.Asks = append(request.Asks, &messenger.TransferAsk{Budget: budget})
		}
		r.exchangeTotals(ctx, p, request)
	}
}
