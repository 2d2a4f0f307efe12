package engine

import (
	"slices"

	"cowsliphinge/clocker"
)

// stream is one request from its arrival on. Engine.mu guards it.
type stream struct {
	id       string
	prompt   string
	request  ChatRequest
	started  clocker.Millis
	ended    clocker.Millis
	usage    Usage
	cached   int64
	prefill  int64 // prompt tokens left to process
	length   int64 // output tokens when finished
	reason   string
	sent     int64 // output tokens written to a connection
	changed  chan struct{}
	prefixes []uint64
}

// Reasons for which a stream ends.
const (
	reasonStop      = "stop"
	reasonLength    = "length"
	reasonCancelled = "cancelled"
	reasonCrashed   = "crashed"
)

func (s *stream) end(reason string) {
	if s.reason == "" {
		s.reason = reason
	}
	s.signal()
}

func (s *stream) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) record() Record {
	return Record{
		RequestID:    s.id,
		Model:        s.request.Model,
		StartedAt:    s.started,
		EndedAt:      s.ended,
		PromptTokens: s.usage.PromptTokens,
		CachedTokens: s.cached,
		Generated:    s.usage.CompletionTokens,
		Delivered:    s.sent,
		Reason:       s.reason,
	}
}

// batch runs steps as long as there is work.
func (e *Engine) batch() {
	var debt float64 // milliseconds of work not yet slept
	for e.ctx.Err() == nil {
		cost, busy := e.plan()
		if !busy {
			select {
			case <-e.wake:
			case <-e.ctx.Done():
			}
			continue
		}
		debt += cost
		whole := clocker.Millis(debt)
		debt -= float64(whole)
		if whole > 0 && e.cfg.Clock.Sleep(e.ctx, whole) != nil {
			return
		}
		e.step()
	}
}

// plan admits waiting requests and returns the milliseconds of the next step.
func (e *Engine) plan() (float64, bool) {
	slow := e.faults.Faults().SlowMs
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admit()
	if len(e.running) == 0 {
		return 0, false
	}
	cost := float64(slow) + e.cfg.PrefillMsPerToken*float64(e.chunk())
	decoding := 0
	for _, s := range e.running {
		if s.prefill == 0 {
			decoding++
		}
	}
	if decoding > 0 {
		cost += e.cfg.DecodeMsPerToken + e.cfg.DecodeMsPerSequence*float64(decoding)
	}
	return cost, true
}

// chunk returns how many prompt tokens the next step processes.
func (e *Engine) chunk() int64 {
	var n int64
	for _, s := range e.running {
		n += s.prefill
	}
	return min(n, e.cfg.PrefillChunk)
}

func (e *Engine) admit() {
	slices.SortStableFunc(e.queue, func(a, b *stream) int { return a.request.Priority - b.request.Priority })
	admitted := false
	for len(e.queue) > 0 && len(e.running) < e.cfg.Slots {
		s := e.queue[0]
		e.queue = e.queue[1:]
		s.cached = e.lookUp(s)
		s.prefill = s.usage.PromptTokens - s.cached
		e.running = append(e.running, s)
		admitted = true
	}
	if admitted {
		e.sample()
	}
}

// step gives prompt processing to the oldest sequences and one token to each
// sequence that was decoding.
func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	left := e.cfg.PrefillChunk
	for _, s := range e.running {
		if s.prefill > 0 {
			n := min(left, s.prefill)
			s.prefill -= n
			left -= n
			if s.prefill > 0 {
				continue
			}
			e.remember(s)
		}
		e.decode(s)
	}
	before := len(e.running)
	e.running = slices.DeleteFunc(e.running, func(s *stream) bool { return s.reason != "" })
	if len(e.running) != before {
		e.sample()
	}
}

func (e *Engine) decode(s *stream) {
	if s.reason != "" {
		return
	}
	s.usage.CompletionTokens++
	s.usage.TotalTokens = s.usage.PromptTokens + s.usage.CompletionTokens
	if s.usage.CompletionTokens < s.length {
		s.signal()
		return
	}
	reason := reasonStop
	if s.length == s.request.MaxTokens {
		reason = reasonLength
	}
	s.ended = e.cfg.Clock.Now()
	s.end(reason)
}

// sample notes the load as it is now, to be reported later.
func (e *Engine) sample() {
	now := e.cfg.Clock.Now()
	load := Load{
		Running:      len(e.running),
		Queued:       len(e.queue),
		Slots:        e.cfg.Slots,
		CachedBlocks: e.cache.len(),
		SampledAtMs:  now,
	}
	e.samples = append(e.samples, load)
	due := now - e.cfg.LoadLagMs
	for len(e.samples) > 1 && e.samples[1].SampledAtMs <= due {
		e.samples = e.samples[1:]
	}
}
