package reserver

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/allotter"
	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

const (
	watcherName, watchedName = "watcher-1", "watched-1"
	watchedLimit             = 10_000
	watchedGuarded           = 9_000
)

// silentExchange answers questions for the age of a lease until it is silent.
type silentExchange struct {
	silent bool
	ageMs  int64
}

func (e *silentExchange) Transfer(context.Context, string, *messenger.TransferRequest) (*messenger.TransferReply, error) {
	if e.silent {
		return nil, errors.New("no answer")
	}
	return &messenger.TransferReply{GuardAgeMs: e.ageMs + 1}, nil
}

// watchingReserver returns a reserver that watches a holder, with a shard that has an entry of it.
func watchingReserver(clock *clocker.Clock, e Exchange, refuses *bool) (*Reserver, *shard) {
	r := newUnstarted(Config{
		Incarnation: watcherName, Clock: clock, Exchange: e, Shards: 1, Policy: func() *messenger.Policy { return &messenger.Policy{} },
		Guard:     &allotter.GuardConfig{LeaseTime: 2000, RenewInterval: 1000, DrawHorizon: 2000, Address: "a:1", SameHost: func(string) bool { return false }},
		Refuses:   func(context.Context, string) bool { return *refuses },
		SinceBoot: clock.Now,
	})
	s := r.shard("mason")
	lease := func(incarnation, address string) *messenger.GuardLease {
		return &messenger.GuardLease{Incarnation: incarnation, Address: address, AtMs: 1, BootMs: 1, DurationMs: 2000, FastAfterMs: 3200}
	}
	s.allotter.Merge(1, &messenger.BudgetShard{
		Budgets: []*messenger.Budget{{Name: "mason", Granted: 100_000, Holders: []*messenger.Holder{
			{Incarnation: watcherName, Limit: 1000, Guarded: 500, OpenPerSecond: 1, FastPerSecond: 1},
			{Incarnation: watchedName, Limit: watchedLimit, Guarded: watchedGuarded, OpenPerSecond: 100, FastPerSecond: 1000},
		}}},
		Leases: []*messenger.GuardLease{lease(watcherName, "a:1"), lease(watchedName, "b:1")},
	}, clock.Now())
	return r, s
}

// watch runs one look at all holders.
func (r *Reserver) watch() {
	r.watchHolders(context.Background())
	_ = r.tasks.Wait()
}

// closedCharge returns the charge with which the next write closes the entry of the watched holder, -1 if it stays open.
func closedCharge(s *shard, now clocker.Millis) int64 {
	w, ok := s.allotter.Plan(allotter.Conditions{Now: now, KeepsHeadroom: true, Policy: &messenger.Policy{}})
	if !ok {
		return -1
	}
	for _, h := range w.Value.Budgets[0].Holders {
		if h.Incarnation == watchedName && h.Closed {
			return h.Charge
		}
	}
	return -1
}

// Guards against tokens that are lost with holders that don't come back: another one closes the entry of a process that
// has ended, charged with what can have been open.
func TestEntryOfALostHolderIsClosed(t *testing.T) {
	for _, c := range []struct {
		name string
		// age is that of the lease in the last answer, and silence the time until the refused connection.
		age, silence clocker.Millis
		refused      bool
		charge       int64
	}{
		{"within the lease", 500, 1000, true, watchedLimit - watchedGuarded},
		{"while tokens opened slowly", 1000, 2000, true, watchedLimit - watchedGuarded + 100 + 1},
		{"while tokens opened fast", 1000, 4000, true, -1},
		{"no answer and no refusal", 500, 1000, false, -1},
	} {
		clock, refuses := clocker.NewManual(clocker.Hour), false
		e := &silentExchange{ageMs: int64(c.age)}
		r, s := watchingReserver(clock, e, &refuses)
		r.watch()
		assert.Equal(t, closedCharge(s, clock.Now()), int64(-1), "%s: it answers", c.name)
		clock.Advance(c.silence)
		e.silent, refuses = true, c.refused
		r.watch()
		charge := closedCharge(s, clock.Now())
		if c.name == "while tokens opened fast" { // bounded by the limit, and by what the rates open
			assert.Assert(t, charge > watchedLimit-watchedGuarded+1000 && charge < watchedLimit, "%d", charge)
			continue
		}
		if c.charge > watchedLimit-watchedGuarded { // with the margin for clocks
			assert.Assert(t, charge >= c.charge && charge <= c.charge+50, "%s: %d", c.name, charge)
			continue
		}
		assert.Equal(t, charge, c.charge, c.name)
	}
}

// An incarnation that never told the age of its lease, such as one of an earlier build, keeps its entry.
func TestEntryOfAHolderThatNeverAnsweredStaysOpen(t *testing.T) {
	clock, refuses := clocker.NewManual(clocker.Hour), true
	r, s := watchingReserver(clock, &silentExchange{silent: true}, &refuses)
	r.watch()
	assert.Equal(t, closedCharge(s, clock.Now()), int64(-1))
}
