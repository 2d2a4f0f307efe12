package reserver

import (
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
	"cowsliphinge/messenger"
)

const (
	// balanceInterval is the time between two balancing asks of a holder, in milliseconds.
	balanceInterval = 200 * clocker.Millis(1)
	// minBalancingHosts is the number of live hosts from which holders balance. In smaller fleets most hosts are
	// holders and borrow for their own callers.
	minBalancingHosts = 16
)

var balancingAsks = metrics.NewCounter("cowsliphinge_budget_balancing_asks_total")

// balances reports whether holders balance their tokens: while the platform is unreachable, in fleets of many hosts.
func (r *Reserver) balances(v *fleetView) bool {
	return r.cfg.HoldersFirst && len(v.liveHosts) >= minBalancingHosts && r.platformUnreachable()
}

// balance asks another holder for the part of its tokens by which it has more than this one, relative to the demand of
// both, if this host is a holder and the platform is unreachable. Each call asks the next holder of all availability
// zones. Tokens so reach the zones whose callers need them without a loan for each request.
func (r *Reserver) balance() {
	if r.cfg.Exchange == nil || r.closing.Load() || !r.platformUnreachable() {
		return
	}
	v := r.viewFleet()
	if !r.balances(v) {
		return
	}
	for _, s := range r.activeShards() {
		if !r.isHolder(s, v) {
			continue
		}
		if p, ok := r.nextHolder(s, v); ok && s.startBalance() {
			r.tasks.Go(func() error {
				r.balanceWith(s, p)
				return nil
			})
		}
	}
}

// nextHolder returns the holder that this host balances with next. Holders that did not answer lately are left out.
func (r *Reserver) nextHolder(s *shard, v *fleetView) (heartbeater.Peer, bool) {
	holders := v.allHolders(s)
	peers := slices.DeleteFunc(slices.Clone(v.peers), func(p heartbeater.Peer) bool {
		return !holders[p.Host] || r.pauses.silent(p.Incarnation, v.now)
	})
	if len(peers) == 0 {
		return heartbeater.Peer{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balances++
	return peers[s.balances%len(peers)], true
}

func (r *Reserver) balanceWith(s *shard, p heartbeater.Peer) {
	defer s.endBalance()
	s.mu.Lock()
	request := &messenger.TransferRequest{From: r.cfg.Incarnation, To: p.Incarnation, Asks: s.allotter.BalanceAsks(r.cfg.Clock.Now())}
	for _, ask := range request.Asks {
		request.Totals = append(request.Totals, s.allotter.TransferTotalTo(p.Incarnation, ask.Budget))
	}
	s.mu.Unlock()
	if len(request.Asks) == 0 {
		return
	}
	balancingAsks.Inc()
	if r.exchangeTotals(r.ctx, p, request) == nil {
		r.pauses.set(p.Incarnation, silentPeerPause, r.cfg.Clock.Now())
	}
}

// startBalance reports whether no balancing ask of the shard is on its way, and marks one as such.
func (s *shard) startBalance() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	started := !s.balancing
	s.balancing = true
	return started
}

func (s *shard) endBalance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancing = false
}

// answerBalance sends a holder what balances its tokens with those of this host.
func (r *Reserver) answerBalance(to string, ask *messenger.TransferAsk, v *fleetView, reply *messenger.TransferReply) {
	s := r.shard(ask.Budget)
	s.mu.Lock()
	defer s.mu.Unlock()
	sentBefore := s.allotter.TransferTotalTo(to, ask.Budget).Given
	total := s.allotter.BalanceTo(to, ask, v.now)
	tokensSent.Add(int(total.Given - sentBefore))
	reply.Totals = append(reply.Totals, total)
}

// returnsFragments reports whether an ask for tokens to a peer also returns headroom that is too small for a request:
// while the platform is unreachable, from a host that is no holder to a holder.
func (r *Reserver) returnsFragments(s *shard, p heartbeater.Peer) bool {
	if !r.platformUnreachable() {
		return false
	}
	v := r.viewFleet()
	return r.balances(v) && !r.isHolder(s, v) && v.allHolders(s)[p.Host]
}
