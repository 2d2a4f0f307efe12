// Package ringer joins duties by bounded rings: a full ring sheds and counts,
// it never blocks the sender.
package ringer

import "github.com/VictoriaMetrics/metrics"

// Ring is a bounded first-in first-out queue between goroutines.
type DroppingQueue[T any] struct {
	items chan T
	shed  *metrics.Counter
}

// New returns a ring of the given capacity, in items. The name labels the
// counter of shed items.
func New[T any](name string, capacity int) *DroppingQueue[T] {
	return &DroppingQueue[T]{
		items: make(chan T, capacity),
		shed:  metrics.GetOrCreateCounter(`cowsliphinge_ring_shed_total{ring="` + name + `"}`),
	}
}

// Offer puts an item in, or counts it as shed and returns false if the ring is full.
func (r *DroppingQueue[T]) TryEnqueue(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.shed.Inc()
		return false
	}
}

// Items returns the receiving end.
func (r *DroppingQueue[T]) Items() <-chan T {
	return r.items
}

// Len returns how many items wait.
func (r *DroppingQueue[T]) Len() int {
	return len(r.items)
}
