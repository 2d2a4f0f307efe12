package reserver

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/allotter"
	"cowsliphinge/clocker"
)

var settledTwice = metrics.NewCounter("cowsliphinge_budget_settled_twice_total")

// shard is the state of the budgets of one object.
type shard struct {
	number int
	key    string
	// turn is held during exchanges with the platform, one at a time.
	turn chan struct{}

	mu       sync.Mutex
	allotter *allotter.Allotter
	waiters  []*waiter
	// queued is true while the shard waits for a refill.
	queued bool
}

// waiter is a request that waits for headroom.
type waiter struct {
	budget string
	tokens int64
	// seen is true once a refill has started that knew of it.
	seen bool
	done chan grant
}

// grant ends a wait: a reservation's ID, or an error.
type grant struct {
	id  int64
	err error
}

func newShard(number int, incarnation string) *shard {
	return &shard{
		number:   number,
		key:      fmt.Sprintf("budget/%05d", number),
		turn:     make(chan struct{}, 1),
		allotter: allotter.New(allotter.Config{Incarnation: incarnation}),
	}
}

func (s *shard) reserve(budget string, tokens int64, now clocker.Millis) (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allotter.Reserve(budget, tokens, now)
}

func (s *shard) settle(reservation Reservation, used int64, now clocker.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.allotter.Settle(reservation.Budget, reservation.ID, used, now) {
		settledTwice.Inc()
		return
	}
	if len(s.waiters) > 0 {
		s.wake(now)
	}
}

// join adds a waiter. The caller wakes a refill.
func (s *shard) join(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiters = append(s.waiters, w)
	s.tellNeed(w.budget)
}

// leave removes a waiter and returns its grant if one came meanwhile.
func (s *shard) leave(w *waiter) (grant, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case g := <-w.done:
		return g, true
	default:
	}
	for i, other := range s.waiters {
		if other == w {
			s.waiters = append(s.waiters[:i], s.waiters[i+1:]...)
			break
		}
	}
	s.tellNeed(w.budget)
	return grant{}, false
}

// wake grants what now fits, oldest first. The caller holds mu.
func (s *shard) wake(now clocker.Millis) {
	kept := s.waiters[:0]
	for _, w := range s.waiters {
		id, ok := s.allotter.Reserve(w.budget, w.tokens, now)
		if !ok {
			kept = append(kept, w)
			continue
		}
		w.done <- grant{id: id}
	}
	clear(s.waiters[len(kept):])
	woken := len(s.waiters) - len(kept)
	s.waiters = kept
	if woken > 0 {
		s.tellNeeds()
	}
}

func (s *shard) tellNeeds() {
	for _, w := range s.waiters {
		s.tellNeed(w.budget)
	}
}

func (s *shard) tellNeed(budget string) {
	var need int64
	for _, w := range s.waiters {
		if w.budget == budget {
			need += w.tokens
		}
	}
	s.allotter.SetNeed(budget, need)
}
