// Package limiter bounds what waits for and runs on backend servers: queues
// with deadlines and fair shares, and a concurrency limit per backend server.
// It decides without input, output, goroutines or wall clock.
package limiter

import (
	"slices"

	"cowsliphinge/clocker"
	"cowsliphinge/picker"
)

// Item is a request that waits.
type Item struct {
	Request    picker.Request
	EnqueuedAt clocker.Millis
	// Done receives the result in the shell; the queue does not use it.
	Done chan Result
}

// Result is how the wait of an item ended: a choice, or a reason of refusal.
type Result struct {
	Choice picker.Choice
	Err    error
}

// Queue is the bounded queue of one service. It is not safe for concurrent use.
type Queue struct {
	items []*Item
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{}
}

// Len returns how many items wait.
func (q *Queue) Len() int {
	return len(q.items)
}

// Add puts an item in, or returns false if limit items wait already.
func (q *Queue) Add(item *Item, limit int64) bool {
	if int64(len(q.items)) >= limit {
		return false
	}
	q.items = append(q.items, item)
	return true
}

// Remove takes an item out and reports whether it was there.
func (q *Queue) Remove(item *Item) bool {
	i := slices.Index(q.items, item)
	if i < 0 {
		return false
	}
	q.items = slices.Delete(q.items, i, i+1)
	return true
}

// Expire takes out and returns the items whose deadline has come.
func (q *Queue) Expire(now clocker.Millis) []*Item {
	var expired []*Item
	q.items = slices.DeleteFunc(q.items, func(item *Item) bool {
		late := item.Request.Deadline > 0 && now >= item.Request.Deadline
		if late {
			expired = append(expired, item)
		}
		return late
	})
	return expired
}

// Order returns the waiting items in the order in which they are to be served.
func (q *Queue) Order() []*Item {
	return slices.Clone(q.items)
}
