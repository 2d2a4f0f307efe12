package picker

import "cowsliphinge/clocker"

// LoadReport is what a model engine tells of its load, with a lag.
type LoadReport struct {
	Running      int64
	Queued       int64
	Slots        int64
	CachedBlocks int64
	SampledAtMs  clocker.Millis
}

// Kinds of CacheEvent.
const (
	CacheStored  = "Stored"
	CacheEvicted = "Evicted"
)

// CacheEvent tells that a model engine stored or evicted a prompt prefix. Events
// come late and with gaps.
type CacheEvent struct {
	Sequence int64
	Kind     string
	Prefix   uint64
}
