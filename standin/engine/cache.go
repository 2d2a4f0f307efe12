package engine

import (
	"container/list"

	"cowsliphinge/clocker"
)

// Load is the answer of GET /load.
type Load struct {
	Running      int
	Queued       int
	Slots        int
	CachedBlocks int
	SampledAtMs  clocker.Millis
}

// Kinds of cache events.
const (
	Stored  = "Stored"
	Evicted = "Evicted"
)

// CacheEvent tells that a prefix came into the cache or left it.
type CacheEvent struct {
	Sequence int64
	Kind     string
	Prefix   uint64
}

type cacheEvent struct {
	CacheEvent
	at clocker.Millis
}

// maxEvents bounds the cache events that are kept.
const maxEvents = 4096

// prefixCache keeps the latest prefixes up to a number of tokens.
type prefixCache struct {
	limit  int64
	tokens int64
	order  *list.List // of cached, latest first
	places map[uint64]*list.Element
}

type cached struct {
	prefix uint64
	tokens int64 // of this block alone
}

func newPrefixCache(limit int64) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), places: map[uint64]*list.Element{}}
}

func (c *prefixCache) len() int {
	return len(c.places)
}

// touch reports whether the prefix is cached and makes it the latest.
func (c *prefixCache) touch(prefix uint64) bool {
	place, ok := c.places[prefix]
	if ok {
		c.order.MoveToFront(place)
	}
	return ok
}

// put adds a prefix and returns those that had to leave.
func (c *prefixCache) put(prefix uint64, tokens int64) []uint64 {
	c.places[prefix] = c.order.PushFront(cached{prefix: prefix, tokens: tokens})
	c.tokens += tokens
	var evicted []uint64
	for c.tokens > c.limit {
		last := c.order.Remove(c.order.Back()).(cached)
		delete(c.places, last.prefix)
		c.tokens -= last.tokens
		evicted = append(evicted, last.prefix)
	}
	return evicted
}

// lookUp returns how many leading prompt tokens are cached. The last token is
// always processed.
func (e *Engine) lookUp(s *stream) int64 {
	var n int64
	for i, prefix := range s.prefixes {
		if !e.cache.touch(prefix) {
			break
		}
		n += PromptTokens(s.request.Messages[i : i+1])
	}
	return min(n, s.usage.PromptTokens-1)
}

// remember puts the prefixes of a processed prompt into the cache.
func (e *Engine) remember(s *stream) {
	for i, prefix := range s.prefixes {
		e.store(prefix, PromptTokens(s.request.Messages[i:i+1]))
	}
}

func (e *Engine) store(prefix uint64, tokens int64) {
	if e.cache.touch(prefix) {
		return
	}
	e.tell(Stored, prefix)
	for _, gone := range e.cache.put(prefix, tokens) {
		e.tell(Evicted, gone)
	}
}

// tell adds a cache event, or loses it.
func (e *Engine) tell(kind string, prefix uint64) {
	var sequence int64 = 1
	if n := len(e.events); n > 0 {
		sequence = e.events[n-1].Sequence + 1
	}
	event := CacheEvent{Sequence: sequence, Kind: kind, Prefix: prefix}
	if e.rng.IntN(100) < e.cfg.EventLossPercent {
		event.Kind = ""
	}
	e.events = append(e.events, cacheEvent{CacheEvent: event, at: e.cfg.Clock.Now()})
	if len(e.events) > maxEvents {
		e.events = e.events[1:]
	}
}

// CacheEvents returns the events behind a sequence number that are due and not lost.
func (e *Engine) CacheEvents(after int64) []CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	due := e.cfg.Clock.Now() - e.cfg.EventLagMs
	events := []CacheEvent{}
	for _, event := range e.events {
		if event.Sequence > after && event.Kind != "" && event.at <= due {
			events = append(events, event.CacheEvent)
		}
	}
	return events
}

// Load returns the load as it was LoadLagMs ago.
func (e *Engine) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	due := e.cfg.Clock.Now() - e.cfg.LoadLagMs
	load := e.samples[0]
	for _, sample := range e.samples {
		if sample.SampledAtMs <= due {
			load = sample
		}
	}
	return load
}
