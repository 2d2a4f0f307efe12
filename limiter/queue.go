package limiter

import (
	"slices"

	"cowsliphinge/clocker"
	"cowsliphinge/picker"
)

const (
	// interactivePerBatch is the number of interactive requests served between two
	// batch requests while requests of both classes wait.
	interactivePerBatch = 10
	// priorityCount is the number of priority classes.
	priorityCount = 2
)

// Item is a request submitted to the queues.
type Item struct {
	Request    picker.Request
	EnqueuedAt clocker.Millis
	// Done receives the result. Only the wrapper around this package uses it.
	Done chan Result

	// bypasses counts how often a later item was served first because its prefix
	// was cached.
	bypasses int
}

// Result is the result of an item: a choice, or picker.ErrRefused.
type Result struct {
	Choice picker.Choice
	Err    error
}

// Queue is the bounded queue of one service, model and role. Client accounts share
// it by start-time fair queueing over tokens. It is not safe for concurrent use.
type Queue struct {
	classes          [priorityCount]priorityClass
	servedSinceBatch int
	n                int
}

// priorityClass holds the queued requests of one priority.
type priorityClass struct {
	accounts map[string]*accountQueue
	// virtualTime is the virtual start time of the latest served request. An account
	// that had no requests starts at this time, so it gains nothing from its absence.
	virtualTime float64
	n           int
}

// accountQueue holds the queued requests of one client account, oldest first.
type accountQueue struct {
	account string
	weight  float64
	// finishTime is the virtual finish time of the account's latest served request.
	finishTime float64
	items      []*Item
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	q := &Queue{}
	for i := range q.classes {
		q.classes[i].accounts = map[string]*accountQueue{}
	}
	return q
}

// Len returns the number of items.
func (q *Queue) Len() int {
	return q.n
}

// Add adds an item. If the queue already holds limit items, it evicts and returns
// the newest item of the client account with the most items for its weight. This
// may be the added item. Batch items are evicted before interactive ones.
func (q *Queue) Add(item *Item, limit int64) *Item {
	c := q.classFor(item)
	a := c.accountQueueFor(item)
	a.items = append(a.items, item)
	c.n++
	q.n++
	if int64(q.n) <= limit {
		return nil
	}
	evicted := q.longestAccountQueue().newest()
	q.Remove(evicted)
	return evicted
}

// Remove removes an item and reports whether it was queued.
func (q *Queue) Remove(item *Item) bool {
	c := q.classFor(item)
	a := c.accounts[item.Request.ClientAccount]
	if a == nil {
		return false
	}
	i := slices.Index(a.items, item)
	if i < 0 {
		return false
	}
	a.items = slices.Delete(a.items, i, i+1)
	c.n--
	q.n--
	return true
}

// RemoveExpired removes and returns the items whose deadline has passed.
func (q *Queue) RemoveExpired(now clocker.Millis) []*Item {
	var expired []*Item
	for _, item := range q.Items() {
		if item.Request.Deadline > 0 && now >= item.Request.Deadline {
			q.Remove(item)
			expired = append(expired, item)
		}
	}
	return expired
}

// Items returns all items in unspecified order.
func (q *Queue) Items() []*Item {
	items := make([]*Item, 0, q.n)
	for i := range q.classes {
		for _, a := range q.classes[i].accounts {
			items = append(items, a.items...)
		}
	}
	return items
}

// Peek returns at most n items in the order in which they are served, without
// removing them: the first of each account queue, then the second of each, and so on.
func (q *Queue) Peek(n int) []*Item {
	first, second := &q.classes[picker.Interactive], &q.classes[picker.Batch]
	if first.n > 0 && q.servedSinceBatch >= interactivePerBatch {
		first, second = second, first
	}
	return second.appendInTurn(first.appendInTurn(nil, n), n)
}

// Dequeue removes an item that is served and advances the virtual finish time of its
// client account.
func (q *Queue) Dequeue(item *Item) {
	c := q.classFor(item)
	a := c.accountQueueFor(item)
	start := max(c.virtualTime, a.finishTime)
	if q.Remove(item) {
		c.virtualTime = start
	}
	a.finishTime = start + tokenCost(item.Request)/a.weight
	q.servedSinceBatch++
	if item.Request.Priority == picker.Batch {
		q.servedSinceBatch = 0
	}
	c.removeIdle()
}

// ItemsAhead estimates how many items are served before a new item of r.
func (q *Queue) ItemsAhead(r picker.Request) int {
	c := &q.classes[priorityOf(r)]
	position := 1.0
	if a := c.accounts[r.ClientAccount]; a != nil {
		position += float64(len(a.items))
	}
	weight := requestWeight(r)
	ahead := position - 1
	for account, a := range c.accounts {
		if account != r.ClientAccount {
			ahead += min(float64(len(a.items)), position*a.weight/weight)
		}
	}
	if priorityOf(r) == picker.Batch {
		ahead += float64(q.classes[picker.Interactive].n)
	}
	return int(ahead)
}

func (q *Queue) classFor(item *Item) *priorityClass {
	return &q.classes[priorityOf(item.Request)]
}

// longestAccountQueue returns the account queue to evict from: batch before
// interactive, then the one with the most items for its weight.
func (q *Queue) longestAccountQueue() *accountQueue {
	for i := priorityCount - 1; i >= 0; i-- {
		var longest *accountQueue
		for _, a := range q.classes[i].accounts {
			if len(a.items) > 0 && (longest == nil || a.longerThan(longest)) {
				longest = a
			}
		}
		if longest != nil {
			return longest
		}
	}
	return nil
}

func (c *priorityClass) accountQueueFor(item *Item) *accountQueue {
	r := item.Request
	a := c.accounts[r.ClientAccount]
	if a == nil {
		a = &accountQueue{account: r.ClientAccount}
		c.accounts[r.ClientAccount] = a
	}
	a.weight = requestWeight(r)
	return a
}

// appendInTurn appends items in the order in which they are served until there are n.
func (c *priorityClass) appendInTurn(items []*Item, n int) []*Item {
	if c.n == 0 {
		return items
	}
	queues := c.accountsInTurn()
	for depth := 0; len(queues) > 0; depth++ {
		queues = slices.DeleteFunc(queues, func(a *accountQueue) bool { return len(a.items) <= depth })
		for _, a := range queues {
			if len(items) >= n {
				return items
			}
			items = append(items, a.items[depth])
		}
	}
	return items
}

// accountsInTurn returns the non-empty account queues in the order in which they are
// served, the lowest virtual start time first.
func (c *priorityClass) accountsInTurn() []*accountQueue {
	queues := make([]*accountQueue, 0, len(c.accounts))
	for _, a := range c.accounts {
		if len(a.items) > 0 {
			queues = append(queues, a)
		}
	}
	slices.SortFunc(queues, func(a, b *accountQueue) int {
		if a.servedBefore(b, c.virtualTime) {
			return -1
		}
		return 1
	})
	return queues
}

// removeIdle removes empty account queues whose finish time has passed in virtual
// time. The others are kept, because their accounts have had more than their share.
func (c *priorityClass) removeIdle() {
	for account, a := range c.accounts {
		if len(a.items) == 0 && a.finishTime <= c.virtualTime {
			delete(c.accounts, account)
		}
	}
}

func (a *accountQueue) newest() *Item {
	return a.items[len(a.items)-1]
}

func (a *accountQueue) longerThan(other *accountQueue) bool {
	mine, theirs := float64(len(a.items))/a.weight, float64(len(other.items))/other.weight
	if mine != theirs {
		return mine > theirs
	}
	return a.account < other.account
}

func (a *accountQueue) servedBefore(other *accountQueue, virtualTime float64) bool {
	mine, theirs := max(virtualTime, a.finishTime), max(virtualTime, other.finishTime)
	if mine != theirs {
		return mine < theirs
	}
	return a.account < other.account
}

func tokenCost(r picker.Request) float64 {
	return float64(max(1, r.Tokens))
}

func requestWeight(r picker.Request) float64 {
	return float64(max(1, r.Weight))
}

func priorityOf(r picker.Request) picker.Priority {
	if r.Priority == picker.Batch {
		return picker.Batch
	}
	return picker.Interactive
}
