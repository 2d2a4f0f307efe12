// Package ringer connects background tasks by bounded queues. A full queue drops new
// items and counts them; it never blocks the sender.
package ringer

import "github.com/VictoriaMetrics/metrics"

// DroppingQueue is a bounded first-in first-out queue between goroutines that drops new
// items while it is full.
type DroppingQueue[T any] struct {
	items   chan T
	dropped *metrics.Counter
}

// New returns a queue of the given capacity, in items. The name labels the metric of
// dropped items; queues of the same name share one counter.
func New[T any](name string, capacity int) *DroppingQueue[T] {
	return &DroppingQueue[T]{
		items:   make(chan T, capacity),
		dropped: metrics.GetOrCreateCounter(`cowsliphinge_ring_shed_total{ring="` + name + `"}`),
	}
}

// TryEnqueue appends an item. If the queue is full, it drops the item, counts it and
// returns false.
func (q *DroppingQueue[T]) TryEnqueue(item T) bool {
	select {
	case q.items <- item:
		return true
	default:
		q.dropped.Inc()
		return false
	}
}

// Items returns the channel from which items are received.
func (q *DroppingQueue[T]) Items() <-chan T {
	return q.items
}

// Len returns the number of queued items.
func (q *DroppingQueue[T]) Len() int {
	return len(q.items)
}
