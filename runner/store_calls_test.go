package runner

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"cowsliphinge/allotter"
	"cowsliphinge/clocker"
	"cowsliphinge/storer"
)

// callCause is why a host calls the store: what its previous call of the kind ended with.
type callCause string

const (
	causeStart   callCause = "start"
	causeChange  callCause = "change"
	causeBurst   callCause = "list after several changes"
	causeTimeout callCause = "timeout"
	causeRetry   callCause = "after a failure"
	causeRelist  callCause = "others are ahead"
	causeRenewal callCause = "news is stale"
	causeHistory callCause = "history is gone"
	// causeCanceled is resolved by the call that follows.
	causeCanceled callCause = "canceled"
)

const (
	listCall  = "list"
	watchCall = "watch"
)

// storeCall is what calls of the store are counted by.
type storeCall struct {
	kind, call string
	cause      callCause
}

func (c storeCall) String() string { return c.kind + " " + c.call + ", " + string(c.cause) }

// count counts a call unless the host is cut off: its calls do not reach the store.
func (s *fleetStoreClient) count(kind, call string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cause := s.host.next[kind]
	switch {
	case cause == "":
		cause = causeStart
	case cause == causeChange && call == listCall:
		cause = causeBurst
	case call == listCall && (cause == causeCanceled || cause == causeTimeout):
		cause = causeRelist
	case cause == causeCanceled:
		cause = causeRenewal
	}
	s.host.next[kind] = cause
	if !s.host.cut.Load() {
		s.calls[storeCall{kind, call, cause}]++
	}
}

// recordList records the cause of the call after a list. A watch after a list has the cause of the list.
func (s *fleetStoreClient) recordList(kind string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.host.next[kind] = causeRetry
	}
}

// recordWatch records the cause of the call after a watch.
func (s *fleetStoreClient) recordWatch(ctx context.Context, kind string, changes int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case ctx.Err() != nil:
		s.host.next[kind] = causeCanceled
	case storer.IsErrHistoryGone(err):
		s.host.next[kind] = causeHistory
	case err != nil:
		s.host.next[kind] = causeRetry
	case changes > 0:
		s.host.next[kind] = causeChange
	default:
		s.host.next[kind] = causeTimeout
	}
}

// takeCalls returns the calls since it was last called.
func (s *fleetStore) takeCalls() map[storeCall]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := s.calls
	s.calls = map[storeCall]int{}
	return calls
}

// manyHosts is a fleet of the size of the two heavily loaded deployments.
var manyHosts = fleetScale{zones: 5, hostsPerZone: 16, bound: 3 * clocker.Second, readsPerSecond: 6000}

const (
	// loadSettle is the time in which the watches of all hosts start again after a load.
	loadSettle = 6 * clocker.Second
	// loadCalm is the length of the calm load.
	loadCalm = 24 * clocker.Second
	// stormChanges changes follow each other at stormInterval.
	stormChanges  = 10
	stormInterval = 300 * clocker.Millis(1)
	// outageForAll and outageForSome are the lengths of the store's outages.
	outageForAll  = 6 * clocker.Second
	outageForSome = 9 * clocker.Second
)

// callLoads plays the loads whose calls are counted.
type callLoads struct {
	*fleet
	t       *testing.T
	version int64
	// total is the sum of all loads, except for the lists of hosts, which are stale reads.
	total int
}

// change accepts a configuration and checks that it is in force within the bound.
func (l *callLoads) change() {
	l.version++
	accepted := l.store.put(fleetConfiguration{Version: l.version, Routes: 1400})
	l.awaitInForce(accepted)
}

func (l *callLoads) awaitInForce(accepted clocker.Millis) {
	took := l.awaitVersion(l.t, l.version, accepted, 20*clocker.Second)
	l.t.Logf("version %d in force after %d ms", l.version, took)
	assert.Check(l.t, took <= l.scale.bound, "the last host has version %d in force after %d ms", l.version, took)
}

// measure plays a load and logs the calls by kind and cause, most first. limit is the most calls.
func (l *callLoads) measure(load string, limit int, play func()) {
	if play != nil {
		play()
	}
	calls := l.store.takeCalls()
	keys := slices.SortedFunc(maps.Keys(calls), func(a, b storeCall) int {
		if calls[a] != calls[b] {
			return calls[b] - calls[a]
		}
		return strings.Compare(a.String(), b.String())
	})
	var lines []string
	sum := 0
	for _, k := range keys {
		lines = append(lines, fmt.Sprintf("%6d %s", calls[k], k))
		if k.kind != hostKind {
			sum += calls[k]
		}
	}
	l.total += sum
	l.t.Logf("%s: %d calls\n%s", load, sum, strings.Join(lines, "\n"))
	assert.Check(l.t, sum <= limit, "%s: %d calls, %d are the most", load, sum, limit)
}

// outage makes a state of the hosts true for a time, in which a configuration is accepted that the others
// must have in force in time, and another one at its end, which all must have.
func (l *callLoads) outage(state func(i int, h *fleetHost, on bool), affected func(*fleetHost) bool, length clocker.Millis) {
	for i, h := range l.hosts {
		state(i, h, true)
	}
	l.store.wake()
	started := l.clock.Now()
	l.sleep(length / 2)
	l.version++
	accepted := l.store.put(fleetConfiguration{Version: l.version, Routes: 1400})
	took := l.await(accepted, l.scale.bound, func(h *fleetHost) bool { return affected(h) || h.configurationVersion() >= l.version })
	assert.Check(l.t, took <= l.scale.bound, "hosts with a path to the store have version %d in force after %d ms", l.version, took)
	l.sleep(started + length - l.clock.Now())
	for i, h := range l.hosts {
		state(i, h, false)
	}
	l.change()
	l.sleep(loadSettle)
}

// wake makes the waiting watches look at the state of their hosts.
func (s *fleetStore) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

// Guards against calls of the store that nothing needs, which the platform prices, and against bounds that are
// missed because of too few.
func TestCallsOfAFleetOf80Hosts(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		l := &callLoads{fleet: newFleet(t, manyHosts), t: t, version: 1}
		everyThird := func(i int) bool { return i%3 == 0 }
		refused := func(h *fleetHost) bool { return h.refused.Load() }
		silent := func(h *fleetHost) bool { return h.silent.Load() }
		cut := func(h *fleetHost) bool { return h.cut.Load() }
		l.measure("start of all", 670, nil)
		l.measure("calm", 745, func() { l.sleep(loadCalm) })
		l.measure("one change", 275, func() {
			l.change()
			l.sleep(loadSettle)
		})
		l.measure("storm of changes", 755, func() {
			for range stormChanges - 1 {
				l.version++
				l.store.put(fleetConfiguration{Version: l.version, Routes: 1400})
				l.sleep(stormInterval)
			}
			l.change()
			l.sleep(loadSettle)
		})
		l.measure("outage for all, refused", 1075, func() {
			l.outage(func(_ int, h *fleetHost, on bool) { h.refused.Store(on) }, refused, outageForAll)
		})
		l.measure("outage for all, silent", 870, func() {
			l.outage(func(_ int, h *fleetHost, on bool) { h.silent.Store(on) }, silent, outageForAll)
		})
		l.measure("outage for a third, refused", 760, func() {
			l.outage(func(i int, h *fleetHost, on bool) { h.refused.Store(on && everyThird(i)) }, refused, outageForSome)
		})
		l.measure("outage for a third, silent", 615, func() {
			l.outage(func(i int, h *fleetHost, on bool) { h.silent.Store(on && everyThird(i)) }, silent, outageForSome)
		})
		l.measure("a zone is cut off", 465, func() {
			l.outage(func(i int, h *fleetHost, on bool) { h.cut.Store(on && i < l.scale.hostsPerZone) }, cut, outageForAll)
		})
		t.Logf("all loads: %d calls", l.total)
	})
}

// loseDesignated makes the zones hear nothing of each other, and the first designated host of each zone get no
// answers of the store.
func (f *fleet) loseDesignated() {
	f.zonesApart.Store(true)
	for _, h := range f.hosts {
		if designated := allotter.Holders(designationShard, h.zoneHosts()); designated[0] == h.cfg.Settings.Host {
			h.silent.Store(true)
		}
	}
	f.store.wake()
	f.sleep(10) // the other watches wait again, and will hang
}

func (h *fleetHost) reachesStore() bool {
	return !h.silent.Load() && !h.refused.Load() && !h.cut.Load()
}

// Guards against a late configuration where the only close watch of a zone fails: all watches hang, and the
// zone hears of no other one.
func TestConfigurationIsInForceInTimeWithoutTheDesignatedHost(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, manyHosts)
		f.store.put(fleetConfiguration{Version: 2, Routes: 1400})
		f.sleep(f.scale.bound/batchDelayDivisor + watchRestart)
		f.loseDesignated()
		f.store.dropHistory()
		accepted := f.store.put(fleetConfiguration{Version: 3, Routes: 1400})
		took := f.await(accepted, 20*clocker.Second, func(h *fleetHost) bool { return !h.reachesStore() || h.configurationVersion() >= 3 })
		t.Logf("in force after %d ms", took)
		assert.Check(t, took <= f.scale.bound)
	})
}

// The same for a backend server that leaves.
func TestLeavingServerIsKnownInTimeWithoutTheDesignatedHost(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, manyHosts)
		f.loseDesignated()
		f.store.dropHistory()
		left := f.store.putServer("draining")
		took := f.await(left, 20*clocker.Second, func(h *fleetHost) bool {
			h.backends.mu.Lock()
			defer h.backends.mu.Unlock()
			s, _ := h.backends.chooser.Server(fleetServer)
			return !h.reachesStore() || s.Draining
		})
		t.Logf("known after %d ms", took)
		assert.Check(t, took <= f.scale.bound)
	})
}

// Guards against a late configuration at hosts that call an unreachable store rarely: the store refuses a
// third of the hosts, which hear others or nobody, and has a new configuration as it serves them again.
func TestConfigurationIsInForceInTimeAfterRefusals(t *testing.T) {
	t.Parallel()
	for _, alone := range []bool{false, true} {
		t.Run(fmt.Sprintf("alone %v", alone), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, manyHosts)
				version := int64(1)
				// The lengths end at different points of the intervals between calls.
				for _, length := range []clocker.Millis{700, 1600, 3100, 5900} {
					for i, h := range f.hosts {
						h.refused.Store(i%3 == 0)
						h.alone.Store(alone && i%3 == 0)
					}
					f.store.wake()
					f.sleep(length)
					for _, h := range f.hosts {
						h.refused.Store(false)
					}
					version++
					took := f.awaitVersion(t, version, f.store.put(fleetConfiguration{Version: version, Routes: 1400}), 20*clocker.Second)
					t.Logf("in force %d ms after %d ms of refusals", took, length)
					assert.Check(t, took <= f.scale.bound)
					f.sleep(loadSettle)
				}
			})
		})
	}
}
