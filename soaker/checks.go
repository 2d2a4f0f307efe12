package soaker

import (
	"fmt"
	"net/http"
	"slices"
	"sync"

	"cowsliphinge/clocker"
	"cowsliphinge/standin/server"
)

// request is one attempt of a caller and how it ended.
type request struct {
	id      string
	path    string
	account string
	// after is the event behind which the caller resumes a stream; 0 from the start.
	after  int
	router int
	// incarnation counts the lives of the router.
	incarnation int
	sentAt      clocker.Millis
	endedAt     clocker.Millis
	// status is 0 if no head of an answer came.
	status int
	// signed is true if the answer is a backend server's own.
	signed bool
	// broken is true if the answer did not end whole.
	broken bool
	// malformed says what is wrong with the framing of the answer.
	malformed string
	// events are the numbers of the events of a stream, in their order.
	events []int
	// versions are the software versions of the servers that wrote the events.
	versions []string
	// origin is the request that brought the first event of a stream that is taken up.
	origin string
	// short is true if an answer that is no stream ended whole and lacks its end.
	short bool
	// unconfirmed is true if an answer that broke off holds all events or bytes.
	unconfirmed bool
	// reason is why a router refused the request.
	reason string
	// stray is what follows in a stream and is no event.
	stray string
	// stopping is true if the router had got SIGTERM.
	stopping bool
	// foreign is true if an event or body belongs to another request.
	foreign bool
	// limitedBy is the server that answered and named a limit.
	limitedBy string
}

// span is a stretch of time.
type span struct {
	from, to clocker.Millis
}

// recorder takes what callers and backend servers see.
type recorder struct {
	mu       sync.Mutex
	requests []request
	runs     map[string][]run
	// drained is when a backend server said that it leaves.
	drained map[string]clocker.Millis
	// lives are the incarnations of backend servers.
	lives []life
	// harmed are stretches in which bounds on time do not hold.
	harmed []span
	limits []limit
	// disturbed are stretches in which a router or its way to the store was disrupted.
	disturbed map[int][]span
	// prepaid are the budgets of the client accounts.
	prepaid map[string]int64
}

type run struct {
	server.Run
	server string
}

func newRecorder(prepaid map[string]int64) *recorder {
	return &recorder{runs: map[string][]run{}, drained: map[string]clocker.Millis{}, disturbed: map[int][]span{}, prepaid: prepaid}
}

func (r *recorder) ran(id string, got server.Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[got.RequestID] = append(r.runs[got.RequestID], run{Run: got, server: id})
}

func (r *recorder) ended(q request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, q)
}

func (r *recorder) drain(id string, at clocker.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drained[id] = at
	r.endLife(id, at, false)
}

func (r *recorder) harm(from, to clocker.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.harmed = append(r.harmed, span{from, to})
}

func (r *recorder) disturb(router int, s span) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disturbed[router] = append(r.disturbed[router], s)
}

const (
	promptTokens = 10
	// drainBound is in what time a leaving server gets no new work, and steady how
	// long before nothing may have been harmed, in milliseconds.
	drainBound = 2 * clocker.Second
	steady     = 3 * clocker.Second
)

// promises are the statuses by which a router says that a request never runs.
var promises = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// findings returns the promises that were broken.
func (r *recorder) findings() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []string
	spent := map[string]int64{}
	newest := map[[2]int]int{}
	for _, q := range r.requests {
		found = append(found, r.checkRuns(q)...)
		found = append(found, checkAnswer(q)...)
		if q.stopping && q.broken && len(r.runs[q.id]) > 0 && !r.harmedRun(q) {
			found = append(found, fmt.Sprintf("request %s to %s was cut by a planned stop", q.id, q.path))
		}
		if runs := r.runs[q.id]; len(runs) > 0 && measured(q.path) {
			spent[q.account] += promptTokens + int64(len(q.events))
		}
		found = append(found, checkVersion(q, newest)...)
		found = append(found, r.checkLateEnd(q)...)
	}
	for account, tokens := range spent {
		if tokens > r.prepaid[account] {
			found = append(found, fmt.Sprintf("account %s used %d tokens of %d", account, tokens, r.prepaid[account]))
		}
	}
	found = append(found, r.checkVersions()...)
	found = append(found, r.checkTakeUps()...)
	found = append(found, r.checkDrains()...)
	return append(found, r.checkLimits()...)
}

// checkRuns: what may not be repeated runs at most once, and what was refused as
// not run never runs.
func (r *recorder) checkRuns(q request) []string {
	var found []string
	runs := r.runs[q.id]
	if !repeatable(q.path) && len(runs) > 1 {
		found = append(found, fmt.Sprintf("request %s to %s ran %d times", q.id, q.path, len(runs)))
	}
	if slices.Contains(promises, q.status) && !q.signed && len(runs) > 0 {
		found = append(found, fmt.Sprintf("request %s to %s was refused with %d and ran", q.id, q.path, q.status))
	}
	for _, one := range runs {
		if one.Account != q.account {
			found = append(found, fmt.Sprintf("request %s of %s ran for %q", q.id, q.account, one.Account))
		}
	}
	return found
}

// harmedRun reports whether a backend server did something wrong with a run, or
// crashed before the answer was there.
func (r *recorder) harmedRun(q request) bool {
	return slices.ContainsFunc(r.runs[q.id], func(one run) bool {
		return one.Fault != server.None && one.Fault != server.EndLate || r.crashedBetween(one.server, one.At, q.endedAt)
	})
}

// maxLateCall is from when on a stream that breaks off may have reached its time limit, in milliseconds.
const maxLateCall = callDeadline - 500

// checkLateEnd: the silence of a sound server before the end of a stream is no reason to cut it. Routers that something
// disrupted are left out, and servers that ended meanwhile.
func (r *recorder) checkLateEnd(q request) []string {
	runs := r.runs[q.id]
	late := slices.ContainsFunc(runs, func(one run) bool { return one.Fault == server.EndLate })
	if !late || q.status != http.StatusOK || !q.broken || q.after+len(q.events) < streamEvents || q.endedAt-q.sentAt >= maxLateCall {
		return nil
	}
	left := slices.ContainsFunc(runs, func(one run) bool {
		return slices.ContainsFunc(r.lives, func(l life) bool { return l.id == one.server && l.to > 0 && l.to+crashSlack >= one.At })
	})
	if left || r.harmedRun(q) || overlaps(r.disturbed[q.router], q.sentAt-steady, q.endedAt) {
		return nil
	}
	return []string{fmt.Sprintf("the stream of request %s was cut behind its last event, whose server ends it late", q.id)}
}

// checkAnswer: a whole answer to the own request and nothing else, events in order,
// all of them if the answer is framed as complete.
func checkAnswer(q request) []string {
	var found []string
	if q.foreign {
		found = append(found, fmt.Sprintf("request %s got the answer of another", q.id))
	}
	if q.status/100 == 2 && !q.signed {
		found = append(found, fmt.Sprintf("request %s got a success that no backend server signed", q.id))
	}
	if q.malformed != "" {
		found = append(found, fmt.Sprintf("request %s got an answer that is no HTTP: %s", q.id, q.malformed))
	}
	if q.stray != "" {
		found = append(found, fmt.Sprintf("the stream of request %s holds what is no event: %q", q.id, q.stray))
	}
	if q.short {
		found = append(found, fmt.Sprintf("the answer to request %s ended whole and lacks its end", q.id))
	}
	for i, n := range q.events {
		if n != q.after+i+1 {
			found = append(found, fmt.Sprintf("request %s got event %d in place of %d", q.id, n, q.after+i+1))
			break
		}
	}
	if q.miscounted() {
		found = append(found, fmt.Sprintf("the stream of request %s ended whole after %d of %d events", q.id, q.after+len(q.events), streamEvents))
	}
	return found
}

// checkVersion: a life of a router that served a route of a version never refuses
// it as unknown.
func checkVersion(q request, newest map[[2]int]int) []string {
	version := versionOf(q.path)
	if version == 0 {
		return nil
	}
	life := [2]int{q.router, q.incarnation}
	switch {
	case q.status == 200:
		newest[life] = max(newest[life], version)
	case q.status == 404 && !q.signed && version <= newest[life]:
		return []string{fmt.Sprintf("router %d refused the route of version %d after it had served version %d", q.router, version, newest[life])}
	}
	return nil
}

// checkDrains: a leaving server gets no new work after its bound.
func (r *recorder) checkDrains() []string {
	var found []string
	for id, runs := range r.runs {
		for _, one := range runs {
			at, leaving := r.drained[one.server]
			if !leaving || one.At <= at+drainBound || r.wasHarmed(at-steady, one.At) {
				continue
			}
			found = append(found, fmt.Sprintf("request %s reached %s %d ms after it said that it leaves", id, one.server, one.At-at))
		}
	}
	return found
}

func (r *recorder) wasHarmed(from, to clocker.Millis) bool {
	return overlaps(r.harmed, from, to)
}

func overlaps(spans []span, from, to clocker.Millis) bool {
	return slices.ContainsFunc(spans, func(s span) bool { return s.from < to && s.to > from })
}
