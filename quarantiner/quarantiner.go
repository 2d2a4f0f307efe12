// Package quarantiner finds the prompt part that crashes backend servers, and tells which
// requests must not be sent for it. It compares the requests that crashed servers had not begun
// to answer, as seen by all hosts. A part of a request that was answered is sound: parts that
// many prompts share, and other requests on a crashed server, are not to blame. Package
// quarantiner is pure logic: it does no I/O, starts no goroutines and does not read the clock.
package quarantiner

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"cowsliphinge/clocker"
)

const (
	// minCrashes is the number of crashes from which a part is blamed, and
	// minCrashesOfOneRequest the same if a single request was on all crashed servers.
	minCrashes             = 3
	minCrashesOfOneRequest = 4
	// minCrashSpacing is the time between crashes that count one by one, in milliseconds.
	// Servers that end together have another cause than the requests on them.
	minCrashSpacing = 50 * clocker.Millis(1)
	// HoldTime is how long requests are refused after the last crash, in milliseconds.
	HoldTime = 10 * clocker.Minute
	// evidenceLifetime is how long a crash counts, in milliseconds. It is longer than HoldTime:
	// after that a single crash puts the same part back into quarantine.
	evidenceLifetime = clocker.Hour
	// soundFor is how long a part counts as sound after a request with it was answered, in
	// milliseconds.
	soundFor = clocker.Minute
	// unframedDelay is how long a server must live on after an answer that ended with its
	// connection, in milliseconds: such an answer may have been cut off by a crash, of which
	// other hosts may know.
	unframedDelay = 2 * clocker.Second
	// maxCrashes, maxRequestsPerCrash and maxPartsPerRequest bound the evidence.
	maxCrashes          = 64
	maxRequestsPerCrash = 8
	maxPartsPerRequest  = 6
	// maxSoundParts bounds the parts that are known to be sound, in each of two generations.
	maxSoundParts = 4096
	// maxUnframed bounds the answers whose servers have to live on.
	maxUnframed = 256
)

// Request is a request with a prompt. All fields are hashes: callers choose the IDs of parts and
// their length.
type Request struct {
	Account uint64
	// ID is the hash of the last part of the prompt, which no other request has.
	ID uint64
	// Parts are the hashes of the other parts.
	Parts []uint64
}

// NewRequest returns the request of a client account whose prompt has the parts with these IDs.
func NewRequest(account string, partIDs []string) Request {
	r := Request{Account: xxhash.Sum64String(account)}
	for i, id := range partIDs {
		hash := xxhash.Sum64String(id)
		if i == len(partIDs)-1 {
			r.ID = hash
			break
		}
		r.Parts = append(r.Parts, hash)
	}
	return r
}

// Crash is the crash of one incarnation of a backend server.
type Crash struct {
	// Server identifies the incarnation.
	Server uint64
	At     clocker.Millis
	// Requests are those that the server had not begun to answer, without their sound parts.
	Requests []Request
}

// Quarantine describes requests that must not be sent.
type Quarantine struct {
	// Parts are refused together: crashed servers don't tell them apart yet, and a request
	// with only some of them does.
	Parts []uint64
	// Accounts are the client accounts whose requests are refused, at most maxAccounts. It is
	// empty for all accounts: two or more had servers crash under these parts.
	Accounts []uint64
	Crashes  int
	Until    clocker.Millis
}

// ServerHash returns the identity of one incarnation of a backend server.
func ServerHash(id string, startedAt clocker.Millis) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(id) // never fails
	b := [8]byte{}
	for i := range b {
		b[i] = byte(startedAt >> (8 * i))
	}
	_, _ = h.Write(b[:])
	return h.Sum64()
}

// unframedAnswer is an answer that ended with its connection.
type unframedAnswer struct {
	server  uint64
	request Request
	at      clocker.Millis
}

// Quarantiner holds the evidence of this host and of others. It is not safe for concurrent use.
type Quarantiner struct {
	// crashes are sorted by time, the earliest first.
	crashes  []Crash
	sound    soundParts
	unframed []unframedAnswer
	// cleared are parts that turned out to be sound while a crash was held against them, for
	// other hosts.
	cleared []ClearedPart
	// quarantines follow from the evidence. They are computed again if stale is true.
	quarantines []Quarantine
	stale       bool
}

// New returns a Quarantiner without evidence.
func New() *Quarantiner {
	return &Quarantiner{}
}

// Answered records that a server answered a request completely and lived on.
func (q *Quarantiner) Answered(r Request, now clocker.Millis) {
	for _, p := range r.Parts {
		q.clearPart(p, now, now)
	}
}

// AnsweredUnframed records an answer that ended with its connection.
func (q *Quarantiner) AnsweredUnframed(server uint64, r Request, now clocker.Millis) {
	if len(q.unframed) < maxUnframed && len(r.Parts) > 0 {
		q.unframed = append(q.unframed, unframedAnswer{server: server, request: r, at: now})
	}
}

// Crashed records that a server crashed before it had begun to answer a request. It reports
// whether this is new evidence.
func (q *Quarantiner) Crashed(server uint64, r Request, now clocker.Millis) bool {
	return q.addCrash(Crash{Server: server, At: now, Requests: []Request{r}}, now)
}

// Crashes returns the number of crashes of servers that had not begun to answer a request with
// the most suspect part of this one.
func (q *Quarantiner) Crashes(r Request) int {
	most := 0
	for _, p := range r.Parts {
		n := 0
		for _, c := range q.crashes {
			if slices.ContainsFunc(c.Requests, func(suspect Request) bool { return slices.Contains(suspect.Parts, p) }) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Refused returns the quarantine under which a request must not be sent, if there is one.
func (q *Quarantiner) Refused(r Request, now clocker.Millis) (Quarantine, bool) {
	for _, held := range q.Quarantines(now) {
		if held.refuses(r) {
			return held, true
		}
	}
	return Quarantine{}, false
}

func (held Quarantine) refuses(r Request) bool {
	if len(held.Accounts) > 0 && !slices.Contains(held.Accounts, r.Account) {
		return false
	}
	for _, p := range held.Parts {
		if !slices.Contains(r.Parts, p) {
			return false
		}
	}
	return true
}

// Quarantines returns the quarantines in force.
func (q *Quarantiner) Quarantines(now clocker.Millis) []Quarantine {
	q.expire(now)
	if q.stale {
		q.quarantines = findQuarantines(q.crashes)
		q.stale = false
	}
	q.quarantines = slices.DeleteFunc(q.quarantines, func(held Quarantine) bool { return now >= held.Until })
	return q.quarantines
}

// addCrash adds a crash, or requests to a known one, without sound parts.
func (q *Quarantiner) addCrash(c Crash, now clocker.Millis) bool {
	c.Requests = q.suspects(c)
	if len(c.Requests) == 0 || now-c.At > evidenceLifetime {
		return false
	}
	i := slices.IndexFunc(q.crashes, func(known Crash) bool { return known.Server == c.Server })
	if i < 0 {
		q.crashes = append(q.crashes, c)
		slices.SortStableFunc(q.crashes, func(a, b Crash) int { return int(a.At - b.At) })
		q.limitCrashes()
		q.stale = true
		return true
	}
	known := &q.crashes[i]
	added := false
	for _, r := range c.Requests {
		if len(known.Requests) < maxRequestsPerCrash && !slices.ContainsFunc(known.Requests, r.same) {
			known.Requests = append(known.Requests, r)
			added = true
		}
	}
	q.stale = q.stale || added
	return added
}

// suspects returns the requests of a crash that have parts which are not known to be sound.
func (q *Quarantiner) suspects(c Crash) []Request {
	var requests []Request
	for _, r := range c.Requests {
		parts := slices.DeleteFunc(slices.Clone(r.Parts), func(p uint64) bool { return q.sound.has(p, c.At) })
		if len(parts) > 0 && len(requests) < maxRequestsPerCrash {
			r.Parts = parts[:min(len(parts), maxPartsPerRequest)]
			requests = append(requests, r)
		}
	}
	return requests
}

// same reports whether both are the same request of the same client account.
func (r Request) same(other Request) bool {
	return r.Account == other.Account && r.ID == other.ID
}

// limitCrashes drops crashes beyond maxCrashes, those first under which no part is quarantined.
func (q *Quarantiner) limitCrashes() {
	if len(q.crashes) <= maxCrashes {
		return
	}
	blamed := blamedParts(findQuarantines(q.crashes))
	i := slices.IndexFunc(q.crashes, func(c Crash) bool { return !c.hasAny(blamed) })
	q.crashes = slices.Delete(q.crashes, max(0, i), max(0, i)+1)
}

func blamedParts(quarantines []Quarantine) map[uint64]bool {
	blamed := map[uint64]bool{}
	for _, held := range quarantines {
		for _, p := range held.Parts {
			blamed[p] = true
		}
	}
	return blamed
}

func (c Crash) hasAny(parts map[uint64]bool) bool {
	return slices.ContainsFunc(c.Requests, func(r Request) bool {
		return slices.ContainsFunc(r.Parts, func(p uint64) bool { return parts[p] })
	})
}

// clearPart records that a part was sound at a time, and drops what is held against it.
func (q *Quarantiner) clearPart(part uint64, at, now clocker.Millis) {
	q.sound.add(part, at)
	held := false
	for i := range q.crashes {
		c := &q.crashes[i]
		for j := range c.Requests {
			r := &c.Requests[j]
			if slices.Contains(r.Parts, part) {
				r.Parts = slices.DeleteFunc(slices.Clone(r.Parts), func(p uint64) bool { return p == part })
				held = true
			}
		}
		c.Requests = slices.DeleteFunc(c.Requests, func(r Request) bool { return len(r.Parts) == 0 })
	}
	if !held {
		return
	}
	q.crashes = slices.DeleteFunc(q.crashes, func(c Crash) bool { return len(c.Requests) == 0 })
	q.stale = true
	q.reportCleared(part, at, now)
}

// expire drops old evidence, and clears the parts of unframed answers whose servers lived on.
func (q *Quarantiner) expire(now clocker.Millis) {
	for len(q.unframed) > 0 && now-q.unframed[0].at >= unframedDelay {
		a := q.unframed[0]
		q.unframed = q.unframed[1:]
		if !slices.ContainsFunc(q.crashes, func(c Crash) bool { return c.Server == a.server }) {
			q.Answered(a.request, now)
		}
	}
	for len(q.crashes) > 0 && now-q.crashes[0].At > evidenceLifetime {
		q.crashes = q.crashes[1:]
		q.stale = true
	}
}

// soundParts holds when parts were last known to be sound, in two generations: the older one is
// dropped when the newer one is full.
type soundParts struct {
	newer, older map[uint64]clocker.Millis
}

func (s *soundParts) add(part uint64, at clocker.Millis) {
	if s.newer == nil || len(s.newer) >= maxSoundParts {
		s.older, s.newer = s.newer, map[uint64]clocker.Millis{}
	}
	s.newer[part] = max(at, s.newer[part])
}

// has reports whether the part was known to be sound shortly before at, or later.
func (s *soundParts) has(part uint64, at clocker.Millis) bool {
	last, known := s.newer[part]
	if !known {
		last, known = s.older[part]
	}
	return known && at-last <= soundFor
}
