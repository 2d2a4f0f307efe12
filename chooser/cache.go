package chooser

import (
	"container/list"
	"strings"
)

// maxParts bounds the parts that are remembered of one model engine, so that callers who
// name many small ones do not fill the memory of a host.
const maxParts = 4096

// partCache follows which parts of prompts a model engine is taken to have
// cached, by the requests that this host sent there. The least recently used
// parts yield.
type partCache struct {
	capacity int
	tokens   int
	byID     map[string]*list.Element
	order    *list.List
}

func (c *partCache) has(id string) bool {
	return c.byID[id] != nil
}

// add notes a part that was sent. Callers name the parts: one that can't be in the
// engine's memory is left out.
func (c *partCache) add(p PromptPart) {
	if p.Tokens <= 0 || p.Tokens > c.capacity {
		return
	}
	if c.byID == nil {
		c.byID = map[string]*list.Element{}
		c.order = list.New()
	}
	if e := c.byID[p.ID]; e != nil {
		c.order.MoveToFront(e)
		return
	}
	p.ID = strings.Clone(p.ID) // not the whole header that it is a piece of
	c.byID[p.ID] = c.order.PushFront(p)
	for c.tokens > c.capacity-p.Tokens || c.order.Len() > maxParts {
		oldest := c.order.Back()
		old := oldest.Value.(PromptPart)
		c.order.Remove(oldest)
		delete(c.byID, old.ID)
		c.tokens -= old.Tokens
	}
	c.tokens += p.Tokens
}
