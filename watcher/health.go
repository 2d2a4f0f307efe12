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

	mu          sync.Mutex
	unreachable bool
	// from is when the last call without an answer began.
	failureStartedAt clocker.Millis
	recovered        chan struct{}
}

// NewHealth returns a Health that takes the store to answer.
func NewStoreHealth(clock *clocker.Clock) *StoreHealth {
	return &StoreHealth{clock: clock, recovered: make(chan struct{})}
}

// Reachable reports whether the store answered the last call.
func (h *StoreHealth) Reachable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.unreachable
}

// noteLost notes that a call that began at the given time got no answer.
func (h *StoreHealth) recordFailure(startedAt clocker.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unreachable = true
	h.failureStartedAt = startedAt
}

// noteFound notes that the store answered.
func (h *StoreHealth) recordResponse() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.unreachable {
		close(h.recovered)
		h.recovered = make(chan struct{})
	}
	h.unreachable = false
}

// lostFrom returns when the last call without an answer began; 0 for never.
func (h *StoreHealth) lastFailureStart() clocker.Millis {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failureStartedAt
}

// await waits until the store answers again, at most for most.
func (h *StoreHealth) awaitRecovery(ctx context.Context, timeout clocker.Millis) {
	h.mu.Lock()
	unreachable, recovered := h.unreachable, h.recovered
	h.mu.Unlock()
	if !unreachable {
		return
	}
	ctx, cancel := h.clock.WithTimeout(ctx, timeout)
	defer cancel()
	select {
	case <-recovered:
	case <-ctx.Done():
	}
}
