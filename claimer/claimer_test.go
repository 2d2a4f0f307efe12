package claimer_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cowsliphinge/claimer"
	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/standin/platform"
	"cowsliphinge/storer"
)

// newClaimer returns a claimer that considers the given incarnations alive.
func newClaimer(t *testing.T, clock *clocker.Clock, store claimer.Store, incarnation string, alive ...string) *claimer.Claimer {
	t.Helper()
	known := map[string]bool{}
	for _, a := range alive {
		known[a] = true
	}
	return claimer.New(t.Context(), claimer.Config{
		Incarnation: incarnation,
		Clock:       clock,
		Store:       store,
		Alive:       func(incarnation string) bool { return known[incarnation] },
	})
}

// newRequest returns a request with a deadline in 5 s.
func newRequest(clock *clocker.Clock, key, body string) claimer.Request {
	return claimer.Request{
		ClientAccount:  "mason",
		IdempotencyKey: key,
		RequestHash:    sha256.Sum256([]byte(body)),
		Deadline:       clock.Now() + 5*clocker.Second,
	}
}

// advanceUntilDone runs f and advances the clock whenever all goroutines are
// blocked, until f returns. It must be called inside a synctest bubble.
func advanceUntilDone(clock *clocker.Clock, f func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	for {
		synctest.Wait()
		select {
		case <-done:
			return
		default:
			clock.Advance(250)
		}
	}
}

func TestRetriesOfAClaimedKey(t *testing.T) {
	ctx := t.Context()
	clock := clocker.NewManual(clocker.Hour)
	store := platform.New(clock)
	a := newClaimer(t, clock, store, "a", "b")
	b := newClaimer(t, clock, store, "b", "a")
	c := newClaimer(t, clock, store, "c")
	first := a.Claim(ctx, newRequest(clock, "k", "urn"))
	assert.Equal(t, first.Verdict, claimer.Owned)
	assert.Equal(t, a.Claim(ctx, newRequest(clock, "k", "urn")).Verdict, claimer.InProgress)
	assert.Equal(t, b.Claim(ctx, newRequest(clock, "k", "urn")).Verdict, claimer.InProgress)
	assert.Equal(t, c.Claim(ctx, newRequest(clock, "k", "urn")).Verdict, claimer.PermanentlyUnknown)
	assert.Equal(t, b.Claim(ctx, newRequest(clock, "k", "plaque")).Verdict, claimer.KeyReused)
	assert.Assert(t, a.MarkDispatched(first.Claim))
	a.Finish(ctx, first.Claim, &messenger.StoredAnswer{Status: 201, Body: []byte("done")})
	again := b.Claim(ctx, newRequest(clock, "k", "urn"))
	assert.Equal(t, again.Verdict, claimer.Answered)
	assert.Equal(t, string(again.Answer.Body), "done")
	assert.Equal(t, a.Claim(ctx, newRequest(clock, "k", "urn")).Verdict, claimer.Answered)
	assert.Assert(t, !a.MarkDispatched(first.Claim))
}

func TestReleasedKeyCanBeClaimedAgain(t *testing.T) {
	ctx := t.Context()
	clock := clocker.NewManual(clocker.Hour)
	store := platform.New(clock)
	a := newClaimer(t, clock, store, "a", "b")
	b := newClaimer(t, clock, store, "b", "a")
	first := a.Claim(ctx, newRequest(clock, "k", "urn"))
	a.Release(ctx, first.Claim)
	assert.Assert(t, !a.MarkDispatched(first.Claim))
	assert.Equal(t, b.Claim(ctx, newRequest(clock, "k", "urn")).Verdict, claimer.Owned)
	assert.Equal(t, a.Claim(ctx, newRequest(clock, "k", "urn")).Verdict, claimer.InProgress)
}

// unreachableAfterUpdate is a platform whose updates take effect but are not
// acknowledged, and which cannot be read.
type unreachableAfterUpdate struct {
	*platform.Store
}

func (c unreachableAfterUpdate) Update(ctx context.Context, key string, version int64, value []byte) (storer.Object, error) {
	if _, err := c.Store.Update(ctx, key, version, value); err != nil {
		return storer.Object{}, err
	}
	return storer.Object{}, storer.ErrOutcomeUnknown{Key: key}
}

func (c unreachableAfterUpdate) Get(_ context.Context, key string) (storer.Object, error) {
	return storer.Object{}, storer.ErrOutcomeUnknown{Key: key}
}

// While a release is unconfirmed, another host may already have claimed the key, so
// the releasing host must not report a definite state.
func TestUnconfirmedReleaseIsUndetermined(t *testing.T) {
	ctx := t.Context()
	clock := clocker.NewManual(clocker.Hour)
	store := platform.New(clock)
	a := newClaimer(t, clock, unreachableAfterUpdate{store}, "a")
	b := newClaimer(t, clock, store, "b")
	first := a.Claim(ctx, newRequest(clock, "k", "urn"))
	a.Release(ctx, first.Claim)
	assert.Equal(t, b.Claim(ctx, newRequest(clock, "k", "urn")).Verdict, claimer.Owned)
	assert.Equal(t, a.Claim(ctx, newRequest(clock, "k", "urn")).Verdict, claimer.UnknownForNow)
}

func TestLostAnswerOfAClaimIsReadBack(t *testing.T) {
	clock := clocker.NewManual(clocker.Hour)
	store := platform.New(clock)
	a := newClaimer(t, clock, store, "a")
	store.SetFaults(platform.Faults{LoseAnswers: 1})
	assert.Equal(t, a.Claim(t.Context(), newRequest(clock, "k", "urn")).Verdict, claimer.Owned)
}

// A claim that could not be written is UnknownForNow if the platform cannot be read,
// and NotClaimed if reading it shows that the key is free.
func TestVerdictsDuringAnOutage(t *testing.T) {
	verdictUnder := func(f platform.Faults) (verdict claimer.Verdict) {
		synctest.Test(t, func(t *testing.T) {
			clock := clocker.NewManual(clocker.Hour)
			store := platform.New(clock)
			a := newClaimer(t, clock, store, "a")
			store.SetFaults(f)
			advanceUntilDone(clock, func() { verdict = a.Claim(t.Context(), newRequest(clock, "k", "urn")).Verdict })
		})
		return verdict
	}
	assert.Equal(t, verdictUnder(platform.Faults{Outage: true}), claimer.UnknownForNow)
	assert.Equal(t, verdictUnder(platform.Faults{DropWrites: 1 << 20}), claimer.NotClaimed)
}

// The issuer of a ticket decides on it without the platform. Other hosts forward the
// request to the issuer, or report that its outcome is not known.
func TestTicketIsClaimedDuringAnOutage(t *testing.T) {
	ctx := t.Context()
	clock := clocker.NewManual(clocker.Hour)
	store := platform.New(clock)
	store.SetFaults(platform.Faults{Outage: true})
	a := newClaimer(t, clock, store, "a-1.2-3", "b")
	b := newClaimer(t, clock, store, "b", "a-1.2-3")
	c := newClaimer(t, clock, store, "c")
	key := a.IssueTicket("mason")
	atOther := b.Claim(ctx, newRequest(clock, key, "urn"))
	assert.Equal(t, atOther.Verdict, claimer.IssuedElsewhere)
	assert.Equal(t, atOther.Incarnation, "a-1.2-3")
	assert.Equal(t, c.Claim(ctx, newRequest(clock, key, "urn")).Verdict, claimer.UnknownForNow)
	first := a.Claim(ctx, newRequest(clock, key, "urn"))
	assert.Equal(t, first.Verdict, claimer.Owned)
	assert.Equal(t, a.Claim(ctx, newRequest(clock, key, "urn")).Verdict, claimer.InProgress)
	assert.Equal(t, a.Claim(ctx, newRequest(clock, key, "plaque")).Verdict, claimer.KeyReused)
	assert.Assert(t, a.MarkDispatched(first.Claim))
	assert.Assert(t, a.MarkDispatched(first.Claim), "second dispatch, after a backend server refused the request")
	a.Finish(ctx, first.Claim, &messenger.StoredAnswer{Status: 201})
	assert.Assert(t, !a.MarkDispatched(first.Claim))
	assert.Equal(t, a.Claim(ctx, newRequest(clock, key, "urn")).Verdict, claimer.Answered)
	store.SetFaults(platform.Faults{})
	assert.Equal(t, c.Claim(ctx, newRequest(clock, key, "urn")).Verdict, claimer.PermanentlyUnknown)
	otherAccount := newRequest(clock, a.IssueTicket("mason"), "urn")
	otherAccount.ClientAccount = "school"
	assert.Equal(t, a.Claim(ctx, otherAccount).Verdict, claimer.KeyReused)
	expired := a.IssueTicket("mason")
	clock.Advance(16 * clocker.Minute)
	assert.Equal(t, a.Claim(ctx, newRequest(clock, expired, "urn")).Verdict, claimer.PermanentlyUnknown)
}

// The ticket record of a gracefully stopped issuer decides on its tickets: used ones
// keep their outcome, unfinished ones have an unknown outcome, and unused ones can be
// claimed by other hosts.
func TestUnusedTicketsOfAStoppedIssuerCanBeClaimed(t *testing.T) {
	ctx := t.Context()
	clock := clocker.NewManual(clocker.Hour)
	store := platform.New(clock)
	a := newClaimer(t, clock, store, "a-1-1", "b")
	b := newClaimer(t, clock, store, "b")
	used, open, unused := a.IssueTicket("mason"), a.IssueTicket("mason"), a.IssueTicket("mason")
	a.Finish(ctx, a.Claim(ctx, newRequest(clock, used, "urn")).Claim, &messenger.StoredAnswer{Status: 201})
	assert.Equal(t, a.Claim(ctx, newRequest(clock, open, "urn")).Verdict, claimer.Owned)
	assert.NilError(t, a.Close(ctx))
	assert.Equal(t, a.Claim(ctx, newRequest(clock, unused, "urn")).Verdict, claimer.UnknownForNow)
	assert.Equal(t, b.Claim(ctx, newRequest(clock, used, "urn")).Verdict, claimer.Answered)
	assert.Equal(t, b.Claim(ctx, newRequest(clock, used, "plaque")).Verdict, claimer.KeyReused)
	assert.Equal(t, b.Claim(ctx, newRequest(clock, open, "urn")).Verdict, claimer.PermanentlyUnknown)
	first := b.Claim(ctx, newRequest(clock, unused, "urn"))
	assert.Equal(t, first.Verdict, claimer.Owned)
	b.Finish(ctx, first.Claim, &messenger.StoredAnswer{Status: 202})
	clock.Advance(clocker.Hour)
	assert.Equal(t, b.Claim(ctx, newRequest(clock, unused, "urn")).Answer.GetStatus(), int32(202))
}

func TestExpiredClaimsAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		clock := clocker.NewManual(clocker.Hour)
		store := platform.New(clock)
		a := newClaimer(t, clock, store, "a-1-1")
		for i := range 20 {
			a.Finish(ctx, a.Claim(ctx, newRequest(clock, fmt.Sprint(i), "urn")).Claim, nil)
		}
		a.IssueTicket("mason")
		assert.NilError(t, a.Close(ctx))
		leftAfter := func(d clocker.Millis) int {
			clock.Advance(d)
			advanceUntilDone(clock, func() {
				for part := range 256 {
					claimer.Sweep(ctx, a, part)
				}
			})
			objects, err := store.List(ctx, "", "", 100)
			assert.NilError(t, err)
			return len(objects)
		}
		assert.Equal(t, leftAfter(24*clocker.Hour), 22)
		assert.Equal(t, leftAfter(2*clocker.Hour), 0)
	})
}

func TestForgedTicketsAreNeverOwned(t *testing.T) {
	clock := clocker.NewManual(clocker.Hour)
	a := newClaimer(t, clock, platform.New(clock), "a.b-1-1")
	issued := a.IssueTicket("mason")
	rapid.Check(t, func(rt *rapid.T) {
		forged := []byte(issued)
		at := rapid.IntRange(len("ticket.a.b-1-1."), len(forged)-1).Draw(rt, "at")
		forged[at] = rapid.SampledFrom([]byte("0123456789abcdef.-")).Draw(rt, "with")
		if string(forged) == issued {
			return
		}
		d := a.Claim(t.Context(), newRequest(clock, string(forged), "urn"))
		if _, isTicket := claimer.ParseTicket(string(forged)); isTicket {
			assert.Assert(rt, d.Verdict != claimer.Owned, "%s", forged)
		}
	})
}

func TestUsedTicketsAreForgottenAfterRetention(t *testing.T) {
	clock := clocker.NewManual(clocker.Hour)
	a := newClaimer(t, clock, platform.New(clock), "a-1-1")
	key := a.IssueTicket("mason")
	a.Finish(t.Context(), a.Claim(t.Context(), newRequest(clock, key, "urn")).Claim, &messenger.StoredAnswer{Status: 201})
	clock.Advance(24 * clocker.Hour)
	claimer.ForgetExpired(a)
	assert.Equal(t, a.Claim(t.Context(), newRequest(clock, key, "urn")).Verdict, claimer.Answered)
	clock.Advance(clocker.Hour)
	claimer.ForgetExpired(a)
	assert.Equal(t, a.Claim(t.Context(), newRequest(clock, key, "urn")).Verdict, claimer.PermanentlyUnknown)
}

func TestTicketOfASilentIssuerIsForwardedWithoutRecord(t *testing.T) {
	ctx := t.Context()
	clock := clocker.NewManual(clocker.Hour)
	store := platform.New(clock)
	a := newClaimer(t, clock, store, "a-1-1")
	b := claimer.New(ctx, claimer.Config{
		Incarnation: "b-1-1", Clock: clock, Store: store,
		MayBeAlive: func(incarnation string) bool { return incarnation == "a-1-1" },
	})
	key := a.IssueTicket("mason")
	assert.Equal(t, b.Claim(ctx, newRequest(clock, key, "urn")).Verdict, claimer.IssuedElsewhere)
	assert.NilError(t, a.Close(ctx))
	assert.Equal(t, b.Claim(ctx, newRequest(clock, key, "urn")).Verdict, claimer.Owned)
}
