package picker

import "cowsliphinge/clocker"

const (
	// holdersPerHint is the number of servers that are remembered per prefix.
	holdersPerHint = 4
	// hintLifetime is how long a hint is used unless it is confirmed again.
	hintLifetime = 60 * clocker.Second
	// maxHints bounds the number of remembered prefixes.
	maxHints = 32768
)

// hints records which servers probably cache a prompt prefix, based on the answers that
// this host received and on cache events. Hints influence choices but are never
// required to be correct.
type hints struct {
	entries map[uint64]*hint
	// order is a ring of the prefixes in order of insertion, for eviction; next is the
	// index of the oldest one once the ring is full.
	order []uint64
	next  int
}

// hint lists the servers that probably cache one prefix.
type hint struct {
	holders   [holdersPerHint]*server
	expiresAt [holdersPerHint]clocker.Millis
}

func newHints() *hints {
	return &hints{entries: map[uint64]*hint{}}
}

// add records that s caches the prefix, replacing the holder that expires first.
func (h *hints) add(now clocker.Millis, prefix uint64, s *server) {
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
		if entry.expiresAt[i] < entry.expiresAt[slot] {
			slot = i
		}
	}
	entry.holders[slot] = s
	entry.expiresAt[slot] = now + hintLifetime
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

// remove records that s no longer caches the prefix.
func (h *hints) remove(prefix uint64, s *server) {
	entry := h.entries[prefix]
	if entry == nil {
		return
	}
	for i, holder := range entry.holders {
		if holder == s {
			entry.expiresAt[i] = 0
		}
	}
}

// holds reports whether s probably caches the prefix of the entry.
func (e *hint) holds(now clocker.Millis, s *server) bool {
	if e == nil {
		return false
	}
	for i, holder := range e.holders {
		if holder == s && now < e.expiresAt[i] {
			return true
		}
	}
	return false
}
