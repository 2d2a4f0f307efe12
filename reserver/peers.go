package reserver

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"cowsliphinge/allotter"
	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
	"cowsliphinge/messenger"
)

const (
	// transferTimeout bounds one transfer request to a peer.
	transferTimeout = 500 * clocker.Millis(1)
	// maxLenders is how many peers one refill requests a loan from. maxLendersBesideHolders is the same
	// for a host whose holders answered: those of builds that don't borrow for their zone can't be told
	// from others. maxBalancedLenders is the same while holders balance their tokens.
	maxLenders              = 4
	maxLendersBesideHolders = 1
	maxBalancedLenders      = 2
	// transferRetryInterval is the time between two retries of transfers of unknown
	// outcome.
	transferRetryInterval = 5 * clocker.Second
	// maxUnknownTransfers bounds the transfers of unknown outcome that are retried.
	maxUnknownTransfers = 4096
)

// requestFromHolders requests tokens from the holders of the own availability zone,
// unless this host is one of them. Hosts begin with different holders, and ask the next one
// once the first answered with too little or is slow.
func (r *Reserver) requestFromHolders(ctx context.Context, s *shard, v *fleetView, progress *refillProgress) {
	if r.isHolder(s, v) {
		return
	}
	hosts := v.zoneHolders(s)
	wanted := s.waitedFor()
	var holders []heartbeater.Peer
	for _, p := range v.peers {
		switch {
		case !slices.Contains(hosts, p.Host) || p.AvailabilityZone != r.cfg.AvailabilityZone:
		case r.pauses.requested(p.Incarnation, wanted, v.now):
			progress.holderAnswered = true // it lacks tokens, and calls the platform for the zone
		default:
			holders = append(holders, p)
		}
	}
	if len(holders) > 1 && xxhash.Sum64String(r.cfg.Host)%2 == 1 {
		slices.Reverse(holders)
	}
	balances := r.balances(v)
	asks := func() []*messenger.TransferAsk {
		asks := s.asks(r.conditions(s, v), false)
		if balances && !slices.ContainsFunc(asks, func(ask *messenger.TransferAsk) bool { return ask.Needed > 0 }) {
			return nil // what is taken ahead of requests is not worth an ask of its own while tokens are scarce
		}
		return asks
	}
	if r.askInTurn(ctx, s, holders, asks, holderAskWait, progress) {
		progress.holderAnswered = true
	}
}

// requestLoans requests the tokens that waiting requests lack from peers, the most
// promising first. A host that is no holder asks few of them if the holders of its zone answered,
// since these borrow for it.
func (r *Reserver) requestLoans(ctx context.Context, s *shard, v *fleetView, progress *refillProgress) {
	asks := func() []*messenger.TransferAsk { return s.asks(r.conditions(s, v), true) }
	if len(asks()) == 0 {
		return
	}
	count := maxLenders
	switch balances := r.balances(v); {
	case balances && progress.holderAnswered:
		return // the holders have a part by demand of what is left
	case balances:
		count = maxBalancedLenders
	case r.cfg.HoldersFirst && progress.holderAnswered:
		count = maxLendersBesideHolders
	}
	lenders, wanted := r.lenders(s, v), s.waitedFor()
	lenders = slices.DeleteFunc(lenders[:min(count, len(lenders))], func(p heartbeater.Peer) bool { return r.pauses.active(p.Incarnation, wanted, v.now) })
	r.askInTurn(ctx, s, lenders, asks, loanAskWait, progress)
}

// lenders returns the live peers that can have tokens: the holders of all availability zones, and the
// hosts with an open entry for a budget that is waited for. Holders with such an entry come first, then other
// holders, then those of the own availability zone, then those that hold the most tokens. So that not all
// hosts ask the same one, the tokens of each peer count for a share that differs from host to host.
func (r *Reserver) lenders(s *shard, v *fleetView) []heartbeater.Peer {
	open, holders := s.openEntries(), v.allHolders(s)
	lenders := slices.Clone(v.peers)
	lenders = slices.DeleteFunc(lenders, func(p heartbeater.Peer) bool {
		return !holders[p.Host] && !open[p.Incarnation]
	})
	slices.SortStableFunc(lenders, func(x, y heartbeater.Peer) int {
		return cmp.Or(
			-compareBool(holders[x.Host] && open[x.Incarnation], holders[y.Host] && open[y.Incarnation]),
			-compareBool(open[x.Incarnation], open[y.Incarnation]),
			-compareBool(x.AvailabilityZone == r.cfg.AvailabilityZone, y.AvailabilityZone == r.cfg.AvailabilityZone),
			-cmp.Compare(r.heldShare(x), r.heldShare(y)),
		)
	})
	return lenders
}

// heldShare returns the tokens that a peer holds, times a factor of 0.5 to 1 that is fixed for this host and the
// peer.
func (r *Reserver) heldShare(p heartbeater.Peer) float64 {
	return float64(p.HeldTokens) * (0.5 + float64(xxhash.Sum64String(r.cfg.Host+"/"+p.Host)%1000)/2000)
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

// requestTransfer requests tokens from a peer and merges its reply. Budgets of which an ask is on its way
// to the peer are left out. A request without a reply may have moved tokens, so exchangeTotals
// records it to be repeated later.
func (r *Reserver) requestTransfer(ctx context.Context, s *shard, p heartbeater.Peer, asks []*messenger.TransferAsk) askResult {
	asks = r.pauses.due(p.Incarnation, asks, r.cfg.Clock.Now())
	if len(asks) == 0 {
		return askResult{}
	}
	asks = s.startAsks(p.Incarnation, asks)
	if len(asks) == 0 {
		asksSkipped.Inc()
		return askResult{onItsWay: true}
	}
	request := &messenger.TransferRequest{From: r.cfg.Incarnation, To: p.Incarnation, Asks: asks}
	returnsFragments := r.returnsFragments(s, p)
	s.mu.Lock()
	if returnsFragments {
		request.Totals = s.allotter.ReturnFragments(p.Incarnation)
	}
	totalled := map[string]bool{}
	for _, t := range request.Totals {
		totalled[t.Budget] = true
	}
	for _, ask := range asks {
		if !totalled[ask.Budget] {
			totalled[ask.Budget] = true
			request.Totals = append(request.Totals, s.allotter.TransferTotalTo(p.Incarnation, ask.Budget))
		}
	}
	s.mu.Unlock()
	reply := r.exchangeTotals(ctx, p, request)
	switch now := r.cfg.Clock.Now(); {
	case reply == nil:
		r.pauses.set(p.Incarnation, silentPeerPause, now)
	case reply.PauseMs > 0:
		r.pauses.setRequested(p.Incarnation, min(clocker.Millis(reply.PauseMs), maxAskPause), reply.Available, now)
	}
	if s.endAsks(p.Incarnation, asks) {
		r.queueRefill(s)
	}
	return askResult{answered: reply != nil, exhausted: reply.GetExhausted(), busy: reply.GetBusy()}
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
