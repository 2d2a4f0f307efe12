package soaker

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"cowsliphinge/clocker"
)

const (
	// maxTakeUps is how often a caller takes a stream up, and refusedPause how long it waits behind
	// a refusal, in milliseconds.
	maxTakeUps   = 4
	refusedPause = 200 * clocker.Millis(1)
	// minTakeUps is from how many take-ups on their share is judged, and minPeers how many servers of
	// the version of a stream have to serve.
	minTakeUps = 12
	minPeers   = 2
	// crashSlack is the time from the note of a crash to the crash, in milliseconds.
	crashSlack = 50 * clocker.Millis(1)
)

// Streams are how many streams began and went on.
type Streams struct {
	// New streams were asked for, and Began of them.
	New, Began int
	// TakeUps were sent by callers behind events that they had, and WentOn of them.
	TakeUps, WentOn int
	// AtEnd are take-ups behind the last event, which nothing can go on with and no other figure holds.
	AtEnd int
	// Refused counts the take-ups that did not go on by status and reason.
	Refused map[string]int
	// Joined streams hold events of two software versions. Short answers lack events or bytes and
	// are framed as complete.
	Joined, Short int
	// Whole are the answers that came whole, and Broken those that broke off behind their head;
	// Unconfirmed of these hold all events or bytes, and only their end is missing.
	Whole, Broken, Unconfirmed int
}

// life is an incarnation of a backend server, up for from to to; to is 0 while it serves.
type life struct {
	id, version string
	from, to    clocker.Millis
	crashed     bool
}

// takeUp goes on with a stream that broke off and may be resumed, each time at another router.
func (c *caller) takeUp(ctx context.Context, q request) {
	if len(q.events) == 0 || !streams(q.path) || !repeatable(q.path) {
		return
	}
	origin, last := q.id, 0
	for n := 1; n <= maxTakeUps && q.mayGoOn(); n++ {
		if len(q.events) > 0 {
			last = q.events[len(q.events)-1]
		}
		if n > 1 && ctx.Err() != nil || !q.broken && c.cfg.Clock.Sleep(ctx, refusedPause) != nil {
			return
		}
		next := request{id: fmt.Sprintf("%s-resumed-%d", origin, n), path: q.path, account: q.account, after: last, origin: origin}
		q = c.call(next, c.otherRouter(q.router))
		c.record.ended(q)
	}
}

// mayGoOn reports whether a caller asks again for what a stream lacks.
func (q request) mayGoOn() bool {
	return q.broken || q.status >= http.StatusInternalServerError || slices.Contains(promises, q.status)
}

// otherRouter returns any router but one, unless that is the only one.
func (c *caller) otherRouter(number int) *router {
	if len(c.routers) == 1 {
		return c.routers[0]
	}
	others := slices.DeleteFunc(slices.Clone(c.routers), func(r *router) bool { return r.number == number })
	return others[c.rng.IntN(len(others))]
}

// refusalReason returns the reason in the body of a router's refusal.
func refusalReason(body []byte) string {
	var refusal struct{ Reason string }
	_ = json.Unmarshal(body, &refusal) // another body names none
	return refusal.Reason
}

func (r *recorder) began(id, version string, at clocker.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lives = append(r.lives, life{id: id, version: version, from: at})
}

// crash notes that a backend server crashes now.
func (r *recorder) crash(id string, at clocker.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endLife(id, at, true)
}

// endLife notes the end of the last incarnation. The caller holds mu.
func (r *recorder) endLife(id string, at clocker.Millis, crashed bool) {
	for i := range slices.Backward(r.lives) {
		if l := &r.lives[i]; l.id == id {
			l.to, l.crashed = at, crashed
			return
		}
	}
}

// crashedBetween reports whether a server crashed in a stretch of time.
func (r *recorder) crashedBetween(id string, from, to clocker.Millis) bool {
	return slices.ContainsFunc(r.lives, func(l life) bool {
		return l.id == id && l.crashed && l.to+crashSlack >= from && l.to <= to
	})
}

// miscounted reports whether a stream that is framed as complete lacks events or has too many.
func (q request) miscounted() bool {
	return streams(q.path) && q.status == http.StatusOK && !q.broken && q.after+len(q.events) != streamEvents
}

// goesOn reports whether a stream began or went on.
func (q request) goesOn() bool {
	return q.status == http.StatusOK && (len(q.events) > 0 || !q.broken)
}

// versionsOfStreams returns the software versions of the events that callers hold, by the request that
// brought the first one.
func (r *recorder) versionsOfStreams() map[string][]string {
	versions := map[string][]string{}
	for _, q := range r.requests {
		origin := q.id
		if q.origin != "" {
			origin = q.origin
		}
		for _, version := range q.versions {
			if !slices.Contains(versions[origin], version) {
				versions[origin] = append(versions[origin], version)
			}
		}
	}
	return versions
}

// checkVersions: what two software versions write does not fit together, in one answer or over the
// take-ups of a caller.
func (r *recorder) checkVersions() []string {
	var found []string
	for id, versions := range r.versionsOfStreams() {
		if len(versions) > 1 {
			found = append(found, fmt.Sprintf("the stream of request %s holds events of software versions %s, %s", id, strings.Join(versions, ", "), r.joinedWhere(id)))
		}
	}
	slices.Sort(found)
	return found
}

// joinedWhere says whether one answer holds events of two versions. The caller holds mu.
func (r *recorder) joinedWhere(origin string) string {
	if slices.ContainsFunc(r.requests, func(q request) bool {
		return (q.id == origin || q.origin == origin) && len(q.versions) > 1
	}) {
		return "in one answer"
	}
	return "over its take-ups"
}

// checkTakeUps: at routers that nothing has disrupted, and while two servers of their version serve,
// streams that are taken up go on half as often as new ones begin. What servers fail is left out.
func (r *recorder) checkTakeUps() []string {
	streams := r.judgedStreams()
	if streams.TakeUps < minTakeUps || 2*streams.WentOn*streams.New >= streams.TakeUps*streams.Began {
		return nil
	}
	return []string{"too few streams go on at routers in touch: " + streams.String()}
}

// judgedStreams returns the figures of the streams that checkTakeUps judges.
func (r *recorder) judgedStreams() Streams {
	versions := r.versionsOfStreams()
	s := Streams{Refused: map[string]int{}}
	for _, q := range r.requests {
		inTouch := !overlaps(r.disturbed[q.router], q.sentAt-steady, q.endedAt)
		if inTouch && !r.failedByServers(q) && (q.origin == "" || r.peers(versions[q.origin], q) >= minPeers) {
			s.add(q)
		}
	}
	return s
}

// failedByServers reports whether a stream did not go on since backend servers failed, cut or refused it.
func (r *recorder) failedByServers(q request) bool {
	return !q.goesOn() && (q.signed || q.reason == "server_shed" || r.harmedRun(q))
}

// peers returns how many servers of a stream's version serve all the time of a request and were listed
// before it.
func (r *recorder) peers(versions []string, q request) int {
	n := 0
	for _, l := range r.lives {
		if slices.Contains(versions, l.version) && l.from+heartbeat <= q.sentAt && (l.to == 0 || l.to >= q.endedAt) {
			n++
		}
	}
	return n
}

// figures returns those of all streams, and of the ones that checkTakeUps judges.
func (r *recorder) figures() (all, judged Streams) {
	r.mu.Lock()
	defer r.mu.Unlock()
	all = Streams{Refused: map[string]int{}}
	for _, q := range r.requests {
		all.add(q)
	}
	for _, versions := range r.versionsOfStreams() {
		if len(versions) > 1 {
			all.Joined++
		}
	}
	return all, r.judgedStreams()
}

// add counts a request.
func (s *Streams) add(q request) {
	if q.short || q.miscounted() && q.after+len(q.events) < streamEvents {
		s.Short++
	}
	switch {
	case q.status != 0 && q.broken:
		s.Broken++
		if q.unconfirmed {
			s.Unconfirmed++
		}
	case q.status == http.StatusOK:
		s.Whole++
	}
	if !streams(q.path) {
		return
	}
	switch {
	case q.after == streamEvents:
		s.AtEnd++
	case q.origin == "":
		s.New++
		if q.goesOn() {
			s.Began++
		}
	case q.goesOn():
		s.TakeUps++
		s.WentOn++
	default:
		s.TakeUps++
		s.Refused[q.refusal()]++
	}
}

// String says how many streams began and went on.
func (s Streams) String() string {
	return fmt.Sprintf("%d of %d new streams began, %d of %d take-ups went on, others %v, %d behind the last event", s.Began, s.New, s.WentOn, s.TakeUps, s.Refused, s.AtEnd)
}

// refusal names how a take-up ended that did not go on.
func (q request) refusal() string {
	switch {
	case q.status == 0:
		return "closed"
	case q.signed:
		return fmt.Sprint(q.status, " of a server")
	}
	return strings.TrimSpace(fmt.Sprint(q.status, " ", q.reason))
}
