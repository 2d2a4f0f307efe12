package reserver

import (
	"context"

	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
	"cowsliphinge/messenger"
)

const (
	// nextAskDelay is how long a peer is waited for before the next one is asked as well, in milliseconds. A
	// holder that writes the object first takes about that long.
	nextAskDelay = 30 * clocker.Millis(1)
	// holderAskWait and loanAskWait bound the wait for the answers of all asked peers, in milliseconds. Tokens
	// of later answers are merged when they arrive.
	holderAskWait = 120 * clocker.Millis(1)
	loanAskWait   = 90 * clocker.Millis(1)
)

var asksSkipped = metrics.NewCounter("cowsliphinge_budget_asks_skipped_total")

// askResult is the result of an ask for tokens.
type askResult struct {
	answered bool
	// onItsWay is true if nothing was sent because an earlier ask for the same budgets is unanswered.
	onItsWay bool
	// exhausted are the budgets that the platform has no tokens of, according to the peer, and busy those
	// of which requests in flight there may free some.
	exhausted, busy []string
}

// startAsks marks the budgets of asks as asked of a peer and returns the asks without those that were marked
// already.
func (s *shard) startAsks(incarnation string, asks []*messenger.TransferAsk) []*messenger.TransferAsk {
	s.mu.Lock()
	defer s.mu.Unlock()
	asked := s.asked[incarnation]
	var due []*messenger.TransferAsk
	for _, ask := range asks {
		if !asked[ask.Budget] {
			due = append(due, ask) // several ranks of one budget go together
		} else if ask.Needed > 0 {
			s.askSkipped[incarnation] = true
		}
	}
	if len(due) > 0 && asked == nil {
		asked = map[string]bool{}
		s.asked[incarnation] = asked
	}
	for _, ask := range due {
		asked[ask.Budget] = true
	}
	return due
}

// endAsks undoes the marks of startAsks. It reports whether requests wait for which an ask was left out
// meanwhile.
func (s *shard) endAsks(incarnation string, asks []*messenger.TransferAsk) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, ask := range asks {
		delete(s.asked[incarnation], ask.Budget)
	}
	if len(s.asked[incarnation]) == 0 {
		delete(s.asked, incarnation)
	}
	skipped := s.askSkipped[incarnation]
	delete(s.askSkipped, incarnation)
	return skipped && len(s.waiters) > 0
}

// askInTurn asks peers for tokens until no ask is due any more. It asks the next peer once the answers brought
// too little, or nextAskDelay after the last one. It waits for answers for at most maxWait and reports
// whether a peer answered; asks that are still on their way keep the requests waiting.
func (r *Reserver) askInTurn(ctx context.Context, s *shard, peers []heartbeater.Peer, asks func() []*messenger.TransferAsk, maxWait clocker.Millis, progress *refillProgress) bool {
	results := make(chan askResult, len(peers))
	total, cancel := r.cfg.Clock.WithTimeout(ctx, maxWait)
	defer cancel()
	pending, answered := 0, false
	for next := 0; next < len(peers) || pending > 0; {
		due := asks()
		if len(due) == 0 {
			break
		}
		delay := maxWait
		if next < len(peers) {
			p := peers[next]
			next++
			pending++
			r.tasks.Go(func() error {
				results <- r.requestTransfer(ctx, s, p, due)
				return nil
			})
			delay = nextAskDelay
		}
		result, ok := r.awaitAnswer(total, results, delay)
		switch {
		case ok:
			pending--
			answered = answered || result.answered || result.onItsWay
			progress.add(result)
		case total.Err() != nil:
			progress.contended = true
			return true // no answer within transferTimeout makes a pause, and the next refill goes on without the peer
		}
	}
	return answered
}

// awaitAnswer waits for one answer for at most d.
func (r *Reserver) awaitAnswer(ctx context.Context, results <-chan askResult, d clocker.Millis) (askResult, bool) {
	ctx, cancel := r.cfg.Clock.WithTimeout(ctx, d)
	defer cancel()
	select {
	case result := <-results:
		return result, true
	case <-ctx.Done():
		return askResult{}, false
	}
}

// add adds what a peer answered.
func (p *refillProgress) add(result askResult) {
	for _, budget := range result.exhausted {
		p.exhausted[budget] = true
	}
	for _, budget := range result.busy {
		p.busy[budget] = true
	}
	p.contended = p.contended || result.onItsWay
}
