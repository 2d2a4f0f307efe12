package watcher

import (
	"context"
	"sync"

	"cowsliphinge/clocker"
)

// Health is what the watchers of a host share of the store: one of them asks a
// store that was lost, the others wait for it. Its methods may be called from
// many goroutines.
type StoreHealth struct {
	clock *clocker.Clock

	mu   sync.Mutex
	lost bool
	// from is when the last call without an answer began.
	from clocker.Millis
	back chan struct{}
}

// NewHealth returns a Health that takes the store to answer.
func NewStoreHealth(clock *clocker.Clock) *StoreHealth {
	return &StoreHealth{clock: clock, back: make(chan struct{})}
}

// Reachable reports whether the store answered the last call.
func (h *StoreHealth) Reachable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.lost
}

// noteLost notes that a call that began at the given time got no answer.
func (h *StoreHealth) noteLost(began clocker.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lost = true
	h.from = began
}

// noteFound notes that the store answered.
func (h *StoreHealth) noteFound() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lost {
		close(h.back)
		h.back = make(chan struct{})
	}
	h.lost = false
}

// lostFrom returns when the last call without an answer began; 0 for never.
func (h *StoreHealth) lostFrom() clocker.Millis {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.from
}

// await waits until the store answers again, at most for most.
func (h *StoreHealth) await(ctx context.Context, most clocker.Millis) {
	h.mu.Lock()
	lost, back := h.lost, h.back
	h.mu.Unlock()
	if !lost {
		return
	}
	ctx, cancel := h.clock.WithTimeout(ctx, most)
	defer cancel()
	select {
	case <-back:
	case <-ctx.Done():
	}
}
