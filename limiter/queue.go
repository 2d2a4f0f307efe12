package limiter

import (
	"slices"

	"cowsliphinge/clocker"
	"cowsliphinge/picker"
)

const (
	// batchTurn is how often a batch request is served while interactive ones wait.
	batchTurn = 10
	// classes is the number of priority classes.
	classes = 2
)

// Item is a request that waits.
type Item struct {
	Request    picker.Request
	EnqueuedAt clocker.Millis
	// Done receives the result in the shell; the deciders do not use it.
	Done chan Result

	// passed counts how often a later item was served first for its prefix.
	passed int
}

// Result is how the wait of an item ended: a choice, or picker.ErrNoServer.
type Result struct {
	Choice picker.Choice
	Err    error
}

// Queue is the bounded queue of one service and model. Client accounts share
// it by start-time fair queueing over tokens. It is not safe for concurrent use.
type Queue struct {
	class [classes]class
	turns int
	n     int
}

// class is the waiting requests of one priority.
type class struct {
	lines   map[string]*line
	virtual float64
	n       int
}

// line is the waiting requests of one client account, oldest first.
type line struct {
	account string
	weight  float64
	// finish is the virtual time at which the account has had its share.
	finish float64
	items  []*Item
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	q := &Queue{}
	for i := range q.class {
		q.class[i].lines = map[string]*line{}
	}
	return q
}

// Len returns how many items wait.
func (q *Queue) Len() int {
	return q.n
}

// Add puts an item in. If limit items wait already, the newest item of the
// client account with the longest line for its weight is pushed out and
// returned, which may be the item itself.
func (q *Queue) Add(item *Item, limit int64) *Item {
	c := q.classOf(item)
	l := c.lineOf(item)
	l.items = append(l.items, item)
	c.n++
	q.n++
	if int64(q.n) <= limit {
		return nil
	}
	out := q.longest().newest()
	q.Remove(out)
	return out
}

// Remove takes an item out and reports whether it was there.
func (q *Queue) Remove(item *Item) bool {
	c := q.classOf(item)
	l := c.lines[item.Request.ClientAccount]
	if l == nil {
		return false
	}
	i := slices.Index(l.items, item)
	if i < 0 {
		return false
	}
	l.items = slices.Delete(l.items, i, i+1)
	c.n--
	q.n--
	return true
}

// Expire takes out and returns the items whose deadline has come.
func (q *Queue) RemoveExpired(now clocker.Millis) []*Item {
	var late []*Item
	for _, item := range q.Items() {
		if item.Request.Deadline > 0 && now >= item.Request.Deadline {
			q.Remove(item)
			late = append(late, item)
		}
	}
	return late
}

// Items returns all waiting items in no certain order.
func (q *Queue) Items() []*Item {
	items := make([]*Item, 0, q.n)
	for i := range q.class {
		for _, l := range q.class[i].lines {
			items = append(items, l.items...)
		}
	}
	return items
}

// Next returns at most n items in the order of their turn, without taking them
// out: the first of each line, then the second of each, and so on.
func (q *Queue) Peek(n int) []*Item {
	first, second := &q.class[picker.Interactive], &q.class[picker.Batch]
	if first.n > 0 && q.turns >= batchTurn {
		first, second = second, first
	}
	return second.next(first.next(nil, n), n)
}

// Served takes an item out and charges its client account for it.
func (q *Queue) Dequeue(item *Item) {
	c := q.classOf(item)
	l := c.lineOf(item)
	start := max(c.virtual, l.finish)
	if q.Remove(item) {
		c.virtual = start
	}
	l.finish = start + cost(item.Request)/l.weight
	q.turns++
	if item.Request.Priority == picker.Batch {
		q.turns = 0
	}
	c.forget()
}

// Ahead returns how many items are served before a new item of r, roughly.
func (q *Queue) ItemsAhead(r picker.Request) int {
	c := &q.class[priority(r)]
	mine := 1.0
	if l := c.lines[r.ClientAccount]; l != nil {
		mine += float64(len(l.items))
	}
	weight := weightOf(r)
	ahead := mine - 1
	for account, l := range c.lines {
		if account != r.ClientAccount {
			ahead += min(float64(len(l.items)), mine*l.weight/weight)
		}
	}
	if priority(r) == picker.Batch {
		ahead += float64(q.class[picker.Interactive].n)
	}
	return int(ahead)
}

func (q *Queue) classOf(item *Item) *class {
	return &q.class[priority(item.Request)]
}

// longest returns the line that gives way: batch before interactive, then the
// most items for its weight.
func (q *Queue) longest() *line {
	for i := classes - 1; i >= 0; i-- {
		var longest *line
		for _, l := range q.class[i].lines {
			if len(l.items) > 0 && (longest == nil || l.longerThan(longest)) {
				longest = l
			}
		}
		if longest != nil {
			return longest
		}
	}
	return nil
}

func (c *class) lineOf(item *Item) *line {
	r := item.Request
	l := c.lines[r.ClientAccount]
	if l == nil {
		l = &line{account: r.ClientAccount}
		c.lines[r.ClientAccount] = l
	}
	l.weight = weightOf(r)
	return l
}

// next appends items in the order of their turn until there are n.
func (c *class) next(items []*Item, n int) []*Item {
	if c.n == 0 {
		return items
	}
	lines := c.inTurn()
	for depth := 0; len(lines) > 0; depth++ {
		lines = slices.DeleteFunc(lines, func(l *line) bool { return len(l.items) <= depth })
		for _, l := range lines {
			if len(items) >= n {
				return items
			}
			items = append(items, l.items[depth])
		}
	}
	return items
}

// inTurn returns the lines with items, the one with most due first.
func (c *class) inTurn() []*line {
	lines := make([]*line, 0, len(c.lines))
	for _, l := range c.lines {
		if len(l.items) > 0 {
			lines = append(lines, l)
		}
	}
	slices.SortFunc(lines, func(a, b *line) int {
		if a.before(b, c.virtual) {
			return -1
		}
		return 1
	})
	return lines
}

// forget drops empty lines that have no share to pay back.
func (c *class) forget() {
	for account, l := range c.lines {
		if len(l.items) == 0 && l.finish <= c.virtual {
			delete(c.lines, account)
		}
	}
}

func (l *line) newest() *Item {
	return l.items[len(l.items)-1]
}

func (l *line) longerThan(other *line) bool {
	mine, theirs := float64(len(l.items))/l.weight, float64(len(other.items))/other.weight
	if mine != theirs {
		return mine > theirs
	}
	return l.account < other.account
}

func (l *line) before(other *line, virtual float64) bool {
	mine, theirs := max(virtual, l.finish), max(virtual, other.finish)
	if mine != theirs {
		return mine < theirs
	}
	return l.account < other.account
}

func cost(r picker.Request) float64 {
	return float64(max(1, r.Tokens))
}

func weightOf(r picker.Request) float64 {
	return float64(max(1, r.Weight))
}

func priority(r picker.Request) picker.Priority {
	if r.Priority == picker.Batch {
		return picker.Batch
	}
	return picker.Interactive
}
