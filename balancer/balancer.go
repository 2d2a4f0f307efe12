// Package balancer runs the routing deciders: it takes slots of backend
// servers for requests, lets requests wait in bounded queues, and learns from
// outcomes and load reports.
package balancer

import (
	"context"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"cowsliphinge/clocker"
	"cowsliphinge/indexer"
	"cowsliphinge/limiter"
	"cowsliphinge/messenger"
	"cowsliphinge/picker"
)

// sweepInterval is how often waiting requests are looked at without a release.
const sweepInterval clocker.Millis = 20

// Config is what a Balancer is built from.
type Config struct {
	AvailabilityZone string
	Clock            *clocker.Clock
	// Index returns the configuration in force, never nil.
	Index func() *indexer.Index
	// Loads fetches load reports and cache events of language servers; nil fetches none.
	Loads Loads
	// Seed of the random choices.
	Seed uint64
}

// Loads fetches what model engines tell of themselves.
type Loads interface {
	// Load returns the load report of the engine at address.
	Load(ctx context.Context, address string) (picker.LoadReport, error)
	// CacheEvents returns the cache events after a sequence number.
	CacheEvents(ctx context.Context, address string, after int64) ([]picker.CacheEvent, error)
}

// Balancer hands out slots of backend servers. All methods may be called from
// many goroutines.
type Balancer struct {
	cfg    Config
	cancel context.CancelFunc
	duties *errgroup.Group

	mu     sync.Mutex
	closed bool
	picker *picker.Picker
	index  *indexer.Index
	queues map[queueKey]*limiter.Queue
}

type queueKey struct {
	service string
	model   string
}

// New returns a balancer and starts its duties, which end with ctx or Close.
func New(ctx context.Context, cfg Config) *Balancer {
	ctx, cancel := context.WithCancel(ctx)
	b := &Balancer{
		cfg:    cfg,
		cancel: cancel,
		duties: &errgroup.Group{},
		picker: picker.New(picker.Config{AvailabilityZone: cfg.AvailabilityZone, Seed: cfg.Seed}),
		queues: map[queueKey]*limiter.Queue{},
	}
	b.duties.Go(func() error {
		for cfg.Clock.Sleep(ctx, sweepInterval) == nil {
			b.sweep()
		}
		return nil
	})
	return b
}

// Close refuses what waits and ends the duties.
func (b *Balancer) Close(context.Context) error {
	b.cancel()
	b.mu.Lock()
	b.closed = true
	for key, q := range b.queues {
		for _, item := range q.Order() {
			q.Remove(item)
			refuse(item, picker.ErrNoServer{Reason: picker.ReasonClosed})
		}
		delete(b.queues, key)
	}
	b.mu.Unlock()
	return b.duties.Wait()
}

// Acquire takes a slot for r, waiting in a bounded queue until the deadline.
// It returns picker.ErrNoServer if the request was refused; it did not run.
func (b *Balancer) Acquire(ctx context.Context, r picker.Request) (picker.Choice, error) {
	for {
		choice, err := b.acquire(ctx, r)
		if err != nil {
			metrics.GetOrCreateCounter(`cowsliphinge_refusals_total{reason="` + reasonOf(err) + `"}`).Inc()
			return picker.Choice{}, err
		}
		// The process may have been paused since the choice was made.
		now := b.cfg.Clock.Now()
		late := r.Deadline > 0 && now >= r.Deadline
		if !late && !b.cfg.Index().ServerLeaving(choice.Server.Name, now) {
			return choice, nil
		}
		b.Release(choice, picker.Left)
	}
}

func reasonOf(err error) string {
	if refusal, ok := err.(picker.ErrNoServer); ok {
		return refusal.Reason
	}
	return "other"
}

func (b *Balancer) acquire(ctx context.Context, r picker.Request) (picker.Choice, error) {
	choice, item, err := b.pickOrEnqueue(r)
	if err != nil || item == nil {
		return choice, err
	}
	select {
	case result := <-item.Done:
		return result.Choice, result.Err
	case <-ctx.Done():
		return b.leaveQueue(item)
	}
}

// pickOrEnqueue returns a choice, or the item that now waits, or a refusal.
func (b *Balancer) pickOrEnqueue(r picker.Request) (picker.Choice, *limiter.Item, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.cfg.Clock.Now()
	if b.closed {
		return picker.Choice{}, nil, picker.ErrNoServer{Reason: picker.ReasonClosed}
	}
	if r.Deadline > 0 && now >= r.Deadline {
		return picker.Choice{}, nil, picker.ErrNoServer{Reason: picker.ReasonDeadline}
	}
	b.sync(now)
	if !b.picker.Serves(r, b.leaving(now)) {
		return picker.Choice{}, nil, picker.ErrNoServer{Reason: picker.ReasonNone}
	}
	q := b.queueOf(r)
	if q.Len() == 0 {
		if choice, ok := b.picker.Pick(now, r, b.leaving(now)); ok {
			return choice, nil, nil
		}
	}
	item := &limiter.Item{Request: r, EnqueuedAt: now, Done: make(chan limiter.Result, 1)}
	if !q.Add(item, b.index.Service(r.Service).GetQueueLimit()) {
		return picker.Choice{}, nil, picker.ErrNoServer{Reason: picker.ReasonQueueFull}
	}
	return picker.Choice{}, item, nil
}

// leaveQueue ends the wait of a request whose caller left or whose deadline came.
func (b *Balancer) leaveQueue(item *limiter.Item) (picker.Choice, error) {
	b.mu.Lock()
	waited := b.queueOf(item.Request).Remove(item)
	b.mu.Unlock()
	if !waited {
		if result := <-item.Done; result.Err == nil {
			b.Release(result.Choice, picker.Left)
		}
	}
	return picker.Choice{}, picker.ErrNoServer{Reason: picker.ReasonCallerLeft}
}

// Release gives a slot back and lets waiting requests have it.
func (b *Balancer) Release(c picker.Choice, o picker.Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.cfg.Clock.Now()
	b.picker.Release(now, c, o)
	b.serveQueues(now)
}

// Status returns what is known of each declared backend server.
func (b *Balancer) Status() []*messenger.BackendServerStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.cfg.Clock.Now()
	b.sync(now)
	var statuses []*messenger.BackendServerStatus
	for _, d := range b.index.Configuration.GetDeclarations().GetBackendServers() {
		statuses = append(statuses, &messenger.BackendServerStatus{
			Name:             d.Name,
			AvailabilityZone: d.AvailabilityZone,
			Service:          d.Service,
			InFlight:         b.picker.InFlight(d.Name),
			Leaving:          b.index.ServerLeaving(d.Name, now),
		})
	}
	return statuses
}

// Waiting returns how many requests of a service wait.
func (b *Balancer) Waiting(service string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	waiting := 0
	for key, q := range b.queues {
		if key.service == service {
			waiting += q.Len()
		}
	}
	return waiting
}

func (b *Balancer) sweep() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.cfg.Clock.Now()
	b.sync(now)
	for _, q := range b.queues {
		for _, item := range q.Expire(now) {
			refuse(item, picker.ErrNoServer{Reason: picker.ReasonDeadline})
		}
	}
	b.serveQueues(now)
}

// serveQueues hands free slots to waiting requests.
func (b *Balancer) serveQueues(now clocker.Millis) {
	for _, q := range b.queues {
		for _, item := range q.Order() {
			if !b.picker.Serves(item.Request, b.leaving(now)) {
				q.Remove(item)
				refuse(item, picker.ErrNoServer{Reason: picker.ReasonNone})
				continue
			}
			choice, ok := b.picker.Pick(now, item.Request, b.leaving(now))
			if !ok {
				break
			}
			q.Remove(item)
			item.Done <- limiter.Result{Choice: choice}
		}
	}
}

// sync gives the picker the declarations of a new configuration.
func (b *Balancer) sync(now clocker.Millis) {
	index := b.cfg.Index()
	if index == b.index {
		return
	}
	b.index = index
	b.picker.Sync(now, index.Configuration.GetDeclarations().GetBackendServers())
}

func (b *Balancer) leaving(now clocker.Millis) func(string) bool {
	index := b.index
	return func(name string) bool { return index.ServerLeaving(name, now) }
}

func (b *Balancer) queueOf(r picker.Request) *limiter.Queue {
	key := queueKey{r.Service, r.Model}
	if b.queues[key] == nil {
		b.queues[key] = limiter.NewQueue()
	}
	return b.queues[key]
}

func refuse(item *limiter.Item, err picker.ErrNoServer) {
	item.Done <- limiter.Result{Err: err}
}
