package cmd

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

// promptCost is what a served request costs, in tokens: its prompt and an event of one token each.
const promptCost = 300 + promptEvents

// spend sends requests of an account to all hosts in turn for a while, and returns how many were sent
// and served.
func (f *promptFleet) spend(account string, duration, every clocker.Millis) (sent, served int) {
	var group sync.WaitGroup
	var mu sync.Mutex
	for started := f.clock.Now(); f.clock.Now()-started < duration; sent++ {
		h := f.hosts[sent%len(f.hosts)]
		group.Go(func() {
			if f.send(h, account, "common") == http.StatusOK {
				mu.Lock()
				defer mu.Unlock()
				served++
			}
		})
		f.clock.SleepUncancellable(every)
	}
	group.Wait()
	return sent, served
}

// After a restore hosts took the budgets' object for older than what they knew, and refused callers
// for want of tokens until the end of the day. Nor may tokens that were spent since the copy be given
// out again.
func TestBudgetsAreUsableAfterARestoreAndNotOverspent(t *testing.T) {
	f := newPromptFleet(t, 3, 4)
	f.prepaid = 150_000
	for account := range 2 { // the accounts of the fixture have far more; new ones replace them
		f.accounts[account] = fmt.Sprint("small", account)
	}
	f.putVersion(2)
	f.awaitRouteOf(f.accounts[0], 2, 5*clocker.Second)
	_, first := f.spend(f.accounts[0], clocker.Second, 10)
	copied := f.store.Copy()
	f.churn(500)
	_, second := f.spend(f.accounts[0], 1500, 10)
	f.restore(copied)
	_, between := f.spend(f.accounts[0], 2*clocker.Second, 50)
	sent, after := f.spend(f.accounts[0], clocker.Second, 20)
	assert.Assert(t, after*100 >= sent*85, "%d of %d served two seconds after the restore", after, sent)
	_, rest := f.spend(f.accounts[0], 4*clocker.Second, 4)
	used := (first + second + between + after + rest) * promptCost
	t.Logf("%d of %d tokens used", used, f.prepaid)
	assert.Assert(t, int64(used) <= f.prepaid, "%d tokens used of %d", used, f.prepaid)
	assert.Assert(t, int64(used) >= f.prepaid*8/10, "%d tokens used of %d", used, f.prepaid)
}
