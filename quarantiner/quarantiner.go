// Package quarantiner finds the request or the prompt part that crashes backend servers, and
// tells which requests must not be sent for it. It compares the requests that crashed servers had
// not begun to answer, as seen by all hosts. What was answered is sound: parts that many prompts
// share, and other requests on a crashed server, are not to blame. Package quarantiner is pure
// logic: it does no I/O, starts no goroutines and does not read the clock.
package quarantiner

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"cowsliphinge/clocker"
)

const (
	// minCrashes is the number of crashes from which a request or a part is blamed, and
	// minCrashesOfOneRequest that of a part if a single request was on all crashed servers.
	minCrashes             = 3
	minCrashesOfOneRequest = 4
	// minCrashesTogether is the number of crashes from which a request is blamed that crashed
	// all its servers together, as one that comes in bursts.
	minCrashesTogether = 5
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
	// soundRequestFor is the same of the request itself. It is shorter since nothing but an
	// answer to the same request tells that it is sound; answers after a crash clear it as well.
	soundRequestFor = 2 * clocker.Second
	// unframedDelay is how long a server must live on after an answer that ended with its
	// connection, in milliseconds: such an answer may have been cut off by a crash, of which
	// other hosts, or the entry of the next incarnation, may tell.
	unframedDelay = 2 * clocker.Second
	// maxCrashes, maxRequestsPerCrash and maxPartsPerRequest bound the evidence. Only
	// maxPromptsPerCrash requests of a crash are kept with their parts.
	maxCrashes          = 64
	maxRequestsPerCrash = 24
	maxPromptsPerCrash  = 8
	maxPartsPerRequest  = 6
	// maxSoundParts bounds the parts that are known to be sound, and maxSoundRequests the
	// requests, in each of two generations.
	maxSoundParts    = 8192
	maxSoundRequests = 4096
	// maxUnframed bounds the answers whose servers have to live on.
	maxUnframed = 256
)

// Request is what the evidence holds of a request. All fields are hashes: callers choose the IDs of
// parts and their length.
type Request struct {
	// Account is the client account; 0 if there are no Parts.
	Account uint64
	// ID is the hash of what stays the same when the request comes again, its client account
	// included.
	ID uint64
	// Parts are the parts of the prompt.
	Parts []uint64
	// Begun is true if the server had sent the header of its answer.
	Begun bool
}

// Content is what stays the same when a client account sends a request again.
type Content struct {
	Method string
	// Target is path and query.
	Target string
	Body   []byte
	// Parts follow Body, in order.
	Parts [][]byte
}

// NewRequest returns the request of a client account whose prompt has the parts with these IDs.
func NewRequest(account string, content Content, partIDs []string) Request {
	h := xxhash.New()
	for _, field := range []string{account, content.Method, content.Target} {
		_, _ = h.WriteString(field) // never fails
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(content.Body)
	for _, part := range content.Parts {
		_, _ = h.Write(part)
	}
	r := Request{Account: xxhash.Sum64String(account), ID: h.Sum64()}
	for _, id := range partIDs {
		r.Parts = append(r.Parts, xxhash.Sum64String(id))
	}
	return r
}

// Crash is the crash of one incarnation of a backend server.
type Crash struct {
	// Server identifies the incarnation.
	Server uint64
	At     clocker.Millis
	// Requests are those that the server had not begun to answer, without their sound parts and
	// without those known to be sound.
	Requests []Request
}

// Quarantine describes requests that must not be sent.
type Quarantine struct {
	// Request is the ID of the request that is refused; 0 if it is for Parts.
	Request uint64
	// Parts are refused together: crashed servers don't tell them apart yet, and a request
	// with only some of them does.
	Parts []uint64
	// Accounts are the client accounts whose requests with the parts are refused, at most
	// maxAccounts. It is empty for all accounts: two or more had servers crash under these parts.
	Accounts []uint64
	Crashes  int
	Until    clocker.Millis
}

// Server is one incarnation of a backend server.
type Server struct {
	ID        string
	StartedAt clocker.Millis
}

// Hash returns the identity of the incarnation.
func (s Server) Hash() uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(s.ID) // never fails
	b := [8]byte{}
	for i := range b {
		b[i] = byte(s.StartedAt >> (8 * i))
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
	crashes       []Crash
	soundParts    soundSet
	soundRequests soundSet
	unframed      []unframedAnswer
	// cleared is what turned out to be sound while a crash was held against it, for other
	// hosts.
	cleared []clearedReport
	// quarantines follow from the evidence. They are computed again if stale is true.
	quarantines []Quarantine
	stale       bool
}

// New returns a Quarantiner without evidence.
func New() *Quarantiner {
	return &Quarantiner{
		soundParts:    soundSet{limit: maxSoundParts, lifetime: soundFor},
		soundRequests: soundSet{limit: maxSoundRequests, lifetime: soundRequestFor},
	}
}

// Answered records that a server answered a request completely and lived on.
func (q *Quarantiner) Answered(r Request, now clocker.Millis) {
	q.soundRequests.add(r.ID, now)
	q.clearHeld(r.ID, now, now)
	for _, p := range r.Parts {
		q.soundParts.add(p, now)
		q.clearHeld(p, now, now)
	}
}

// AnsweredUnframed records an answer that ended with its connection.
func (q *Quarantiner) AnsweredUnframed(server uint64, r Request, now clocker.Millis) {
	if len(q.unframed) < maxUnframed {
		q.unframed = append(q.unframed, unframedAnswer{server: server, request: r, at: now})
	}
}

// Ended records that another incarnation has replaced that of a server. Its answers that ended with their
// connections may have been cut off.
func (q *Quarantiner) Ended(server uint64) {
	q.unframed = slices.DeleteFunc(q.unframed, func(a unframedAnswer) bool { return a.server == server })
}

// Crashed records that a server crashed before it had begun to answer a request. It reports
// whether this is new evidence.
func (q *Quarantiner) Crashed(server uint64, r Request, now clocker.Millis) bool {
	return q.addCrash(Crash{Server: server, At: now, Requests: []Request{r}}, now)
}

// Crashes returns the number of crashes of servers that had not begun to answer this request, or
// one with the most suspect part of it.
func (q *Quarantiner) Crashes(r Request) int {
	most := 0
	for _, suspect := range append([]uint64{r.ID}, r.Parts...) {
		n := 0
		for _, c := range q.crashes {
			if slices.ContainsFunc(c.Requests, func(other Request) bool { return other.has(suspect) }) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// has reports whether the request is, or has the part, with the hash.
func (r Request) has(hash uint64) bool {
	return r.ID == hash || slices.Contains(r.Parts, hash)
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
	if held.Request != 0 || len(held.Parts) == 0 {
		return held.Request != 0 && r.ID == held.Request
	}
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
		added := Crash{Server: c.Server, At: c.At}
		q.addRequests(&added, c.Requests)
		q.crashes = append(q.crashes, added)
		slices.SortStableFunc(q.crashes, func(a, b Crash) int { return int(a.At - b.At) })
		q.limitCrashes()
		q.stale = true
		return true
	}
	changed := q.addRequests(&q.crashes[i], c.Requests)
	q.stale = q.stale || changed
	return changed
}

// addRequests adds requests to a known crash. It reports whether the evidence has changed. Requests
// that were on other crashed servers too, or that the server had begun to answer, displace others.
func (q *Quarantiner) addRequests(known *Crash, requests []Request) bool {
	changed := false
	for _, r := range requests {
		i := slices.IndexFunc(known.Requests, func(other Request) bool { return other.ID == r.ID })
		switch {
		case i >= 0 && r.Begun && !known.Requests[i].Begun:
			known.Requests[i].Begun = true
			changed = true
		case i >= 0:
		case r.Begun || q.hasCrashed(r.ID):
			known.Requests = slices.Insert(known.Requests, 0, r)
			changed = true
		case len(known.Requests) < maxRequestsPerCrash:
			known.Requests = append(known.Requests, r)
			changed = true
		}
	}
	known.Requests = known.Requests[:min(len(known.Requests), maxRequestsPerCrash)]
	for i := maxPromptsPerCrash; i < len(known.Requests); i++ {
		known.Requests[i].Account, known.Requests[i].Parts = 0, nil
	}
	return changed
}

// hasCrashed reports whether a crash is held against the request.
func (q *Quarantiner) hasCrashed(id uint64) bool {
	return slices.ContainsFunc(q.crashes, func(c Crash) bool {
		return slices.ContainsFunc(c.Requests, func(r Request) bool { return r.ID == id })
	})
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// suspects returns the requests of a crash that are not known to be sound, without sound parts.
func (q *Quarantiner) suspects(c Crash) []Request {
	var requests []Request
	for _, r := range c.Requests {
		if r.ID == 0 || q.soundRequests.has(r.ID, c.At) { // an ID of 0 is malformed
			continue
		}
		parts := slices.DeleteFunc(slices.Clone(r.Parts), func(p uint64) bool { return q.soundParts.has(p, c.At) })
		r.Parts = parts[:min(len(parts), maxPartsPerRequest)]
		if len(r.Parts) == 0 {
			r.Account = 0
		}
		requests = append(requests, r)
	}
	return requests
}

// limitCrashes drops crashes beyond maxCrashes, those first under which no part is quarantined.
func (q *Quarantiner) limitCrashes() {
	if len(q.crashes) <= maxCrashes {
		return
	}
	blamed := blamedHashes(findQuarantines(q.crashes))
	i := slices.IndexFunc(q.crashes, func(c Crash) bool { return !c.hasAny(blamed) })
	q.crashes = slices.Delete(q.crashes, max(0, i), max(0, i)+1)
}

func blamedHashes(quarantines []Quarantine) map[uint64]bool {
	blamed := map[uint64]bool{}
	for _, held := range quarantines {
		if held.Request != 0 {
			blamed[held.Request] = true
		}
		for _, p := range held.Parts {
			blamed[p] = true
		}
	}
	return blamed
}

// hasAny reports whether the crash is held against any of the requests and parts.
func (c Crash) hasAny(hashes map[uint64]bool) bool {
	return slices.ContainsFunc(c.Requests, func(r Request) bool {
		return hashes[r.ID] || slices.ContainsFunc(r.Parts, func(p uint64) bool { return hashes[p] })
	})
}

// clearHeld drops what is held against a request or part that was sound at a time: crashes before it
// or shortly after.
func (q *Quarantiner) clearHeld(hash uint64, at, now clocker.Millis) {
	held := false
	for i := range q.crashes {
		c := &q.crashes[i]
		if c.At-at <= soundRequestFor {
			before := len(c.Requests)
			c.Requests = slices.DeleteFunc(c.Requests, func(r Request) bool { return r.ID == hash })
			held = held || len(c.Requests) < before
		}
		if c.At-at > soundFor {
			continue
		}
		for j := range c.Requests {
			r := &c.Requests[j]
			if slices.Contains(r.Parts, hash) {
				r.Parts = slices.DeleteFunc(slices.Clone(r.Parts), func(p uint64) bool { return p == hash })
				held = true
			}
		}
	}
	if !held {
		return
	}
	q.crashes = slices.DeleteFunc(q.crashes, func(c Crash) bool { return len(c.Requests) == 0 })
	q.stale = true
	q.reportCleared(hash, at, now)
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

// soundSet holds when requests or parts were last known to be sound, in two generations: the older
// one is dropped when the newer one is full.
type soundSet struct {
	newer, older map[uint64]clocker.Millis
	// limit is the size of a generation.
	limit int
	// lifetime is how long they count as sound, in milliseconds.
	lifetime clocker.Millis
}

func (s *soundSet) add(hash uint64, at clocker.Millis) {
	if s.newer == nil || len(s.newer) >= s.limit {
		s.older, s.newer = s.newer, map[uint64]clocker.Millis{}
	}
	s.newer[hash] = max(at, s.newer[hash])
}

// has reports whether it was known to be sound shortly before at, or later.
func (s *soundSet) has(hash uint64, at clocker.Millis) bool {
	last, known := s.last(hash)
	return known && at-last <= s.lifetime
}

// last returns when it was last known to be sound, and false if it is not known.
func (s *soundSet) last(hash uint64) (clocker.Millis, bool) {
	last, known := s.newer[hash]
	if !known {
		last, known = s.older[hash]
	}
	return last, known
}
