package chooser

import "container/list"

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

func (c *partCache) add(p Part) {
	if c.capacity == 0 {
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
	c.byID[p.ID] = c.order.PushFront(p)
	c.tokens += p.Tokens
	for c.tokens > c.capacity {
		oldest := c.order.Back()
		old := oldest.Value.(Part)
		c.order.Remove(oldest)
		delete(c.byID, old.ID)
		c.tokens -= old.Tokens
	}
}
