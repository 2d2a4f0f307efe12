// Package balancer acquires slots of backend servers for requests. It is the concurrent
// wrapper around the routing logic of packages limiter and picker: it queues requests in
// bounded queues, polls backend servers for load reports and cache events, and feeds
// outcomes back. It serves package dispatcher; the path of package relayer uses package
// chooser and has no queues.
package balancer

import (
	"context"
	"errors"
	"maps"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"cowsliphinge/clocker"
	"cowsliphinge/indexer"
	"cowsliphinge/limiter"
	"cowsliphinge/messenger"
	"cowsliphinge/picker"
	"cowsliphinge/ringer"
)

// queueCheckInterval is how often the queues are served when no slot is released.
const queueCheckInterval clocker.Millis = 20

// Config configures a Balancer.
type Config struct {
	AvailabilityZone string
	Clock            *clocker.Clock
	// Index returns the configuration in force, never nil.
	Index func() *indexer.Index
	// LoadSource fetches load reports and cache events; nil disables polling.
	LoadSource LoadSource
	// Seed seeds the random choices.
	Seed uint64
}

// LoadSource fetches load reports and cache events from backend servers.
type LoadSource interface {
	// FetchLoad returns the load report of the server at address, or picker.ErrNoReport
	// if the server answers without one.
	FetchLoad(ctx context.Context, address string) (picker.LoadReport, error)
	// FetchCacheEvents returns the cache events of a model engine after a sequence number,
	// or picker.ErrNoReport if the server answers without them.
	FetchCacheEvents(ctx context.Context, address string, after int64) ([]picker.CacheEvent, error)
}

// Balancer assigns slots of backend servers to requests. It is safe for concurrent use.
type Balancer struct {
	cfg       Config
	cancel    context.CancelFunc
	tasks     *errgroup.Group
	pollQueue *ringer.DroppingQueue[poll]

	mu         sync.Mutex
	closed     bool
	admission  *limiter.AdmissionController
	index      *indexer.Index
	pollStates map[string]*pollState
	// ownZoneServers lists the backend servers of the own availability zone.
	ownZoneServers []*messenger.BackendServer
}

// New returns a balancer and starts its background tasks, which end with ctx or Close.
func New(ctx context.Context, cfg Config) *Balancer {
	ctx, cancel := context.WithCancel(ctx)
	b := &Balancer{
		cfg:        cfg,
		cancel:     cancel,
		tasks:      &errgroup.Group{},
		pollQueue:  ringer.New[poll]("load_polls", pollWorkers),
		admission:  limiter.NewAdmissionController(limiter.AdmissionConfig{AvailabilityZone: cfg.AvailabilityZone, Seed: cfg.Seed}),
		pollStates: map[string]*pollState{},
	}
	b.tasks.Go(func() error {
		for cfg.Clock.Sleep(ctx, queueCheckInterval) == nil {
			b.serveQueues()
		}
		return nil
	})
	if cfg.LoadSource != nil {
		b.startPolling(ctx)
	}
	return b
}

// Close refuses all queued requests and stops the background tasks.
func (b *Balancer) Close(context.Context) error {
	b.cancel()
	b.mu.Lock()
	b.closed = true
	for _, item := range b.admission.RemoveAll() {
		item.Done <- limiter.Result{Err: picker.ErrRefused{Reason: picker.ReasonClosed}}
	}
	b.mu.Unlock()
	return b.tasks.Wait()
}

// Acquire takes a slot for r. If none is free, it waits in a bounded queue until the
// deadline. It returns picker.ErrRefused if the request is refused and so did not run.
func (b *Balancer) Acquire(ctx context.Context, r picker.Request) (picker.Choice, error) {
	for {
		choice, err := b.acquire(ctx, r)
		if err != nil {
			countRefusal(err)
			return picker.Choice{}, err
		}
		if b.stillUsable(choice, r) {
			return choice, nil
		}
		b.Release(choice, picker.Abandoned)
	}
}

// stillUsable reports whether a choice is still valid. The process may have been
// suspended since the choice was made, so the deadline may have passed or the server may
// be leaving.
func (b *Balancer) stillUsable(c picker.Choice, r picker.Request) bool {
	now := b.cfg.Clock.Now()
	expired := r.Deadline > 0 && now >= r.Deadline
	return !expired && !b.cfg.Index().ServerLeaving(c.Server.Name, now)
}

func countRefusal(err error) {
	reason := "other"
	var refusal picker.ErrRefused
	if errors.As(err, &refusal) {
		reason = refusal.Reason
	}
	metrics.GetOrCreateCounter(`cowsliphinge_refusals_total{reason="` + reason + `"}`).Inc()
}

func (b *Balancer) acquire(ctx context.Context, r picker.Request) (picker.Choice, error) {
	item := &limiter.Item{Request: r, Done: make(chan limiter.Result, 1)}
	choice, err := b.submit(item)
	if err != nil || choice.Server != nil {
		return choice, err
	}
	select {
	case result := <-item.Done:
		return result.Choice, result.Err
	case <-ctx.Done():
		return b.withdraw(item)
	}
}

// submit returns a choice, or a choice without a server if the item was queued, or an
// error if it was refused.
func (b *Balancer) submit(item *limiter.Item) (picker.Choice, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return picker.Choice{}, picker.ErrRefused{Reason: picker.ReasonClosed}
	}
	now := b.cfg.Clock.Now()
	b.updateConfiguration(now)
	choice, ended, err := b.admission.Submit(now, item)
	deliver(ended)
	if b.admission.QueueLength(item.Request.Service) > 0 {
		deliver(b.admission.ServeQueues(now))
	}
	return choice, err
}

// withdraw removes a request from its queue after the caller disconnected. If a slot was
// assigned in the meantime, it is released.
func (b *Balancer) withdraw(item *limiter.Item) (picker.Choice, error) {
	b.mu.Lock()
	waited := b.admission.Withdraw(item)
	b.mu.Unlock()
	if !waited {
		if result := <-item.Done; result.Err == nil {
			b.Release(result.Choice, picker.Abandoned)
		}
	}
	return picker.Choice{}, picker.ErrRefused{Reason: picker.ReasonCallerDisconnected}
}

// Release returns a slot, records the outcome and serves the queues.
func (b *Balancer) Release(c picker.Choice, o picker.Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.cfg.Clock.Now()
	b.updateConfiguration(now)
	b.trackEjection(c.Server.GetName(), func() { b.admission.Release(now, c, o) })
	deliver(b.admission.ServeQueues(now))
}

// Status returns the status of each declared backend server.
func (b *Balancer) Status() []*messenger.BackendServerStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.cfg.Clock.Now()
	b.updateConfiguration(now)
	var statuses []*messenger.BackendServerStatus
	for _, d := range b.index.Configuration.GetDeclarations().GetBackendServers() {
		statuses = append(statuses, &messenger.BackendServerStatus{
			Name:             d.Name,
			AvailabilityZone: d.AvailabilityZone,
			Service:          d.Service,
			InFlight:         b.admission.InFlight(d.Name),
			Leaving:          b.index.ServerLeaving(d.Name, now),
			Ejected:          b.admission.Ejected(d.Name),
		})
	}
	return statuses
}

// QueueLength returns the number of queued requests of a service.
func (b *Balancer) QueueLength(service string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.admission.QueueLength(service)
}

func (b *Balancer) serveQueues() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.cfg.Clock.Now()
	b.updateConfiguration(now)
	deliver(b.admission.ServeQueues(now))
}

// updateConfiguration applies the configuration in force if it has changed.
func (b *Balancer) updateConfiguration(now clocker.Millis) {
	index := b.cfg.Index()
	if index == b.index {
		return
	}
	b.index = index
	b.admission.SetConfiguration(now, index)
	b.ownZoneServers = nil
	for _, d := range index.Configuration.GetDeclarations().GetBackendServers() {
		if d.AvailabilityZone == b.cfg.AvailabilityZone {
			b.ownZoneServers = append(b.ownZoneServers, d)
		}
	}
	maps.DeleteFunc(b.pollStates, func(name string, _ *pollState) bool {
		return index.BackendServer(name) == nil
	})
}

// deliver sends the decisions to the waiting requests.
func deliver(ended []limiter.Decision) {
	for _, e := range ended {
		e.Item.Done <- e.Result
	}
}
