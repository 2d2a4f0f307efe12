package quarantiner

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cowsliphinge/clocker"
)

// requestOf returns a request of an account whose prompt has the parts; its body is the last one.
func requestOf(account string, parts ...string) Request {
	return NewRequest(account, Content{Method: "POST", Target: "/x", Body: []byte(parts[len(parts)-1])}, parts)
}

// request returns a request of account "one" with shared parts and one of its own.
func request(own string, parts ...string) Request {
	return requestOf("one", append(slices.Clone(parts), own)...)
}

// crashes records crashes of n servers, a second apart from start on, each on another request.
func crashes(q *Quarantiner, start clocker.Millis, n int, parts ...string) clocker.Millis {
	for i := range n {
		q.Crashed(serverHash(fmt.Sprint("i-", start, "-", i), 1), request(fmt.Sprint("own", start, i), parts...), start)
		start += clocker.Second
	}
	return start
}

func serverHash(id string, startedAt clocker.Millis) uint64 {
	return Server{ID: id, StartedAt: startedAt}.Hash()
}

func refused(q *Quarantiner, r Request, now clocker.Millis) bool {
	_, held := q.Refused(r, now)
	return held
}

func ExampleQuarantiner() {
	q := New()
	for i := range 3 {
		server := serverHash(fmt.Sprint("server", i), 0)
		r := requestOf("masons", "common", "deadly", fmt.Sprint("question", i))
		q.Crashed(server, r, clocker.Millis(i)*clocker.Second)
	}
	q.Answered(requestOf("homes", "common", "hello"), 3*clocker.Second)
	_, held := q.Refused(requestOf("masons", "common", "deadly", "another question"), 3*clocker.Second)
	fmt.Println(held)
	_, held = q.Refused(requestOf("masons", "common", "hello again"), 3*clocker.Second)
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
		server := serverHash(fmt.Sprint("i-", i), 1)
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

	q.Crashed(serverHash("next", 1), request("z", "deadly", "other"), now)
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
		server := serverHash(fmt.Sprint("i-", i), 1)
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
	assert.Assert(t, !refused(q, requestOf("two", "of-another", "x"), now))
	q.Answered(requestOf("two", "of-another", "x"), now)
	assert.Assert(t, !refused(q, request("x", "of-another"), now))
}

// Each account would crash three servers with the same part if accounts were judged alone.
func TestPartThatCrashesServersOfTwoAccountsIsRefusedForAll(t *testing.T) {
	q := New()
	now := crashes(q, clocker.Second, 2, "deadly")
	q.Crashed(serverHash("i-3", 1), requestOf("two", "deadly", "z"), now)
	assert.Assert(t, refused(q, requestOf("three", "deadly", "x"), now))
}

// One request that came again and again crashed servers until its prompt parts were blamed, and went
// on once one of them was answered with another request: the request itself was no suspect.
func TestRepeatsOfOneRequestAreRefused(t *testing.T) {
	q := New()
	for i := range 3 {
		assert.Assert(t, !refused(q, request("same", "rare"), clocker.Millis(i)*clocker.Second))
		q.Crashed(serverHash("i", clocker.Millis(i)), request("same", "rare"), clocker.Millis(i)*clocker.Second)
	}
	now := 3 * clocker.Second
	assert.Assert(t, refused(q, request("same", "rare"), now))
	assert.Assert(t, !refused(q, request("other", "rare"), now))
	q.Answered(request("other", "rare"), now)
	assert.Assert(t, refused(q, request("same", "rare"), now))
	assert.Assert(t, refused(q, request("same", "rare"), now+HoldTime-2*clocker.Second))
}

// A request without a prompt, as plain services get, was never held to be the cause of crashes.
func TestRepeatsOfARequestWithoutPromptAreRefused(t *testing.T) {
	order := func(account, target, body string) Request {
		return NewRequest(account, Content{Method: "PUT", Target: target, Body: []byte(body)}, nil)
	}
	q := New()
	for i := range 3 {
		server := serverHash("i", clocker.Millis(i))
		q.Crashed(server, order("one", "/a", "deadly"), clocker.Millis(i)*clocker.Second)
		q.Crashed(server, order("one", "/a", fmt.Sprint("beside", i)), clocker.Millis(i)*clocker.Second)
	}
	now := 3 * clocker.Second
	assert.Assert(t, refused(q, order("one", "/a", "deadly"), now))
	for _, other := range []Request{order("two", "/a", "deadly"), order("one", "/b", "deadly"), order("one", "/a", "sound"), order("one", "/a", "beside2"), order("on", "e/a", "deadly")} {
		assert.Assert(t, !refused(q, other, now))
	}
}

// A request that was answered shortly before and after a crash, as a common one without a body, is
// sound on all hosts.
func TestAnsweredRequestIsNotBlamed(t *testing.T) {
	q, other := New(), New()
	for i := range 5 {
		at := clocker.Millis(i) * 10 * clocker.Second
		q.Crashed(serverHash("i", clocker.Millis(i)), request("common"), at)
		reports, _ := q.Report(at)
		other.Merge(reports, nil, at)
		q.Answered(request("common"), at+clocker.Second)
		q.Crashed(serverHash("j", clocker.Millis(i)), request("common"), at+clocker.Second+soundRequestFor)
		q.Answered(request("common"), at+5*clocker.Second)
		reports, cleared := q.Report(at + 5*clocker.Second)
		other.Merge(reports, cleared, at+5*clocker.Second)
	}
	assert.Assert(t, !refused(q, request("common"), clocker.Minute))
	assert.Assert(t, !refused(other, request("common"), clocker.Minute))
}

// A host refused a request that others had just had answered, for ten minutes: they dropped its evidence
// as that of a sound request and told it nothing.
func TestHostThatHadARequestAnsweredTellsTheOthers(t *testing.T) {
	for name, sound := range map[string]Request{"the request": request("same", "rare"), "a part": request("other", "rare")} {
		t.Run(name, func(t *testing.T) {
			q, other := New(), New()
			other.Answered(sound, 0)
			now := clocker.Millis(1)
			for i := range 3 {
				for j := range 2 {
					own := fmt.Sprint("own", j)
					if name == "the request" {
						own = "same"
					}
					q.Crashed(serverHash("i", clocker.Millis(2*i+j)), request(own, "rare"), now)
					now += 100
				}
			}
			assert.Assert(t, refused(q, request("same", "rare"), now))
			reports, _ := q.Report(now)
			other.Merge(reports, nil, now)
			_, cleared := other.Report(now)
			q.Merge(nil, cleared, now)
			assert.Assert(t, !refused(q, request("same", "rare"), now))
		})
	}
}

// What another host heard of an answer long ago, and repeats, does not clear a request that has
// crashed servers since.
func TestOldAnswerDoesNotClearLaterCrashes(t *testing.T) {
	q := New()
	cleared := []Cleared{{Hash: request("same").ID, At: 0}}
	for i := range 3 {
		at := clocker.Minute + clocker.Millis(i)*clocker.Second
		q.Crashed(serverHash("i", clocker.Millis(i)), request("same"), at)
		q.Merge(nil, cleared, at)
	}
	assert.Assert(t, refused(q, request("same"), 2*clocker.Minute))
}

// One request that comes in bursts crashes servers at the same moments.
func TestRequestThatCrashesServersInBurstsIsRefused(t *testing.T) {
	q := New()
	crash := func(server string, at clocker.Millis) { q.Crashed(serverHash(server, 1), request("same"), at) }
	for _, server := range []string{"a", "b", "c", "d"} {
		crash(server, clocker.Second)
	}
	assert.Assert(t, !refused(q, request("same"), 2*clocker.Second))
	crash("e", 2*clocker.Second)
	assert.Assert(t, refused(q, request("same"), 2*clocker.Second))
}

// Two requests that crash servers at the same time are both refused, and those beside them are not.
func TestTwoDeadlyRequestsAreRefused(t *testing.T) {
	q := New()
	now := clocker.Second
	for i := range 3 {
		for _, own := range []string{"deadly1", "deadly2"} {
			server := serverHash(own, clocker.Millis(i))
			q.Crashed(server, request(own, "subject"), now)
			q.Crashed(server, request(fmt.Sprint("beside", i, own), "common"), now)
			now += clocker.Second
		}
		q.Answered(request(fmt.Sprint("sound", i), "common", "subject"), now)
	}
	assert.Assert(t, refused(q, request("deadly1", "subject"), now))
	assert.Assert(t, refused(q, request("deadly2", "subject"), now))
	assert.Assert(t, !refused(q, request("sound3", "subject"), now))
}

// A caller that repeats its request beside the deadly one, to the same servers, is on all crashed
// servers too. The server has begun the one that crashes it.
func TestRequestThatTheServerHadBegunIsBlamed(t *testing.T) {
	for _, own := range []string{"deadly", "d2", "d3", "d4"} { // ties were broken by hashes
		q := New()
		for i := range 3 {
			server, at := serverHash("i", clocker.Millis(i)), clocker.Millis(i)*clocker.Second
			deadly := request(own)
			deadly.Begun = true
			q.Crashed(server, request("victim"+own), at)
			q.Crashed(server, deadly, at)
		}
		assert.Assert(t, refused(q, request(own), 3*clocker.Second))
		assert.Assert(t, !refused(q, request("victim"+own), 3*clocker.Second))
	}
}

// Many requests waited at each crashed server, and the deadly one was lost among them.
func TestDeadlyRequestIsKeptAmongMany(t *testing.T) {
	for _, begun := range []bool{true, false} {
		q := New()
		for i := range 3 {
			server, at := serverHash("i", clocker.Millis(i)), clocker.Millis(i)*clocker.Second
			for j := range 100 {
				if j == 80 || !begun && i == 0 && j == 5 { // without the mark it is among the first ones once
					deadly := request("deadly", "subject")
					deadly.Begun = begun
					q.Crashed(server, deadly, at)
				}
				q.Crashed(server, request(fmt.Sprint("waits", i, j), "other"), at)
			}
			q.Answered(request("x", "other"), at)
		}
		assert.Assert(t, refused(q, request("deadly", "subject"), 3*clocker.Second))
		assert.Assert(t, !refused(q, request("waits00", "other"), 3*clocker.Second))
	}
}

// Servers of one rack that lose power together have not crashed under the requests on them.
func TestServersThatEndTogetherBlameNobody(t *testing.T) {
	q := New()
	for i := range 30 {
		q.Crashed(serverHash(fmt.Sprint("i-", i), 1), request(fmt.Sprint("own", i), "common"), clocker.Millis(i))
	}
	assert.Assert(t, !refused(q, request("x", "common"), 40))
}

// A quarantine ends, and one crash is enough to hold the part again.
func TestQuarantineEndsAndOneCrashRenewsIt(t *testing.T) {
	q := New()
	now := crashes(q, clocker.Second, 3, "deadly") - clocker.Second + HoldTime
	assert.Assert(t, refused(q, request("x", "deadly"), now-1))
	assert.Assert(t, !refused(q, request("x", "deadly"), now))
	q.Crashed(serverHash("again", 1), request("y", "deadly"), now)
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
	server := serverHash("i-4", 1)
	q.AnsweredUnframed(server, request("x", "deadly"), now)
	q.Crashed(server, request("beside", "other"), now+10)
	assert.Assert(t, refused(q, request("y", "deadly"), now+2*unframedDelay))
	q.AnsweredUnframed(serverHash("i-5", 1), request("z", "deadly"), now+2*unframedDelay)
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
			server := serverHash(fmt.Sprint("i-", i), 1)
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
		server := serverHash(fmt.Sprint("other", i), 1)
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
	assert.Assert(t, len(q.soundParts.newer)+len(q.soundParts.older) <= 2*maxSoundParts)
}

// A long quarantine keeps little of its crashes, and still holds for all accounts.
func TestCompactedEvidenceStillHolds(t *testing.T) {
	q := New()
	now := crashes(q, clocker.Second, 10, "rare", "deadly")
	q.Crashed(serverHash("z", 1), requestOf("two", "deadly", "z"), now)
	now += 2 * compactAfter
	reports, _ := q.Report(now)
	assert.Equal(t, len(reports), compactCrashes)
	late := New()
	late.Merge(reports, nil, now)
	for _, host := range []*Quarantiner{q, late} {
		assert.Assert(t, refused(host, requestOf("three", "deadly", "x"), now))
		assert.Assert(t, !refused(host, requestOf("three", "rare", "x"), now))
	}
}

// Evidence without an ID, as of a host that sends something else in its place, refused every request.
func TestEvidenceWithoutAnIDRefusesNothing(t *testing.T) {
	q := New()
	for i := range 10 {
		at := clocker.Minute + clocker.Millis(i)*clocker.Second
		q.Merge([]Crash{{Server: uint64(i + 1), At: at, Requests: []Request{{}}}}, nil, at)
		q.Merge([]Crash{{Server: uint64(i + 1), At: at, Requests: []Request{{Parts: []uint64{0}}}}}, nil, at)
	}
	assert.Assert(t, !refused(q, request("x", "y"), 2*clocker.Minute))
	assert.Assert(t, !refused(q, Request{}, 2*clocker.Minute))
}
