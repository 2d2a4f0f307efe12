package logger

import "sync"

// maxFilteredKeys bounds the memory of a RevisionFilter. Beyond it a line may be logged again.
const maxFilteredKeys = 4096

// RevisionFilter lets one log line through for each revision of an object, where the object is read
// again and again. The zero value is ready to use, also from many goroutines.
type RevisionFilter struct {
	mu   sync.Mutex
	last map[string]int64
}

// First reports whether the revision of the object is not the one of the last call for it.
func (f *RevisionFilter) First(key string, revision int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if last, known := f.last[key]; known && last == revision {
		return false
	}
	if f.last == nil || len(f.last) >= maxFilteredKeys {
		f.last = map[string]int64{}
	}
	f.last[key] = revision
	return true
}
