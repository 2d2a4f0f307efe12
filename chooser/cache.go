package chooser

import (
	"container/list"
	"strings"
)

// maxCachedParts bounds the prompt parts tracked per model engine. Callers choose the
// part IDs, so many small parts could otherwise exhaust the memory of a host.
const maxCachedParts = 4096

// promptCache is an LRU estimate of the prompt parts that a model engine has
// cached, based on the requests that this host sent to it.
type promptCache struct {
	capacity int
	tokens   int
	byID     map[string]*list.Element
	lru      *list.List
}

func (c *promptCache) has(id string) bool {
	return c.byID[id] != nil
}

// add records a part that was sent to the engine. Callers choose part IDs and sizes, so
// a part that does not fit in the engine's cache is ignored.
func (c *promptCache) add(p PromptPart) {
	if p.Tokens <= 0 || p.Tokens > c.capacity {
		return
	}
	if c.byID == nil {
		c.byID = map[string]*list.Element{}
		c.lru = list.New()
	}
	if e := c.byID[p.ID]; e != nil {
		c.lru.MoveToFront(e)
		return
	}
	p.ID = strings.Clone(p.ID) // do not retain the request header that the ID is a substring of
	c.byID[p.ID] = c.lru.PushFront(p)
	for c.tokens > c.capacity-p.Tokens || c.lru.Len() > maxCachedParts {
		oldest := c.lru.Back()
		old := oldest.Value.(PromptPart)
		c.lru.Remove(oldest)
		delete(c.byID, old.ID)
		c.tokens -= old.Tokens
	}
	c.tokens += p.Tokens
}
