package watcher

import (
	"context"
	"sync"

	"cowsliphinge/clocker"
)

// StoreHealth is the reachability of the store, shared by the watchers of a host. One
// of them probes an unreachable store and the others wait for it to recover. Its
// methods are safe for concurrent use.
type StoreHealth struct {
	clock *clocker.Clock

	mu          sync.Mutex
	unreachable bool
	// lastFailedCallAt is the start time of the probing watcher's last call without a
	// response.
	lastFailedCallAt clocker.Millis
	recovered        chan struct{}
}

// NewStoreHealth returns a StoreHealth that assumes the store to be reachable.
func NewStoreHealth(clock *clocker.Clock) *StoreHealth {
	return &StoreHealth{clock: clock, recovered: make(chan struct{})}
}

// Reachable reports whether the store responded to the last call of the probing
// watcher; true before the first.
func (h *StoreHealth) Reachable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.unreachable
}

// recordFailure records that a call that started at startedAt got no response.
func (h *StoreHealth) recordFailure(startedAt clocker.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unreachable = true
	h.lastFailedCallAt = startedAt
}

// recordResponse records that the store responded.
func (h *StoreHealth) recordResponse() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.unreachable {
		close(h.recovered)
		h.recovered = make(chan struct{})
	}
	h.unreachable = false
}

// lastFailedCall returns the start time of the probing watcher's last call without a
// response, 0 if there was none.
func (h *StoreHealth) lastFailedCall() clocker.Millis {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastFailedCallAt
}

// awaitRecovery waits until the store responds again, for at most timeout.
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
