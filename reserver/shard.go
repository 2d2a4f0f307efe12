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

// shard is the state of the budgets of one object.
type shard struct {
	number int
	key    string
	// turn is held during exchanges with the platform, one at a time.
	turn chan struct{}

	mu       sync.Mutex
	allotter *allotter.Allotter
	waiters  []*waiter
	verdicts map[string]verdict
	// known is true while the allotter knows the object as the last call told it,
	// with no write of unknown outcome since.
	known bool
	// closing is true once the entries are to be closed.
	closing bool
	// queued is true while the shard waits for a refill.
	queued bool
	// refills counts the refills that started; several may run at a time.
	refills int64
	// again is when requests that keep waiting get the next refill.
	again clocker.Millis
	pause clocker.Millis

	holders     []string
	holdersView uint64
}

// waiter is a request that waits for headroom.
type waiter struct {
	budget string
	tokens int64
	rank   int
	// seenBy is the number of the first refill that knew of it; 0 if none has started.
	seenBy int64
	done   chan grant
}

// grant ends a wait: a reservation's ID, or an error.
type grant struct {
	id  int64
	err error
}

func newShard(number int, cfg allotter.Config) *shard {
	return &shard{
		number:   number,
		key:      fmt.Sprintf("budget/%05d", number),
		turn:     make(chan struct{}, 1),
		allotter: allotter.New(cfg),
		verdicts: map[string]verdict{},
	}
}

func (s *shard) reserve(budget string, tokens int64, rank int, now clocker.Millis) (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allotter.Reserve(budget, tokens, rank, now)
}

// settle ends a reservation. It returns true if requests wait that no
// reservation in flight here can help any more.
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
	s.wake(now)
	return len(s.waiters) > 0 && s.allotter.Reserved(reservation.Budget) == 0
}

// join adds a waiter. The caller wakes a refill.
func (s *shard) join(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiters = append(s.waiters, w)
	s.pause = retryPause
	s.allotter.AddWaiting(w.budget, w.tokens, w.rank)
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
	s.dismiss(func(other *waiter) (grant, bool) { return grant{}, other == w })
	return grant{}, false
}

// wake grants what now fits, oldest first. The caller holds mu.
func (s *shard) wake(now clocker.Millis) {
	s.dismiss(func(w *waiter) (grant, bool) {
		id, ok := s.allotter.Reserve(w.budget, w.tokens, w.rank, now)
		return grant{id: id}, ok
	})
}

// dismiss ends the waits for which judge returns true. The caller holds mu.
func (s *shard) dismiss(judge func(*waiter) (grant, bool)) {
	s.waiters = slices.DeleteFunc(s.waiters, func(w *waiter) bool {
		g, ended := judge(w)
		if ended {
			w.done <- g
			s.allotter.AddWaiting(w.budget, -w.tokens, w.rank)
		}
		return ended
	})
}
