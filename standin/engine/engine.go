// Package engine stands in for a model engine: it batches continuously, caches
// prompt prefixes, streams answers that can be resumed and cancelled, reports
// load late, takes orders, and fails on demand.
package engine

import (
	"context"
	"math/rand/v2"
	"sync"

	"cowsliphinge/clocker"
	"cowsliphinge/standin/faulter"
)

// Config configures an Engine. The zero value of a cost costs nothing.
type Config struct {
	Name  string
	Clock *clocker.Clock
	// Slots is how many sequences run in one batch; 0 means 16.
	Slots int
	// QueueLimit is how many requests wait; more are refused as not run; 0 means 256.
	QueueLimit int
	// PrefillMsPerToken is the time to process one prompt token that is not
	// cached, in milliseconds.
	PrefillMsPerToken float64
	// PrefillChunk is how many prompt tokens one step processes; 0 means 512.
	PrefillChunk int64
	// DecodeMsPerToken is the time of one step that gives each running sequence
	// one token, in milliseconds.
	DecodeMsPerToken float64
	// DecodeMsPerSequence is what each running sequence adds to a step, in
	// milliseconds.
	DecodeMsPerSequence float64
	// CacheTokens bounds the prefix cache; 0 means 65536.
	CacheTokens int64
	// LoadLagMs is how old load reports are, in milliseconds.
	LoadLagMs clocker.Millis
	// EventLagMs is how late cache events are told, in milliseconds.
	EventLagMs clocker.Millis
	// EventLossPercent of cache events are never told.
	EventLossPercent int
	// Models that are loaded at the start; none means that any model is served.
	Models []string
	// LoadMsPerModel is the time to load a model after an order, in milliseconds.
	LoadMsPerModel clocker.Millis
	// ChecksFencing makes the engine refuse orders with old fencing numbers.
	ChecksFencing bool
	// RetainMs is how long finished streams can be resumed, in milliseconds; 0
	// means a minute.
	RetainMs clocker.Millis
	// Seed of the choice of lost cache events.
	Seed int64
}

// Engine is one language server.
type Engine struct {
	cfg    Config
	faults *faulter.Injector
	ctx    context.Context
	stop   context.CancelFunc
	wake   chan struct{}
	group  sync.WaitGroup

	mu      sync.Mutex
	rng     *rand.Rand
	queue   []*stream
	running []*stream
	streams map[string]*stream
	runs    map[string]int
	records []*stream
	samples []Load
	cache   *prefixCache
	events  []cacheEvent
	orders  orders
}

// New returns a running engine.
func New(cfg Config) *Engine {
	cfg = withDefaults(cfg)
	ctx, stop := context.WithCancel(context.Background())
	e := &Engine{
		cfg:     cfg,
		faults:  faulter.New(cfg.Clock),
		ctx:     ctx,
		stop:    stop,
		wake:    make(chan struct{}, 1),
		rng:     rand.New(rand.NewPCG(uint64(cfg.Seed), 0)),
		streams: map[string]*stream{},
		runs:    map[string]int{},
		cache:   newPrefixCache(cfg.CacheTokens),
		orders:  newOrders(cfg.Models),
	}
	e.sample()
	e.group.Go(func() { e.batch() })
	return e
}

func withDefaults(cfg Config) Config {
	if cfg.Slots == 0 {
		cfg.Slots = 16
	}
	if cfg.QueueLimit == 0 {
		cfg.QueueLimit = 256
	}
	if cfg.PrefillChunk == 0 {
		cfg.PrefillChunk = 512
	}
	if cfg.CacheTokens == 0 {
		cfg.CacheTokens = 65536
	}
	if cfg.RetainMs == 0 {
		cfg.RetainMs = clocker.Minute
	}
	return cfg
}

// Close ends the batch and waits of silent connections.
func (e *Engine) Close() {
	e.stop()
	e.faults.Close()
	e.group.Wait()
}

// SetFaults replaces the faults in force. A crash loses streams, cache and
// orders.
func (e *Engine) SetFaults(f faulter.Faults) {
	e.faults.Set(f)
	if f.Crashed {
		e.crash()
	}
}

// Faults returns the faults in force.
func (e *Engine) Faults() faulter.Faults {
	return e.faults.Faults()
}

func (e *Engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.streams {
		s.end(reasonCrashed)
	}
	e.queue = nil
	e.running = nil
	e.streams = map[string]*stream{}
	e.cache = newPrefixCache(e.cfg.CacheTokens)
	e.orders = newOrders(e.cfg.Models)
	e.sample()
}

// Runs returns how often each request ID was started. It survives a crash.
func (e *Engine) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make(map[string]int, len(e.runs))
	for id, n := range e.runs {
		runs[id] = n
	}
	return runs
}

// Served returns the tokens delivered by request ID: the prompt and the output
// that was sent. It survives a crash.
func (e *Engine) Served() map[string]int64 {
	served := map[string]int64{}
	for _, r := range e.Log() {
		if r.Delivered > 0 {
			served[r.RequestID] += r.PromptTokens + r.Delivered
		}
	}
	return served
}

// Record is one request that was started.
type Record struct {
	RequestID string
	Model     string
	StartedAt clocker.Millis
	// EndedAt is 0 while the request is queued or running.
	EndedAt      clocker.Millis
	PromptTokens int64
	CachedTokens int64
	// Generated and Delivered count output tokens.
	Generated int64
	Delivered int64
	// Reason is stop, length, cancelled, crashed or empty.
	Reason string
}

// Log returns each started request in the order of arrival. It survives a crash.
func (e *Engine) Log() []Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	log := make([]Record, 0, len(e.records))
	for _, s := range e.records {
		log = append(log, s.record())
	}
	return log
}
