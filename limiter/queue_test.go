package limiter_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cowsliphinge/clocker"
	"cowsliphinge/limiter"
	"cowsliphinge/picker"
)

const now clocker.Millis = 1_000_000

func priorityItem(account string, weight int64, p picker.Priority) *limiter.Item {
	return &limiter.Item{Request: picker.Request{ClientAccount: account, Weight: weight, Tokens: 100, Priority: p}}
}

// serveItems serves n items in service order and counts them by client account.
func serveItems(q *limiter.Queue, n int) map[string]int {
	counts := map[string]int{}
	for range n {
		next := q.Peek(1)[0]
		q.Dequeue(next)
		counts[next.Request.ClientAccount]++
	}
	return counts
}

func TestSharesFollowWeights(t *testing.T) {
	q := limiter.NewQueue()
	for range 300 {
		for _, weight := range []int64{1, 2, 3} {
			q.Add(priorityItem(fmt.Sprint(weight), weight, picker.Interactive), 1000)
		}
	}
	counts := serveItems(q, 300)
	for weight, want := range map[string]int{"1": 50, "2": 100, "3": 150} {
		assert.Assert(t, counts[weight] >= want-2 && counts[weight] <= want+2, "%v", counts)
	}
}

func TestIdleAccountAccruesNoCredit(t *testing.T) {
	q := limiter.NewQueue()
	for range 100 {
		q.Add(priorityItem("busy", 1, picker.Interactive), 1000)
	}
	serveItems(q, 50)
	for range 50 {
		q.Add(priorityItem("idle", 1, picker.Interactive), 1000)
	}
	counts := serveItems(q, 20)
	assert.Assert(t, counts["busy"] >= 9 && counts["idle"] >= 9, "%v", counts)
}

func TestFullQueueEvictsFromTheLongestAccountQueue(t *testing.T) {
	q := limiter.NewQueue()
	for range 8 {
		q.Add(priorityItem("large", 1, picker.Interactive), 8)
	}
	small := priorityItem("small", 1, picker.Interactive)
	out := q.Add(small, 8)
	assert.Assert(t, out != nil && out.Request.ClientAccount == "large")
	last := priorityItem("large", 1, picker.Interactive)
	assert.Assert(t, q.Add(last, 8) == last)
	assert.Equal(t, q.Len(), 8)
	assert.Assert(t, q.Remove(small))
	assert.Assert(t, !q.Remove(small))
}

func TestBatchIsEvictedFirstButServed(t *testing.T) {
	q := limiter.NewQueue()
	for range 50 {
		q.Add(priorityItem("b", 1, picker.Batch), 100)
		q.Add(priorityItem("i", 1, picker.Interactive), 100)
	}
	counts := serveItems(q, 44)
	assert.Equal(t, counts["b"], 4)
	out := q.Add(priorityItem("i", 1, picker.Interactive), int64(q.Len()))
	assert.Equal(t, out.Request.Priority, picker.Batch)
}

// TestQueueInvariants runs random operations and checks that the queue keeps its
// limit, that Peek returns each item, and that no item stays past its deadline.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := limiter.NewQueue()
		limit := rapid.Int64Range(1, 20).Draw(t, "limit")
		waiting := map[*limiter.Item]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				account := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account")
				i := priorityItem(account, rapid.Int64Range(0, 3).Draw(t, "weight"), picker.Priority(rapid.IntRange(0, 1).Draw(t, "priority")))
				i.Request.Deadline = now + clocker.Millis(rapid.Int64Range(0, 3).Draw(t, "deadline"))
				waiting[i] = true
				if out := q.Add(i, limit); out != nil {
					delete(waiting, out)
				}
			},
			"serve": func(t *rapid.T) {
				if len(waiting) == 0 {
					t.Skip()
				}
				next := q.Peek(16)
				pos := rapid.IntRange(0, len(next)-1).Draw(t, "position")
				q.Dequeue(next[pos])
				if !waiting[next[pos]] {
					t.Fatal("served an item that is not queued")
				}
				delete(waiting, next[pos])
			},
			"expire": func(t *rapid.T) {
				at := now + clocker.Millis(rapid.Int64Range(0, 3).Draw(t, "at"))
				for _, i := range q.RemoveExpired(at) {
					delete(waiting, i)
				}
				for i := range waiting {
					if i.Request.Deadline <= at {
						t.Fatal("an item was kept past its deadline")
					}
				}
			},
			"": func(t *rapid.T) {
				if q.Len() != len(waiting) || int64(q.Len()) > limit {
					t.Fatalf("%d items are queued, want %d, limit %d", q.Len(), len(waiting), limit)
				}
				if got := len(q.Peek(100)); got != len(waiting) {
					t.Fatalf("Peek returned %d items of %d", got, len(waiting))
				}
			},
		})
	})
}
