// Package limiter bounds what waits for and runs on backend servers: queues
// with deadlines and fair shares, and a concurrency limit per backend server.
// It decides without input, output, goroutines or wall clock.
package limiter

import (
	"slices"

	"cowsliphinge/clocker"
	"cowsliphinge/indexer"
	"cowsliphinge/picker"
)

const (
	// rateShare is the weight of a new sample in the smoothed queue rate.
	rateShare = 0.1
	// paceShare is the weight of an answer in the smoothed service time.
	paceShare = 0.05
	// hopeless is the share of the expected service time that must be left
	// before the deadline for a request to be tried.
	hopeless = 0.5
	// minRetryAfter is the least wait that a refusal advises.
	minRetryAfter = 100 * clocker.Millis(1)
)

// GateConfig is what a Gate is built from.
type GateConfig struct {
	AvailabilityZone string
	// Seed of the random choices.
	Seed uint64
}

// Gate decides for each request of a router whether it gets a slot of a backend
// server, waits, or is refused. It is not safe for concurrent use.
type Gate struct {
	picker *picker.Picker
	index  *indexer.Index
	limits map[string]*Concurrency
	queues map[queueKey]*serviceQueue
	// order lists the queues by first use, so that each run serves them alike.
	order []*serviceQueue
}

type queueKey struct {
	service string
	model   string
	role    string
}

// serviceQueue is a queue and how fast it moves.
type serviceQueue struct {
	*Queue
	key queueKey
	// interval is the smoothed time between two requests served, in milliseconds.
	interval float64
	servedAt clocker.Millis
	// pace is the smoothed time of a whole answer per token, in milliseconds.
	pace float64
}

// Ended is an item whose wait is over.
type Ended struct {
	Item   *Item
	Result Result
}

// NewGate returns a gate that knows no backend server yet.
func NewGate(cfg GateConfig) *Gate {
	return &Gate{
		picker: picker.New(picker.Config{AvailabilityZone: cfg.AvailabilityZone, Seed: cfg.Seed}),
		index:  indexer.New(nil),
		limits: map[string]*Concurrency{},
		queues: map[queueKey]*serviceQueue{},
	}
}

// Sync takes over a configuration.
func (g *Gate) Sync(now clocker.Millis, index *indexer.Index) {
	if index == g.index {
		return
	}
	g.index = index
	declared := index.Configuration.GetDeclarations().GetBackendServers()
	g.picker.Sync(now, declared)
	limits := make(map[string]*Concurrency, len(declared))
	for _, d := range declared {
		slots := picker.SlotsOf(d)
		limits[d.Name] = g.limits[d.Name]
		if limits[d.Name] == nil {
			limits[d.Name] = NewConcurrency(slots)
		}
		limits[d.Name].SetSlots(slots)
	}
	g.limits = limits
	g.forgetQueues()
}

// forgetQueues drops the queues of models that are no longer declared.
func (g *Gate) forgetQueues() {
	g.order = slices.DeleteFunc(g.order, func(q *serviceQueue) bool {
		idle := q.Len() == 0 && !g.picker.Declared(q.key.service, q.key.model)
		if idle {
			delete(g.queues, q.key)
		}
		return idle
	})
}

// Submit returns a choice, or no choice if the item now waits, or
// picker.ErrNoServer. Ended are other items that gave way.
func (g *Gate) Submit(now clocker.Millis, item *Item) (choice picker.Choice, ended []Ended, err error) {
	r := item.Request
	if r.Deadline > 0 && now >= r.Deadline {
		return choice, nil, picker.ErrNoServer{Reason: picker.ReasonDeadline}
	}
	if !g.picker.Serves(r, g.leaving(now)) {
		return choice, nil, picker.ErrNoServer{Reason: picker.ReasonNone}
	}
	q := g.queueOf(r)
	if q.Len() == 0 {
		if choice, ok := g.picker.Pick(now, r, g.leaving(now)); ok {
			return choice, nil, nil
		}
	}
	if wait := q.expectedWait(r); q.tooLate(now+wait, r) {
		return choice, nil, picker.ErrNoServer{Reason: picker.ReasonDeadline, RetryAfterMs: int64(retryAfter(wait))}
	}
	item.EnqueuedAt = now
	out := q.Add(item, g.index.Service(r.Service).GetQueueLimit())
	wait := int64(retryAfter(q.expectedWait(r)))
	switch out {
	case nil:
		return choice, nil, nil
	case item:
		return choice, nil, picker.ErrNoServer{Reason: picker.ReasonQueueFull, RetryAfterMs: wait}
	}
	shed := picker.ErrNoServer{Reason: picker.ReasonShed, RetryAfterMs: wait}
	return choice, []Ended{{out, Result{Err: shed}}}, nil
}

// Release gives the slot of a choice back and learns from its outcome.
func (g *Gate) Release(now clocker.Millis, c picker.Choice, o picker.Outcome) {
	name := c.Server.GetName()
	if limit := g.limits[name]; limit != nil {
		switch o {
		case picker.Succeeded:
			limit.Answered(now, latency(now, c), g.picker.InFlight(name))
		case picker.Refused:
			limit.Refused(now)
		case picker.Failed, picker.Left:
		}
		g.picker.SetLimit(name, limit.Limit())
	}
	g.picker.Release(now, c, o)
	if o == picker.Succeeded {
		g.learnPace(now, c)
	}
}

// latency is the time to the first byte, or the service time if that is unknown.
func latency(now clocker.Millis, c picker.Choice) clocker.Millis {
	if c.FirstByteAt > 0 {
		return c.FirstByteAt - c.TakenAt
	}
	return now - c.TakenAt
}

func (g *Gate) learnPace(now clocker.Millis, c picker.Choice) {
	pace := float64(now-c.TakenAt) / float64(max(1, c.Tokens))
	for _, q := range g.order {
		if q.key.service == c.Server.GetService() {
			q.pace = average(q.pace, pace, paceShare)
		}
	}
}

// Advance serves the queues and returns the items whose wait is over.
func (g *Gate) Advance(now clocker.Millis) []Ended {
	var ended []Ended
	for _, q := range g.order {
		for _, item := range q.Expire(now) {
			ended = append(ended, Ended{item, Result{Err: picker.ErrNoServer{Reason: picker.ReasonDeadline}}})
		}
		ended = g.serve(now, q, ended)
	}
	return ended
}

// serve hands out free slots until no item at the head of a line can have one.
func (g *Gate) serve(now clocker.Millis, q *serviceQueue, ended []Ended) []Ended {
	for q.Len() > 0 {
		before := q.Len()
		for _, item := range q.Next() {
			result, over := g.try(now, q, item)
			if over {
				ended = append(ended, Ended{item, result})
				break
			}
		}
		if q.Len() == before {
			break
		}
	}
	return ended
}

// try ends the wait of an item by a slot or a refusal, if either is due.
func (g *Gate) try(now clocker.Millis, q *serviceQueue, item *Item) (Result, bool) {
	r := item.Request
	if !g.picker.Serves(r, g.leaving(now)) {
		q.Remove(item)
		return Result{Err: picker.ErrNoServer{Reason: picker.ReasonNone}}, true
	}
	if q.tooLate(now, r) {
		q.Remove(item)
		return Result{Err: picker.ErrNoServer{Reason: picker.ReasonDeadline}}, true
	}
	choice, ok := g.picker.Pick(now, r, g.leaving(now))
	if !ok {
		return Result{}, false
	}
	q.Served(item)
	q.learnInterval(now, item)
	return Result{Choice: choice}, true
}

// Withdraw takes out an item whose caller left and reports whether it waited.
func (g *Gate) Withdraw(item *Item) bool {
	return g.queueOf(item.Request).Remove(item)
}

// Drop empties all queues and returns what waited.
func (g *Gate) Drop() []*Item {
	var items []*Item
	for _, q := range g.order {
		items = append(items, q.Items()...)
	}
	clear(g.queues)
	g.order = nil
	return items
}

// Waiting returns how many requests of a service wait.
func (g *Gate) Waiting(service string) int {
	waiting := 0
	for _, q := range g.order {
		if q.key.service == service {
			waiting += q.Len()
		}
	}
	return waiting
}

// Reported takes over a load report of a backend server.
func (g *Gate) Reported(now clocker.Millis, name string, report picker.LoadReport) {
	g.picker.Reported(now, name, report)
	if limit := g.limits[name]; limit != nil {
		limit.Reported(now, report)
		g.picker.SetLimit(name, limit.Limit())
	}
}

// ReportFailed notes that a backend server did not answer a load query.
func (g *Gate) ReportFailed(now clocker.Millis, name string) {
	g.picker.ReportFailed(now, name)
}

// Cached takes over a cache event of a backend server.
func (g *Gate) Cached(now clocker.Millis, name string, event picker.CacheEvent) {
	g.picker.Cached(now, name, event)
}

// InFlight returns how many slots of a backend server are taken by this router.
func (g *Gate) InFlight(name string) int64 {
	return g.picker.InFlight(name)
}

// Ejected reports whether a backend server is out after failures.
func (g *Gate) Ejected(name string) bool {
	return g.picker.Ejected(name)
}

func (g *Gate) leaving(now clocker.Millis) func(string) bool {
	index := g.index
	return func(name string) bool { return index.ServerLeaving(name, now) }
}

func (g *Gate) queueOf(r picker.Request) *serviceQueue {
	key := queueKey{r.Service, r.Model, r.Role}
	if g.queues[key] == nil {
		g.queues[key] = &serviceQueue{Queue: NewQueue(), key: key}
		g.order = append(g.order, g.queues[key])
	}
	return g.queues[key]
}

// learnInterval learns from an item that is served now. The time while the
// queue was empty does not count.
func (q *serviceQueue) learnInterval(now clocker.Millis, item *Item) {
	since := max(q.servedAt, item.EnqueuedAt)
	q.interval = average(q.interval, float64(now-since), rateShare)
	q.servedAt = now
}

// expectedWait is how long a new item of r would wait.
func (q *serviceQueue) expectedWait(r picker.Request) clocker.Millis {
	return clocker.Millis(float64(q.Ahead(r)+1) * q.interval)
}

// tooLate reports whether a request that starts at start has no hope of being
// answered before its deadline.
func (q *serviceQueue) tooLate(start clocker.Millis, r picker.Request) bool {
	if r.Deadline <= 0 {
		return false
	}
	service := hopeless * q.pace * float64(r.Tokens)
	return start+clocker.Millis(service) >= r.Deadline
}

func retryAfter(wait clocker.Millis) clocker.Millis {
	return max(minRetryAfter, wait)
}
