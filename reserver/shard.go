package reserver

import (
	"fmt"
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/allotter"
	"cowsliphinge/clocker"
)

var settledTwice = metrics.NewCounter("cowsliphinge_budget_settled_twice_total")

// shard is the local state of all budgets that are stored in one object.
type shard struct {
	number int
	key    string
	// platformSlot is held during calls to the platform; one runs at a time.
	platformSlot chan struct{}

	mu       sync.Mutex
	allotter *allotter.Allotter
	waiters  []*waiter
	refusals map[string]refusal
	// refused are the refused requests by budget.
	refused map[string]int64
	// contentKnown is true while the allotter has the object as the last call left it.
	// It is false before the first read, and after a write whose resulting object is
	// not known.
	contentKnown bool
	// restoredAt is when a restore of the store was last noticed, and settling is true until the
	// budgets may be drawn from again.
	restoredAt clocker.Millis
	settling   bool
	// closing is true once this incarnation closes its entries.
	closing bool
	// closedByOthers are the budgets whose entry of this host another host has closed.
	closedByOthers []string
	// refillQueued is true while the shard waits in the refill queue.
	refillQueued bool
	// refillsForAskers is true while refillForAskers runs, and askersWait once further asks arrived.
	refillsForAskers, askersWait bool
	// refillsStarted counts the started refills; several may run concurrently.
	refillsStarted int64
	// nextRefillAt is when the next refill for requests that still wait is due.
	nextRefillAt clocker.Millis
	refillDelay  clocker.Millis

	holders         []string
	holdersZoneHash uint64
	// otherHolders are the holders of other availability zones, computed from the hosts with otherZonesHash.
	otherHolders   []string
	otherZonesHash uint64

	// asked are the budgets of which an ask is on its way, by incarnation of the peer. askSkipped is true
	// for a peer if a further ask was left out because of that.
	asked      map[string]map[string]bool
	askSkipped map[string]bool

	// balancing is true while a balancing ask is on its way, and balances counts the asks.
	balancing bool
	balances  int
}

// waiter is a request that waits for headroom.
type waiter struct {
	budget string
	tokens int64
	rank   int
	// firstRefill is the number of the first refill that started after the request
	// was added; 0 if none has started.
	firstRefill int64
	result      chan waitResult
}

// waitResult is how a wait ended: the ID of a reservation, or an error.
type waitResult struct {
	reservationID int64
	err           error
}

func newShard(number int, cfg allotter.Config) *shard {
	return &shard{
		number:       number,
		key:          fmt.Sprintf("budget/%05d", number),
		platformSlot: make(chan struct{}, 1),
		allotter:     allotter.New(cfg),
		refusals:     map[string]refusal{},
		refused:      map[string]int64{},
		asked:        map[string]map[string]bool{},
		askSkipped:   map[string]bool{},
	}
}

func (s *shard) reserve(budget string, tokens int64, rank int, now clocker.Millis) (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allotter.Reserve(budget, tokens, rank, now)
}

// countRefused counts a refused request.
func (s *shard) countRefused(budget string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[budget]++
}

// settle ends a reservation. It returns true if requests still wait and the budget
// has no open reservation left here that could free tokens for them.
func (s *shard) settle(reservation Reservation, used int64, now clocker.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.allotter.Settle(reservation.Budget, reservation.ID, used, now) {
		settledTwice.Inc()
		return false
	}
	if len(s.waiters) == 0 {
		return false
	}
	s.reserveForWaiters(now)
	return len(s.waiters) > 0 && s.allotter.Reserved(reservation.Budget) == 0
}

// addWaiter adds a waiter. The caller queues a refill.
func (s *shard) addWaiter(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiters = append(s.waiters, w)
	s.refillDelay = refillRetryDelay
	s.allotter.AddWaiting(w.budget, w.tokens, w.rank)
}

// removeWaiter removes a waiter, or returns its result if its wait has already ended.
func (s *shard) removeWaiter(w *waiter) (waitResult, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case result := <-w.result:
		return result, true
	default:
	}
	s.endWaits(func(other *waiter) (waitResult, bool) { return waitResult{}, other == w })
	return waitResult{}, false
}

// reserveForWaiters reserves for the waiters that now fit, oldest first. The caller holds mu.
func (s *shard) reserveForWaiters(now clocker.Millis) {
	s.endWaits(func(w *waiter) (waitResult, bool) {
		id, ok := s.allotter.Reserve(w.budget, w.tokens, w.rank, now)
		return waitResult{reservationID: id}, ok
	})
}

// endWaits ends the waits for which decide returns true. The caller holds mu.
func (s *shard) endWaits(decide func(*waiter) (waitResult, bool)) {
	s.waiters = slices.DeleteFunc(s.waiters, func(w *waiter) bool {
		result, ended := decide(w)
		if ended {
			w.result <- result
			s.allotter.AddWaiting(w.budget, -w.tokens, w.rank)
		}
		return ended
	})
}
