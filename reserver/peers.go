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
	// askTimeout bounds one question to a peer.
	askTimeout = 500 * clocker.Millis(1)
	// maxLenders is how many peers one refill asks for a loan.
	maxLenders = 12
	// syncPause is the time between two tries to settle transfers whose outcome
	// is unknown.
	syncPause = 5 * clocker.Second
	// maxDoubts bounds the transfers of unknown outcome that are followed up.
	maxDoubts = 4096
)

// askHolders asks the holders of the own availability zone, if this host is none.
func (r *Reserver) askHolders(ctx context.Context, s *shard, v *view, rd *round) {
	if r.isHolder(s, v) {
		return
	}
	holders := v.holdersOf(s)
	for _, p := range v.peers {
		if slices.Contains(holders, p.Host) && p.AvailabilityZone == r.cfg.AvailabilityZone {
			rd.heard = r.ask(ctx, s, p, s.asks(r.circumstances(s, v), false), rd) || rd.heard
		}
	}
}

// askForLoans asks peers, the likeliest first, for what waiting requests lack.
func (r *Reserver) askForLoans(ctx context.Context, s *shard, v *view, rd *round) {
	c := r.circumstances(s, v)
	if len(s.asks(c, true)) == 0 {
		return
	}
	lenders := r.lenders(s, v)
	for _, p := range lenders[:min(maxLenders, len(lenders))] {
		asks := s.asks(c, true)
		if len(asks) == 0 {
			return
		}
		r.ask(ctx, s, p, asks, rd)
	}
}

// lenders returns the live peers, those of the own availability zone and with
// the most tokens first.
func (r *Reserver) lenders(s *shard, v *view) []heartbeater.Peer {
	listed := s.listed()
	lenders := slices.Clone(v.peers)
	slices.SortStableFunc(lenders, func(x, y heartbeater.Peer) int {
		return cmp.Or(
			-compareBool(listed[x.Incarnation], listed[y.Incarnation]),
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

// listed returns the incarnations that have an open entry in the object.
func (s *shard) listed() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := map[string]bool{}
	for _, w := range s.waiters {
		for _, h := range s.allotter.KnownBudget(w.budget).GetHolders() {
			listed[h.Incarnation] = !h.Closed
		}
	}
	return listed
}

func (s *shard) asks(c allotter.Conditions, loan bool) []*messenger.TransferAsk {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allotter.TransferAsks(c, loan)
}

// ask puts questions to a peer and takes in its answer. A question without an
// answer may have moved tokens: it is followed up later. It reports whether the
// peer answered.
func (r *Reserver) ask(ctx context.Context, s *shard, p heartbeater.Peer, asks []*messenger.TransferAsk, rd *round) bool {
	if len(asks) == 0 {
		return false
	}
	request := &messenger.TransferRequest{From: r.cfg.Incarnation, To: p.Incarnation, Asks: asks}
	s.mu.Lock()
	for _, ask := range asks {
		request.Totals = append(request.Totals, s.allotter.TransferTotalTo(p.Incarnation, ask.Budget))
	}
	s.mu.Unlock()
	reply := r.send(ctx, p, request)
	for _, budget := range reply.GetExhausted() {
		rd.exhausted[budget] = true
	}
	for _, budget := range reply.GetBusy() {
		rd.busy[budget] = true
	}
	return reply != nil
}

// send exchanges totals with a peer. It returns nil without an answer.
func (r *Reserver) send(ctx context.Context, p heartbeater.Peer, request *messenger.TransferRequest) *messenger.TransferReply {
	if r.cfg.Exchange == nil {
		return nil
	}
	ctx, cancel := r.cfg.Clock.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply, err := r.cfg.Exchange.Transfer(ctx, p.ExchangeAddress, request)
	if err != nil {
		transferErrors.Inc()
		r.doubts.add(request)
		return nil
	}
	for _, t := range reply.Totals {
		r.receive(p.Incarnation, t)
	}
	return reply
}

// giveBack returns to peers what came from them and is not wanted here.
func (r *Reserver) giveBack(ctx context.Context, s *shard, v *view) {
	c := r.circumstances(s, v)
	s.mu.Lock()
	returns := s.allotter.ReturnSurplus(c)
	s.mu.Unlock()
	for _, ret := range returns {
		for _, p := range v.peers {
			if p.Incarnation != ret.To {
				continue
			}
			r.send(ctx, p, &messenger.TransferRequest{From: r.cfg.Incarnation, To: ret.To, Totals: []*messenger.TransferTotal{ret.Total}})
		}
	}
}

// doubts are budgets whose totals a peer may not have got, or may have raised
// without this host knowing, by incarnation.
type doubts struct {
	mu     sync.Mutex
	count  int
	byPeer map[string]map[string]bool
}

func (d *doubts) add(request *messenger.TransferRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byPeer == nil {
		d.byPeer = map[string]map[string]bool{}
	}
	for _, t := range request.Totals {
		if d.count == maxDoubts {
			return
		}
		if d.byPeer[request.To] == nil {
			d.byPeer[request.To] = map[string]bool{}
		}
		if !d.byPeer[request.To][t.Budget] {
			d.byPeer[request.To][t.Budget] = true
			d.count++
		}
	}
}

// take removes and returns the budgets in doubt with a peer.
func (d *doubts) take(incarnation string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var budgets []string
	for budget := range d.byPeer[incarnation] {
		budgets = append(budgets, budget)
	}
	d.count -= len(budgets)
	delete(d.byPeer, incarnation)
	slices.Sort(budgets)
	return budgets
}

// syncDoubts exchanges totals with live peers once more where that failed.
func (r *Reserver) syncDoubts(ctx context.Context) {
	for _, p := range r.look().peers {
		budgets := r.doubts.take(p.Incarnation)
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
		r.send(ctx, p, request)
	}
}
