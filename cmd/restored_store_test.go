package cmd

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/standin/objects"
)

// putVersion writes a configuration with a route of its own for each version from 2 on, as the
// operator does.
func (f *promptFleet) putVersion(version int) {
	f.version = version
	f.configure()
}

// restore brings the store back from a copy. The operator and the backend servers write again what
// they wrote.
func (f *promptFleet) restore(c objects.Copy) {
	f.store.Restore(c)
	f.configure()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		f.register(s)
	}
}

// churn changes the store's revision without a change that a host looks at.
func (f *promptFleet) churn(changes int) {
	for range changes {
		f.churned++
		assert.NilError(f.t, f.store.Put("elsewhere", "object", f.churned))
	}
}

// awaitRoute waits until all hosts serve the route of a version, at most limit, and returns how
// long that took.
func (f *promptFleet) awaitRoute(version int, limit clocker.Millis) clocker.Millis {
	return f.awaitRouteOf("one", version, limit)
}

// awaitRouteOf does so with requests of an account.
func (f *promptFleet) awaitRouteOf(account string, version int, limit clocker.Millis) clocker.Millis {
	started := f.clock.Now()
	for _, h := range f.hosts {
		for f.sendTo(h, fmt.Sprintf("/version-%d/x", version), account, "common") != http.StatusOK && f.clock.Now()-started < limit {
			f.clock.SleepUncancellable(20)
		}
	}
	return f.clock.Now() - started
}

// A watch went on from a revision of before the restore. The store had given out that revision
// again, so the watch missed the configurations written up to it: a confirmed change was not in
// force, and its route was not served.
func TestConfigurationWrittenRightAfterARestoreIsInForce(t *testing.T) {
	f := newPromptFleet(t, 3, 3)
	copied := f.store.Copy()
	f.churn(60)
	f.putVersion(2)
	f.awaitRoute(2, 2*clocker.Second)
	f.putVersion(3) // the watches return and wait a little before they go on
	f.clock.SleepUncancellable(100)
	f.restore(copied)
	f.putVersion(4)
	f.churn(120)
	took := f.awaitRoute(4, 4*clocker.Second)
	assert.Assert(t, took < 2*clocker.Second, "the route of version 4 is served after %d ms", took)
}

// The hosts took the revisions of before the restore for later ones than those that they read, and
// listed the backend servers again ten times a second.
func TestHostsStopListingAfterARestore(t *testing.T) {
	f := newPromptFleet(t, 3, 3)
	copied := f.store.Copy()
	f.churn(1000)
	f.startServer()
	f.clock.SleepUncancellable(3 * clocker.Second)
	f.restore(copied)
	f.mu.Lock()
	for id := range f.servers {
		f.store.Delete("servers", id) // one that ended meanwhile
		break
	}
	f.mu.Unlock()
	f.clock.SleepUncancellable(3 * clocker.Second)
	before := f.store.Calls()
	f.clock.SleepUncancellable(3 * clocker.Second)
	calls := f.store.Calls() - before
	assert.Assert(t, calls < 60, "%d calls of three hosts in three seconds", calls)
}

// What hosts had written of themselves was gone with the restore, and a host that started later did
// not find those of before.
func TestHostsWriteTheirEntriesAgainAfterARestore(t *testing.T) {
	f := newPromptFleet(t, 0, 1)
	copied := f.store.Copy()
	f.startHost("a")
	f.startHost("b")
	f.awaitRoute(1, clocker.Second)
	f.restore(copied)
	assert.Assert(t, f.store.Read("hosts", "a") == nil)
	f.clock.SleepUncancellable(2 * clocker.Second)
	for _, name := range []string{"a", "b"} {
		assert.Assert(t, f.store.Read("hosts", name) != nil, "no entry of %s", name)
	}
}

// The record of quarantined prompt parts was gone with the restore, and hosts that started after the
// death of all others would not have known them.
func TestQuarantineIsWrittenAgainAfterARestore(t *testing.T) {
	f := newPromptFleet(t, 2, 5)
	copied := f.store.Copy()
	for n := 0; f.store.Read("quarantine", "record") == nil; n++ {
		assert.Assert(t, n < 20, "%d servers crashed", f.crashCount())
		f.send(f.hosts[n%2], "one", "common", deadlyPart)
		f.clock.SleepUncancellable(300)
	}
	f.restore(copied)
	assert.Assert(t, f.store.Read("quarantine", "record") == nil)
	f.clock.SleepUncancellable(2 * clocker.Second)
	assert.Assert(t, f.store.Read("quarantine", "record") != nil)
}

// A host that started right after the restore took the configuration of the copy, which was older
// than what all others had in force, and refused callers of a route that had been added.
func TestNewHostDoesNotServeByTheCopyOfARestoredStore(t *testing.T) {
	f := newPromptFleet(t, 2, 2)
	copied := f.store.Copy()
	f.putVersion(2)
	f.putVersion(3)
	f.awaitRoute(3, 2*clocker.Second)
	f.store.Restore(copied) // the operator has not written again yet
	h := f.startHost("new")
	for started := f.clock.Now(); f.clock.Now()-started < 1500; {
		status := f.sendTo(h, "/version-3/x", "one", "common")
		assert.Assert(t, status == http.StatusServiceUnavailable || status == http.StatusOK, "status %d", status)
		assert.Assert(t, !h.Ready() || status == http.StatusOK)
		f.clock.SleepUncancellable(10)
	}
	f.configure()
	took := f.awaitRoute(3, 3*clocker.Second)
	assert.Assert(t, took < 2*clocker.Second, "served %d ms after the operator wrote again", took)
}

// A new host that hears of no version that the store does not have starts at once, also alone.
func TestNewHostServesSoon(t *testing.T) {
	f := newPromptFleet(t, 0, 1)
	started := f.clock.Now()
	h := f.startHost("alone")
	for !h.Ready() && f.clock.Now()-started < 5*clocker.Second {
		f.clock.SleepUncancellable(10)
	}
	assert.Assert(t, f.clock.Now()-started < 2*clocker.Second, "ready after %d ms", f.clock.Now()-started)
	started = f.clock.Now()
	h = f.startHost("second")
	for !h.Ready() && f.clock.Now()-started < 5*clocker.Second {
		f.clock.SleepUncancellable(10)
	}
	assert.Assert(t, f.clock.Now()-started < 500, "ready after %d ms", f.clock.Now()-started)
}
