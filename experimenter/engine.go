package experimenter

import (
	"container/list"

	"cowsliphinge/clocker"
	"cowsliphinge/picker"
)

// job is one request on an engine.
type job struct {
	prefix    uint64
	prefill   int
	output    int
	generated int
	hit       bool
	gone      bool
	onFirst   func()
	onDone    func()
}

// engine is a fake model engine that batches continuously.
type engine struct {
	world    *world
	name     string
	slowness float64
	down     bool
	busy     bool
	queue    []*job
	running  []*job
	cache    prefixCache
	report   picker.LoadReport
	events   []picker.CacheEvent
}

// accept takes a job, or returns false if slots and queue are full.
func (e *engine) accept(j *job) bool {
	if len(e.running)+len(e.queue) >= e.world.Slots+e.world.QueueLimit {
		return false
	}
	e.queue = append(e.queue, j)
	e.step()
	return true
}

// step starts the next step unless one is under way.
func (e *engine) step() {
	if e.busy {
		return
	}
	e.admit()
	if len(e.running) == 0 {
		return
	}
	e.busy = true
	decoding, prefill := e.plan()
	p := e.world.Parameters
	length := p.StepBase + p.StepSequence*float64(decoding) + p.StepPrefill*float64(prefill)
	e.world.after(length*e.slowness, e.finishStep)
}

func (e *engine) admit() {
	for len(e.queue) > 0 && len(e.running) < e.world.Slots {
		j := e.queue[0]
		e.queue = e.queue[1:]
		if j.gone {
			continue
		}
		j.hit = e.cache.touch(j.prefix)
		if !j.hit {
			j.prefill += e.world.PrefixTokens
		}
		e.running = append(e.running, j)
	}
}

// plan counts the sequences that decode and the prompt tokens of a step.
func (e *engine) plan() (decoding, prefill int) {
	for _, j := range e.running {
		if j.prefill == 0 {
			decoding++
			continue
		}
		prefill = min(e.world.ChunkTokens, prefill+j.prefill)
	}
	return decoding, prefill
}

func (e *engine) finishStep() {
	e.busy = false
	budget := e.world.ChunkTokens
	var rest []*job
	var ended []func()
	for _, j := range e.running {
		if j.gone {
			continue
		}
		if j.prefill > 0 {
			share := min(budget, j.prefill)
			budget -= share
			j.prefill -= share
			if j.prefill > 0 {
				rest = append(rest, j)
				continue
			}
			e.stored(j.prefix)
		}
		j.generated++
		if j.generated == 1 {
			ended = append(ended, j.onFirst)
		}
		if j.generated >= j.output {
			ended = append(ended, j.onDone)
			continue
		}
		rest = append(rest, j)
	}
	e.running = rest
	for _, f := range ended {
		f()
	}
	e.step()
}

// stored puts a prefix into the cache and publishes what changed, with gaps.
func (e *engine) stored(prefix uint64) {
	evicted, changed := e.cache.store(prefix, e.world.CachePrefixes)
	if changed {
		e.publish(picker.CacheEvent{Kind: picker.CacheStored, Prefix: prefix})
	}
	if evicted != 0 {
		e.publish(picker.CacheEvent{Kind: picker.CacheEvicted, Prefix: evicted})
	}
}

func (e *engine) publish(event picker.CacheEvent) {
	if e.world.random.Float64() < e.world.EventLoss {
		return
	}
	e.world.after(e.world.EventDelay, func() { e.events = append(e.events, event) })
}

func (e *engine) sample(now clocker.Millis) {
	e.report = picker.LoadReport{
		Running:     int64(len(e.running)),
		Queued:      int64(len(e.queue)),
		Slots:       int64(e.world.Slots),
		SampledAtMs: now,
	}
}

// prefixCache holds the prefixes that were used last.
type prefixCache struct {
	order   *list.List
	entries map[uint64]*list.Element
}

func newPrefixCache() prefixCache {
	return prefixCache{order: list.New(), entries: map[uint64]*list.Element{}}
}

func (c *prefixCache) touch(prefix uint64) bool {
	entry := c.entries[prefix]
	if entry == nil {
		return false
	}
	c.order.MoveToFront(entry)
	return true
}

// store adds a prefix and returns the one that it evicted, if any.
func (c *prefixCache) store(prefix uint64, limit int) (evicted uint64, changed bool) {
	if c.touch(prefix) {
		return 0, false
	}
	c.entries[prefix] = c.order.PushFront(prefix)
	if c.order.Len() <= limit {
		return 0, true
	}
	last := c.order.Back()
	c.order.Remove(last)
	evicted = last.Value.(uint64)
	delete(c.entries, evicted)
	return evicted, true
}
