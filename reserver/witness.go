package reserver

import (
	"context"
	"log/slog"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

const (
	// witnessTimeout bounds the wait for the answer of a witness, in milliseconds. A witness that did not answer is
	// asked again after that time, and one that did not agree after witnessRetryInterval.
	witnessTimeout       = 300 * clocker.Millis(1)
	witnessRetryInterval = clocker.Second
)

var (
	// holdersClosed counts silent holders whose entries this host closed as their witness, and holdersHeardAgain
	// those that sent a heartbeat afterwards.
	holdersClosed     = metrics.NewCounter("cowsliphinge_budget_holders_closed_total")
	holdersHeardAgain = metrics.NewCounter("cowsliphinge_budget_holders_heard_again_total")
	// witnessAgreements counts the times that a witness agreed that this host spends guarded tokens, and
	// witnessRefusals those that it did not.
	witnessAgreements = metrics.NewCounter("cowsliphinge_budget_witness_agreements_total")
	witnessRefusals   = metrics.NewCounter("cowsliphinge_budget_witness_refusals_total")
)

// witnesses is the state of the questions to witnesses, and of the holders that this host closed as one.
type witnesses struct {
	mu sync.Mutex
	// askAgainAt is when questions may be asked again. refused are those whose last answer was a refusal.
	askAgainAt map[witnessQuestion]clocker.Millis
	refused    map[witnessQuestion]bool
	// closed is when the entries of silent holders were closed, by incarnation.
	closed map[string]clocker.Millis
}

// witnessQuestion identifies a question to a witness about the leases of a shard.
type witnessQuestion struct {
	shard   int
	witness string
}

// witnessOf returns the incarnation that this host names as its witness: the other holder of its availability zone, so
// that both are on the same side when zones are cut off from each other. It is "" if there is none. Holders of builds
// that can't be witnesses would never agree.
func (r *Reserver) witnessOf(s *shard, v *fleetView) string {
	if r.cfg.Guard == nil || r.cfg.Exchange == nil || !r.isHolder(s, v) {
		return ""
	}
	for _, host := range v.zoneHolders(s) {
		for _, p := range v.peers {
			if p.Host == host && host != r.cfg.Host && p.AvailabilityZone == r.cfg.AvailabilityZone && p.Witnesses && !p.Draining {
				return p.Incarnation
			}
		}
	}
	return ""
}

// askWitnesses asks the witnesses of leases that are about to end to agree that guarded tokens are spent.
func (r *Reserver) askWitnesses(ctx context.Context) {
	if r.cfg.Guard == nil || r.cfg.Exchange == nil || r.closing.Load() {
		return
	}
	r.logHeardAgain()
	for _, s := range r.activeShards() {
		s.mu.Lock()
		asked, leaseAt := s.allotter.WitnessesToAsk(r.cfg.Clock.Now())
		budget := s.allotter.AnyBudget()
		s.mu.Unlock()
		for _, witness := range asked {
			r.askWitness(ctx, s, witness, budget, leaseAt)
		}
	}
}

// askWitness asks one witness, unless it was asked just now.
func (r *Reserver) askWitness(ctx context.Context, s *shard, witness, budget string, leaseAt clocker.Millis) {
	address := r.addressOf(witness)
	question := witnessQuestion{s.number, witness}
	if address == "" || !r.witnesses.begin(question, r.cfg.Clock.Now()) {
		return
	}
	r.tasks.Go(func() error {
		ctx, cancel := r.cfg.Clock.WithTimeout(ctx, witnessTimeout)
		defer cancel()
		reply, err := r.cfg.Exchange.Transfer(ctx, address, &messenger.TransferRequest{From: r.cfg.Incarnation, To: witness, OpensGuardOf: budget, OpensGuardAtMs: int64(leaseAt)})
		if err != nil {
			transferErrors.Inc()
			return nil // asked again
		}
		agreed := reply.GuardOpensAtMs > 0
		if r.witnesses.answered(question, agreed, r.cfg.Clock.Now()) {
			slog.Info("the witness of this holder answers", "witness", witness, "key", s.key, "agrees", agreed)
		}
		if !agreed {
			witnessRefusals.Inc()
			return nil
		}
		witnessAgreements.Inc()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.allotter.WitnessAgreed(witness, clocker.Millis(reply.GuardOpensAtMs))
		s.reserveForWaiters(r.cfg.Clock.Now())
		return nil
	})
}

// addressOf returns the exchange address of an incarnation, "" if it is not known.
func (r *Reserver) addressOf(incarnation string) string {
	for _, p := range r.cfg.Peers() {
		if p.Incarnation == incarnation {
			return p.ExchangeAddress
		}
	}
	return ""
}

// agreeToSpending answers the question of another host whose witness this one is. It returns the start of the lease to
// which it agrees, 0 if it does not.
func (r *Reserver) agreeToSpending(from, budget string, leaseAt clocker.Millis) clocker.Millis {
	s := r.shard(budget)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.allotter.AgreeToSpending(from, leaseAt) {
		return 0
	}
	return leaseAt
}

// begin reports whether a question may be asked now, and assumes that the caller does so.
func (w *witnesses) begin(q witnessQuestion, now clocker.Millis) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now < w.askAgainAt[q] {
		return false
	}
	w.askAgainAt[q] = now + witnessTimeout
	return true
}

// answered records an answer and reports whether it is worth a log line: all agreements are, and the first refusal.
func (w *witnesses) answered(q witnessQuestion, agreed bool, now clocker.Millis) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if agreed {
		delete(w.askAgainAt, q)
		delete(w.refused, q)
		return true
	}
	w.askAgainAt[q] = now + witnessRetryInterval
	first := !w.refused[q]
	w.refused[q] = true
	return first
}

// recordClosed logs the holders whose entries a write has closed though they may still run.
func (r *Reserver) recordClosed(s *shard, silent []string) {
	now := r.cfg.Clock.Now()
	r.witnesses.mu.Lock()
	defer r.witnesses.mu.Unlock()
	for _, incarnation := range silent {
		slog.Warn("the entries of a silent holder are closed", "key", s.key, "incarnation", incarnation, "heard_ms_ago", r.heardAgo(incarnation, now))
		holdersClosed.Inc()
		r.witnesses.closed[incarnation] = now
	}
}

// heardAgo returns the time since the last heartbeat of an incarnation, -1 if none is known.
func (r *Reserver) heardAgo(incarnation string, now clocker.Millis) clocker.Millis {
	for _, p := range r.cfg.Peers() {
		if p.Incarnation == incarnation && p.LastHeard > 0 {
			return now - p.LastHeard
		}
	}
	return -1
}

// logHeardAgain logs incarnations that have sent a heartbeat after their entries were closed.
func (r *Reserver) logHeardAgain() {
	r.witnesses.mu.Lock()
	defer r.witnesses.mu.Unlock()
	if len(r.witnesses.closed) == 0 {
		return
	}
	for _, p := range r.cfg.Peers() {
		if at, closed := r.witnesses.closed[p.Incarnation]; closed && p.LastHeard > at {
			slog.Warn("a holder whose entries were closed is heard again", "incarnation", p.Incarnation, "after_ms", p.LastHeard-at)
			holdersHeardAgain.Inc()
			delete(r.witnesses.closed, p.Incarnation)
		}
	}
}
