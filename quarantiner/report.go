package quarantiner

import (
	"slices"

	"cowsliphinge/clocker"
)

const (
	// reportPeriod is how long other hosts are told of a crash that led to no quarantine, and
	// of a request or part that was cleared, in milliseconds: many rounds of heartbeats.
	reportPeriod = 15 * clocker.Second
	// maxReports bounds the crashes, and what was cleared, in one message.
	maxReports = 10
	// compactAfter is the age from which a crash that led to a quarantine keeps only what the
	// quarantine needs, in milliseconds. Until then another cause may turn out.
	compactAfter = 10 * clocker.Second
	// compactCrashes and compactRequests are what is kept of it.
	compactCrashes  = 5
	compactRequests = 2
)

// Cleared is a request or part that a crash was held against, and that turned out to be sound.
type Cleared struct {
	Hash uint64
	// At is when the request, or one with the part, was last answered.
	At clocker.Millis
}

// Report returns what other hosts are told: the crashes that led to quarantines and the recent
// ones, the latest first, and what was cleared lately.
func (q *Quarantiner) Report(now clocker.Millis) ([]Crash, []Cleared) {
	q.compact(now)
	blamed := blamedHashes(q.Quarantines(now))
	var crashes []Crash
	for _, c := range slices.Backward(q.crashes) {
		if len(crashes) < maxReports && (now-c.At <= reportPeriod || c.hasAny(blamed)) {
			crashes = append(crashes, c)
		}
	}
	q.expireCleared(now)
	cleared := make([]Cleared, 0, len(q.cleared))
	for _, c := range q.cleared {
		cleared = append(cleared, c.Cleared)
	}
	return crashes, cleared
}

// Held returns the crashes that led to the quarantines in force, and those under requests and parts
// that were on another crashed server too: hosts that start after the death of all others would
// count them anew.
func (q *Quarantiner) Held(now clocker.Millis) []Crash {
	recurring := blamedHashes(q.Quarantines(now))
	for _, s := range collectSuspects(q.crashes) {
		if len(s.crashes) > 1 {
			recurring[s.hash] = true
		}
	}
	var crashes []Crash
	for _, c := range q.crashes {
		if c.hasAny(recurring) {
			c.Requests = slices.DeleteFunc(slices.Clone(c.Requests), func(r Request) bool {
				return !Crash{Requests: []Request{r}}.hasAny(recurring)
			})
			crashes = append(crashes, c)
		}
	}
	return crashes
}

// Merge adds what another host told. It reports whether that included a recent crash, of which
// others may not know.
func (q *Quarantiner) Merge(crashes []Crash, cleared []Cleared, now clocker.Millis) bool {
	for _, c := range cleared {
		q.soundRequests.add(c.Hash, c.At)
		q.soundParts.add(c.Hash, c.At)
		q.clearHeld(c.Hash, c.At, now)
	}
	added := false
	for _, c := range crashes {
		q.reportSound(c, now)
		if q.addCrash(c, now) && now-c.At < compactAfter {
			added = true
		}
	}
	return added
}

// clearedReport is a Cleared and since when other hosts are told of it.
type clearedReport struct {
	Cleared
	since clocker.Millis
}

// reportSound tells other hosts of what is known here to be sound in a crash that one of them reports.
func (q *Quarantiner) reportSound(c Crash, now clocker.Millis) {
	for _, r := range c.Requests {
		if q.soundRequests.has(r.ID, c.At) {
			at, _ := q.soundRequests.last(r.ID)
			q.reportCleared(r.ID, at, now)
		}
		for _, p := range r.Parts {
			if q.soundParts.has(p, c.At) {
				at, _ := q.soundParts.last(p)
				q.reportCleared(p, at, now)
			}
		}
	}
}

// reportCleared tells other hosts of a request or part for reportPeriod, unless they are being told of
// the same answer or a later one.
func (q *Quarantiner) reportCleared(hash uint64, at, now clocker.Millis) {
	q.expireCleared(now)
	i := slices.IndexFunc(q.cleared, func(c clearedReport) bool { return c.Hash == hash })
	switch {
	case i >= 0 && q.cleared[i].At >= at:
	case i >= 0:
		q.cleared[i] = clearedReport{Cleared: Cleared{Hash: hash, At: at}, since: now}
	case len(q.cleared) < maxReports:
		q.cleared = append(q.cleared, clearedReport{Cleared: Cleared{Hash: hash, At: at}, since: now})
	}
}

func (q *Quarantiner) expireCleared(now clocker.Millis) {
	q.cleared = slices.DeleteFunc(q.cleared, func(c clearedReport) bool { return now-c.since > reportPeriod })
}

// compact drops evidence that quarantines don't need any more.
func (q *Quarantiner) compact(now clocker.Millis) {
	for _, held := range q.Quarantines(now) {
		kept, earliestKept := 0, now
		for i := len(q.crashes) - 1; i >= 0; i-- {
			c := &q.crashes[i]
			if now-c.At < compactAfter || !slices.ContainsFunc(c.Requests, held.covers) {
				continue
			}
			if kept == compactCrashes || held.Request == 0 && earliestKept-c.At < minCrashSpacing {
				q.crashes = slices.Delete(q.crashes, i, i+1)
				continue
			}
			kept++
			earliestKept = c.At
			c.Requests = held.compact(c.Requests)
		}
	}
}

// covers reports whether a suspect request is that of the quarantine, or has all its parts.
func (held Quarantine) covers(r Request) bool {
	return Quarantine{Request: held.Request, Parts: held.Parts}.refuses(r)
}

// compact returns the requests of the quarantine, with its parts alone. Of several client accounts it
// keeps two.
func (held Quarantine) compact(requests []Request) []Request {
	var kept []Request
	for _, r := range requests {
		if !held.covers(r) {
			continue
		}
		r.Parts = held.Parts
		if len(kept) == compactRequests && kept[0].Account == kept[1].Account && kept[0].Account != r.Account {
			kept[1] = r
		}
		if len(kept) < compactRequests {
			kept = append(kept, r)
		}
	}
	return kept
}
