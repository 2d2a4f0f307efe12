package picker

import "cowsliphinge/clocker"

const (
	// hintHolders is how many holders of a prefix are remembered.
	hintHolders = 4
	// hintLife is how long a hint counts without being confirmed.
	hintLife = 60 * clocker.Second
	// maxHints bounds the prefixes that are remembered.
	maxHints = 32768
)

// hints remembers which servers probably hold a prompt prefix in their cache,
// from own answers and from cache events. They steer a choice, no more.
type hints struct {
	entries map[uint64]*hint
	// order lists the prefixes by first mention, for eviction.
	order []uint64
	next  int
}

// hint is the probable holders of one prefix.
type hint struct {
	holders [hintHolders]*server
	until   [hintHolders]clocker.Millis
}

func newHints() *hints {
	return &hints{entries: map[uint64]*hint{}}
}

// stored notes that s holds the prefix, in place of the oldest holder.
func (h *hints) stored(now clocker.Millis, prefix uint64, s *server) {
	if prefix == 0 {
		return
	}
	entry := h.entry(prefix)
	slot := 0
	for i, holder := range entry.holders {
		if holder == s {
			slot = i
			break
		}
		if entry.until[i] < entry.until[slot] {
			slot = i
		}
	}
	entry.holders[slot] = s
	entry.until[slot] = now + hintLife
}

func (h *hints) entry(prefix uint64) *hint {
	if entry := h.entries[prefix]; entry != nil {
		return entry
	}
	entry := &hint{}
	h.entries[prefix] = entry
	if len(h.order) < maxHints {
		h.order = append(h.order, prefix)
		return entry
	}
	delete(h.entries, h.order[h.next])
	h.order[h.next] = prefix
	h.next = (h.next + 1) % maxHints
	return entry
}

// evicted notes that s no longer holds the prefix.
func (h *hints) evicted(prefix uint64, s *server) {
	entry := h.entries[prefix]
	if entry == nil {
		return
	}
	for i, holder := range entry.holders {
		if holder == s {
			entry.until[i] = 0
		}
	}
}

// holds reports whether s probably holds the prefix of the entry.
func (e *hint) holds(now clocker.Millis, s *server) bool {
	if e == nil {
		return false
	}
	for i, holder := range e.holders {
		if holder == s && now < e.until[i] {
			return true
		}
	}
	return false
}
