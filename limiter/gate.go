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
	// holderPatience is how long an item waits for a server that holds its
	// prefix, and patienceShare the most of its time to the deadline.
	holderPatience = 2 * clocker.Second
	patienceShare  = 0.125
	// lookAhead is how many items a free slot may be offered to.
	lookAhead = 16
	// maxPassed is how often an item may be passed over for one whose prefix is cached.
	maxPassed = 16
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
	g.picker.SetServers(now, declared)
	g.picker.SetAffinitySpan(int(max(0, index.Policy.GetAffinitySpanServers())))
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
	if reason := q.refusal(now, r); reason != "" {
		return choice, nil, picker.ErrNoServer{Reason: reason, RetryAfterMs: int64(retryAfter(q.expectedWait(r)))}
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
		case picker.Failed, picker.CallerLeft:
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
			q.highPace = quantile(q.highPace, pace, highShare)
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

// serve hands out free slots until no item in turn can have one.
func (g *Gate) serve(now clocker.Millis, q *serviceQueue, ended []Ended) []Ended {
	for q.Len() > 0 {
		turn := q.Next(lookAhead)
		e, over := g.serveHolder(now, q, turn)
		if !over {
			e, over = g.serveFirst(now, q, turn)
		}
		if !over {
			break
		}
		ended = append(ended, e)
	}
	return ended
}

// serveHolder serves the first item in turn whose prefix is probably cached
// where a slot is free. An item that was passed over too often comes first.
func (g *Gate) serveHolder(now clocker.Millis, q *serviceQueue, turn []*Item) (Ended, bool) {
	for i, item := range turn {
		if choice, ok := g.picker.PickHolder(now, item.Request, g.leaving(now)); ok {
			for _, passed := range turn[:i] {
				passed.passed++
			}
			return g.serveItem(now, q, item, choice), true
		}
		if item.passed >= maxPassed {
			break
		}
	}
	return Ended{}, false
}

// serveFirst ends the wait of the first item in turn for which it is due.
func (g *Gate) serveFirst(now clocker.Millis, q *serviceQueue, turn []*Item) (Ended, bool) {
	for _, item := range turn {
		r := item.Request
		if !g.picker.Serves(r, g.leaving(now)) {
			return refuseItem(q, item, picker.ReasonNone), true
		}
		if q.tooLate(now, r) {
			return refuseItem(q, item, picker.ReasonDeadline), true
		}
		if now-item.EnqueuedAt < patience(item) && g.picker.HasHolder(now, r, g.leaving(now)) {
			continue
		}
		if choice, ok := g.picker.Pick(now, r, g.leaving(now)); ok {
			return g.serveItem(now, q, item, choice), true
		}
		if len(r.Avoid) == 0 {
			// No server has a free slot, so the other items find none either.
			break
		}
	}
	return Ended{}, false
}

// patience is how long an item waits for a server that holds its prefix.
func patience(item *Item) clocker.Millis {
	if item.Request.Deadline <= 0 {
		return holderPatience
	}
	left := float64(item.Request.Deadline - item.EnqueuedAt)
	return min(holderPatience, clocker.Millis(patienceShare*left))
}

func (g *Gate) serveItem(now clocker.Millis, q *serviceQueue, item *Item, choice picker.Choice) Ended {
	q.Served(item)
	q.learnWait(now, item)
	return Ended{item, Result{Choice: choice}}
}

func refuseItem(q *serviceQueue, item *Item, reason string) Ended {
	q.Remove(item)
	return Ended{item, Result{Err: picker.ErrNoServer{Reason: reason}}}
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
	g.picker.RecordLoad(now, name, report)
	if limit := g.limits[name]; limit != nil {
		limit.Reported(now, report)
		g.picker.SetLimit(name, limit.Limit())
	}
}

// ReportFailed notes that a backend server did not answer a load query.
func (g *Gate) ReportFailed(now clocker.Millis, name string) {
	g.picker.RecordLoadFailure(now, name)
}

// Cached takes over a cache event of a backend server.
func (g *Gate) Cached(now clocker.Millis, name string, event picker.CacheEvent) {
	g.picker.RecordCacheEvent(now, name, event)
}

// InFlight returns how many slots of a backend server are taken by this router.
func (g *Gate) InFlight(name string) int64 {
	return g.picker.InFlight(name)
}

// UsedElsewhere returns the backend servers of other availability zones with
// requests in flight, and the ejected ones.
func (g *Gate) UsedElsewhere() []string {
	return g.picker.ActiveInOtherZones()
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
