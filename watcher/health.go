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

func (h *Health) note(lost bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lost && !lost {
		close(h.back)
		h.back = make(chan struct{})
	}
	h.lost = lost
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
