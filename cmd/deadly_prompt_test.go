package cmd

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

// promptLoad sends requests to random hosts for a while.
type promptLoad struct {
	fleet *promptFleet
	// every is the time between two sound requests, and everyDeadly that between two with
	// deadlyPart, in milliseconds.
	every, everyDeadly clocker.Millis
	// deadlyPrompt returns the parts of a request with deadlyPart; if it is nil, repeated is
	// sent again and again, and then again is.
	deadlyPrompt    func(rng *rand.Rand) []string
	repeated, again promptRequest

	group sync.WaitGroup
	mu    sync.Mutex
	// sent and served count the sound requests of the client account of the deadly ones.
	sent, served int
}

// run sends requests for a duration and waits for their responses.
func (l *promptLoad) run(duration clocker.Millis) {
	rng := rand.New(rand.NewPCG(1, 2))
	started := l.fleet.clock.Now()
	nextDeadly := started
	for now := started; now < started+duration; now = l.fleet.clock.Now() {
		host := l.fleet.hosts[rng.IntN(len(l.fleet.hosts))]
		if now >= nextDeadly {
			nextDeadly += l.everyDeadly
			l.sendDeadly(host, rng)
		}
		soundHost := l.fleet.hosts[rng.IntN(len(l.fleet.hosts))]
		account := []string{"one", "two"}[rng.IntN(2)]
		subject := fmt.Sprint("subject", rng.IntN(30))
		l.group.Go(func() {
			status := l.fleet.send(soundHost, account, "common", subject)
			if account == "one" {
				l.mu.Lock()
				defer l.mu.Unlock()
				l.sent++
				if status == http.StatusOK {
					l.served++
				}
			}
		})
		l.fleet.clock.SleepUncancellable(l.every)
	}
	l.group.Wait()
}

// sendDeadly sends a deadly request to a host.
func (l *promptLoad) sendDeadly(host *promptHost, rng *rand.Rand) {
	if l.deadlyPrompt == nil {
		r := l.repeated
		l.repeated, l.again = l.again, l.repeated
		l.group.Go(func() { l.fleet.sendRequest(host, r) })
		return
	}
	prompt := l.deadlyPrompt(rng)
	l.group.Go(func() { l.fleet.send(host, "one", prompt...) })
}

// Requests with one part in their prompts crashed backend servers one after the other, and took
// the sound requests on them along: no host compared what the crashed servers had run.
func TestPromptPartThatCrashesServersIsRefused(t *testing.T) {
	f := newPromptFleet(t, 4, 6)
	load := promptLoad{fleet: f, every: 10, everyDeadly: 100, deadlyPrompt: func(*rand.Rand) []string {
		return []string{"common", "subject0", deadlyPart}
	}}
	load.run(2 * clocker.Second)
	load.sent, load.served = 0, 0
	load.run(4 * clocker.Second)
	assert.Assert(t, f.deadlyAfterBound(5) <= 3, "%d requests with the part after the fifth crash, %d crashes", f.deadlyAfterBound(5), f.crashCount())
	assert.Assert(t, load.served*2 >= load.sent, "%d of %d sound requests of the account served", load.served, load.sent)
}

// Hosts that started after the death of all others knew nothing of the part, and servers crashed
// until they had found it again.
func TestPromptPartStaysRefusedAfterTheDeathOfAllHosts(t *testing.T) {
	f := newPromptFleet(t, 3, 6)
	load := promptLoad{fleet: f, every: 20, everyDeadly: 100, deadlyPrompt: func(*rand.Rand) []string {
		return []string{"common", "subject0", deadlyPart}
	}}
	load.run(3 * clocker.Second)
	before := f.crashCount()
	f.stopHosts()
	for i := range 3 {
		f.startHost(fmt.Sprint("new", i))
	}
	load.run(3 * clocker.Second)
	assert.Equal(t, f.crashCount(), before, "servers crashed under the new hosts")
}

// deadlyRequests are requests that crash servers, each of one kind.
var deadlyRequests = map[string]promptRequest{
	"prompt":     {path: "/draft/x", account: "one", body: deadlyBody, parts: []string{"common", "subject0", "own"}},
	"plain call": {path: "/order/x", account: "one", body: deadlyBody},
}

// One request that came again and again crashed backend servers one after the other: only the parts
// that its prompt shares with others were suspects, and those are sound.
func TestRepeatedRequestThatCrashesServersIsRefused(t *testing.T) {
	t.Parallel()
	for name, r := range deadlyRequests {
		t.Run(name, func(t *testing.T) {
			f := newPromptFleet(t, 4, 6)
			load := promptLoad{fleet: f, every: 10, everyDeadly: 200, repeated: r, again: r}
			load.run(2 * clocker.Second)
			load.sent, load.served = 0, 0
			load.run(4 * clocker.Second)
			assert.Assert(t, f.crashCount() >= 3, "%d crashes", f.crashCount())
			assert.Assert(t, f.deadlyAfterBound(3) <= 3, "%d times after the third crash, %d crashes", f.deadlyAfterBound(3), f.crashCount())
			assert.Assert(t, load.served*2 >= load.sent, "%d of %d sound requests of the account served", load.served, load.sent)
		})
	}
}

// Two such requests, one seldom beside the other.
func TestTwoRepeatedRequestsThatCrashServersAreRefused(t *testing.T) {
	t.Parallel()
	f := newPromptFleet(t, 4, 6)
	load := promptLoad{fleet: f, every: 10, everyDeadly: 200, repeated: deadlyRequests["prompt"], again: deadlyRequests["plain call"]}
	load.run(6 * clocker.Second)
	assert.Assert(t, f.deadlyAfterBound(6) <= 3, "%d times after the sixth crash, %d crashes", f.deadlyAfterBound(6), f.crashCount())
}

// Hosts that started after the death of all others knew nothing of the request.
func TestRepeatedRequestStaysRefusedAfterTheDeathOfAllHosts(t *testing.T) {
	t.Parallel()
	r := deadlyRequests["plain call"]
	f := newPromptFleet(t, 3, 6)
	load := promptLoad{fleet: f, every: 20, everyDeadly: 200, repeated: r, again: r}
	load.run(3 * clocker.Second)
	before := f.crashCount()
	f.stopHosts()
	for i := range 3 {
		f.startHost(fmt.Sprint("new", i))
	}
	load.run(3 * clocker.Second)
	assert.Equal(t, f.crashCount(), before, "servers crashed under the new hosts")
}
