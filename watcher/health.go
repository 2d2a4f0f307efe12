package watcher

import (
	"context"
	"sync"

	"cowsliphinge/clocker"
)

// Health is what the watchers of a host share of the store: one of them asks a
// store that was lost, the others wait for it. Its methods may be called from
// many goroutines.
type Health struct {
	clock *clocker.Clock

	mu   sync.Mutex
	lost bool
	// from is when the last call without an answer began.
	from clocker.Millis
	back chan struct{}
}

// NewHealth returns a Health that takes the store to answer.
func NewHealth(clock *clocker.Clock) *Health {
	return &Health{clock: clock, back: make(chan struct{})}
}

// Reachable reports whether the store answered the last call.
func (h *Health) Reachable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.lost
}

// noteLost notes that a call that began at the given time got no answer.
func (h *Health) noteLost(began clocker.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lost = true
	h.from = began
}

// noteFound notes that the store answered.
func (h *Health) noteFound() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lost {
		close(h.back)
		h.back = make(chan struct{})
	}
	h.lost = false
}

// lostFrom returns when the last call without an answer began; 0 for never.
func (h *Health) lostFrom() clocker.Millis {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.from
}

// await waits until the store answers again, at most for most.
func (h *Health) await(ctx context.Context, most clocker.Millis) {
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
