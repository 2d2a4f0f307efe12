// Package limiter bounds the requests that wait for and run on backend servers.
// It has queues with deadlines and fair sharing, and a concurrency limit for each
// backend server. It is pure logic: no I/O, no goroutines and no wall clock. Package
// balancer is the concurrent wrapper around it, and package picker chooses the servers.
package limiter

import (
	"slices"

	"cowsliphinge/clocker"
	"cowsliphinge/indexer"
	"cowsliphinge/picker"
)

const (
	// maxPrefixWait is how long an item waits for a server that has its prefix
	// cached. maxPrefixWaitShare bounds this wait as a share of the time from
	// enqueueing to the deadline.
	maxPrefixWait      = 2 * clocker.Second
	maxPrefixWaitShare = 0.125
	// dispatchWindow is the number of items, in the order in which they are served,
	// that are considered for a free slot.
	dispatchWindow = 16
	// maxBypasses is how often an item may be bypassed by a later one whose prefix
	// is cached.
	maxBypasses = 16
)

// AdmissionConfig configures an AdmissionController.
type AdmissionConfig struct {
	AvailabilityZone string
	// Seed is the seed of the random choices.
	Seed uint64
}

// AdmissionController decides for each request of a host whether it gets a slot
// of a backend server, waits in a queue, or is refused. It is not safe for
// concurrent use.
type AdmissionController struct {
	picker *picker.Picker
	index  *indexer.Index
	limits map[string]*AdaptiveLimit
	queues map[queueKey]*estimatedQueue
	// orderedQueues lists the queues by first use, so that the order in which they
	// are served is deterministic.
	orderedQueues []*estimatedQueue
}

type queueKey struct {
	service string
	model   string
	role    string
}

// Decision is an item that has left its queue, with its result.
type Decision struct {
	Item   *Item
	Result Result
}

// NewAdmissionController returns a controller without backend servers.
func NewAdmissionController(cfg AdmissionConfig) *AdmissionController {
	return &AdmissionController{
		picker: picker.New(picker.Config{AvailabilityZone: cfg.AvailabilityZone, Seed: cfg.Seed}),
		index:  indexer.New(nil),
		limits: map[string]*AdaptiveLimit{},
		queues: map[queueKey]*estimatedQueue{},
	}
}

// SetConfiguration applies a configuration.
func (a *AdmissionController) SetConfiguration(now clocker.Millis, index *indexer.Index) {
	if index == a.index {
		return
	}
	a.index = index
	declared := index.Configuration.GetDeclarations().GetBackendServers()
	a.picker.SetServers(now, declared)
	a.picker.SetMinOwnZoneServers(int(max(0, index.Policy.GetAffinitySpanServers())))
	limits := make(map[string]*AdaptiveLimit, len(declared))
	for _, d := range declared {
		slots := picker.SlotsOf(d)
		limits[d.Name] = a.limits[d.Name]
		if limits[d.Name] == nil {
			limits[d.Name] = NewAdaptiveLimit(slots)
		}
		limits[d.Name].SetSlots(slots)
	}
	a.limits = limits
	a.removeUndeclaredQueues()
}

// removeUndeclaredQueues removes the empty queues of models that are no longer
// declared.
func (a *AdmissionController) removeUndeclaredQueues() {
	a.orderedQueues = slices.DeleteFunc(a.orderedQueues, func(q *estimatedQueue) bool {
		removable := q.Len() == 0 && !a.picker.Declared(q.key.service, q.key.model)
		if removable {
			delete(a.queues, q.key)
		}
		return removable
	})
}

// Submit returns a choice, an empty choice if the item is now queued, or
// picker.ErrRefused. The decisions are for other items that were evicted.
func (a *AdmissionController) Submit(now clocker.Millis, item *Item) (choice picker.Choice, decisions []Decision, err error) {
	r := item.Request
	if r.Deadline > 0 && now >= r.Deadline {
		return choice, nil, picker.ErrRefused{Reason: picker.ReasonDeadline}
	}
	if !a.picker.Serves(r, a.leavingAt(now)) {
		return choice, nil, picker.ErrRefused{Reason: picker.ReasonNoServer}
	}
	q := a.queueFor(r)
	if q.Len() == 0 {
		if choice, ok := a.picker.Pick(now, r, a.leavingAt(now)); ok {
			return choice, nil, nil
		}
	}
	if reason := q.refusalReason(now, r); reason != "" {
		return choice, nil, picker.ErrRefused{Reason: reason, RetryAfterMs: int64(retryAfter(q.expectedWait(r)))}
	}
	item.EnqueuedAt = now
	evicted := q.Add(item, a.index.Service(r.Service).GetQueueLimit())
	wait := int64(retryAfter(q.expectedWait(r)))
	switch evicted {
	case nil:
		return choice, nil, nil
	case item:
		return choice, nil, picker.ErrRefused{Reason: picker.ReasonQueueFull, RetryAfterMs: wait}
	}
	shed := picker.ErrRefused{Reason: picker.ReasonShed, RetryAfterMs: wait}
	return choice, []Decision{{evicted, Result{Err: shed}}}, nil
}

// Release frees the slot of a choice and updates the limit and the estimates with
// its outcome.
func (a *AdmissionController) Release(now clocker.Millis, c picker.Choice, o picker.Outcome) {
	name := c.Server.GetName()
	if limit := a.limits[name]; limit != nil {
		switch o {
		case picker.Succeeded:
			limit.RecordAnswer(now, firstByteLatency(now, c), a.picker.InFlight(name))
		case picker.Refused:
			limit.RecordRefusal(now)
		case picker.Failed, picker.Abandoned:
		}
		a.picker.SetLimit(name, limit.Limit())
	}
	a.picker.Release(now, c, o)
	if o == picker.Succeeded {
		a.recordServiceTime(now, c)
	}
}

// firstByteLatency returns the time to the first byte, or the service time if the former
// is unknown.
func firstByteLatency(now clocker.Millis, c picker.Choice) clocker.Millis {
	if c.FirstByteAt > 0 {
		return c.FirstByteAt - c.TakenAt
	}
	return now - c.TakenAt
}

func (a *AdmissionController) recordServiceTime(now clocker.Millis, c picker.Choice) {
	msPerToken := float64(now-c.TakenAt) / float64(max(1, c.Tokens))
	for _, q := range a.orderedQueues {
		if q.key.service == c.Server.GetService() {
			q.msPerToken = updateAverage(q.msPerToken, msPerToken, msPerTokenWeight)
			q.highMsPerToken = updateQuantile(q.highMsPerToken, msPerToken, highQuantile)
		}
	}
}

// ServeQueues removes expired items, assigns free slots, and returns the items
// that left their queues.
func (a *AdmissionController) ServeQueues(now clocker.Millis) []Decision {
	var decisions []Decision
	for _, q := range a.orderedQueues {
		for _, item := range q.RemoveExpired(now) {
			decisions = append(decisions, Decision{item, Result{Err: picker.ErrRefused{Reason: picker.ReasonDeadline}}})
		}
		decisions = a.serve(now, q, decisions)
	}
	return decisions
}

// serve decides items of a queue until none in the dispatch window can be decided.
func (a *AdmissionController) serve(now clocker.Millis, q *estimatedQueue, decisions []Decision) []Decision {
	for q.Len() > 0 {
		candidates := q.Peek(dispatchWindow)
		decision, decided := a.serveCached(now, q, candidates)
		if !decided {
			decision, decided = a.serveFirst(now, q, candidates)
		}
		if !decided {
			break
		}
		decisions = append(decisions, decision)
	}
	return decisions
}

// serveCached serves the first candidate whose prefix is probably cached on a
// server with a free slot. A candidate that has reached maxBypasses is not
// bypassed again.
func (a *AdmissionController) serveCached(now clocker.Millis, q *estimatedQueue, candidates []*Item) (Decision, bool) {
	for i, item := range candidates {
		if choice, ok := a.picker.PickHolder(now, item.Request, a.leavingAt(now)); ok {
			for _, bypassed := range candidates[:i] {
				bypassed.bypasses++
			}
			return a.serveItem(now, q, item, choice), true
		}
		if item.bypasses >= maxBypasses {
			break
		}
	}
	return Decision{}, false
}

// serveFirst decides the first candidate that must be refused or that gets a
// slot. It skips candidates that still wait for a server with their prefix.
func (a *AdmissionController) serveFirst(now clocker.Millis, q *estimatedQueue, candidates []*Item) (Decision, bool) {
	for _, item := range candidates {
		r := item.Request
		if !a.picker.Serves(r, a.leavingAt(now)) {
			return refuseItem(q, item, picker.ReasonNoServer), true
		}
		if q.missesDeadline(now, r) {
			return refuseItem(q, item, picker.ReasonDeadline), true
		}
		if now-item.EnqueuedAt < prefixWait(item) && a.picker.HasHolder(now, r, a.leavingAt(now)) {
			continue
		}
		if choice, ok := a.picker.Pick(now, r, a.leavingAt(now)); ok {
			return a.serveItem(now, q, item, choice), true
		}
		if len(r.Avoid) == 0 {
			// No server has a free slot, so the other candidates get none either.
			break
		}
	}
	return Decision{}, false
}

// prefixWait returns how long an item waits for a server that has its prefix
// cached.
func prefixWait(item *Item) clocker.Millis {
	if item.Request.Deadline <= 0 {
		return maxPrefixWait
	}
	remaining := float64(item.Request.Deadline - item.EnqueuedAt)
	return min(maxPrefixWait, clocker.Millis(maxPrefixWaitShare*remaining))
}

func (a *AdmissionController) serveItem(now clocker.Millis, q *estimatedQueue, item *Item, choice picker.Choice) Decision {
	q.Dequeue(item)
	q.recordServed(now, item)
	return Decision{item, Result{Choice: choice}}
}

func refuseItem(q *estimatedQueue, item *Item, reason string) Decision {
	q.Remove(item)
	return Decision{item, Result{Err: picker.ErrRefused{Reason: reason}}}
}

// Withdraw removes an item whose caller disconnected and reports whether it was queued.
func (a *AdmissionController) Withdraw(item *Item) bool {
	return a.queueFor(item.Request).Remove(item)
}

// RemoveAll empties all queues and returns their items.
func (a *AdmissionController) RemoveAll() []*Item {
	var items []*Item
	for _, q := range a.orderedQueues {
		items = append(items, q.Items()...)
	}
	clear(a.queues)
	a.orderedQueues = nil
	return items
}

// QueueLength returns the number of queued requests of a service.
func (a *AdmissionController) QueueLength(service string) int {
	waiting := 0
	for _, q := range a.orderedQueues {
		if q.key.service == service {
			waiting += q.Len()
		}
	}
	return waiting
}

// RecordLoadReport records a load report of a backend server.
func (a *AdmissionController) RecordLoadReport(now clocker.Millis, name string, report picker.LoadReport) {
	a.picker.RecordLoadReport(now, name, report)
	if limit := a.limits[name]; limit != nil {
		limit.RecordLoadReport(now, report)
		a.picker.SetLimit(name, limit.Limit())
	}
}

// RecordPollFailure records that a backend server did not answer a poll.
func (a *AdmissionController) RecordPollFailure(now clocker.Millis, name string) {
	a.picker.RecordPollFailure(now, name)
}

// RecordCacheEvent records a cache event of a backend server.
func (a *AdmissionController) RecordCacheEvent(now clocker.Millis, name string, event picker.CacheEvent) {
	a.picker.RecordCacheEvent(now, name, event)
}

// InFlight returns the number of slots of a backend server that this host uses.
func (a *AdmissionController) InFlight(name string) int64 {
	return a.picker.InFlight(name)
}

// RemoteServersInUse returns the backend servers of other availability zones that
// have requests in flight or are ejected.
func (a *AdmissionController) RemoteServersInUse() []string {
	return a.picker.RemoteServersInUse()
}

// Ejected reports whether a backend server is ejected after failures.
func (a *AdmissionController) Ejected(name string) bool {
	return a.picker.Ejected(name)
}

func (a *AdmissionController) leavingAt(now clocker.Millis) func(string) bool {
	index := a.index
	return func(name string) bool { return index.ServerLeaving(name, now) }
}

func (a *AdmissionController) queueFor(r picker.Request) *estimatedQueue {
	key := queueKey{r.Service, r.Model, r.Role}
	if a.queues[key] == nil {
		a.queues[key] = &estimatedQueue{Queue: NewQueue(), key: key}
		a.orderedQueues = append(a.orderedQueues, a.queues[key])
	}
	return a.queues[key]
}
