package quarantiner

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cowsliphinge/clocker"
)

// request returns a request of account "one" with shared parts and one of its own.
func request(own string, parts ...string) Request {
	return NewRequest("one", append(parts, own))
}

// crashes records crashes of n servers, a second apart from start on, each on another request.
func crashes(q *Quarantiner, start clocker.Millis, n int, parts ...string) clocker.Millis {
	for i := range n {
		q.Crashed(ServerHash(fmt.Sprint("i-", start, "-", i), 1), request(fmt.Sprint("own", start, i), parts...), start)
		start += clocker.Second
	}
	return start
}

func refused(q *Quarantiner, r Request, now clocker.Millis) bool {
	_, held := q.Refused(r, now)
	return held
}

func ExampleQuarantiner() {
	q := New()
	for i := range 3 {
		server := ServerHash(fmt.Sprint("server", i), 0)
		r := NewRequest("masons", []string{"common", "deadly", fmt.Sprint("question", i)})
		q.Crashed(server, r, clocker.Millis(i)*clocker.Second)
	}
	q.Answered(NewRequest("homes", []string{"common", "hello"}), 3*clocker.Second)
	_, held := q.Refused(NewRequest("masons", []string{"common", "deadly", "another question"}), 3*clocker.Second)
	fmt.Println(held)
	_, held = q.Refused(NewRequest("masons", []string{"common", "hello again"}), 3*clocker.Second)
	fmt.Println(held)
	// Output:
	// true
	// false
}

// A part that all prompts share is in each crash, and was refused with the one to blame.
func TestSharedPartIsNotBlamed(t *testing.T) {
	q := New()
	q.Answered(request("a", "common"), 0)
	now := crashes(q, clocker.Second, 5, "common", "deadly")
	assert.Assert(t, refused(q, request("b", "common", "deadly"), now))
	assert.Assert(t, !refused(q, request("b", "common", "other"), now))
	assert.Assert(t, !refused(q, request("b", "common"), now))
}

// Requests that only ran beside the one that crashed their servers are not blamed, however often.
func TestRequestsBesideTheDeadlyOneAreNotBlamed(t *testing.T) {
	q := New()
	now := clocker.Second
	for i := range 4 {
		server := ServerHash(fmt.Sprint("i-", i), 1)
		q.Crashed(server, request(fmt.Sprint("d", i), "deadly"), now)
		if i > 0 {
			q.Crashed(server, request(fmt.Sprint("v", i), "victim"), now)
		}
		now += clocker.Second
	}
	assert.Assert(t, refused(q, request("x", "deadly"), now))
	assert.Assert(t, !refused(q, request("x", "victim"), now))
}

// A rare part that stands on each deadly prompt can't be told from the deadly one by crashes. Only
// prompts with both are refused, and the next answer or crash tells which of them it is.
func TestPartsThatCrashedTogetherAreRefusedTogether(t *testing.T) {
	q := New()
	now := crashes(q, clocker.Second, 3, "rare", "deadly")
	assert.Assert(t, refused(q, request("x", "rare", "deadly"), now))
	assert.Assert(t, !refused(q, request("x", "rare"), now))
	assert.Assert(t, !refused(q, request("x", "deadly"), now))

	answered := New()
	crashes(answered, clocker.Second, 3, "rare", "deadly")
	answered.Answered(request("y", "rare"), now)
	assert.Assert(t, refused(answered, request("x", "deadly", "other"), now))

	q.Crashed(ServerHash("next", 1), request("z", "deadly", "other"), now)
	assert.Assert(t, refused(q, request("x", "deadly"), now))
	assert.Assert(t, !refused(q, request("x", "rare"), now))
	assert.Assert(t, !refused(q, request("x", "other"), now))
}

// Where another part was on the first crashed servers by chance and is taken for the cause, the
// next crash without it releases it.
func TestWronglyBlamedPartIsReleased(t *testing.T) {
	q := New()
	now := clocker.Second
	for i := range 3 {
		server := ServerHash(fmt.Sprint("i-", i), 1)
		q.Crashed(server, request(fmt.Sprint("d", i), "deadly"), now)
		q.Crashed(server, request(fmt.Sprint("v", i), "victim"), now)
		now += clocker.Second
	}
	now = crashes(q, now, 1, "deadly")
	assert.Assert(t, refused(q, request("x", "deadly"), now))
	assert.Assert(t, !refused(q, request("x", "victim"), now))
}

// A client account could get the parts of another one refused by sending them with a deadly one.
func TestAccountCannotGetPartsOfAnotherRefused(t *testing.T) {
	q := New()
	now := clocker.Second
	for i := range 6 {
		now = crashes(q, now, 1, "of-another", fmt.Sprint("deadly", i))
	}
	assert.Assert(t, refused(q, request("x", "of-another"), now))
	assert.Assert(t, !refused(q, NewRequest("two", []string{"of-another", "x"}), now))
	q.Answered(NewRequest("two", []string{"of-another", "x"}), now)
	assert.Assert(t, !refused(q, request("x", "of-another"), now))
}

// Each account would crash three servers with the same part if accounts were judged alone.
func TestPartThatCrashesServersOfTwoAccountsIsRefusedForAll(t *testing.T) {
	q := New()
	now := crashes(q, clocker.Second, 2, "deadly")
	q.Crashed(ServerHash("i-3", 1), NewRequest("two", []string{"deadly", "z"}), now)
	assert.Assert(t, refused(q, NewRequest("three", []string{"deadly", "x"}), now))
}

// One request that is sent again and again is refused as well, after one more crash.
func TestRepeatsOfOneRequestAreRefused(t *testing.T) {
	q := New()
	for i := range 3 {
		q.Crashed(ServerHash("i", clocker.Millis(i)), request("same", "deadly"), clocker.Millis(i)*clocker.Second)
	}
	assert.Assert(t, !refused(q, request("same", "deadly"), 3*clocker.Second))
	q.Crashed(ServerHash("i", 9), request("same", "deadly"), 3*clocker.Second)
	assert.Assert(t, refused(q, request("same", "deadly"), 3*clocker.Second))
}

// Servers of one rack that lose power together have not crashed under the requests on them.
func TestServersThatEndTogetherBlameNobody(t *testing.T) {
	q := New()
	for i := range 30 {
		q.Crashed(ServerHash(fmt.Sprint("i-", i), 1), request(fmt.Sprint("own", i), "common"), clocker.Millis(i))
	}
	assert.Assert(t, !refused(q, request("x", "common"), 40))
}

// A quarantine ends, and one crash is enough to hold the part again.
func TestQuarantineEndsAndOneCrashRenewsIt(t *testing.T) {
	q := New()
	now := crashes(q, clocker.Second, 3, "deadly") - clocker.Second + HoldTime
	assert.Assert(t, refused(q, request("x", "deadly"), now-1))
	assert.Assert(t, !refused(q, request("x", "deadly"), now))
	q.Crashed(ServerHash("again", 1), request("y", "deadly"), now)
	assert.Assert(t, refused(q, request("x", "deadly"), now+1))
	assert.Assert(t, !refused(q, request("x", "deadly"), now+evidenceLifetime))
	q.Report(now + 2*evidenceLifetime)
	assert.Equal(t, len(q.crashes), 0)
}

// An answer that ends with its connection may have been cut off by a crash. It clears its parts
// only once its server has lived on.
func TestUnframedAnswerClearsPartsOfServersThatLiveOn(t *testing.T) {
	q := New()
	now := crashes(q, clocker.Second, 3, "deadly")
	server := ServerHash("i-4", 1)
	q.AnsweredUnframed(server, request("x", "deadly"), now)
	q.Crashed(server, request("beside", "other"), now+10)
	assert.Assert(t, refused(q, request("y", "deadly"), now+2*unframedDelay))
	q.AnsweredUnframed(ServerHash("i-5", 1), request("z", "deadly"), now+2*unframedDelay)
	assert.Assert(t, refused(q, request("y", "deadly"), now+3*unframedDelay-1))
	assert.Assert(t, !refused(q, request("y", "deadly"), now+3*unframedDelay))
}

// Hosts that saw one crash each find the part together, in any order of messages, and a host that
// starts later learns of it at once.
func TestHostsFindThePartTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := []*Quarantiner{New(), New(), New(), New()}
		now := clocker.Minute
		for i := range 4 {
			server := ServerHash(fmt.Sprint("i-", i), 1)
			at := now + clocker.Millis(i)*clocker.Second
			hosts[i%3].Crashed(server, request(fmt.Sprint("own", i), "rare", "deadly"), at)
			hosts[(i+1)%3].Crashed(server, request(fmt.Sprint("victim", i), "victim", fmt.Sprint("subject", i)), at)
		}
		now += 4 * clocker.Second
		hosts[3].Answered(request("r", "rare"), now)
		hosts[1].Answered(request("v", "victim"), now)
		for range rapid.IntRange(0, 10).Draw(t, "early messages") {
			from, to := rapid.IntRange(0, 3).Draw(t, "from"), rapid.IntRange(0, 3).Draw(t, "to")
			reports, cleared := hosts[from].Report(now)
			hosts[to].Merge(reports, cleared, now)
		}
		for range 3 {
			for from := range hosts {
				for to := range hosts {
					reports, cleared := hosts[from].Report(now)
					hosts[to].Merge(reports, cleared, now)
				}
			}
		}
		late := New()
		reports, cleared := hosts[0].Report(now + clocker.Minute)
		late.Merge(reports, cleared, now+clocker.Minute)
		for i, q := range append(hosts, late) {
			assert.Assert(t, refused(q, request("x", "rare", "deadly"), now+clocker.Minute), "host %d", i)
			assert.Assert(t, !refused(q, request("x", "rare", "victim"), now+clocker.Minute), "host %d", i)
		}
	})
}

// Evidence is bounded, also what other hosts are told, and more crashes of other servers don't
// end a quarantine.
func TestEvidenceIsBounded(t *testing.T) {
	q := New()
	now := crashes(q, clocker.Second, 10, "deadly")
	now += compactAfter
	for i := range 500 {
		server := ServerHash(fmt.Sprint("other", i), 1)
		for j := range 50 {
			q.Crashed(server, request(fmt.Sprint("o", i, j), fmt.Sprint("p", i, j), "b", "c", "d", "e", "f", "g", "h"), now+clocker.Millis(i))
		}
	}
	reports, cleared := q.Report(now + clocker.Second)
	assert.Assert(t, len(q.crashes) <= maxCrashes)
	assert.Assert(t, len(reports) <= maxReports && len(cleared) <= maxReports)
	for _, c := range q.crashes {
		assert.Assert(t, len(c.Requests) <= maxRequestsPerCrash)
		for _, r := range c.Requests {
			assert.Assert(t, len(r.Parts) <= maxPartsPerRequest)
		}
	}
	assert.Assert(t, refused(q, request("x", "deadly"), now+clocker.Second))
	for i := range 3 * maxSoundParts {
		q.Answered(request("x", fmt.Sprint("sound", i)), now)
	}
	assert.Assert(t, len(q.sound.newer)+len(q.sound.older) <= 2*maxSoundParts)
}

// A long quarantine keeps little of its crashes, and still holds for all accounts.
func TestCompactedEvidenceStillHolds(t *testing.T) {
	q := New()
	now := crashes(q, clocker.Second, 10, "rare", "deadly")
	q.Crashed(ServerHash("z", 1), NewRequest("two", []string{"deadly", "z"}), now)
	now += 2 * compactAfter
	reports, _ := q.Report(now)
	assert.Equal(t, len(reports), compactCrashes)
	late := New()
	late.Merge(reports, nil, now)
	for _, host := range []*Quarantiner{q, late} {
		assert.Assert(t, refused(host, NewRequest("three", []string{"deadly", "x"}), now))
		assert.Assert(t, !refused(host, NewRequest("three", []string{"rare", "x"}), now))
	}
}
