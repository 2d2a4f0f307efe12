package reserver

import (
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

const (
	// maxEmptyAnswers is the number of answers without tokens a second from which a host asks for
	// pauses. At about 0.4 ms each they take less than a tenth of a host of a fifth of a core.
	maxEmptyAnswers = 40
	// meterPeriod is the time over which the answers are counted, in milliseconds.
	meterPeriod = clocker.Second
	// maxAskPause bounds a pause, in milliseconds. A host that lacks tokens of one budget may have
	// some of another.
	maxAskPause = 5 * clocker.Second
	// openingSpread spreads the asks that come when a holder's guarded tokens may be spent, in milliseconds.
	openingSpread = 200 * clocker.Millis(1)
	// silentPeerPause is how long a peer that did not answer is not asked again, in milliseconds: it
	// may have too much to do.
	silentPeerPause = clocker.Second
)

var requestedPauses = metrics.NewCounter("cowsliphinge_budget_ask_pauses_total")

// answerMeter counts a host's answers without tokens and tells the askers how long to pause. All
// hosts of a fleet ask those that hold the most tokens, also once these have none left.
type answerMeter struct {
	mu sync.Mutex
	// startedAt is the start of the current period, count the answers in it, and previous those
	// in the period before.
	startedAt       clocker.Millis
	count, previous float64
}

// record counts an answer and returns the pause for its asker, 0 for none.
func (m *answerMeter) record(now clocker.Millis) clocker.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch elapsed := now - m.startedAt; {
	case elapsed >= 2*meterPeriod:
		m.startedAt, m.previous, m.count = now, 0, 0
	case elapsed >= meterPeriod:
		m.startedAt, m.previous, m.count = m.startedAt+meterPeriod, m.count, 0
	}
	m.count++
	rate := m.count + m.previous*(1-float64(now-m.startedAt)/float64(meterPeriod))
	if rate <= maxEmptyAnswers {
		return 0
	}
	requestedPauses.Inc()
	return min(clocker.Millis(rate/maxEmptyAnswers*float64(meterPeriod)), maxAskPause)
}

// askPauses are the pauses in which peers are not asked for tokens, by incarnation.
type askPauses struct {
	mu     sync.Mutex
	byPeer map[string]askPause
}

type askPause struct {
	until clocker.Millis
	// requested is true if the peer asked for the pause.
	requested bool
	// available are the budgets that the pause does not apply to.
	available []string
}

// blocks reports whether the pause applies to a budget.
func (p askPause) blocks(budget string, now clocker.Millis) bool {
	return now < p.until && !slices.Contains(p.available, budget)
}

// blocksAll reports whether the pause applies to all budgets.
func (p askPause) blocksAll(budgets []string, now clocker.Millis) bool {
	return now < p.until && !slices.ContainsFunc(budgets, func(budget string) bool { return slices.Contains(p.available, budget) })
}

// set starts a pause after an ask without an answer.
func (a *askPauses) set(incarnation string, duration, now clocker.Millis) {
	a.start(incarnation, askPause{until: now + duration}, now)
}

// setRequested starts a pause that the peer asked for, except for the available budgets.
func (a *askPauses) setRequested(incarnation string, duration clocker.Millis, available []string, now clocker.Millis) {
	a.start(incarnation, askPause{until: now + duration, requested: true, available: available}, now)
}

func (a *askPauses) start(incarnation string, pause askPause, now clocker.Millis) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for peer, p := range a.byPeer {
		if now >= p.until {
			delete(a.byPeer, peer)
		}
	}
	if a.byPeer == nil {
		a.byPeer = map[string]askPause{}
	}
	a.byPeer[incarnation] = pause
}

// active reports whether the peer is not to be asked for any of the budgets.
func (a *askPauses) active(incarnation string, budgets []string, now clocker.Millis) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.byPeer[incarnation].blocksAll(budgets, now)
}

// requested reports whether that is so because the peer asked for it.
func (a *askPauses) requested(incarnation string, budgets []string, now clocker.Millis) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.byPeer[incarnation]
	return p.requested && p.blocksAll(budgets, now)
}

// silent reports whether the peer left an ask unanswered lately.
func (a *askPauses) silent(incarnation string, now clocker.Millis) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.byPeer[incarnation]
	return !p.requested && now < p.until
}

// due returns the asks that no pause of the peer applies to.
func (a *askPauses) due(incarnation string, asks []*messenger.TransferAsk, now clocker.Millis) []*messenger.TransferAsk {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.byPeer[incarnation]
	var due []*messenger.TransferAsk
	for _, ask := range asks {
		if !p.blocks(ask.Budget, now) {
			due = append(due, ask)
		}
	}
	return due
}

// until returns the end of the pause that the peer asked for last, 0 without one that applies to all of the budgets.
func (a *askPauses) until(incarnation string, budgets []string) clocker.Millis {
	a.mu.Lock()
	defer a.mu.Unlock()
	if p := a.byPeer[incarnation]; p.requested && p.blocksAll(budgets, 0) {
		return p.until
	}
	return 0
}
