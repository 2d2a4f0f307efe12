// Package balancer runs the routing deciders: it takes slots of backend
// servers for requests, lets requests wait in bounded queues, and learns from
// outcomes and load reports.
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

// sweepInterval is how often waiting requests are looked at without a release.
const sweepInterval clocker.Millis = 20

// Config is what a Balancer is built from.
type Config struct {
	AvailabilityZone string
	Clock            *clocker.Clock
	// Index returns the configuration in force, never nil.
	Index func() *indexer.Index
	// Loads fetches load reports and cache events; nil fetches none.
	LoadSource LoadSource
	// Seed of the random choices.
	Seed uint64
}

// Loads fetches what backend servers tell of themselves.
type LoadSource interface {
	// Load returns the load report of the server at address.
	LoadReport(ctx context.Context, address string) (picker.LoadReport, error)
	// CacheEvents returns the cache events of a model engine after a sequence number.
	CacheEvents(ctx context.Context, address string, after int64) ([]picker.CacheEvent, error)
}

// Balancer hands out slots of backend servers. All methods may be called from
// many goroutines.
type Balancer struct {
	cfg    Config
	cancel context.CancelFunc
	duties *errgroup.Group
	polls  *ringer.Ring[poll]

	mu     sync.Mutex
	closed bool
	gate   *limiter.AdmissionController
	index  *indexer.Index
	polled map[string]*polled
	// near is the backend servers of the own availability zone.
	near []*messenger.BackendServer
}

// New returns a balancer and starts its duties, which end with ctx or Close.
func New(ctx context.Context, cfg Config) *Balancer {
	ctx, cancel := context.WithCancel(ctx)
	b := &Balancer{
		cfg:    cfg,
		cancel: cancel,
		duties: &errgroup.Group{},
		polls:  ringer.New[poll]("load_polls", pollWorkers),
		gate:   limiter.NewAdmissionController(limiter.AdmissionConfig{AvailabilityZone: cfg.AvailabilityZone, Seed: cfg.Seed}),
		polled: map[string]*polled{},
	}
	b.duties.Go(func() error {
		for cfg.Clock.Sleep(ctx, sweepInterval) == nil {
			b.sweep()
		}
		return nil
	})
	if cfg.LoadSource != nil {
		b.startPolling(ctx)
	}
	return b
}

// Close refuses what waits and ends the duties.
func (b *Balancer) Close(context.Context) error {
	b.cancel()
	b.mu.Lock()
	b.closed = true
	for _, item := range b.gate.RemoveAll() {
		item.Done <- limiter.Result{Err: picker.ErrNoServer{Reason: picker.ReasonClosed}}
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
			countRefusal(err)
			return picker.Choice{}, err
		}
		if b.stillGood(choice, r) {
			return choice, nil
		}
		b.Release(choice, picker.CallerLeft)
	}
}

// stillGood reports whether a choice may be used now: the process may have been
// paused since it was made.
func (b *Balancer) stillGood(c picker.Choice, r picker.Request) bool {
	now := b.cfg.Clock.Now()
	late := r.Deadline > 0 && now >= r.Deadline
	return !late && !b.cfg.Index().ServerLeaving(c.Server.Name, now)
}

func countRefusal(err error) {
	reason := "other"
	var refusal picker.ErrNoServer
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

// submit returns a choice, or none if the item now waits, or a refusal.
func (b *Balancer) submit(item *limiter.Item) (picker.Choice, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return picker.Choice{}, picker.ErrNoServer{Reason: picker.ReasonClosed}
	}
	now := b.cfg.Clock.Now()
	b.sync(now)
	choice, ended, err := b.gate.Submit(now, item)
	finish(ended)
	if b.gate.QueueLength(item.Request.Service) > 0 {
		finish(b.gate.ServeQueues(now))
	}
	return choice, err
}

// withdraw ends the wait of a request whose caller left.
func (b *Balancer) withdraw(item *limiter.Item) (picker.Choice, error) {
	b.mu.Lock()
	waited := b.gate.Withdraw(item)
	b.mu.Unlock()
	if !waited {
		if result := <-item.Done; result.Err == nil {
			b.Release(result.Choice, picker.CallerLeft)
		}
	}
	return picker.Choice{}, picker.ErrNoServer{Reason: picker.ReasonCallerLeft}
}

// Release gives a slot back and lets waiting requests have it.
func (b *Balancer) Release(c picker.Choice, o picker.Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.cfg.Clock.Now()
	b.sync(now)
	b.watchEjection(c.Server.GetName(), func() { b.gate.Release(now, c, o) })
	finish(b.gate.ServeQueues(now))
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
			InFlight:         b.gate.InFlight(d.Name),
			Leaving:          b.index.ServerLeaving(d.Name, now),
			Ejected:          b.gate.Ejected(d.Name),
		})
	}
	return statuses
}

// Waiting returns how many requests of a service wait.
func (b *Balancer) QueueLength(service string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.gate.QueueLength(service)
}

func (b *Balancer) sweep() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.cfg.Clock.Now()
	b.sync(now)
	finish(b.gate.ServeQueues(now))
}

// sync takes over a new configuration.
func (b *Balancer) sync(now clocker.Millis) {
	index := b.cfg.Index()
	if index == b.index {
		return
	}
	b.index = index
	b.gate.Sync(now, index)
	b.near = nil
	for _, d := range index.Configuration.GetDeclarations().GetBackendServers() {
		if d.AvailabilityZone == b.cfg.AvailabilityZone {
			b.near = append(b.near, d)
		}
	}
	maps.DeleteFunc(b.polled, func(name string, _ *polled) bool {
		return index.BackendServer(name) == nil
	})
}

// finish tells the waiting requests how their wait ended.
func finish(ended []limiter.Decision) {
	for _, e := range ended {
		e.Item.Done <- e.Result
	}
}
